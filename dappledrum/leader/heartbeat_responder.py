"""The leader's answers to heartbeats of workers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.election.terms import Term
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.commands import pending
from dappledrum.workers.machine_registry import Machine, MachineRegistry
from dappledrum.workers.messages import Command, Commands, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler

log = logging.getLogger(__name__)

#: The longest that an answer to a worker waits for a record that it could carry.
HOLD = timedelta(milliseconds=400)
PLAN_TIME = timedelta(milliseconds=250)
#: Part of the time between two heartbeats for which the answer to an idle worker is held back. The
#: worker sends heartbeats at the same rate all the same, and nearly always gets new work at once.
IDLE_SHARE = 0.85
#: Well within the 4 s after which a worker turns to another controller.
MAX_IDLE_WAIT = timedelta(seconds=2.6)
LOAD_TIME = timedelta(seconds=1.5)  # the longest that a heartbeat waits for the records to be read


class HeartbeatResponder:
    """Answers workers during one term."""

    def __init__(
        self,
        term: Term,
        leading: Callable[[], bool],
        limits: WorkerLimits,
        clock: Clock,
        registry: MachineRegistry,
        reconciler: Reconciler,
        record_writer: RecordWriter,
        machines: CandidateMachines,
        loaded: asyncio.Event,
        woken: asyncio.Event,
    ) -> None:
        self.term = term
        self.leading = leading
        self.limits = limits
        self.clock = clock
        self.registry = registry
        self.reconciler = reconciler
        self.record_writer = record_writer
        self.machines = machines
        self.loaded = loaded  # the records are read
        self.woken = woken  # a plan is about to be made

    async def answer(
        self, heartbeat: WorkerHeartbeat, holding: Callable[[], bool], most: timedelta
    ) -> Commands | None:
        """The answer to a worker, which is held back for up to `most` while there is no work for
        it; None when this controller is not entitled to answer."""
        if not self.loaded.is_set() and not await self._happens(self.loaded.wait(), LOAD_TIME):
            return None
        if heartbeat.token > self.term.epoch:
            log.warning("%s has seen token %d, stepping down", heartbeat.machine, heartbeat.token)
            self.term.ended.set()
            return None
        if heartbeat.machine in self.registry.gone:
            return None
        machine = self.reconciler.take(heartbeat)
        known = self.registry.get(heartbeat.machine)
        if machine is None:
            if known is None or not holding():
                return None
            # No sign of life, and no new lease either: what an answer renews counts from the
            # sending of its heartbeat, and this worker has sent a newer one since, which has come.
            return Commands(self.term.epoch, [])
        if self.leading():
            await self._wait_for_work(machine, most)
        if not holding() or machine.name in self.registry.gone:
            return None
        return self._commands(machine, heartbeat)

    def _commands(self, machine: Machine, heartbeat: WorkerHeartbeat) -> Commands:
        now = self.clock.now()
        machine.last_answer = max(machine.last_answer, now)
        fresh = (machine.session, machine.sequence) == (heartbeat.session, heartbeat.sequence)
        if fresh:
            machine.reachability.answered(now, self.limits.lease_duration)
        commands: list[Command] = []
        if fresh and self.leading():
            commands = self.reconciler.commands.of_records(machine, heartbeat)
        elif fresh:
            commands = self.reconciler.commands.of_cancellations(machine, heartbeat)
        return Commands(self.term.epoch, commands)

    async def _wait_for_work(self, machine: Machine, most: timedelta) -> None:
        """Wait a little before answering, so that the answer can carry starts.

        Starts are sent only in answers, and the next heartbeat may be seconds away. So an answer
        waits for the plan that the heartbeat itself has triggered, or, when the machine is idle,
        for any plan that places something there; then for the record of what was placed.
        """
        if not machine.up:
            # The next heartbeat shows whether it gets our answers; until then it gets nothing.
            return
        if not pending(machine):
            time_limit = ZERO
            if self.woken.is_set():
                time_limit = PLAN_TIME
            hold = min(self.limits.heartbeat_interval * IDLE_SHARE, most)
            if not machine.placements or self.machines.may_wait(machine, hold):
                time_limit = hold
            machine.given.clear()
            if time_limit <= ZERO or not await self._happens(machine.given.wait(), time_limit):
                return
        until = self.clock.now() + HOLD
        while self.leading() and pending(machine):
            left = until - self.clock.now()
            if left <= ZERO or not await self._happens(self._saved(), left):
                return

    async def _saved(self) -> bool:
        async with self.record_writer.stored:
            return await self.record_writer.stored.wait()

    @staticmethod
    async def _happens(wait: Awaitable[bool], time_limit: timedelta) -> bool:
        try:
            async with asyncio.timeout(time_limit.total_seconds()):
                await wait
        except TimeoutError:
            return False
        return True
