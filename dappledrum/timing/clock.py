"""A controller's monotonic clock and its wall clock, as `timedelta` and `datetime`.

The monotonic clock starts at an arbitrary point; leases and waits are measured with it. The wall
clock is used only for what must remain meaningful after a restart: when a job was accepted, and
how long a task has been running.
"""

import asyncio
from datetime import UTC, datetime, timedelta

ZERO = timedelta(0)

#: Relative drift of the monotonic clocks of two machines: at most 0.05 %, doubled for safety.
MAX_CLOCK_DRIFT = 0.001


class Clock:
    """Monotonic time of the running event loop, and wall-clock time."""

    def now(self) -> timedelta:
        """Monotonic time; only differences are meaningful."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def utc_now(self) -> datetime:
        """Wall-clock time in UTC."""
        return datetime.now(UTC)


def seconds(value: float) -> timedelta:
    """Convert a number of seconds from a message to a duration."""
    return timedelta(seconds=value)


def longest_local_span(remote_span: timedelta) -> timedelta:
    """Upper bound, on this machine's clock, of a span measured on another machine's."""
    return remote_span * (1 + MAX_CLOCK_DRIFT)


def shortest_local_span(remote_span: timedelta) -> timedelta:
    """Lower bound, on this machine's clock, of a span measured on another machine's."""
    return remote_span * (1 - MAX_CLOCK_DRIFT)
