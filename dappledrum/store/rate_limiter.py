"""Token buckets that keep this controller within its share of the store's rates.

Requests are taken in the order of their importance: each kind leaves a reserve that only more
important kinds may use, so polls can starve neither intake nor the renewal of the leader's lease.
"""

from datetime import timedelta
from enum import IntEnum

from dappledrum.timing.clock import ZERO


class RequestPriority(IntEnum):
    """Importance of a request; the lower, the more important."""

    LEASE = 0
    SUBMISSION = 1
    RECORD = 2
    POLL = 3


#: Part of the bucket that each rank must leave to the more important ones.
RESERVE = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.SUBMISSION: 0.08,
    RequestPriority.RECORD: 0.16,
    RequestPriority.POLL: 0.3,
}


class RateLimiter:
    """One bucket that holds a second's worth, or a burst of some seconds."""

    def __init__(self, rate: float, now: timedelta) -> None:
        self.rate = rate
        self.size = max(rate, 1.0)
        self.level = self.size
        self.at = now

    def _fill(self, now: timedelta) -> None:
        if now > self.at:
            self.level = min(self.size, self.level + (now - self.at).total_seconds() * self.rate)
        self.at = now

    def resize(self, rate: float, now: timedelta, burst: float = 1.0) -> None:
        """Change the share, as when leadership comes or goes."""
        self._fill(now)
        self.rate = rate
        self.size = max(rate * burst, 1.0)
        self.level = min(self.level, self.size)

    def wait(self, amount: float, priority: RequestPriority, now: timedelta) -> timedelta:
        """How long until this amount may be taken; zero means now."""
        self._fill(now)
        missing = min(amount, self.size) + RESERVE[priority] * self.size - self.level
        if priority is RequestPriority.LEASE:
            return ZERO  # a lease renewal goes out even when the bucket is empty
        return timedelta(seconds=missing / self.rate) if missing > 1e-6 else ZERO

    def take(self, amount: float, now: timedelta) -> None:
        """Take an amount; the level may become negative."""
        self._fill(now)
        self.level -= amount
