"""Makes one plan after the other: after a change, and at least once a second."""

import asyncio
import logging
from datetime import timedelta

from dappledrum.dispatch.dispatcher import Dispatcher
from dappledrum.leader.context import TermContext
from dappledrum.leader.plan_trigger import PlanTrigger

log = logging.getLogger(__name__)

#: Slow boots and tasks that overrun trigger no plan, so one is made after this time at the latest.
MAX_PLAN_INTERVAL = timedelta(seconds=1)
MIN_PLAN_PAUSE = timedelta(milliseconds=100)
#: The pause after a plan is this many times its duration, but `MAX_PLAN_INTERVAL` at most, so that
#: heartbeats are answered in time even if planning is slow.
PAUSE_PER_PLAN_TIME = 4


class PlanningLoop:
    """Runs the dispatcher while this controller may give commands."""

    def __init__(
        self, context: TermContext, dispatcher: Dispatcher, plan_trigger: PlanTrigger
    ) -> None:
        self.clock = context.clock
        self.may_command = context.may_command
        self.dispatcher = dispatcher
        self.plan_trigger = plan_trigger

    async def run(self) -> None:
        """Plan until cancelled."""
        while True:
            await self.plan_trigger.wait(MAX_PLAN_INTERVAL)
            pause = MIN_PLAN_PAUSE
            if self.may_command() and self.dispatcher.autoscaler.types:
                pause = await self._plan()
            await asyncio.sleep(pause.total_seconds())

    async def _plan(self) -> timedelta:
        """Make one plan and carry it out; returns the pause that should follow."""
        started_at = self.clock.now()
        plan = await self.dispatcher.run()
        duration = self.clock.now() - started_at
        log.debug("plan in %.0f ms: %s", duration.total_seconds() * 1e3, plan)
        return max(MIN_PLAN_PAUSE, min(duration * PAUSE_PER_PLAN_TIME, MAX_PLAN_INTERVAL))
