"""HTTP server: listens on one address, with a limit of connections."""

import asyncio
import errno
import logging
import socket
from datetime import timedelta

import httptools

from dappledrum.http.connection_limits import (
    Role,
    idle_connection_to_drop,
    idle_worker_to_drop,
    max_worker_connections,
)

log = logging.getLogger(__name__)

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024
REQUEST_READ_TIMEOUT = timedelta(seconds=10)
#: How long a connection may do nothing: one that has asked for nothing yet, a worker's (it reports
#: every few seconds, or is gone), and any other.
IDLE_TIMEOUTS = {
    Role.NEW: timedelta(seconds=10),
    Role.WORKER: timedelta(seconds=30),
    Role.USER: timedelta(seconds=120),
}
MAX_ACCEPT_QUEUE = (
    256  # connections that the system holds until they are accepted, unless said otherwise
)
#: Accepted at a time, between two looks at what has arrived and ended: a process that had stood
#: still once took hundreds at once on top of those that were over, unread, and had no socket left.
ACCEPT_BATCH = 16
HEARTBEAT_PATH = "/hello"
ADDRESS_RETRY_PAUSE = timedelta(milliseconds=50)  # until an address in use is tried again
MAX_ADDRESS_WAIT = timedelta(seconds=10)
SWEEP_INTERVAL = timedelta(seconds=1)  # of the check for connections whose deadline has passed


class Server:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self, handler: Handler, max_connections: int, waiting: int = MAX_ACCEPT_QUEUE
    ) -> None:
        self.handler = handler
        self.accept_queue = accept_queue  # connections that may wait to be accepted
        self.connections = ConnectionTable(max_connections)
        self._listening: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Begin to serve, on any free port if it is 0; returns the port.

        Raises OSError if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        await self.bind(host, port)
        listening = self._listening
        assert listening is not None
        listening.setblocking(False)
        self._server = await loop.create_server(
            lambda: Connection(self), sock=listening, backlog=ACCEPT_BATCH
        )
        # asyncio has one argument for both, so the queue's length is set again.
        listening.listen(self.accept_queue)
        self._sweeper = loop.create_task(self._sweep())
        return int(self._server.sockets[0].getsockname()[1])

    async def bind(self, host: str, port: int) -> None:
        """Bind the address, if that has not been done, without serving yet.

        Waits for a former process that still has it: one that is restarted at once may find that
        its predecessor has not ended yet, and must not fail because of that. Raises OSError.
        """
        waited = ZERO
        while self._listening is None:
            try:
                self._listening = socket.create_server((host, port), backlog=self.accept_queue)
                return
            except OSError as error:
                if error.errno != errno.EADDRINUSE or waited >= MAX_ADDRESS_WAIT:
                    raise
                if not waited:
                    log.warning("%s:%d is still in use, waiting for it", host, port)
            await asyncio.sleep(ADDRESS_RETRY_PAUSE.total_seconds())
            waited += ADDRESS_RETRY_PAUSE

    async def stop(self) -> None:
        """Stop listening and drop every connection."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        if self._server is not None:
            self._server.close()
        elif self._listening is not None:
            self._listening.close()
        self.connections.abort_all()

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(1)
            now = asyncio.get_running_loop().time()
            for connection in [c for c in self.connections if c.deadline < now]:
                connection.expire()
            self._log_usage()

    def _log_usage(self) -> None:
        """Log who uses the connections when they become scarce, and again with each further
        eighth."""
        count = len(self.connections)
        if count < self.max_connections * WARN_SHARE / 2:
            self.announced = 0
        if count < max(
            self.max_connections * WARN_SHARE, self.announced + max(1, self.max_connections // 8)
        ):
            return
        self.announced = count
        held = Counter((connection.role, connection.idle) for connection in self.connections)
        log.warning(
            "%d of %d connections taken: %s",
            count,
            self.max_connections,
            ", ".join(
                f"{held[role, False]} asking and {held[role, True]} idle of {role.name.lower()}"
                for role in Role
            ),
        )

    def admit(self, connection: "Connection") -> bool:
        """Accept a new connection. When the limit is reached another one is dropped, or this one
        is refused."""
        if len(self.connections) >= self.max_connections:
            shed = idle_connection_to_drop(self.connections, asyncio.get_running_loop().time())
            if shed is None:
                return False
            assert isinstance(shed, Connection)
            shed.abort()
        self.connections[connection] = None
        return True

    def admit_worker(self, connection: "Connection") -> bool:
        """Note that a connection is a worker's; workers may use only a part of all."""
        if connection.role is Role.WORKER:
            return True
        connection.role = Role.WORKER
        self.workers += 1
        if self.workers <= max_worker_connections(self.max_connections):
            return True
        shed = idle_worker_to_drop(self.connections)
        if shed is None:
            return False
        assert isinstance(shed, Connection)
        shed.abort()
        return True

    def leave(self, connection: "Connection") -> None:
        """Forget a connection that is closed."""
        known = connection in self.connections
        self.connections.pop(connection, None)
        self.workers -= known and connection.role is Role.WORKER


class Connection(asyncio.Protocol):
    """One client connection; requests are served one after the other."""

    def __init__(self, server: Server) -> None:
        self.server = server
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpRequestParser(self)
        self.role = Role.NEW
        self.idle = True
        self.since = 0.0
        self.deadline = 0.0
        self.url = b""
        self.head = 0
        self.body = bytearray()
        self.refusal: Response | None = None
        self.upgrade = False
        self.task: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self._rest()
        if not self.server.admit(self):
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.leave(self)
        self.transport = None

    def data_received(self, data: bytes) -> None:
        if self.task is not None:
            self.head += len(data)
            if self.head > MAX_HEAD_BYTES + MAX_BODY_BYTES:
                self.abort()
                return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.upgrade = True  # the request is served as it is, and the connection ends with it
        except httptools.HttpParserError:
            self._refuse(HTTPStatus.BAD_REQUEST)

    def on_message_begin(self) -> None:
        self.idle = False
        self.since = asyncio.get_running_loop().time()
        self.deadline = self.since + REQUEST_READ_TIMEOUT.total_seconds()
        self.url = b""
        self.head = 0
        self.body = bytearray()
        self.refusal = None

    def on_url(self, url: bytes) -> None:
        self.url += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))

    def on_body(self, body: bytes) -> None:
        if self.refusal is None and len(self.body) + len(body) > MAX_BODY_BYTES:
            self._refuse(HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        elif self.refusal is None:
            self.body += body

    def on_message_complete(self) -> None:
        if self.refusal is not None:
            return
        if self.task is not None:
            self._refuse(HTTPStatus.BAD_REQUEST)  # pipelining is not spoken here
            return
        request = Request(
            self.parser.get_method().decode("latin-1"),
            self.url.decode("latin-1"),
            bytes(self.body),
        )
        if request.path != HEARTBEAT_PATH:
            self.role = Role.USER if self.role is Role.NEW else self.role
        elif not self.server.admit_worker(self):
            self._refuse(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.deadline = float("inf")
        self.task = asyncio.get_running_loop().create_task(
            self._answer(request, self.parser.should_keep_alive())
        )

    async def _answer(self, request: Request, keep: bool) -> None:
        try:
            response = await self.server.handler(request)
        except Exception:  # a bad request must not end the process, whatever it was
            log.exception("%s %s failed", request.method, request.path)
            response = Response(HTTPStatus.INTERNAL_SERVER_ERROR)
        self.task = None
        if self.transport is None:
            return
        keep = keep and not self.upgrade and not response.close
        self.transport.write(encode(response, keep))
        if keep:
            self._rest()
        else:
            self.transport.close()

    def _count(self, size: int) -> None:
        self.head += size
        if self.head > MAX_HEAD_BYTES:
            self._refuse(HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _refuse(self, status: int) -> None:
        if self.refusal is None and self.transport is not None:
            self.refusal = Response(status)
            self.transport.write(encode(self.refusal, keep=False))
            self.transport.close()

    def _rest(self) -> None:
        self.idle = True
        self.since = asyncio.get_running_loop().time()
        self.deadline = self.since + IDLE_TIMEOUTS[self.role].total_seconds()

    def expire(self) -> None:
        """Act on a deadline: an incomplete request is refused, an idle connection is closed."""
        if self.idle:
            self.abort()
        else:
            self._refuse(HTTPStatus.REQUEST_TIMEOUT)

    def abort(self) -> None:
        """Drop the connection at once."""
        self.server.leave(self)
        if self.transport is not None:
            self.transport.abort()
