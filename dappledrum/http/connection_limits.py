"""Decides which connections are dropped when the limit of open connections is reached.

Users, health checks and workers share one address. Workers are by far the most; hundreds of them
connect at once when another controller has ended, and the protocol makes them reconnect by
themselves. So workers, and connections without any request so far, may use all but a reserved
share of the connections. When the limit is reached, the first to be dropped is a connection that
has sent no request for a while, then the worker that has been idle for longest, then a new
connection, then any other that has been idle for longest. A connection with a request in progress
is never dropped for another.

This module does no I/O: `ConnectionTable` asks it, and drops what it chooses.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum
from typing import Protocol, TypeVar

#: A connection that has sent no request for so long since it was made goes before idle workers.
NEW_CONNECTION_GRACE = timedelta(seconds=2)
RESERVED_SHARE = 8  # a share of 1/8 is kept from workers
MIN_RESERVED = 2  # connections


class Role(IntEnum):
    """What a connection was used for; lower values are dropped first."""

    NEW = 0
    WORKER = 1
    USER = 2


class ConnectionInfo(Protocol):
    """What the choice rests on."""

    role: Role
    idle: bool
    since: float  # event loop's time: when it became idle, or its request began


C = TypeVar("C", bound=ConnectionInfo)


def max_worker_connections(max_connections: int) -> int:
    """How many of these connections workers may use."""
    return max(1, max_connections - max(max_connections // RESERVED_SHARE, MIN_RESERVED))


def idle_connection_to_drop(connections: Iterable[C], now: float) -> C | None:
    """The connection to drop for a new one; None: all have a request in progress."""
    grace = NEW_CONNECTION_GRACE.total_seconds()

    def drop_order(connection: C) -> tuple[float, float]:
        recent = connection.role is Role.NEW and now - connection.since < grace
        return (Role.WORKER + 0.5 if recent else connection.role, connection.since)

    idle = (connection for connection in connections if connection.idle)
    return min(idle, key=drop_order, default=None)


def idle_worker_to_drop(connections: Iterable[C]) -> C | None:
    """The worker's connection to drop for another worker; None: all have a request in progress."""
    idle_workers = (
        connection
        for connection in connections
        if connection.idle and connection.role is Role.WORKER
    )
    return min(idle_workers, key=lambda connection: connection.since, default=None)
