"""Errors of requests to the store.

Three kinds of failure are kept apart, since the rules of elections and records rest on the
difference: refused (certainly not executed), conflict (a guard failed, nothing was changed) and
unknown outcome (it may have been executed, or may be at any later time).
"""

from collections.abc import Sequence


class StoreError(Exception):
    """The store did not serve a request.

    `reason` says what came instead of a usable answer, `request` what was asked (method and path),
    or is empty if nothing was sent.
    """

    def __init__(self, reason: str, request: str = "") -> None:
        super().__init__(reason, request)
        self.reason = reason
        self.request = request

    def __str__(self) -> str:
        return f"{self.reason} for {self.request}" if self.request else self.reason


class RefusedError(StoreError):
    """Certainly not executed: no connection, 429 or 503."""


class RateLimitedError(RefusedError):
    """Not sent, since it would have to wait too long for this controller's share of the rates."""

    def __init__(
        self, reason: str = "over this controller's share of requests", request: str = ""
    ) -> None:
        super().__init__(reason, request)


class TooLargeError(RefusedError):
    """Certainly not executed: a value or the transaction is larger than the store accepts."""


class UnknownOutcomeError(StoreError):
    """No usable answer: executed or not, now or later."""


class ConflictError(StoreError):
    """Guards of a transaction failed; nothing was changed.

    `conflicting_keys` are the keys whose versions were not the expected ones.
    """

    def __init__(self, conflicting_keys: Sequence[str], request: str = "") -> None:
        super().__init__("conflict at " + ", ".join(conflicting_keys), request)
        self.conflicting_keys = list(conflicting_keys)


class LeaseLostError(StoreError):
    """The lease does not exist any more."""


class CompactedError(StoreError):
    """A watch asked for changes that the store no longer keeps."""
