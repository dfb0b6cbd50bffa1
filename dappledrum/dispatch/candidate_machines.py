"""Machines as input of the planner: those that are rented, and the kinds that can be rented."""

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
BEST_EFFORT_RESERVE = 0.25  # share of the spot machines that idle jobs leave free
BEST_EFFORT_RENTAL_SHARE = (
    0.05  # share of the fleet that one plan may rent for them while nothing is late
)


class CandidateMachines:
    """The capacity of the fleet, now and later."""

    def __init__(self, context: DispatchContext) -> None:
        self.jobs = context.jobs
        self.registry = context.registry
        self.estimates = context.estimates
        self.autoscaler = context.autoscaler
        self.params = context.params
        self.clock = context.clock
        self.sizes: set[Size] = set()  # of the tasks of live jobs
        self.running_since = ZERO
        self.mostly_unreachable = False  # most machines get no answers: the fault is on this side
        self._moments: dict[str, tuple[timedelta, timedelta]] = {}  # for one plan

    def refresh(self) -> None:
        """Compute what all machines of one plan have in common."""
        self.running_since = self.autoscaler.running_since()
        self.mostly_unreachable = self.registry.mostly_unreachable()
        self.sizes = {job.size for job in self.jobs.values()}
        self._moments = {}

    def timelines(self, now: timedelta) -> list[MachineTimeline]:
        """One entry for each machine that new work may use, now or later."""
        return [
            view for machine in self.registry if (view := self._timeline(machine, now)) is not None
        ]

    def may_wait(self, machine: Machine, span: timedelta) -> bool:
        """Whether the answer to a busy machine may be held back for this time. It has free
        capacity, and none of its tasks is expected to end meanwhile: the heartbeat of that end
        would have to wait for the answer to this heartbeat."""
        model = self.autoscaler.types.get(machine.kind.type) if machine.kind is not None else None
        if model is None or not machine.usable or machine.reclaim_at is not None:
            return False
        now = self.clock.now()
        free = Size(model.cpus, model.gpus, model.memory_gb)
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.running_since is None or placement.lost or job.cancelled:
                return False
            if (
                job.spec.form is not Form.SERVICE
                and now + span > placement.running_since + self._mean(job)
            ):
                return False
            free = free.minus(job.size)
        return any(free.times(size) for size in self.sizes)

    def available(self) -> list[str]:
        """Machines that new work may use at this moment, for the accounts."""
        now = self.clock.now()
        return [m.name for m in self.registry if m.up and self._takes_work(m, now)]

    def _takes_work(self, machine: Machine, now: timedelta) -> bool:
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

    def _mean(self, job: Job) -> timedelta:
        return self.estimates.moments(job.id, job.spec.job_class, job.spec.estimate)[0]

    def _timeline(self, machine: Machine, now: timedelta) -> MachineTimeline | None:
        kind = machine.kind
        model = self.autoscaler.types.get(kind.type) if kind is not None else None
        if kind is None or model is None or not self._takes_work(machine, now):
            return None
        if not machine.up and machine.placements and not machine.awaiting_heartbeat:
            return None
        ready_at = now if machine.up else self.autoscaler.ready_at(machine)
        until = None if machine.reclaim_at is None else machine.reclaim_at - timedelta(seconds=1)
        timeline = MachineTimeline(
            machine.name,
            kind,
            Size(model.cpus, model.gpus, model.memory_gb),
            ready_at,
            machine.rented_at,
            model.hourly(kind.spot),
            model.fetch_gb_per_s,
            self.autoscaler.interval(kind),
            until,
            booting=not machine.up,
        )
        for image in machine.images:
            timeline.images[image] = ready_at
        tasks: list[tuple[timedelta, Size]] = []
        for placement in machine.placements.values():
            job = placement.page.job
            tasks.append((self._finish(placement, timeline, now), job.size))
            timeline.expect_image(job.spec.image, job.spec.image_gb, now)
        timeline.occupy(tasks)
        return timeline

    def _finish(
        self, placement: Placement, timeline: MachineTimeline, now: timedelta
    ) -> timedelta:
        """When a task that is placed on a machine is expected to end there."""
        job = placement.page.job
        if placement.lost or job.cancelled:
            return now + self.params.workers.heartbeat_interval * 2
        if job.spec.form is Form.SERVICE:
            return now + SERVICE_RUN_TIME
        known = self._moments.get(job.id)
        if known is None:
            known = self._moments[job.id] = self.estimates.moments(
                job.id, job.spec.job_class, job.spec.estimate
            )
        mean, deviation = known
        if placement.running_since is None:
            return now + timeline.duration(
                mean + deviation, job.spec.image, job.spec.image_gb, now
            )
        left = mean + deviation - (now - placement.running_since)
        return now + max(left, deviation / 2, timedelta(seconds=1))

    def best_effort_capacity(self, timelines: list[MachineTimeline], nothing_late: bool) -> float:
        """CPUs that jobs without any deadline may take in this plan: what is free on machines that
        are paid for anyway, less a reserve for work that may come; and a few machines more while
        nothing is late. Such jobs run for minutes, so they would fit into no billed interval, and
        with a distant deadline they would be postponed for ever."""
        up = [view for view in timelines if not view.booting]
        total = free = 0.0
        for view in up:
            total += view.capacity
            free += max(0.0, view.free[0].cpus)
        more = 0.0
        if nothing_late:
            largest = max((model.cpus for model in self.autoscaler.types.values()), default=0.0)
            more = max(
                BEST_EFFORT_RENTAL_SHARE * sum(view.capacity for view in timelines), largest
            )
        return max(0.0, free - BEST_EFFORT_RESERVE * total) + more

    def offers(self) -> list[Offer]:
        """The kinds of machines that can be rented now."""
        result = []
        for model in self.autoscaler.types.values():
            for zone in model.zones:
                for spot in (True, False):
                    kind = InstanceKind(model.name, zone, spot)
                    if (spot and model.spot_price is None) or not self.autoscaler.offered(kind):
                        continue
                    capacity = Size(model.cpus, model.gpus, model.memory_gb)
                    boot = self.autoscaler.boots.expected(kind)
                    result.append(
                        Offer(
                            kind,
                            capacity,
                            model.hourly(spot),
                            boot,
                            model.fetch_gb_per_s,
                            self.autoscaler.interval(kind),
                            MAX_RENTALS,
                        )
                    )
        return result
