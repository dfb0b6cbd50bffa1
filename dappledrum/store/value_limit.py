"""How large a value may be written at this moment.

The settings may announce limits that the store will have after some upgrade, without
notice. Versions before this one can't read values that are split into parts. So values are written
whole, up to the present limit, as long as such a controller may still become leader; the limits do
not drop before all controllers are upgraded. Once all are, or the service has refused a value,
nothing larger than the smaller limit is written, and larger values are split.
"""

import logging

from dappledrum.settings import StoreLimits

log = logging.getLogger(__name__)


class ValueLimit:
    """The limit of one controller."""

    def __init__(self, limits: StoreLimits) -> None:
        self.now = limits.value_bytes
        self.least = limits.strictest().value_bytes
        self.settled = self.least == self.now

    @property
    def whole(self) -> int:
        """The largest value that is written in one piece."""
        return self.least if self.settled else self.now

    def refused(self, largest: int, why: str) -> bool:
        """Note that the store refused values of which the largest has this size; returns
        whether that shows that its limits have dropped. Smaller values must have been refused for
        another reason, and show nothing about what other controllers can read."""
        dropped = not self.settled and largest > self.least
        if dropped:
            log.warning("the limits of the store have dropped")
            self.settle(why)
        return dropped

    def settle(self, why: str) -> None:
        """Use the smaller limit from now on."""
        if not self.settled:
            self.settled = True
            log.info("records larger than %d bytes are written in parts: %s", self.least, why)
