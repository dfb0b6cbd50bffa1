"""Whether the store serves this controller, derived from the outcomes of its requests."""

import logging
from datetime import timedelta

from dappledrum.http.link_health import LinkHealth
from dappledrum.timing.clock import Clock
from dappledrum.timing.fault_log import FaultLog

log = logging.getLogger(__name__)

FAILING_AFTER = timedelta(milliseconds=400)


class StoreAvailability:
    """Outcomes of one controller's most recent requests to the store, without its watches.

    A watch stays open for long, even during an outage, so neither its duration nor its end shows
    whether the store serves this controller.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.link = LinkHealth(clock)
        self.fault_log = FaultLog(log, clock, "the store does not serve this controller")
        self.was_served = False  # at least once since this process started
        self.failing_since: timedelta | None = None
        self._last_request_hung = False

    def is_failing(self) -> bool:
        """Whether requests have been failing for longer than FAILING_AFTER."""
        failing_for = self.failing_for()
        return failing_for is not None and failing_for > FAILING_AFTER

    def failing_for(self) -> timedelta | None:
        """Time since the first failure that no success has followed; None if there is none."""
        return None if self.failing_since is None else self.clock.now() - self.failing_since

    def last_request_hung(self) -> bool:
        """Whether the most recent failure was a request without a response, in which case the next
        request is likely to time out as well."""
        return self._last_request_hung

    def record_answer(self, sent: timedelta) -> None:
        """Record a response other than 503 to a request that was sent at this time."""
        self.link.response_received(sent)

    def record_success(self) -> None:
        """Record that a request was served."""
        self.failing_since = None
        self.was_served = True
        self.fault_log.recovered()

    def record_failure(self, reason: str, hung: bool = False) -> None:
        """Record a request that was not served; `hung` if there was no response at all."""
        self._last_request_hung = hung
        self.fault_log.failed(reason)
        if self.failing_since is None:
            self.failing_since = self.clock.now()
