"""Health of one link of this controller, measured by its traffic."""

from datetime import timedelta

from dappledrum.timing.clock import ZERO, Clock

SMOOTHING_FACTOR = 0.2  # weight of the newest response time in the moving average


class LinkHealth:
    """Estimates how long a request over one link would take now.

    There is no state "up" or "down": the estimate is the usual response time or, if it is longer,
    the time for which the oldest request has been waiting for a response.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.smoothed_delay = ZERO
        self.response_at: timedelta | None = None
        #: When the oldest request was sent (or refused) that no response has followed.
        self.waiting_since: timedelta | None = None

    def request_sent(self) -> timedelta:
        """Record that a request is sent; returns the time to pass to `response_received`."""
        now = self.clock.now()
        if self.waiting_since is None:
            self.waiting_since = now
        return now

    def response_received(self, sent: timedelta) -> None:
        """Record the response to a request that was sent at this time. No request counts as
        waiting until the next one is sent."""
        now = self.clock.now()
        if self.response_at is None:
            self.smoothed_delay = now - sent
        else:
            self.smoothed_delay += (now - sent - self.smoothed_delay) * SMOOTHING_FACTOR
        self.response_at = now
        self.waiting_since = None

    def expected_delay(self) -> timedelta | None:
        """Estimated duration of a request; None if none was ever sent."""
        if self.waiting_since is None:
            return self.smoothed_delay if self.response_at is not None else None
        return max(self.smoothed_delay, self.clock.now() - self.waiting_since)

    def idle_for(self, span: timedelta) -> bool:
        """Whether there has been no response for longer than `span`, so the link needs a probe."""
        return self.response_at is None or self.clock.now() - self.response_at > span
