"""Token buckets that keep this controller within its share of the store's rate limits.

Each priority leaves a reserve in the bucket that only higher priorities may use, so polls can
starve neither submissions nor the renewal of the leader's lease.
"""

from datetime import timedelta
from enum import IntEnum

from dappledrum.timing.clock import ZERO


class RequestPriority(IntEnum):
    """Priority of a request; lower values go first."""

    LEASE = 0  # renewal of the leader's lease, and elections
    SUBMISSION = 1  # users' submissions and cancellations, and the reads for them
    RECORD = 2  # the leader's records of jobs and machines
    POLL = 3  # status queries of users, and background work


#: Share of the bucket that requests of a priority leave to higher priorities.
RESERVED_SHARE = {
    RequestPriority.LEASE: 0.0,
    RequestPriority.SUBMISSION: 0.08,
    RequestPriority.RECORD: 0.16,
    RequestPriority.POLL: 0.3,
}
ROUNDING_TOLERANCE = 1e-6  # tokens


class RateLimiter:
    """Token bucket; its capacity is the rate times the burst, which is 1 s by default."""

    def __init__(self, rate: float, now: timedelta) -> None:
        self.rate = rate  # tokens per second
        self.size = max(rate, 1.0)
        self.level = self.size
        self._filled_at = now

    def _refill(self, now: timedelta) -> None:
        if now > self._filled_at:
            added = (now - self._filled_at).total_seconds() * self.rate
            self.level = min(self.size, self.level + added)
        self._filled_at = now

    def resize(self, rate: float, now: timedelta, burst: float = 1.0) -> None:
        """Change the rate (tokens per second) and the capacity: `burst` seconds at this rate."""
        self._refill(now)
        self.rate = rate
        self.size = max(rate * burst, 1.0)
        self.level = min(self.level, self.size)

    def delay(self, amount: float, priority: RequestPriority, now: timedelta) -> timedelta:
        """Time until this many tokens may be consumed; zero if they may be now."""
        self._refill(now)
        if priority is RequestPriority.LEASE:
            return ZERO  # lease renewals are sent even when the bucket is empty
        required = min(amount, self.size) + RESERVED_SHARE[priority] * self.size
        missing = required - self.level
        return timedelta(seconds=missing / self.rate) if missing > ROUNDING_TOLERANCE else ZERO

    def consume(self, amount: float, now: timedelta) -> None:
        """Consume tokens; the level may become negative."""
        self._refill(now)
        self.level -= amount
