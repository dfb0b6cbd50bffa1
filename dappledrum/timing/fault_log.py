"""Logs a lasting fault when it begins and when it has ended, not with each failure."""

import logging
from datetime import timedelta

from dappledrum.timing.clock import Clock


class FaultLog:
    """The state of one service or condition that may fail for a while."""

    def __init__(self, log: logging.Logger, clock: Clock, condition: str) -> None:
        self.log = log
        self.clock = clock
        self.condition = condition  # the fault in words, with which its log lines begin
        self.since: timedelta | None = None
        self.failures = 0
        self.why = ""  # of the newest failure

    def failed(self, why: str) -> None:
        """Record one more failure; the first one is logged."""
        self.failures += 1
        self.why = why
        if self.since is None:
            self.since = self.clock.now()
            self.log.warning("%s: %s", self.condition, why)

    def recovered(self) -> None:
        """Record that it works again; the end of a fault is logged."""
        if self.since is None:
            return
        duration = (self.clock.now() - self.since).total_seconds()
        self.log.warning(
            "%s: ended after %.1f s and %d failures", self.condition, duration, self.failures
        )
        self.since = None
        self.failures = 0
