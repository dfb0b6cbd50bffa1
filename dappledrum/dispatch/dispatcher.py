"""One wake of the rule: what is there is planned, and what the plan says is done."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from dappledrum.dispatch.machines import Machines
from dappledrum.dispatch.placing import Placing
from dappledrum.dispatch.preemption import Preemption
from dappledrum.dispatch.savings import Savings
from dappledrum.dispatch.work import Work
from dappledrum.fleet.keeper import Keeper
from dappledrum.jobs.record import Job, Page
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.plan import Plan, Planner, TeamRoom
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import Clock
from dappledrum.workers.roster import Roster

TURN = timedelta(milliseconds=15)  # of planning, before others get theirs
IDLE_EVERY = timedelta(seconds=3)


class Dispatcher:
    """Plans, and does what the plan says."""

    def __init__(
        self,
        jobs: dict[str, Job],
        roster: Roster,
        estimates: Estimates,
        keeper: Keeper,
        params: Params,
        clock: Clock,
        tuning: Tuning,
        mark: Callable[[Page], None],
        backlog: Callable[[], int] = lambda: 0,
        page_bytes: int | None = None,
    ) -> None:
        self.jobs = jobs
        self.keeper = keeper
        self.clock = clock
        self.tuning = tuning
        self.work = Work(jobs, estimates, keeper, params, clock, tuning)
        self.machines = Machines(jobs, roster, estimates, keeper, params, clock)
        self.placing = Placing(self.work, roster, params, clock, mark, backlog, page_bytes)
        self.preemption = Preemption(roster, keeper, params)
        self.savings = Savings(jobs, roster, self.machines, keeper, params)
        self.idle_at = -IDLE_EVERY
        self.calm = False  # the newest plan had nothing late and rented nothing

    async def run(self) -> Plan:
        """One wake of the rule.

        A plan for hundreds of machines takes a good part of a second, so the event loop gets its
        turn in between, and what starts is placed as soon as it is decided.
        """
        now = self.clock.now()
        self.machines.refresh()
        self.work.refresh()
        lanes = self.machines.lanes(now)
        # Not with every plan: looking for room for thousands of idle tasks costs as much as all
        # others together.
        due = now - self.idle_at >= IDLE_EVERY
        self.idle_at = now if due else self.idle_at
        bags = self.work.bags(now, self.machines.idle_room(lanes, self.calm) if due else 0.0)
        planner = Planner(
            now,
            lanes,
            self.machines.offers(),
            self.tuning.ready_share,
            TeamRoom(self.work.team_room()),
        )
        plan = planner.plan
        turn = now
        placed = 0
        for _ in planner.steps(bags):
            self.placing.start(plan.starts[placed:])
            placed = len(plan.starts)
            if self.clock.now() - turn > TURN:
                await asyncio.sleep(0)
                turn = self.clock.now()
        guaranteed, yielding = self.work.guaranteed, self.work.yielding()
        for bag in bags:
            if bag.id in plan.late and not bag.held and not bag.thrifty and bag.id in self.jobs:
                job, late = self.jobs[bag.id], plan.late[bag.id]
                self.preemption.make_room(job, bag, late, now, guaranteed, yielding)
        self.calm = not plan.late and not plan.rentals
        self.savings.release_from_idle(plan, now, yielding)
        if self.keeper.listed:
            self.savings.cheapen(plan, lanes)
        # Before the first list nobody knows what a predecessor has rented.
        self.keeper.order(plan.rentals if self.keeper.listed else {}, plan.needed, now)
        return plan
