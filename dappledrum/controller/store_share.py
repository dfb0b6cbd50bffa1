"""How much of the store's request rate a controller uses."""

from dappledrum.election.elector import Elector
from dappledrum.store.client import StoreClient

#: Share of the whole rate that the leader uses; the followers share the rest equally.
LEADER_SHARE = 0.6
#: Share of its part that a controller uses, so that all together stay below the store's limit.
SAFE_SHARE = 0.95
LEADER_BURST_S = 1.0
#: A follower's share is small, and submissions come in bursts, rarely at all followers at once, so
#: each may use some seconds of its share in one burst.
FOLLOWER_BURST_S = 2.0


class StoreShare:
    """Sets the rate limit of a controller's store client by its role."""

    def __init__(self, store: StoreClient, elector: Elector, peer_count: int) -> None:
        self.store = store
        self.elector = elector
        self.peer_count = peer_count

    def update(self) -> None:
        """Apply the share of the present role; called at the start and when leadership changes."""
        share = self._share()
        burst = LEADER_BURST_S if share >= LEADER_SHARE else FOLLOWER_BURST_S
        self.store.budget.set_rate_share(share * SAFE_SHARE, burst)

    def _share(self) -> float:
        if self.peer_count == 0:
            return 1.0
        if self.elector.term is not None:
            return LEADER_SHARE
        return (1 - LEADER_SHARE) / self.peer_count
