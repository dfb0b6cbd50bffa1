"""How large a value may be written at this moment.

The settings may announce limits that the store will have after some upgrade, without notice.
Versions before this one can't read values that are split into parts. So values are written whole,
up to the current limit, as long as such a controller may still become leader; the limits do not
drop before all controllers are upgraded. Once all are, or the store has refused a value, nothing
larger than the reduced limit is written, and larger values are split.
"""

import logging

from dappledrum.settings import StoreLimits

log = logging.getLogger(__name__)


class ValueLimit:
    """Size limits of one controller's values, in bytes."""

    def __init__(self, limits: StoreLimits) -> None:
        self.current_bytes = limits.value_bytes
        self.reduced_bytes = limits.strictest().value_bytes
        self.is_reduced = self.reduced_bytes == self.current_bytes

    @property
    def max_whole_bytes(self) -> int:
        """The largest value that is written in one piece."""
        return self.reduced_bytes if self.is_reduced else self.current_bytes

    def record_refusal(self, largest_bytes: int, reason: str) -> bool:
        """Record that the store refused values, the largest of this size; returns whether that
        shows that its limits have dropped. Smaller values must have been refused for another
        reason, and show nothing about what other controllers can read."""
        dropped = not self.is_reduced and largest_bytes > self.reduced_bytes
        if dropped:
            log.warning("the limits of the store have dropped")
            self.reduce(reason)
        return dropped

    def reduce(self, reason: str) -> None:
        """Use the reduced limit from now on."""
        if not self.is_reduced:
            self.is_reduced = True
            log.info(
                "records larger than %d bytes are written in parts: %s", self.reduced_bytes, reason
            )
