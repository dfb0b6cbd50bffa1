"""Errors of requests to the store.

Elections and record writes depend on the difference between three kinds of failure: refused
(certainly not executed), conflict (a guard failed, nothing was changed) and unknown outcome (the
request may have been executed, or may still be at any later time).
"""

from collections.abc import Sequence


class StoreError(Exception):
    """The store did not serve a request.

    `reason` describes the failure; `request` is the method and path of the request, or empty.
    """

    def __init__(self, reason: str, request: str = "") -> None:
        super().__init__(reason, request)
        self.reason = reason
        self.request = request

    def __str__(self) -> str:
        return f"{self.reason} for {self.request}" if self.request else self.reason


class RefusedError(StoreError):
    """The request was certainly not executed: no connection, 429 or 503."""


class RateLimitedError(RefusedError):
    """Not sent: the wait for this controller's share of the store's rates would be too long."""

    def __init__(
        self, reason: str = "over this controller's share of requests", request: str = ""
    ) -> None:
        super().__init__(reason, request)


class TooLargeError(RefusedError):
    """Certainly not executed: the store refused the size of a value or of the transaction."""


class UnknownOutcomeError(StoreError):
    """No usable response: the request may have been executed, or may still be later."""


class ConflictError(StoreError):
    """Guards of a transaction failed; nothing was changed.

    `conflicting_keys` are the keys whose versions were not the expected ones.
    """

    def __init__(self, conflicting_keys: Sequence[str], request: str = "") -> None:
        super().__init__("conflict at " + ", ".join(conflicting_keys), request)
        self.conflicting_keys = list(conflicting_keys)


class LeaseLostError(StoreError):
    """The lease has expired or was closed."""


class CompactedError(StoreError):
    """A watch asked for changes that the store has discarded."""
