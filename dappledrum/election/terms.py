"""Terms of leadership, and the keys under which the store keeps them."""

import asyncio
from datetime import timedelta

from dappledrum.store.messages import Guard
from dappledrum.timing.clock import ZERO, shortest_local_span

LEADER_KEY = "leader"
EPOCH_KEY = "epoch"
#: Number of fencing tokens that one term may give to each worker, the first of which is its epoch.
TOKENS_PER_TERM = 2**20


class Term:
    """One term of leadership, as its leader sees it. Moments are in its steady time."""

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
        #: Until when all cancellations confirmed to users are known; None: not read yet.
        self.cancellations_known_at: timedelta | None = None
        #: From when on no other controller can have answered a worker; None: not known yet.
        self.others_stopped_at: timedelta | None = None
        self.ended = asyncio.Event()
        self.successor: str | None = None  # the controller that leadership is transferred to

    @property
    def last_token(self) -> int:
        """The highest token of this term: any later term has a higher epoch."""
        return self.epoch + TOKENS_PER_TERM - 1

    def record_cancellations_known(self, moment: timedelta) -> None:
        """Record that the leader has read every cancellation that any controller had confirmed to
        a user by `moment`, and applies it from its next answer on.

        `moment` is when a request for all records or all their changes, or to all controllers, was
        *sent*. The moment at which a watch ends does not count, since the watch may have waited
        during an outage, nor does a renewal of the lease.
        """
        if self.cancellations_known_at is None:
            self.cancellations_known_at = moment
        else:
            self.cancellations_known_at = max(self.cancellations_known_at, moment)

    def answers_allowed_until(self, max_cancellations_age: timedelta) -> timedelta:
        """Return until when workers may be answered, by the age of the known cancellations.

        A leader that can't read cancellations for longer answers no worker, so that another
        controller can try.
        """
        known_at = self.cancellations_known_at
        return (self.started_at if known_at is None else known_at) + shortest_local_span(
            max_cancellations_age
        )

    def guard(self) -> Guard:
        """The condition for each write of this leader."""
        return Guard(LEADER_KEY, self.version)
