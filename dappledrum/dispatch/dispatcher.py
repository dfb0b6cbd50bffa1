"""One planning round: makes a plan from the present state and carries it out."""

import asyncio
from collections.abc import Callable, Iterator
from datetime import timedelta

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.dispatch.pending_work import PendingWork
from dappledrum.dispatch.placement import Placer
from dappledrum.dispatch.preemption import Preemption
from dappledrum.dispatch.scale_in import ScaleIn
from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.jobs.job import Job, Page
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.plan import Plan, Planner, TeamCapacity
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry

EVENT_LOOP_SLICE = timedelta(
    milliseconds=15
)  # planning time before the event loop runs other tasks
BEST_EFFORT_INTERVAL = timedelta(seconds=3)
#: Time limit of one plan; bags it has not reached by then come first in the next one.
MAX_PLAN_TIME = timedelta(milliseconds=700)


class Dispatcher:
    """Makes plans and carries them out."""

    def __init__(
        self,
        jobs: dict[str, Job],
        registry: MachineRegistry,
        estimates: Estimates,
        autoscaler: Autoscaler,
        params: Params,
        clock: Clock,
        tuning: Tuning,
        mark: Callable[[Page], None],
        backlog: Callable[[], int] = lambda: 0,
        page_bytes: int | None = None,
    ) -> None:
        self.jobs = jobs
        self.autoscaler = autoscaler
        self.clock = clock
        self.tuning = tuning
        self.work = PendingWork(jobs, estimates, autoscaler, params, clock, tuning)
        self.machines = CandidateMachines(jobs, registry, estimates, autoscaler, params, clock)
        self.placer = Placer(self.work, registry, params, clock, mark, backlog, page_bytes)
        self.preemption = Preemption(registry, autoscaler, params)
        self.scale_in = ScaleIn(jobs, registry, self.machines, autoscaler, params)
        self.best_effort_planned_at = -BEST_EFFORT_INTERVAL
        self.postponed: set[str] = set()  # bags that the newest plan did not reach
        self.nothing_late = False  # the newest plan had nothing late and rented nothing

    async def run(self) -> Plan:
        """Make one plan and carry it out.

        A plan for hundreds of machines takes a good part of a second, so the event loop runs other
        tasks in between, and each start is placed as soon as it is decided. Most of the time is
        spent on renting (Algorithm 2). That part is bounded, because a long plan delays the starts
        that only the next plan can see.
        """
        now = self.clock.now()
        self.machines.refresh()
        self.work.refresh()
        timelines = self.machines.timelines(now)
        # Not with every plan: thousands of idle tasks cost as much as all others together.
        due = now - self.best_effort_planned_at >= BEST_EFFORT_INTERVAL
        self.best_effort_planned_at = now if due else self.best_effort_planned_at
        bags = self.work.bags(
            now, self.machines.best_effort_capacity(timelines, self.nothing_late) if due else 0.0
        )
        planner = Planner(
            now,
            timelines,
            self.machines.offers(),
            self.tuning.ready_share,
            TeamCapacity(self.work.team_capacity()),
        )
        plan = planner.plan
        await self._step(planner.fill(bags), plan)
        await self._step(planner.rent(self.postponed), plan, now + MAX_PLAN_TIME)
        self.postponed = {bag.id for bag, _ in planner.left}
        guaranteed, preemptible = self.work.guaranteed, self.work.preemptible()
        for bag in bags:
            if (
                bag.id in plan.late
                and not bag.free_capacity_only
                and not bag.cheapest_kind_only
                and bag.id in self.jobs
            ):
                job, late = self.jobs[bag.id], plan.late[bag.id]
                self.preemption.free_capacity(job, bag, late, now, guaranteed, preemptible)
        self.nothing_late = not plan.late and not plan.rentals and not self.postponed
        needed = plan.needed
        if self.postponed:
            # What the postponed bags need is not known yet, so no needed machine is dropped.
            needed = needed | self.autoscaler.needed
        else:
            self.scale_in.retire_best_effort_machines(plan, now, preemptible)
            if self.autoscaler.listed:
                self.scale_in.retire_ordinary_machines(plan, timelines, bags)
        # Before the first list it is not known what the predecessor has rented.
        self.autoscaler.order(plan.rentals if self.autoscaler.listed else {}, needed, now)
        return plan

    async def _step(
        self, steps: Iterator[None], plan: Plan, until: timedelta | None = None
    ) -> None:
        """Take the steps of a plan and place what they start. Yields to the event loop now and
        then; stops at `until`."""
        turn = self.clock.now()
        placed = len(plan.starts)
        for _ in steps:
            self.placer.start(plan.starts[placed:])
            placed = len(plan.starts)
            now = self.clock.now()
            if until is not None and now > until:
                return
            if now - turn > EVENT_LOOP_SLICE:
                await asyncio.sleep(0)
                turn = self.clock.now()
