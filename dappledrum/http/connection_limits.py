"""Decides which connection is dropped when the limit of open connections is reached.

Users, health checks and workers share one address. Workers are by far the most numerous: hundreds
of them connect at once when another controller has ended, and the protocol makes them reconnect by
themselves. So a share of the connections is reserved that workers may not use. When the limit is
reached, an idle connection is dropped, in this order and in each group the one that has been idle
for longest: those that have sent no request for NEW_CONNECTION_GRACE since they were opened,
workers, newer ones without a request, all others. A connection with a request in progress is never
dropped for another.

This module does no I/O; `ConnectionTable` drops the connections that it chooses.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum
from typing import Protocol, TypeVar

#: A connection that has sent no request for this long since it was opened is dropped before idle
#: workers.
NEW_CONNECTION_GRACE = timedelta(seconds=2)
RESERVED_DIVISOR = 8  # 1/8 of the connections is reserved for others than workers
MIN_RESERVED = 2  # connections


class Role(IntEnum):
    """Use of a connection; those with a lower value are dropped first."""

    NEW = 0  # without any request so far
    WORKER = 1
    USER = 2  # users and health checks


class ConnectionInfo(Protocol):
    """Properties of a connection that decide the order."""

    role: Role
    idle: bool
    since: float  # event loop time when it became idle, or its request began


C = TypeVar("C", bound=ConnectionInfo)


def max_worker_connections(max_connections: int) -> int:
    """Number of the connections that workers may use."""
    return max(1, max_connections - max(max_connections // RESERVED_DIVISOR, MIN_RESERVED))


def idle_connection_to_drop(connections: Iterable[C], now: float) -> C | None:
    """Choose a connection to drop for a new one; None if all have a request in progress."""
    grace = NEW_CONNECTION_GRACE.total_seconds()

    def drop_order(connection: C) -> tuple[float, float]:
        recent = connection.role is Role.NEW and now - connection.since < grace
        return (Role.WORKER + 0.5 if recent else connection.role, connection.since)

    idle = (connection for connection in connections if connection.idle)
    return min(idle, key=drop_order, default=None)


def idle_worker_to_drop(connections: Iterable[C]) -> C | None:
    """Choose a worker's connection to drop for another worker's; None if none is idle."""
    idle_workers = (
        connection
        for connection in connections
        if connection.idle and connection.role is Role.WORKER
    )
    return min(idle_workers, key=lambda connection: connection.since, default=None)
