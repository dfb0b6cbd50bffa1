"""Faults of machines and of the cloud: they fail, hang, hear or reach nobody, and what they send
or are sent arrives late."""

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults.base import Count, Fault, LastingFault, Share, later
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.network import Copies, LateCommands

LISTED_S = 30.0  # for how long the cloud lists a machine that has failed
LATE_REPORTS = (2.0, 3.0)  # from seconds to leases
LATE_COMMANDS = (2.0, 16.0)  # seconds, as the bench has it


class MachineDie(Fault, tag="machine_die"):
    """Machines fail, and the cloud goes on listing them for a while."""

    count: Count = 1

    @property
    def lasts_s(self) -> float:
        return LISTED_S

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        workers = cluster.cloud.workers()
        for worker in cluster.rng.sample(workers, min(self.count, len(workers))):
            worker.vanish()
            later(LISTED_S, cluster.cloud.take, worker.name)


class MachineHang(LastingFault, tag="machine_hang"):
    """Machines stand still, and go on."""

    count: Count = 1

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        workers = cluster.cloud.workers()
        hang(cluster.rng.sample(workers, min(self.count, len(workers))), self.for_s)


def hang(workers: list[Worker], for_s: float) -> None:
    """Let machines stand still for some time."""
    for worker in workers:
        worker.hung = True
        later(for_s, setattr, worker, "hung", False)


class _ChosenMachines(LastingFault):
    """A fault of a number of the machines, of a share of all or of those of a zone, or of all of
    a zone; of one machine if nothing is given."""

    count: Count | None = None
    share: Share | None = None
    zone: str | None = None

    def __post_init__(self) -> None:
        if self.count is not None and (self.share is not None or self.zone is not None):
            raise ValueError("`count` excludes `share` and `zone`")

    def chosen(self, cluster: SimulatedCluster) -> list[str]:
        """Names of machines that are up."""
        workers = [w for w in cluster.cloud.workers() if self.zone in (None, w.kind[1])]
        if self.share is not None:
            count = round(self.share * len(workers))
        else:
            count = len(workers) if self.zone is not None else self.count or 1
        return [worker.name for worker in cluster.rng.sample(workers, min(count, len(workers)))]


class MachineDeaf(_ChosenMachines, tag="machine_deaf"):
    """Their heartbeats arrive; answers and direct commands to them are lost."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        pairs = cluster.drop_answers(self.chosen(cluster))
        later(self.for_s, cluster.network.blocked.difference_update, pairs)


class MachineMute(_ChosenMachines, tag="machine_mute"):
    """They reach no controller, while direct commands reach them."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        pairs = cluster.drop_heartbeats(self.chosen(cluster))
        later(self.for_s, cluster.network.muted.difference_update, pairs)


class CloudOutage(LastingFault, tag="cloud_outage"):
    """The cloud answers everybody with 503."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        cluster.cloud.out = True
        later(self.for_s, setattr, cluster.cloud, "out", False)


class LateReports(LastingFault, tag="late_reports"):
    """Copies of heartbeats arrive again at any controller, up to leases later, or `for_next` at
    the next leader."""

    share: Share
    for_next: bool = False

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        least_s, leases = LATE_REPORTS
        cluster.network.copies = Copies(
            self.share, least_s, leases * cluster.lease_s, cluster.members, for_next=self.for_next
        )
        later(self.for_s, setattr, cluster.network, "copies", None)


class LateCommandsFault(LastingFault, tag="late_commands"):
    """Direct commands are held up on their way, unanswered, and carried out once, later."""

    share: Share

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        cluster.network.late_commands = LateCommands(self.share, *LATE_COMMANDS)
        later(self.for_s, setattr, cluster.network, "late_commands", None)
