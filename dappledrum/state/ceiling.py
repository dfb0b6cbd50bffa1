"""How large a value may be written at this moment.

The settings may name limits that the state service will have from some moment after an upgrade,
without notice. Values that the version before can't read in parts are written whole, up to the
present limit, for as long as such a controller may still come to lead; the limits do not drop
before all controllers are upgraded. Once all are, or the service has refused a value, nothing
larger than the lesser limit is written, and what is larger goes into parts.
"""

import logging

from dappledrum.settings import StateLimits

log = logging.getLogger(__name__)


class Ceiling:
    """One for each controller."""

    def __init__(self, limits: StateLimits) -> None:
        self.now = limits.value_bytes
        self.least = limits.binding().value_bytes
        self.settled = self.least == self.now

    @property
    def whole(self) -> int:
        """The largest value that is written in one piece."""
        return self.least if self.settled else self.now

    def refused(self, largest: int, why: str) -> bool:
        """The state service refused values of which the largest has this size; whether that tells
        that its limits have dropped. Anything smaller must have been refused for something else,
        and says nothing of what other controllers can read."""
        dropped = not self.settled and largest > self.least
        if dropped:
            log.warning("the limits of the state service have dropped")
            self.settle(why)
        return dropped

    def settle(self, why: str) -> None:
        """From now on the lesser limit holds for everything."""
        if not self.settled:
            self.settled = True
            log.info("records larger than %d bytes are written in parts: %s", self.least, why)
