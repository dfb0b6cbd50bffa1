"""Detects that this controller is cut off from everything it could ask."""

from datetime import timedelta

from dappledrum.membership.service import Reach
from dappledrum.store.client import State
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector

ALONE_AFTER = timedelta(seconds=3)  # longer than heartbeats, or a restart of all others, take


class Isolation:
    """Judges by the last answers of the state service and the last messages of peers."""

    def __init__(
        self, state: State, reach: Reach, clock: Clock, pause_detector: PauseDetector
    ) -> None:
        self.state = state
        self.reach = reach
        self.clock = clock
        self.pause_detector = pause_detector

    def alone(self) -> bool:
        """Whether neither the state service nor a peer has been heard from for a while, though
        peers have before: this controller is cut off, or all others are down."""
        failing = self.state.failing_for()
        heard = self.reach.heard_at
        if heard is None or failing is None or failing < ALONE_AFTER:
            return False
        return self.clock.now() - max(heard, self.pause_detector.awake_since()) > ALONE_AFTER
