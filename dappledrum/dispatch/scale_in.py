"""Replaces on-demand machines by spot machines, and retires those with only best-effort work."""

import logging
import math
from datetime import timedelta

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.dispatch.context import DispatchContext
from dappledrum.fleet.autoscaler import MAX_RENTALS
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.messages import Form
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.plan_builder import Plan
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Size
from dappledrum.workers.machine_registry import Machine

log = logging.getLogger(__name__)

SPOT_HEADROOM = 0.1  # share of the spot CPUs to keep free when machines retire
REPLACEMENT_SHARE = 0.1  # share of the fleet for which replacements may boot at a time


class ScaleIn:
    """Decides which on-demand machines are no longer needed."""

    def __init__(self, context: DispatchContext, machines: CandidateMachines) -> None:
        self.jobs = context.jobs
        self.registry = context.registry
        self.machines = machines
        self.autoscaler = context.autoscaler
        self.params = context.params

    def retire_on_demand_machines(
        self, plan: Plan, timelines: list[MachineTimeline], bags: list[Bag]
    ) -> None:
        """Retire on-demand machines whose work fits on spot machines.

        While small tasks come and go, a large machine is never idle at the end of its interval,
        and tasks whose image it holds finish first there. So on-demand machines rented during a
        short peak stayed for the day, while spot machines fell idle and were returned. An
        on-demand machine therefore gets no new work once the spot machines have enough free
        capacity for its tasks, beyond what the plan uses, what is late, and a reserve. While
        nothing is late, spot machines are also rented as replacements. All machines are used while
        work is late and there is no spare capacity, or while any job may not use spot machines.
        """
        retiring = [machine for machine in self.registry if machine.retiring]
        spare_cpus = self._spare_spot_cpus(timelines) - sum(
            self._used_cpus(machine) for machine in retiring
        )
        spare_cpus -= sum(bag.size.cpus * plan.late.get(bag.id, 0) for bag in bags)
        has_on_demand_only_job = any(not job.spec.spot for job in self.jobs.values())
        if has_on_demand_only_job or (plan.late and spare_cpus <= 0):
            for machine in retiring:
                machine.retiring = False
            return
        self._keep_machines_in_demand(plan, timelines, bags, retiring)
        replaceable = self._replaceable(timelines)
        replaceable.sort(key=lambda pair: (-pair[0].hourly_price_per_cpu, len(pair[1].placements)))
        remaining_cpus = 0.0
        for _, candidate in replaceable:
            used_cpus = self._used_cpus(candidate)
            if used_cpus < spare_cpus:
                log.info(
                    "%s is retiring: spot machines have capacity for its work", candidate.name
                )
                candidate.retiring = True
                spare_cpus -= used_cpus
            else:
                remaining_cpus += used_cpus
        # Spot machines that would be returned are kept as capacity for the work of on-demand ones.
        self.autoscaler.keep_spot = bool(replaceable)
        if remaining_cpus > 0 and not plan.late and not plan.rentals:
            plan.rentals.update(self._spot_replacements(remaining_cpus - spare_cpus, timelines))

    def _replaceable(
        self, timelines: list[MachineTimeline]
    ) -> list[tuple[MachineTimeline, Machine]]:
        """Running on-demand machines whose work could move to cheaper spot machines."""
        result = []
        for timeline in timelines:
            machine = self.registry.get(timeline.machine)
            if timeline.kind.spot or timeline.booting or machine is None:
                continue
            machine_type = self.autoscaler.types.get(timeline.kind.type)
            jobs = [placement.page.job for placement in machine.placements.values()]
            if self._has_cheaper_spot(machine_type) and all(
                job.spec.form is not Form.SERVICE for job in jobs
            ):
                result.append((timeline, machine))
        return result

    def _keep_machines_in_demand(
        self,
        plan: Plan,
        timelines: list[MachineTimeline],
        bags: list[Bag],
        retiring: list[Machine],
    ) -> None:
        """Stop retiring machines that waiting work needs because it can start nowhere else.

        A job bound to a type or zone waited until the last task on the retiring machine had ended,
        since spot machines of other types had spare capacity.
        """
        if not retiring:
            return
        started = {bag_id for bag_id, _, _ in plan.starts}
        for bag in bags:
            is_waiting = bag.id not in started and (bag.id in plan.late or bag.uses_free_capacity)
            if not is_waiting or any(self._can_start(bag, timeline) for timeline in timelines):
                continue
            for machine in retiring:
                if self._has_capacity(bag, machine):
                    machine.retiring = False

    @staticmethod
    def _can_start(bag: Bag, timeline: MachineTimeline) -> bool:
        """Whether a task of the bag could start on a machine now."""
        fits = not timeline.booting and bag.allowed(timeline.kind)
        return fits and timeline.free[0].fit_count(bag.size) >= 1

    def _has_capacity(self, bag: Bag, machine: Machine) -> bool:
        """Whether a machine has capacity for a task of the bag besides those placed on it."""
        kind = machine.kind
        machine_type = None if kind is None else self.autoscaler.types.get(kind.type)
        if kind is None or machine_type is None or not bag.allowed(kind):
            return False
        free = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        for placement in machine.placements.values():
            free = free.minus(placement.page.job.size)
        return free.fit_count(bag.size) >= 1

    def _spot_replacements(
        self, cpus: float, timelines: list[MachineTimeline]
    ) -> dict[InstanceKind, int]:
        """Spot machines to rent for work that now runs on on-demand ones: the cheapest types
        on which all live tasks fit, up to `REPLACEMENT_SHARE` of the fleet at a time."""
        booting_cpus = sum(
            timeline.capacity for timeline in timelines if timeline.booting and timeline.kind.spot
        )
        cpus = (
            min(cpus, REPLACEMENT_SHARE * sum(timeline.capacity for timeline in timelines))
            - booting_cpus
        )
        result: dict[InstanceKind, int] = {}
        machine_types = [
            m for m in self.autoscaler.types.values() if m.cpus > 0 and self._has_cheaper_spot(m)
        ]
        for machine_type in sorted(machine_types, key=lambda m: m.hourly(True) / m.cpus):
            machine_size = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            if any(machine_size.fit_count(size) < 1 for size in self.machines.sizes):
                continue
            for zone in machine_type.zones:
                kind = InstanceKind(machine_type.name, zone, True)
                count = min(math.ceil(cpus / machine_type.cpus), MAX_RENTALS)
                if count > 0 and self.autoscaler.offered(kind):
                    result[kind] = count
                    cpus -= count * machine_type.cpus
        return result

    @staticmethod
    def _used_cpus(machine: Machine) -> float:
        """CPUs that the tasks on a machine use."""
        return sum(p.page.job.spec.cpus for p in machine.placements.values())

    @staticmethod
    def _has_cheaper_spot(machine_type: MachineType | None) -> bool:
        """Whether a spot machine of this type costs less than an on-demand one."""
        return (
            machine_type is not None
            and machine_type.spot_price is not None
            and machine_type.spot_price < machine_type.price
        )

    def _spare_spot_cpus(self, timelines: list[MachineTimeline]) -> float:
        """CPUs on running spot machines that the plan does not use, in units of the largest tasks
        that fit, less the reserve. Machines that the cloud is about to reclaim do not count."""
        spot = [
            timeline
            for timeline in timelines
            if timeline.kind.spot and not timeline.booting and timeline.available_until is None
        ]
        free_cpus = 0.0
        for timeline in spot:
            machine_type = self.autoscaler.types[timeline.kind.type]
            machine_size = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
            fitting = [size for size in self.machines.sizes if machine_size.fit_count(size) >= 1]
            size = max(fitting, key=lambda fit: fit.cpus, default=machine_size)
            free_cpus += timeline.free[0].fit_count(size) * size.cpus
        return free_cpus - SPOT_HEADROOM * sum(timeline.capacity for timeline in spot)

    def retire_best_effort_machines(
        self, plan: Plan, now: timedelta, preemptible: set[str]
    ) -> None:
        """Retire on-demand machines that only best-effort jobs use, as if they were idle.

        This applies only to jobs that save their progress; they are stopped early enough before
        the end of the billed interval to save it.
        """
        heartbeat_interval = self.params.workers.heartbeat_interval
        for machine in self.registry:
            if machine.kind is None or machine.kind.spot or machine.name in plan.needed:
                continue
            jobs = [p.page.job for p in machine.placements.values()]
            if not jobs or machine.retiring or any(j.id not in preemptible for j in jobs):
                continue
            interval = self.autoscaler.interval(machine.kind)
            remaining = interval - (now - machine.rented_at) % interval
            if remaining <= heartbeat_interval * 3 + max(
                j.spec.save for j in jobs
            ) * 1.5 + timedelta(seconds=1):
                log.info("%s is retiring: it runs only best-effort work", machine.name)
                machine.retiring = True
                for placement in machine.placements.values():
                    placement.lost = True
