"""Terms of leadership."""

import asyncio
from datetime import timedelta

from dappledrum.store.messages import Guard
from dappledrum.timing.clock import ZERO

LEADER_KEY = "leader"


class Term:
    """One term of leadership, as its leader sees it."""

    def __init__(self, epoch: int, version: int, lease: int, began: timedelta = ZERO) -> None:
        self.started_at = began
        self.epoch = epoch
        self.version = version
        self.lease = lease
        self.lease_valid_until = ZERO  # by the lease
        self.grants_valid_until = ZERO  # by promises of peers
        self.renewed_at = began  # when the newest successful renewal was sent
        #: All cancellations confirmed to users until then are known; None: not read yet.
        self.cancellations_known_at: timedelta | None = None
        #: From then on no other controller can have answered a worker; None: not known yet.
        self.others_stopped_at: timedelta | None = None
        self.ended = asyncio.Event()
        self.successor: str | None = None  # the controller that leadership is transferred to

    def record_cancellations_known(self, moment: timedelta) -> None:
        """Note that the leader knows every cancellation that any controller had confirmed to a
        user by this moment, and acts on it with its next answer.

        It knows that from reading all records or all their changes (the moment is that of
        *sending* the request), or from the answers of all controllers (the moment of asking). A
        renewal of the lease shows nothing of the kind, nor does the end of a watch, which may have
        waited in an outage.
        """
        self.cancellations_known_at = (
            moment
            if self.cancellations_known_at is None
            else max(self.cancellations_known_at, moment)
        )

    def guard(self) -> Guard:
        """The condition for each write of this leader."""
        return Guard(LEADER_KEY, self.version)
