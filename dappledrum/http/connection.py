"""One connection of the server, as an asyncio protocol.

Everything that a client can do wrong is bounded: the size of head and body, the time to send a
request, and the time without one. A failure on one connection never affects another.
"""

import asyncio
import logging
from datetime import timedelta
from http import HTTPStatus

import httptools

from dappledrum.http.connection_limits import Role
from dappledrum.http.connection_table import ConnectionTable
from dappledrum.http.messages import Handler, Request, Response, encode_response

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
REQUEST_READ_TIMEOUT = timedelta(seconds=10)
#: How long a connection may be idle: one without any request so far, a worker's (it sends a
#: heartbeat every few seconds, or has ended), and any other.
IDLE_TIMEOUTS = {
    Role.NEW: timedelta(seconds=10),
    Role.WORKER: timedelta(seconds=30),
    Role.USER: timedelta(seconds=120),
}
HEARTBEAT_PATH = "/hello"  # only workers send requests there


class Connection(asyncio.Protocol):
    """One client connection; requests are served one after the other."""

    def __init__(self, handler: Handler, table: ConnectionTable) -> None:
        self.handler = handler
        self.table = table
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.role = Role.NEW
        self.idle = True
        self.since = 0.0
        self.deadline = 0.0
        self.url = b""
        self.head_bytes = 0
        self.body = bytearray()
        self.refusal: Response | None = None
        self.upgrade_requested = False
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enter the table, or drop the connection if it is full."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._become_idle()
        if not self.table.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Leave the table."""
        self.table.remove(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse data, within limits also while a request is being served."""
        if self.task is not None:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
                self.abort()
                return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served as it is, and the connection ends with it.
            self.upgrade_requested = True
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Prepare for a new request."""
        self.idle = False
        self.since = asyncio.get_running_loop().time()
        self.deadline = self.since + REQUEST_READ_TIMEOUT.total_seconds()
        self.url = b""
        self.head_bytes = 0
        self.body = bytearray()
        self.refusal = None

    def on_url(self, url: bytes) -> None:
        """Collect a part of the URL."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count a header, whose content does not matter."""
        self._count_head(len(name) + len(value))

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body."""
        if self.refusal is None and len(self.body) + len(body) > MAX_BODY_BYTES:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.refusal is None:
            self.body += body

    def on_message_complete(self) -> None:
        """Serve a complete request."""
        if self.refusal is not None:
            return
        if self.task is not None:
            self._refuse(HTTPStatus.BAD_REQUEST)  # pipelining is not supported
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            bytes(self.body),
        )
        if request.path != HEARTBEAT_PATH:
            self.role = Role.USER if self.role is Role.NEW else self.role
        elif not self.table.admit_worker(self):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.deadline = float("inf")
        self.task = asyncio.get_running_loop().create_task(
            self._answer(request, self.parser.should_keep_alive())
        )

    async def _answer(self, request: Request, keep_alive: bool) -> None:
        try:
            response = await self.handler(request)
        except Exception:  # a bad request must not end the process, whatever it was
            log.exception("%s %s failed", request.method, request.path)
            response = Response(HTTPStatus.INTERNAL_SERVER_ERROR)
        self.task = None
        if self.transport is None:
            return
        keep_alive = keep_alive and not self.upgrade_requested and not response.close
        self.transport.write(encode_response(response, keep_alive))
        if keep_alive:
            self._become_idle()
        else:
            self.transport.close()

    def _count_head(self, size: int) -> None:
        self.head_bytes += size
        if self.head_bytes > MAX_HEAD_BYTES:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        if self.refusal is None and self.transport is not None:
            self.refusal = Response(status)
            self.transport.write(encode_response(self.refusal, keep_alive=False))
            self.transport.close()

    def _become_idle(self) -> None:
        self.idle = True
        self.since = asyncio.get_running_loop().time()
        self.deadline = self.since + IDLE_TIMEOUTS[self.role].total_seconds()

    def expire(self) -> None:
        """End the connection, since its deadline has passed: an incomplete request is refused, an
        idle connection is dropped."""
        if self.idle:
            self.abort()
        else:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def abort(self) -> None:
        """Drop the connection at once, and remove it from the table."""
        self.table.remove(self)
        if self.transport is not None:
            self.transport.abort()
