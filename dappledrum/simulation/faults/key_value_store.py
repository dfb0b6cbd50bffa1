"""Faults of the store: outages, and transactions without an answer."""

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults.base import LastingFault, Share, call_later
from dappledrum.simulation.network import LateWrites

LATE_WRITE_DELAY_S = (2.0, 12.0)  # range of delays in seconds, as on the bench


class StateOutage(LastingFault, tag="state_outage"):
    """The store answers all requests with 503."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        cluster.store.in_outage = True
        call_later(self.for_s, cluster.store.end_outage)


class LateWritesFault(LastingFault, tag="late_writes"):
    """A share of the transactions gets no answer, and is executed seconds later or `at_once`."""

    share: Share
    at_once: bool = False

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        cluster.network.late_writes = LateWrites(
            self.share, *LATE_WRITE_DELAY_S, at_once=self.at_once
        )
        call_later(self.for_s, setattr, cluster.network, "late_writes", None)
