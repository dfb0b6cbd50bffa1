"""Detects that this controller reaches neither the store nor any peer."""

from datetime import timedelta

from dappledrum.membership.service import Membership
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector

#: Longer than the intervals of peer heartbeats, and than a restart of all other controllers.
ISOLATION_TIMEOUT = timedelta(seconds=3)


class Isolation:
    """Detects isolation by the last answers of the store and the last messages of peers."""

    def __init__(
        self,
        store: StoreClient,
        membership: Membership,
        clock: Clock,
        pause_detector: PauseDetector,
    ) -> None:
        self.store = store
        self.membership = membership
        self.clock = clock
        self.pause_detector = pause_detector

    def is_isolated(self) -> bool:
        """Whether neither the store nor a peer has answered for a while, although peers have
        before: this controller is cut off by a network partition, or all of them are down."""
        failing = self.store.availability.failing_for()
        last_heartbeat = self.membership.peer_heartbeat_at
        if last_heartbeat is None or failing is None or failing < ISOLATION_TIMEOUT:
            return False
        now = self.clock.now()
        return now - max(last_heartbeat, self.pause_detector.running_since()) > ISOLATION_TIMEOUT
