"""Logs a lasting fault when it begins and when it is over, not with each failure."""

import logging
from datetime import timedelta

from dappledrum.timing.clock import Clock


class FaultLog:
    """The state of one service or condition that may fail for a while."""

    def __init__(self, log: logging.Logger, clock: Clock, what: str) -> None:
        self.log = log
        self.clock = clock
        self.what = what
        self.since: timedelta | None = None
        self.failures = 0
        self.why = ""

    def seen(self, why: str) -> None:
        """Note one more failure; the first one is logged."""
        self.failures += 1
        self.why = why
        if self.since is None:
            self.since = self.clock.now()
            self.log.warning("%s: %s", self.what, why)

    def over(self) -> None:
        """Note that it works again; the end of a fault is logged."""
        if self.since is not None:
            span = (self.clock.now() - self.since).total_seconds()
            self.log.warning(
                "%s: over after %.1f s and %d failures", self.what, span, self.failures
            )
            self.since = None
            self.failures = 0
