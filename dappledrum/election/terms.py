"""Terms of leadership, and the keys under which the store keeps them."""

import asyncio
from datetime import timedelta

from dappledrum.store.messages import Guard
from dappledrum.timing.clock import ZERO, shortest_local_span

LEADER_KEY = "leader"
EPOCH_KEY = "epoch"


class Term:
    """One term of leadership, as its leader sees it. Moments are those of its steady clock."""

    def __init__(self, epoch: int, version: int, lease: int, started_at: timedelta = ZERO) -> None:
        """Create a term.

        `version` is that of the key `leader`, `lease` the identifier of the lease to which the key
        is attached.
        """
        self.started_at = started_at
        self.epoch = epoch
        self.version = version
        self.lease = lease
        self.lease_valid_until = ZERO  # by the lease in the store
        self.grants_valid_until = ZERO  # by lease grants of peers
        self.renewed_at = started_at  # when the newest successful renewal was sent
        #: All cancellations confirmed to users until then are known; None: not read yet.
        self.cancellations_known_at: timedelta | None = None
        #: From then on no other controller can have answered a worker; None: not known yet.
        self.others_stopped_at: timedelta | None = None
        self.ended = asyncio.Event()
        self.successor: str | None = None  # the controller that leadership is transferred to

    def record_cancellations_known(self, moment: timedelta) -> None:
        """Record that the leader has read every cancellation that any controller had confirmed to
        a user by this moment, and applies it with its next answer.

        This rests on reading all records or all their changes (the moment is that of *sending* the
        request), or on the answers of all controllers (the moment of asking). A renewal of the
        lease shows nothing of the kind, nor does the end of a watch, which may have waited in an
        outage.
        """
        if self.cancellations_known_at is None:
            self.cancellations_known_at = moment
        else:
            self.cancellations_known_at = max(self.cancellations_known_at, moment)

    def answers_allowed_until(self, max_cancellations_age: timedelta) -> timedelta:
        """The moment until which workers may be answered, by what is known of cancellations.

        A leader that has not read them by then answers nobody, so that another one can try.
        """
        known_at = self.cancellations_known_at
        return (self.started_at if known_at is None else known_at) + shortest_local_span(
            max_cancellations_age
        )

    def guard(self) -> Guard:
        """The condition for each write of this leader."""
        return Guard(LEADER_KEY, self.version)
