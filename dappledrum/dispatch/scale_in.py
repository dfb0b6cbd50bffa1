"""Replaces ordinary machines by spot machines, and returns those that only idle jobs use."""

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

SPOT_HEADROOM = 0.1  # share of the spot machines that stays free when ordinary ones are retired
REPLACEMENT_SHARE = 0.1  # share of the fleet for which cheaper machines are rented at a time


class ScaleIn:
    """Decides which ordinary machines are no longer needed."""

    def __init__(self, context: DispatchContext, machines: CandidateMachines) -> None:
        self.jobs = context.jobs
        self.registry = context.registry
        self.machines = machines
        self.autoscaler = context.autoscaler
        self.params = context.params

    def retire_ordinary_machines(
        self, plan: Plan, timelines: list[MachineTimeline], bags: list[Bag]
    ) -> None:
        """Retire ordinary machines whose work fits on spot machines.

        While small tasks come and go, a large machine is never idle at the end of its interval,
        and tasks whose image it holds finish first there. So ordinary machines that were rented in
        one bad moment stayed for the day, while spot machines fell idle and were returned. An
        ordinary machine therefore gets no new work once the spot machines have as much free
        capacity, beyond what the plan uses, what is late, and a reserve. While nothing is late,
        spot machines are also rented as replacements. Without spare capacity all machines are
        used.
        """
        retiring = [machine for machine in self.registry if machine.retiring]
        spare = self._spare_spot_cpus(timelines) - sum(
            self._used_cpus(machine) for machine in retiring
        )
        spare -= sum(bag.size.cpus * plan.late.get(bag.id, 0) for bag in bags)
        bound = any(not job.spec.spot for job in self.jobs.values())
        if bound or (plan.late and spare <= 0):
            for machine in retiring:
                machine.retiring = False
            return
        self._keep_machines_in_demand(plan, timelines, bags, retiring)
        ordinary = self._replaceable(timelines)
        ordinary.sort(key=lambda pair: (-pair[0].hourly_cpu, len(pair[1].placements)))
        left = 0.0
        for _, candidate in ordinary:
            used = self._used_cpus(candidate)
            if used < spare:
                log.info("%s gets no new work: spot machines have room for it", candidate.name)
                candidate.retiring = True
                spare -= used
            else:
                left += used
        # What would go back is worth more as room for what ordinary machines still do.
        self.autoscaler.keep_spot = bool(ordinary)
        if left > 0 and not plan.late and not plan.rentals:
            plan.rentals.update(self._spot_replacements(left - spare, timelines))

    def _replaceable(
        self, timelines: list[MachineTimeline]
    ) -> list[tuple[MachineTimeline, Machine]]:
        """Ordinary machines that are up, whose work could run on cheaper spot machines."""
        result = []
        for view in timelines:
            machine = self.registry.get(view.machine)
            if view.kind.spot or view.booting or machine is None:
                continue
            model = self.autoscaler.types.get(view.kind.type)
            jobs = [placement.page.job for placement in machine.placements.values()]
            if self._has_cheaper_spot(model) and all(
                job.spec.form is not Form.SERVICE for job in jobs
            ):
                result.append((view, machine))
        return result

    def _keep_machines_in_demand(
        self,
        plan: Plan,
        timelines: list[MachineTimeline],
        bags: list[Bag],
        retiring: list[Machine],
    ) -> None:
        """Use a retiring machine after all for what waits and fits nowhere else.

        A job that is bound to its type or zone once waited until the last task there was over, as
        spot machines of other types had capacity to spare.
        """
        if not retiring:
            return
        started = {bag_id for bag_id, _, _ in plan.starts}
        for bag in bags:
            waits = bag.id not in started and (bag.id in plan.late or bag.uses_free_capacity)
            if not waits or any(self._can_start(bag, view) for view in timelines):
                continue
            for machine in retiring:
                if self._fits_beside(bag, machine):
                    machine.retiring = False

    @staticmethod
    def _can_start(bag: Bag, view: MachineTimeline) -> bool:
        """Whether a task could start on a machine now."""
        fits = not view.booting and bag.allowed(view.kind)
        return fits and view.free[0].times(bag.size) >= 1

    def _fits_beside(self, bag: Bag, machine: Machine) -> bool:
        """Whether a machine has capacity for a task beside what is there."""
        kind = machine.kind
        model = None if kind is None else self.autoscaler.types.get(kind.type)
        if kind is None or model is None or not bag.allowed(kind):
            return False
        free = Size(model.cpus, model.gpus, model.memory_gb)
        for placement in machine.placements.values():
            free = free.minus(placement.page.job.size)
        return free.times(bag.size) >= 1

    def _spot_replacements(
        self, cpus: float, timelines: list[MachineTimeline]
    ) -> dict[InstanceKind, int]:
        """Spot machines to rent for work that now runs on ordinary ones: the cheapest type on
        which all live tasks fit, a tenth of the fleet at a time."""
        coming = sum(view.capacity for view in timelines if view.booting and view.kind.spot)
        cpus = min(cpus, REPLACEMENT_SHARE * sum(view.capacity for view in timelines)) - coming
        result: dict[InstanceKind, int] = {}
        models = [
            m for m in self.autoscaler.types.values() if m.cpus > 0 and self._has_cheaper_spot(m)
        ]
        for model in sorted(models, key=lambda m: m.hourly(True) / m.cpus):
            whole = Size(model.cpus, model.gpus, model.memory_gb)
            if any(whole.times(size) < 1 for size in self.machines.sizes):
                continue
            for zone in model.zones:
                kind = InstanceKind(model.name, zone, True)
                count = min(math.ceil(cpus / model.cpus), MAX_RENTALS)
                if count > 0 and self.autoscaler.offered(kind):
                    result[kind] = count
                    cpus -= count * model.cpus
        return result

    @staticmethod
    def _used_cpus(machine: Machine) -> float:
        """CPUs used by tasks on a machine."""
        return sum(p.page.job.spec.cpus for p in machine.placements.values())

    @staticmethod
    def _has_cheaper_spot(model: MachineType | None) -> bool:
        """Whether a spot machine of this type costs less than an ordinary one."""
        return (
            model is not None and model.spot_price is not None and model.spot_price < model.price
        )

    def _spare_spot_cpus(self, timelines: list[MachineTimeline]) -> float:
        """CPUs on running spot machines that the plan does not use, counted in units of the
        largest tasks, less the reserve. Machines that the cloud is about to take do not count."""
        spot = [
            view
            for view in timelines
            if view.kind.spot and not view.booting and view.until is None
        ]
        free = 0.0
        for view in spot:
            model = self.autoscaler.types[view.kind.type]
            whole = Size(model.cpus, model.gpus, model.memory_gb)
            fitting = [size for size in self.machines.sizes if whole.times(size) >= 1]
            size = max(fitting, key=lambda one: one.cpus, default=whole)
            free += view.free[0].times(size) * size.cpus
        return free - SPOT_HEADROOM * sum(view.capacity for view in spot)

    def retire_best_effort_machines(
        self, plan: Plan, now: timedelta, preemptible: set[str]
    ) -> None:
        """Return an ordinary machine that only idle jobs use, as if it were idle.

        Only jobs that save their progress are placed there, and they are stopped early enough to
        save.
        """
        heartbeat_interval = self.params.workers.heartbeat_interval
        for machine in self.registry:
            if machine.kind is None or machine.kind.spot or machine.name in plan.needed:
                continue
            jobs = [p.page.job for p in machine.placements.values()]
            if not jobs or machine.retiring or any(j.id not in preemptible for j in jobs):
                continue
            interval = self.autoscaler.interval(machine.kind)
            left = interval - (now - machine.rented_at) % interval
            if left <= heartbeat_interval * 3 + max(j.spec.save for j in jobs) * 1.5 + timedelta(
                seconds=1
            ):
                log.info("%s gets no new work: only idle work is left on it", machine.name)
                machine.retiring = True
                for placement in machine.placements.values():
                    placement.lost = True
