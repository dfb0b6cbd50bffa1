"""The steady clock and the time of day of a controller, as the standard library's time types.

The steady clock starts at an arbitrary point; leases and waits are measured with it. The time of
day is used only for what must remain meaningful after a restart (times of acceptance, and how long
a task has been running).
"""

import asyncio
from datetime import UTC, datetime, timedelta

ZERO = timedelta(0)

#: Relative; the steady clocks of two machines drift apart by at most 0.05 %, and twice that is
#: allowed for everywhere.
MAX_CLOCK_DRIFT = 0.001


class Clock:
    """Steady time of the running event loop, and the time of day."""

    def now(self) -> timedelta:
        """Steady time; only differences are meaningful."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def utc_now(self) -> datetime:
        """Time of day, in UTC."""
        return datetime.now(UTC)


def seconds(value: float) -> timedelta:
    """A number of seconds from a message as a duration."""
    return timedelta(seconds=value)


def longest_local_span(remote_span: timedelta) -> timedelta:
    """The longest that a span on another machine's clock can be on this one's."""
    return remote_span * (1 + MAX_CLOCK_DRIFT)


def shortest_local_span(remote_span: timedelta) -> timedelta:
    """The shortest that a span on another machine's clock can be on this one's."""
    return remote_span * (1 - MAX_CLOCK_DRIFT)
