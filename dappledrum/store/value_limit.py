"""Limits the size of values written to the store.

The settings may announce smaller limits that the store will apply from some moment on, without
notice, but not before all controllers are upgraded. Versions before 0.3.0 can't read values that
are split into parts, so values up to the current limit are written whole as long as a controller
of such a version may become leader. Once all are upgraded, or the store has refused a value larger
than the reduced limit, values larger than the reduced limit are split.
"""

import logging

from dappledrum.settings import StoreLimits

log = logging.getLogger(__name__)


class ValueLimit:
    """The size limit that this controller applies to values, in bytes."""

    def __init__(self, limits: StoreLimits) -> None:
        self.current_bytes = limits.value_bytes
        self.reduced_bytes = limits.strictest().value_bytes
        self.is_reduced = self.reduced_bytes == self.current_bytes

    @property
    def max_whole_bytes(self) -> int:
        """Size of the largest value that is written whole."""
        return self.reduced_bytes if self.is_reduced else self.current_bytes

    def record_refusal(self, largest_bytes: int, reason: str) -> bool:
        """Handle a refusal by the store of values of which the largest has this size; returns
        whether it shows that the store's limit has dropped.

        Values within the reduced limit must have been refused for another reason, which shows
        nothing about the limit or about what other controllers can read.
        """
        dropped = not self.is_reduced and largest_bytes > self.reduced_bytes
        if dropped:
            log.warning(
                "store refused a value, its limit has dropped: largest_bytes=%d", largest_bytes
            )
            self.reduce(reason)
        return dropped

    def reduce(self, reason: str) -> None:
        """Apply the reduced limit from now on."""
        if not self.is_reduced:
            self.is_reduced = True
            log.info(
                "records larger than %d bytes are split into parts from now on: %s",
                self.reduced_bytes,
                reason,
            )
