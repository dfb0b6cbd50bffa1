"""Gives the election of a controller access to the other parts."""

from datetime import timedelta

from dappledrum.controller.environment import Environment
from dappledrum.controller.store_share import StoreShare
from dappledrum.controller.term_runner import TermRunner
from dappledrum.membership.service import Membership
from dappledrum.peers.client import Peers
from dappledrum.timing.clock import ZERO


class ElectionHost:
    """Connects the election to parts that are constructed after it; see `LeadershipHost`."""

    term_runner: TermRunner
    membership: Membership
    store_share: StoreShare

    def __init__(self, environment: Environment, peers: Peers) -> None:
        self.peer_heartbeats = environment.tuning.peer_heartbeats_enabled
        self.peers = peers

    def connect(
        self, term_runner: TermRunner, membership: Membership, store_share: StoreShare
    ) -> None:
        """Set the parts that the election calls; must be called before it runs."""
        self.term_runner = term_runner
        self.membership = membership
        self.store_share = store_share

    def leadership_changed(self) -> None:
        """Apply a change of this controller's term or of the known leader."""
        self.store_share.update()
        self.term_runner.leadership_changed()
        self.membership.announce()

    def apply_confirmed_cancellations(self, cancelled: frozenset[str]) -> bool:
        """Treat these jobs as cancelled; returns False if this controller runs no leader."""
        return self.term_runner.apply_confirmed_cancellations(cancelled)

    def candidacy_delay(self) -> timedelta:
        """How long to let a better candidate campaign first."""
        return self.membership.candidacy_delay() if self.peer_heartbeats else ZERO

    def all_peers_pre_vote(self) -> bool:
        """Whether all peers are known to run a version that asks for pre-votes."""
        return self.peer_heartbeats and (
            len(self.membership.heartbeat_peers) == len(self.peers.clients)
        )
