"""What a controller provides to its election: identity, services, limits and callbacks."""

import random
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from dappledrum.election.confirmed_cancellations import ConfirmedCancellations
from dappledrum.election.messages import LeaseGrantRequest, PreVote, TransferLeadership
from dappledrum.election.quorum import PeerAnswers
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock


class ElectionPeers(Protocol):
    """Requests to the other controllers; a peer that does not answer in time has not agreed."""

    async def request_lease_grants(
        self, request: LeaseGrantRequest, timeout: timedelta
    ) -> PeerAnswers:
        """Ask all peers for lease grants."""

    async def pre_vote(self, request: PreVote, timeout: timedelta) -> PeerAnswers:
        """Ask all peers whether they are free of lease grants."""

    async def transfer_leadership(
        self, member: str, request: TransferLeadership, timeout: timedelta
    ) -> bool:
        """Offer leadership to one peer; returns whether it leads now."""


class LeadershipHost(Protocol):
    """The controller that takes part in the election."""

    def leadership_changed(self) -> None:
        """Called whenever this controller's own term, or the leader that it knows of, changes."""

    def apply_confirmed_cancellations(self, cancelled: frozenset[str]) -> bool:
        """Apply cancellations that were confirmed to users; returns whether that was possible."""

    def candidacy_delay(self) -> timedelta:
        """How long to wait, so that a better candidate campaigns first; called once for each
        vacancy."""

    def all_peers_pre_vote(self) -> bool:
        """Whether all peers are known to request pre-votes before they campaign.

        If not, lease grants of a majority don't suffice, and all peers have to grant.
        """


@dataclass(frozen=True)
class LeaseLimits:
    """Limits on how long a leader goes on without a renewal or without reading cancellations."""

    #: Time to live of the leader's lease in the store.
    ttl: timedelta
    #: How long after its last renewal a leader may go on by lease grants of a majority only: the
    #: store may serve a peer that does not answer, which then confirms cancellations to users.
    max_time_on_majority_grants: timedelta
    #: How long after reading all confirmed cancellations a leader may answer workers.
    max_cancellations_age: timedelta


@dataclass(frozen=True)
class ElectionContext:
    """What the parts of one controller's election share."""

    member: str
    store: StoreClient
    clock: Clock
    rng: random.Random
    limits: LeaseLimits
    peers: ElectionPeers
    host: LeadershipHost
    #: The cancellations that this process itself has confirmed to users.
    confirmed: ConfirmedCancellations
