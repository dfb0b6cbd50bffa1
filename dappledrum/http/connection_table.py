"""The open connections of a server; keeps their number within its limits."""

import asyncio
import logging
from collections import Counter
from collections.abc import Iterator
from typing import Protocol

from dappledrum.http.connection_limits import (
    ConnectionInfo,
    Role,
    idle_connection_to_drop,
    idle_worker_to_drop,
    max_worker_connections,
)

log = logging.getLogger(__name__)

USAGE_WARNING_SHARE = 0.9  # share of max_connections in use from which the usage is logged
USAGE_WARNING_STEPS = 8  # it is logged again after each further 1/8 of max_connections


class TrackedConnection(ConnectionInfo, Protocol):
    """A connection that the table can close."""

    deadline: float  # event loop time

    def expire(self) -> None:
        """Close the connection, since its deadline has passed."""
        ...

    def abort(self) -> None:
        """Drop the connection at once and remove it from the table."""
        ...


class ConnectionTable:
    """Admits connections, and drops others for them as `connection_limits` decides."""

    def __init__(self, max_connections: int) -> None:
        self.max_connections = max_connections
        self.worker_count = 0
        self._connections: dict[TrackedConnection, None] = {}
        self._logged_count = 0  # connections in use when the usage was last logged

    def __len__(self) -> int:
        return len(self._connections)

    def __iter__(self) -> Iterator[TrackedConnection]:
        return iter(self._connections)

    def admit(self, connection: TrackedConnection) -> bool:
        """Add a new connection; if the limit is reached, an idle one is dropped for it. Returns
        False if there is none to drop."""
        if len(self._connections) >= self.max_connections:
            now = asyncio.get_running_loop().time()
            dropped = idle_connection_to_drop(self._connections, now)
            if dropped is None:
                return False
            dropped.abort()
        self._connections[connection] = None
        return True

    def admit_worker(self, connection: TrackedConnection) -> bool:
        """Mark a connection as a worker's; if workers then use too many, an idle worker's is
        dropped for it. Returns False if there is none to drop."""
        if connection.role is Role.WORKER:
            return True
        connection.role = Role.WORKER
        self.worker_count += 1
        if self.worker_count <= max_worker_connections(self.max_connections):
            return True
        dropped = idle_worker_to_drop(self._connections)
        if dropped is None:
            return False
        dropped.abort()
        return True

    def remove(self, connection: TrackedConnection) -> None:
        """Remove a closed connection; no effect if it has been removed before."""
        present = connection in self._connections
        self._connections.pop(connection, None)
        self.worker_count -= present and connection.role is Role.WORKER

    def expire_overdue(self) -> None:
        """Close the connections whose deadlines have passed."""
        now = asyncio.get_running_loop().time()
        for connection in [c for c in self._connections if c.deadline < now]:
            connection.expire()

    def abort_all(self) -> None:
        """Drop every connection."""
        for connection in list(self._connections):
            connection.abort()

    def log_usage(self) -> None:
        """Log the usage of connections by role when they become scarce, and again after each
        further eighth."""
        count = len(self._connections)
        warning_count = self.max_connections * USAGE_WARNING_SHARE
        if count < warning_count / 2:
            self._logged_count = 0
        step = max(1, self.max_connections // USAGE_WARNING_STEPS)
        if count < max(warning_count, self._logged_count + step):
            return
        self._logged_count = count
        usage = Counter((connection.role, connection.idle) for connection in self._connections)
        log.warning(
            "%d of %d connections in use: %s",
            count,
            self.max_connections,
            ", ".join(
                f"{role.name.lower()} active={usage[role, False]} idle={usage[role, True]}"
                for role in Role
            ),
        )
