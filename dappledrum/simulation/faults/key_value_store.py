"""Faults of the store: outages, and transactions whose sender hears nothing."""

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults.base import LastingFault, Share, later
from dappledrum.simulation.network import LateWrites

LATE_WRITES = (2.0, 12.0)  # seconds, as the bench has it


class StateOutage(LastingFault, tag="state_outage"):
    """It answers everybody with 503."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        cluster.store.out = True
        later(self.for_s, cluster.store.end_outage)


class LateWritesFault(LastingFault, tag="late_writes"):
    """Transactions get no answer; they are carried out seconds later, or `at_once`."""

    share: Share
    at_once: bool = False

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        cluster.network.late_writes = LateWrites(self.share, *LATE_WRITES, at_once=self.at_once)
        later(self.for_s, setattr, cluster.network, "late_writes", None)
