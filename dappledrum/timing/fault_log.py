"""Logs a lasting fault when it begins and when it ends, instead of each failure."""

import logging
from datetime import timedelta

from dappledrum.timing.clock import Clock


class FaultLog:
    """Tracks one service or condition that may fail for a while."""

    def __init__(self, log: logging.Logger, clock: Clock, condition: str) -> None:
        self.log = log
        self.clock = clock
        self.condition = condition  # description of the fault, at the start of its log lines
        self.since: timedelta | None = None
        self.failures = 0
        self.why = ""  # reason of the most recent failure

    def failed(self, why: str) -> None:
        """Record a failure; the first one of a fault is logged."""
        self.failures += 1
        self.why = why
        if self.since is None:
            self.since = self.clock.now()
            self.log.warning("%s: %s", self.condition, why)

    def recovered(self) -> None:
        """Record a success; the end of a fault is logged."""
        if self.since is None:
            return
        duration = (self.clock.now() - self.since).total_seconds()
        self.log.warning(
            "%s: ended after %.1f s and %d failures", self.condition, duration, self.failures
        )
        self.since = None
        self.failures = 0
