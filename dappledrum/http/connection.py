"""One connection of the server, as an asyncio protocol.

Bounds what a faulty client can use: the size of head and body, the time to send a request, and the
time without one. A failure on one connection never affects another.
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
#: How long a connection may be idle. A worker sends a heartbeat every few seconds, so one that is
#: silent for longer has ended.
IDLE_TIMEOUTS = {
    Role.NEW: timedelta(seconds=10),
    Role.WORKER: timedelta(seconds=30),
    Role.USER: timedelta(seconds=120),
}
HEARTBEAT_PATH = "/hello"  # only workers use it


class Connection(asyncio.Protocol):
    """Connection of one client; its requests are served one at a time."""

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
        """Register the connection, or drop it if there are too many."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._become_idle()
        if not self.table.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        """Remove the connection from the table."""
        self.table.remove(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        """Parse received data, whose size is bounded also while a request is being served."""
        if self.task is not None:
            self.head_bytes += len(data)
            if self.head_bytes > MAX_HEAD_BYTES + MAX_BODY_BYTES:
                self.abort()
                return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is served without an upgrade, then the connection is closed.
            self.upgrade_requested = True
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        """Reset the state for a new request, and start its timeout."""
        self.idle = False
        self.since = asyncio.get_running_loop().time()
        self.deadline = self.since + REQUEST_READ_TIMEOUT.total_seconds()
        self.url = b""
        self.head_bytes = 0
        self.body = bytearray()
        self.refusal = None

    def on_url(self, url: bytes) -> None:
        """Append a part of the URL."""
        self.url += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Count the size of a header; its content is not used."""
        self._count_head(len(name) + len(value))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if self.refusal is None and len(self.body) + len(body) > MAX_BODY_BYTES:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.refusal is None:
            self.body += body

    def on_message_complete(self) -> None:
        """Start to serve a complete request."""
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
        except Exception:  # a fault in one handler must not end the process
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
        """Close the connection, since its deadline has passed: drop it if it is idle, else refuse
        the incomplete request with 408."""
        if self.idle:
            self.abort()
        else:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def abort(self) -> None:
        """Drop the connection at once and remove it from the table."""
        self.table.remove(self)
        if self.transport is not None:
            self.transport.abort()
