"""Faults of machines and of the cloud: machines that fail, hang or are reached one way only, late
heartbeats and commands, and outages of the cloud."""

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults.base import (
    Count,
    Fault,
    LastingFault,
    Seconds,
    Share,
    call_later,
)
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.network import Copies, LateCommands, StartCopies

LISTED_AFTER_FAILURE_S = 30.0  # how long the cloud lists a machine that has failed
LATE_HEARTBEAT_DELAY = (2.0, 3.0)  # minimum delay in seconds, maximum in leases
NEAR_LEASE_S = 0.2  # how long before and after the end of a lease copies arrive
SECOND_RESTART_S = 1.0  # the longest that a worker process runs before a second restart
LATE_COMMAND_DELAY_S = (2.0, 16.0)  # range of delays in seconds, as on the bench


class MachineDie(Fault, tag="machine_die"):
    """Machines fail, and the cloud still lists them for a while."""

    count: Count = 1

    @property
    def lasts_s(self) -> float:
        return LISTED_AFTER_FAILURE_S

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        workers = cluster.cloud.workers()
        for worker in cluster.rng.sample(workers, min(self.count, len(workers))):
            worker.terminate()
            call_later(LISTED_AFTER_FAILURE_S, cluster.cloud.terminate, worker.name)


class MachineHang(LastingFault, tag="machine_hang"):
    """Machines hang, and resume later."""

    count: Count = 1

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        workers = cluster.cloud.workers()
        hang(cluster.rng.sample(workers, min(self.count, len(workers))), self.for_s)


def hang(workers: list[Worker], for_s: float) -> None:
    """Let machines hang for some seconds."""
    for worker in workers:
        worker.hung = True
        call_later(for_s, setattr, worker, "hung", False)


class _ChosenMachines(LastingFault):
    """A fault of some machines: a number (`count`), a `share` of all or of a zone, or a whole
    `zone`; one machine if nothing is given."""

    count: Count | None = None
    share: Share | None = None
    zone: str | None = None

    def __post_init__(self) -> None:
        if self.count is not None and (self.share is not None or self.zone is not None):
            raise ValueError("`count` excludes `share` and `zone`")

    def choose(self, cluster: SimulatedCluster) -> list[str]:
        """Draw machines that are up; returns their names."""
        workers = [w for w in cluster.cloud.workers() if self.zone in (None, w.kind[1])]
        if self.share is not None:
            count = round(self.share * len(workers))
        else:
            count = len(workers) if self.zone is not None else self.count or 1
        return [worker.name for worker in cluster.rng.sample(workers, min(count, len(workers)))]


class MachineDeaf(_ChosenMachines, tag="machine_deaf"):
    """Heartbeats of machines arrive; answers and direct commands to them are lost."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        pairs = cluster.drop_answers(self.choose(cluster))
        call_later(self.for_s, cluster.network.blocked.difference_update, pairs)


class MachineMute(_ChosenMachines, tag="machine_mute"):
    """Machines reach no controller, but direct commands reach the machines."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        pairs = cluster.drop_heartbeats(self.choose(cluster))
        call_later(self.for_s, cluster.network.muted.difference_update, pairs)


class MachineRestart(_ChosenMachines, tag="machine_restart"):
    """Machines stop with all that is on them, each at a moment drawn from `for_s`, and are back
    after `back_s` with a new process of their worker; with `twice`, they restart once more while
    that process waits for its first answers."""

    back_s: Seconds = 0.3
    twice: bool = False

    @property
    def lasts_s(self) -> float:
        return self.for_s + self.back_s + (SECOND_RESTART_S if self.twice else 0.0)

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        for name in self.choose(cluster):
            at_s = cluster.rng.uniform(0, self.for_s)
            cluster.cloud.restart_later(at_s, name, self.back_s)
            if self.twice:
                again_s = at_s + self.back_s + cluster.rng.uniform(0, SECOND_RESTART_S)
                cluster.cloud.restart_later(again_s, name, 0.0)


class CloudOutage(LastingFault, tag="cloud_outage"):
    """The cloud answers all requests with 503."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        cluster.cloud.in_outage = True
        call_later(self.for_s, setattr, cluster.cloud, "in_outage", False)


class LateReports(LastingFault, tag="late_reports"):
    """Copies of heartbeats arrive at any controller up to some leases later, or with `for_next` at
    the next leader."""

    share: Share
    for_next: bool = False

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        min_delay_s, max_delay_leases = LATE_HEARTBEAT_DELAY
        cluster.network.copies = Copies(
            self.share,
            min_delay_s,
            max_delay_leases * cluster.lease_s,
            cluster.members,
            for_next=self.for_next,
        )
        call_later(self.for_s, setattr, cluster.network, "copies", None)


class LateStarts(LastingFault, tag="late_starts"):
    """Heartbeats whose answers carried starts are repeated after these were carried out: at once,
    a heartbeat later, just before the lease and just after it."""

    share: Share

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        cluster.network.start_copies = start_copies(cluster, self.share)
        call_later(self.for_s, setattr, cluster.network, "start_copies", None)


def start_copies(cluster: SimulatedCluster, share: float) -> StartCopies:
    """Copies of this share of the requests whose answers carry starts."""
    report_s, lease_s = cluster.timing.report_s, cluster.lease_s
    delays_s = (0.0, report_s, lease_s - NEAR_LEASE_S, lease_s + NEAR_LEASE_S)
    return StartCopies(share, delays_s, cluster.members, lease_s)


class LateCommandsFault(LastingFault, tag="late_commands"):
    """A share of the direct commands gets no answer, and is executed once, seconds later."""

    share: Share

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        cluster.network.late_commands = LateCommands(self.share, *LATE_COMMAND_DELAY_S)
        call_later(self.for_s, setattr, cluster.network, "late_commands", None)
