"""Input of the planner: the rented machines, and the kinds of machines that can be rented."""

from datetime import timedelta

from dappledrum.dispatch.context import DispatchContext
from dappledrum.fleet.autoscaler import MAX_RENTALS
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import Form
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Offer, Size
from dappledrum.timing.clock import ZERO
from dappledrum.workers.machine_registry import Machine

SERVICE_RUN_TIME = timedelta(days=1)  # services run until they are cancelled
BEST_EFFORT_RESERVE = 0.25  # share of the running machines that best-effort jobs leave free
#: Share of the fleet that one plan may rent for best-effort jobs while nothing is late.
BEST_EFFORT_RENTAL_SHARE = 0.05


class CandidateMachines:
    """The capacity that new work may use, now and later."""

    def __init__(self, context: DispatchContext) -> None:
        self.jobs = context.jobs
        self.registry = context.registry
        self.estimates = context.estimates
        self.autoscaler = context.autoscaler
        self.params = context.params
        self.clock = context.clock
        self.sizes: set[Size] = set()  # sizes of the tasks of live jobs
        self.running_since = ZERO
        self.mostly_unreachable = False  # if true, the fault is probably this controller's
        #: Mean and deviation of run times by job; a cache for one plan.
        self._run_time_moments: dict[str, tuple[timedelta, timedelta]] = {}

    def refresh(self) -> None:
        """Compute the values that all machines of one plan share."""
        self.running_since = self.autoscaler.running_since()
        self.mostly_unreachable = self.registry.mostly_unreachable()
        self.sizes = {job.size for job in self.jobs.values()}
        self._run_time_moments = {}

    def timelines(self, now: timedelta) -> list[MachineTimeline]:
        """Timelines of the machines that new work may use, now or later."""
        return [
            timeline
            for machine in self.registry
            if (timeline := self._timeline(machine, now)) is not None
        ]

    def may_wait(self, machine: Machine, span: timedelta) -> bool:
        """Whether the answer to a busy machine's heartbeat may be held back for this time: the
        machine must have free capacity, and none of its tasks may be expected to end meanwhile,
        since the heartbeat of that end would have to wait for the answer."""
        machine_type = (
            self.autoscaler.types.get(machine.kind.type) if machine.kind is not None else None
        )
        if machine_type is None or not machine.usable or machine.reclaim_at is not None:
            return False
        now = self.clock.now()
        free = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.running_since is None or placement.lost or job.cancelled:
                return False
            if (
                job.spec.form is not Form.SERVICE
                and now + span > placement.running_since + self._mean_run_time(job)
            ):
                return False
            free = free.minus(job.size)
        return any(free.fit_count(size) for size in self.sizes)

    def available(self) -> list[str]:
        """Names of the machines that new work may use now, for the accounting."""
        now = self.clock.now()
        return [m.name for m in self.registry if m.up and self._accepts_work(m, now)]

    def _accepts_work(self, machine: Machine, now: timedelta) -> bool:
        """Whether new work may be placed on a machine, now or once it is up."""
        if not machine.usable:
            return False
        if machine.unconfirmed or (
            machine.reachability.unreachable and not self.mostly_unreachable
        ):
            return False
        heartbeat_interval = self.params.workers.heartbeat_interval
        return not machine.up or not (
            machine.silent(now, heartbeat_interval, self.running_since)
            or now < machine.blocked_until
        )

    def _mean_run_time(self, job: Job) -> timedelta:
        return self.estimates.moments(job.id, job.spec.job_class, job.spec.estimate)[0]

    def _timeline(self, machine: Machine, now: timedelta) -> MachineTimeline | None:
        kind = machine.kind
        machine_type = self.autoscaler.types.get(kind.type) if kind is not None else None
        if kind is None or machine_type is None or not self._accepts_work(machine, now):
            return None
        if not machine.up and machine.placements and not machine.awaiting_heartbeat:
            return None
        ready_at = now if machine.up else self.autoscaler.ready_at(machine)
        until = None if machine.reclaim_at is None else machine.reclaim_at - timedelta(seconds=1)
        timeline = MachineTimeline(
            machine.name,
            kind,
            Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb),
            ready_at,
            machine.rented_at,
            machine_type.hourly(kind.spot),
            machine_type.fetch_gb_per_s,
            self.autoscaler.interval(kind),
            until,
            booting=not machine.up,
        )
        for image in machine.images:
            timeline.images[image] = ready_at
        tasks: list[tuple[timedelta, Size]] = []
        for placement in machine.placements.values():
            job = placement.page.job
            tasks.append((self._expected_finish(placement, timeline, now), job.size))
            timeline.expect_image(job.spec.image, job.spec.image_gb, now)
        timeline.occupy(tasks)
        return timeline

    def _expected_finish(
        self, placement: Placement, timeline: MachineTimeline, now: timedelta
    ) -> timedelta:
        """When a task that is placed on a machine is expected to end."""
        job = placement.page.job
        if placement.lost or job.cancelled:
            return now + self.params.workers.heartbeat_interval * 2
        if job.spec.form is Form.SERVICE:
            return now + SERVICE_RUN_TIME
        cached = self._run_time_moments.get(job.id)
        if cached is None:
            cached = self._run_time_moments[job.id] = self.estimates.moments(
                job.id, job.spec.job_class, job.spec.estimate
            )
        mean, deviation = cached
        if placement.running_since is None:
            return now + timeline.duration(
                mean + deviation, job.spec.image, job.spec.image_gb, now
            )
        remaining = mean + deviation - (now - placement.running_since)
        return now + max(remaining, deviation / 2, timedelta(seconds=1))

    def best_effort_capacity(self, timelines: list[MachineTimeline], nothing_late: bool) -> float:
        """CPUs that best-effort jobs may take in this plan: the free ones of running machines,
        less a reserve for new work, and a few more machines while nothing is late. Such jobs run
        for minutes, so they would fit into no billed interval, and with a distant deadline they
        would be postponed forever."""
        running = [timeline for timeline in timelines if not timeline.booting]
        total = free = 0.0
        for timeline in running:
            total += timeline.capacity
            free += max(0.0, timeline.free[0].cpus)
        rentable = 0.0
        if nothing_late:
            largest = max(
                (machine_type.cpus for machine_type in self.autoscaler.types.values()), default=0.0
            )
            rentable = max(
                BEST_EFFORT_RENTAL_SHARE * sum(timeline.capacity for timeline in timelines),
                largest,
            )
        return max(0.0, free - BEST_EFFORT_RESERVE * total) + rentable

    def offers(self) -> list[Offer]:
        """The kinds of machines that can be rented now."""
        result = []
        for machine_type in self.autoscaler.types.values():
            for zone in machine_type.zones:
                for spot in (True, False):
                    kind = InstanceKind(machine_type.name, zone, spot)
                    if (spot and machine_type.spot_price is None) or not self.autoscaler.offered(
                        kind
                    ):
                        continue
                    capacity = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
                    boot = self.autoscaler.boots.expected(kind)
                    result.append(
                        Offer(
                            kind,
                            capacity,
                            machine_type.hourly(spot),
                            boot,
                            machine_type.fetch_gb_per_s,
                            self.autoscaler.interval(kind),
                            MAX_RENTALS,
                        )
                    )
        return result
