"""Divides the store's request rate among the controllers."""

from dappledrum.election.elector import Elector
from dappledrum.store.client import StoreClient

#: Share of the whole rate for the leader; the followers share the rest equally.
LEADER_SHARE = 0.6
#: Part of its share that a controller uses, so that all together stay below the store's limit.
USED_FRACTION = 0.95
LEADER_BURST_S = 1.0
#: A follower's share is small, and submissions come in bursts, rarely at all followers at once, so
#: each may use some seconds of its share in one burst.
FOLLOWER_BURST_S = 2.0


class StoreShare:
    """Sets the rate limit of a controller's store client according to its role."""

    def __init__(self, store: StoreClient, elector: Elector, peer_count: int) -> None:
        self.store = store
        self.elector = elector
        self.peer_count = peer_count

    def update(self) -> None:
        """Apply the share of the current role; called at the start and when leadership changes."""
        share = self._share()
        burst = LEADER_BURST_S if share >= LEADER_SHARE else FOLLOWER_BURST_S
        self.store.budget.set_rate_share(share * USED_FRACTION, burst)

    def _share(self) -> float:
        if self.peer_count == 0:
            return 1.0
        if self.elector.term is not None:
            return LEADER_SHARE
        return (1 - LEADER_SHARE) / self.peer_count
