"""Detects that this controller is cut off from everything it could ask."""

from datetime import timedelta

from dappledrum.membership.service import Membership
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector

ALONE_AFTER = timedelta(seconds=3)  # longer than heartbeats, or a restart of all others, take


class Isolation:
    """Judges by the last answers of the store and the last messages of peers."""

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

    def alone(self) -> bool:
        """Whether neither the store nor a peer has been heard from for a while, though
        peers have before: this controller is cut off, or all others are down."""
        failing = self.store.availability.failing_for()
        heard = self.membership.heard_at
        if heard is None or failing is None or failing < ALONE_AFTER:
            return False
        return self.clock.now() - max(heard, self.pause_detector.running_since()) > ALONE_AFTER
