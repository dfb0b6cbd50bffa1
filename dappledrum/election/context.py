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
    """Requests to the other controllers; one that does not answer in time has not agreed."""

    async def request_lease_grants(
        self, request: LeaseGrantRequest, timeout: timedelta
    ) -> PeerAnswers:
        """Ask all peers for lease grants."""

    async def pre_vote(self, question: PreVote, timeout: timedelta) -> PeerAnswers:
        """Ask all peers whether they are free of lease grants."""

    async def transfer_leadership(
        self, member: str, request: TransferLeadership, timeout: timedelta
    ) -> bool:
        """Offer leadership to one peer; returns whether it leads now."""


class LeadershipHost(Protocol):
    """The controller that takes part in the election."""

    def leadership_changed(self) -> None:
        """Called whenever the term of this controller or the leader it is aware of changes."""

    def apply_confirmed_cancellations(self, cancelled: frozenset[str]) -> bool:
        """Apply cancellations that users were confirmed; returns whether it could."""

    def candidacy_delay(self) -> timedelta:
        """How long to let a better candidate campaign first; called once for each vacancy."""

    def all_peers_pre_vote(self) -> bool:
        """Whether all peers are known to ask for pre-votes before they campaign.

        Otherwise lease grants of a majority prove nothing, and all peers have to grant.
        """


@dataclass(frozen=True)
class LeaseLimits:
    """Durations that bound a leader."""

    #: Time to live of the leader's lease in the store.
    ttl: timedelta
    #: How long a leader goes on, from its newest renewal, on lease grants of a majority that is
    #: not all: a peer that does not answer may be served, and confirm a cancellation to a user.
    max_time_on_majority_grants: timedelta
    #: How long after it has read all confirmed cancellations a leader may answer workers.
    max_cancellations_age: timedelta


@dataclass(frozen=True)
class ElectionContext:
    """All that the parts of one controller's election share."""

    member: str
    store: StoreClient
    clock: Clock
    rng: random.Random
    limits: LeaseLimits
    peers: ElectionPeers
    host: LeadershipHost
    #: The cancellations that this process has confirmed to users itself.
    confirmed: ConfirmedCancellations
