"""Token buckets that keep this controller within its share of the store's rates.

Requests go out in the order of their priority: each leaves a reserve that only higher priorities
may use, so polls can starve neither submissions nor the renewal of the leader's lease.
"""

from datetime import timedelta
from enum import IntEnum

from dappledrum.timing.clock import ZERO


class RequestPriority(IntEnum):
    """Priority of a request; lower values go first."""

    LEASE = 0  # the leader's lease, and elections
    SUBMISSION = 1  # submissions and cancellations of users, with the reads that they need
    RECORD = 2  # the leader's records of jobs and machines
    POLL = 3  # users' questions, and whatever can wait


#: Part of the bucket that requests of a priority leave to higher priorities.
RESERVED_SHARE = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.SUBMISSION: 0.08,
    RequestPriority.RECORD: 0.16,
    RequestPriority.POLL: 0.3,
}
ROUNDING_TOLERANCE = 1e-6  # tokens


class RateLimiter:
    """One token bucket, whose capacity is a second's worth of tokens, or that of some seconds."""

    def __init__(self, rate: float, now: timedelta) -> None:
        self.rate = rate  # tokens a second
        self.size = max(rate, 1.0)
        self.level = self.size
        self._filled_at = now

    def _refill(self, now: timedelta) -> None:
        if now > self._filled_at:
            added = (now - self._filled_at).total_seconds() * self.rate
            self.level = min(self.size, self.level + added)
        self._filled_at = now

    def resize(self, rate: float, now: timedelta, burst: float = 1.0) -> None:
        """Change the rate, and the seconds' worth of it that the bucket contains when full."""
        self._refill(now)
        self.rate = rate
        self.size = max(rate * burst, 1.0)
        self.level = min(self.level, self.size)

    def delay(self, amount: float, priority: RequestPriority, now: timedelta) -> timedelta:
        """How long until this many tokens may be consumed; zero means now."""
        self._refill(now)
        if priority is RequestPriority.LEASE:
            return ZERO  # a lease renewal goes out even when the bucket is empty
        required = min(amount, self.size) + RESERVED_SHARE[priority] * self.size
        missing = required - self.level
        return timedelta(seconds=missing / self.rate) if missing > ROUNDING_TOLERANCE else ZERO

    def consume(self, amount: float, now: timedelta) -> None:
        """Consume tokens; the level may become negative."""
        self._refill(now)
        self.level -= amount
