"""Who gets one of the few connections, and who has to go.

A controller serves users, health checks and workers on one address. Workers are by far the most,
and hundreds of them come at once when another controller has ended; they come again by themselves,
as the protocol makes them. So they, and whoever has not asked for anything yet, may take all but
a share of the connections; and when room is needed, the first to go is who has asked for nothing
for a while, then the worker that has been idle for longest, then who has only just come, then
anybody idle for longest. A connection with a request on it is never dropped for room.

No sockets here: the server asks, and acts on the answers.
"""

from collections.abc import Iterable
from datetime import timedelta
from enum import IntEnum
from typing import Protocol

SILENT = timedelta(seconds=2)  # a connection that asks for nothing for so long may be shed
SPARED = 8  # a share of 1/8 is kept from workers


class Role(IntEnum):
    """What a connection has asked for; the lower, the sooner it is shed."""

    NEW = 0
    WORKER = 1
    USER = 2


class Seat(Protocol):
    """What is known of a connection."""

    role: Role
    idle: bool
    since: float  # event loop's time: when it became idle, or its request began


def most_workers(most: int) -> int:
    """How many connections workers may hold."""
    return max(1, most - max(most // SPARED, 2))


def to_shed(seats: Iterable[Seat], now: float) -> Seat | None:
    """The connection to drop when room is needed; None: all have something on them."""

    def order(seat: Seat) -> tuple[float, float]:
        young = seat.role is Role.NEW and now - seat.since < SILENT.total_seconds()
        return (Role.WORKER + 0.5 if young else seat.role, seat.since)

    return min((seat for seat in seats if seat.idle), key=order, default=None)


def to_shed_for_worker(seats: Iterable[Seat]) -> Seat | None:
    """The worker's connection to drop for another worker's."""
    idle = [seat for seat in seats if seat.idle and seat.role is Role.WORKER]
    return min(idle, key=lambda seat: seat.since, default=None)
