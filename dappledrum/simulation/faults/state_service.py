"""Troubles of the state service: outages, and transactions whose sender hears nothing."""

from dappledrum.simulation.cluster import World
from dappledrum.simulation.faults.base import LastingTrouble, Share, later
from dappledrum.simulation.network import LateWrites

LATE_WRITES = (2.0, 12.0)  # seconds, as the bench has it


class StateOutage(LastingTrouble, tag="state_outage"):
    """It answers everybody with 503."""

    def begin(self, world: World, back: float) -> None:
        world.state.out = True
        later(self.for_s, world.state.end_outage)


class LateWritesTrouble(LastingTrouble, tag="late_writes"):
    """Transactions get no answer; they are carried out seconds later, or `at_once`."""

    share: Share
    at_once: bool = False

    def begin(self, world: World, back: float) -> None:
        world.network.late_writes = LateWrites(self.share, *LATE_WRITES, at_once=self.at_once)
        later(self.for_s, setattr, world.network, "late_writes", None)
