"""HTTP server for one address, with a limit on connections."""

import asyncio
import errno
import logging
import socket
from datetime import timedelta

from dappledrum.http.connection import Connection
from dappledrum.http.connection_table import ConnectionTable
from dappledrum.http.messages import Handler
from dappledrum.timing.clock import ZERO

log = logging.getLogger(__name__)

MAX_ACCEPT_QUEUE = 256  # default limit of the connections that the kernel queues
#: Connections accepted in a row before the data and the closing of others are processed. Without
#: this limit, a process that resumed after a pause accepted hundreds of connections before it
#: noticed that earlier ones had been closed, and ran out of sockets.
ACCEPT_BATCH = 16
ADDRESS_RETRY_INTERVAL = timedelta(milliseconds=50)  # while the address is in use
MAX_ADDRESS_WAIT = timedelta(seconds=10)
SWEEP_INTERVAL = timedelta(seconds=1)  # between checks of the connections' deadlines


class Server:
    """Listens on one address and passes complete requests to a handler."""

    def __init__(
        self, handler: Handler, max_connections: int, accept_queue: int = MAX_ACCEPT_QUEUE
    ) -> None:
        self.handler = handler
        self.accept_queue = accept_queue  # connections that may wait to be accepted
        self.connections = ConnectionTable(max_connections)
        self._listening: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._sweeper: asyncio.Task[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Start to serve and return the port; with port 0, any free one is used.

        Raises OSError if the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        await self.bind(host, port)
        listening = self._listening
        assert listening is not None
        listening.setblocking(False)
        self._server = await loop.create_server(
            lambda: Connection(self.handler, self.connections),
            sock=listening,
            backlog=ACCEPT_BATCH,
        )
        # `backlog` sets both the accept batch and the kernel's queue, so the latter is set again.
        listening.listen(self.accept_queue)
        self._sweeper = loop.create_task(self._sweep())
        return int(self._server.sockets[0].getsockname()[1])

    async def bind(self, host: str, port: int) -> None:
        """Bind the address without serving yet; no effect if it is already bound.

        While the address is in use, retries for up to MAX_ADDRESS_WAIT: when a controller is
        restarted at once, its previous process may not have ended yet. Raises OSError.
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
                    log.warning("address %s:%d is in use, waiting until it is free", host, port)
            await asyncio.sleep(ADDRESS_RETRY_INTERVAL.total_seconds())
            waited += ADDRESS_RETRY_INTERVAL

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
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            self.connections.expire_overdue()
            self.connections.log_usage()
