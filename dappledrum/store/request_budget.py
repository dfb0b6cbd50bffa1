"""Decides when a request may be sent: rate limits and back-off."""

import random
from datetime import timedelta
from http import HTTPStatus

from dappledrum.settings import StoreLimits
from dappledrum.store.rate_limiter import RateLimiter, RequestPriority
from dappledrum.timing.clock import ZERO, Clock

INITIAL_SHARE = 0.2  # of the store's rate limits, until the number of controllers is known
#: Changes that may be sent at once, since users submit all jobs of a workflow together.
MIN_WRITE_BURST = 8.0
MIN_BACKOFF = {
    HTTPStatus.TOO_MANY_REQUESTS: timedelta(seconds=0.1),
    HTTPStatus.SERVICE_UNAVAILABLE: timedelta(seconds=0.2),
}
MAX_BACKOFF = timedelta(seconds=1)


class RequestBudget:
    """Rate limiters for requests and for changes, and the back-off after refusals."""

    def __init__(self, limits: StoreLimits, clock: Clock, rng: random.Random) -> None:
        self.limits = limits
        self.clock = clock
        self.rng = rng
        self.request_limiter = RateLimiter(limits.rps * INITIAL_SHARE, clock.now())
        self.write_limiter = RateLimiter(limits.write_rps * INITIAL_SHARE, clock.now())
        self._blocked_until = ZERO
        self._backoff = ZERO

    def set_rate_share(self, share: float, burst: float = 1.0) -> None:
        """Change the share of the store's rate limits that this controller may use; `burst` is how
        many seconds' worth of it may be sent at once."""
        now = self.clock.now()
        self.request_limiter.resize(self.limits.rps * share, now, burst)
        rate = self.limits.write_rps * share
        write_burst = max(burst, min(MIN_WRITE_BURST, self.limits.write_rps / 2) / rate)
        self.write_limiter.resize(rate, now, write_burst)

    def queueing_delay(self, priority: RequestPriority, writes: int = 0) -> timedelta:
        """Time that a request with this many changes has to wait; zero if it may be sent now."""
        now = self.clock.now()
        delay = self.request_limiter.delay(1, priority, now)
        if writes:
            delay = max(delay, self.write_limiter.delay(writes, priority, now))
        if priority is not RequestPriority.LEASE:
            delay = max(delay, self._blocked_until - now)
        return delay

    def consume(self, writes: int = 0) -> None:
        """Charge the rate limiters for a request with this many changes."""
        now = self.clock.now()
        self.request_limiter.consume(1, now)
        if writes:
            self.write_limiter.consume(writes, now)

    def back_off(self, status: HTTPStatus) -> None:
        """Block requests other than lease requests, with exponential back-off and jitter, after a
        response with this status (429 or 503)."""
        self._backoff = min(max(self._backoff * 2, MIN_BACKOFF[status]), MAX_BACKOFF)
        self._blocked_until = self.clock.now() + self._backoff * self.rng.uniform(0.5, 1.0)

    def reset_backoff(self) -> None:
        """Reset the back-off to its minimum, after a request was served."""
        self._backoff = ZERO
