"""One planning round: makes a plan from the present state and carries it out."""

import asyncio
from collections.abc import Iterator, Sequence
from datetime import timedelta

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.dispatch.context import DispatchContext, StartRecorder
from dappledrum.dispatch.pending_work import PendingWork
from dappledrum.dispatch.placement import Placer
from dappledrum.dispatch.preemption import Preemption, PreemptionRights
from dappledrum.dispatch.scale_in import ScaleIn
from dappledrum.scheduling.bags import Bag, TeamCapacity
from dappledrum.scheduling.plan import Planner
from dappledrum.scheduling.plan_builder import Plan
from dappledrum.scheduling.timeline import MachineTimeline

#: Planning time after which the event loop runs other tasks.
EVENT_LOOP_SLICE = timedelta(milliseconds=15)
BEST_EFFORT_INTERVAL = timedelta(seconds=3)  # between plans that place best-effort jobs
#: Age at which a plan stops renting; bags that it has not reached come first in the next one.
MAX_PLAN_TIME = timedelta(milliseconds=700)


class Dispatcher:
    """Makes plans and carries them out, one at a time."""

    def __init__(
        self, context: DispatchContext, start_recorder: StartRecorder, page_bytes: int
    ) -> None:
        """`page_bytes` limits the stored size of a page to which placements are added."""
        self.jobs = context.jobs
        self.autoscaler = context.autoscaler
        self.clock = context.clock
        self.tuning = context.tuning
        self.work = PendingWork(context)
        self.machines = CandidateMachines(context)
        self.placer = Placer(context, self.work, start_recorder, page_bytes)
        self.preemption = Preemption(context)
        self.scale_in = ScaleIn(context, self.machines)
        self.best_effort_planned_at = -BEST_EFFORT_INTERVAL
        self.postponed: set[str] = set()  # bags that the last plan did not reach
        self.nothing_late = False  # the last plan was complete, had nothing late, rented nothing

    async def run(self) -> Plan:
        """Make one plan and carry it out.

        A plan for hundreds of machines takes a large part of a second, so the event loop runs
        other tasks in between, and each start is placed as soon as it is decided. Most of the time
        is spent on renting (Algorithm 2). That part has a time limit, because a long plan delays
        the starts that only the next plan can see.
        """
        now = self.clock.now()
        self.machines.refresh()
        self.work.refresh()
        timelines = self.machines.timelines(now)
        bags = self.work.bags(now, self._best_effort_cpus(timelines, now))
        planner = Planner(
            now,
            timelines,
            self.machines.offers(),
            self.tuning.ready_share,
            TeamCapacity(self.work.team_capacity()),
        )
        plan = planner.plan
        await self._run_steps(planner.fill(bags), plan)
        await self._run_steps(planner.rent(self.postponed), plan, now + MAX_PLAN_TIME)
        self.postponed = {bag.id for bag, _ in planner.unplaced}
        rights = PreemptionRights(self.work.guaranteed, self.work.preemptible())
        self._preempt(plan, bags, now, rights)
        self.nothing_late = not plan.late and not plan.rentals and not self.postponed
        needed = plan.needed
        if self.postponed:
            # What the postponed bags need is unknown, so machines needed before stay needed.
            needed = needed | self.autoscaler.needed
        else:
            self.scale_in.retire_best_effort_machines(plan, now, rights.preemptible)
            if self.autoscaler.listed:
                self.scale_in.retire_on_demand_machines(plan, timelines, bags)
        # Nothing is rented before the first list of rentals shows what the former leader rented.
        self.autoscaler.order(plan.rentals if self.autoscaler.listed else {}, needed, now)
        return plan

    def _best_effort_cpus(self, timelines: list[MachineTimeline], now: timedelta) -> float:
        """CPUs that best-effort jobs may take in this plan. They are not in every plan, since
        thousands of their tasks cost as much planning time as all others together."""
        if now - self.best_effort_planned_at < BEST_EFFORT_INTERVAL:
            return 0.0
        self.best_effort_planned_at = now
        return self.machines.best_effort_capacity(timelines, self.nothing_late)

    def _preempt(
        self, plan: Plan, bags: Sequence[Bag], now: timedelta, rights: PreemptionRights
    ) -> None:
        """Stop other tasks so that those that the plan could not place in time can start."""
        for bag in bags:
            job, late = self.jobs.get(bag.id), plan.late.get(bag.id)
            if job is None or late is None:
                continue
            if not bag.free_capacity_only and not bag.cheapest_kind_only:
                self.preemption.free_capacity(job, bag, late, now, rights)

    async def _run_steps(
        self, steps: Iterator[None], plan: Plan, until: timedelta | None = None
    ) -> None:
        """Run the steps of a plan and place what they start, until the moment `until`. Yields to
        the event loop after each `EVENT_LOOP_SLICE`."""
        slice_began_at = self.clock.now()
        placed_starts = len(plan.starts)
        for _ in steps:
            self.placer.start(plan.starts[placed_starts:])
            placed_starts = len(plan.starts)
            now = self.clock.now()
            if until is not None and now > until:
                return
            if now - slice_began_at > EVENT_LOOP_SLICE:
                await asyncio.sleep(0)
                slice_began_at = self.clock.now()
