"""HTTP server: listens on one address, with a limit of connections."""

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

MAX_ACCEPT_QUEUE = 256  # connections that the system keeps until they are accepted, by default
#: Connections accepted at a time, before data and ends of others are processed: a process that was
#: paused once accepted hundreds at once on top of those that had ended, and had no socket left.
ACCEPT_BATCH = 16
ADDRESS_RETRY_PAUSE = timedelta(milliseconds=50)  # until an address in use is tried again
MAX_ADDRESS_WAIT = timedelta(seconds=10)
SWEEP_INTERVAL = timedelta(seconds=1)  # of the check for connections whose deadline has passed


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
        """Begin to serve, on any free port if it is 0; returns the port.

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
            await asyncio.sleep(SWEEP_INTERVAL.total_seconds())
            self.connections.expire_overdue()
            self.connections.log_usage()
