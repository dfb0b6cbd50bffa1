"""The two clocks of a controller, as the standard library's time types.

The steady clock counts from an arbitrary start and is what leases and waits are measured with; the
time of day is only good for what must outlive a process (acceptance times, and how long a task has
been running).
"""

import asyncio
from datetime import UTC, datetime, timedelta

ZERO = timedelta(0)

#: The steady clocks of two machines drift apart by at most 0.05 %; twice that is allowed for
#: everywhere.
DRIFT = 0.001


class Clock:
    """Steady time of the running event loop, and the time of day."""

    def now(self) -> timedelta:
        """Steady time; only differences mean anything."""
        return timedelta(seconds=asyncio.get_running_loop().time())

    def today(self) -> datetime:
        """Aware time of day."""
        return datetime.now(UTC)


def seconds(value: float) -> timedelta:
    """A wire amount of seconds as a duration."""
    return timedelta(seconds=value)


def longer(span: timedelta) -> timedelta:
    """The most that this span on another machine's clock can be on ours."""
    return span * (1 + DRIFT)


def shorter(span: timedelta) -> timedelta:
    """The least that this span on another machine's clock can be on ours."""
    return span * (1 - DRIFT)
