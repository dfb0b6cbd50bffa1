"""The leader's answers to heartbeats of workers."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.context import TermContext, TermState
from dappledrum.timing.clock import ZERO
from dappledrum.workers.answer_tokens import answer_token
from dappledrum.workers.commands import has_unstored_start
from dappledrum.workers.heartbeat_order import may_have_former_tasks
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import Command, Commands, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler

log = logging.getLogger(__name__)

#: The longest that an answer waits until placements are stored, so that it can carry their starts.
MAX_RECORD_WAIT = timedelta(milliseconds=400)
#: The longest that an answer waits for the plan that its heartbeat has triggered.
MAX_PLAN_WAIT = timedelta(milliseconds=250)
#: Share of the heartbeat interval for which the answer to an idle worker is delayed. This does not
#: lower the rate of heartbeats, and an idle worker nearly always gets new work at once.
IDLE_WAIT_SHARE = 0.85
#: Well below the 4 s after which a worker turns to another controller.
MAX_IDLE_WAIT = timedelta(seconds=2.6)
#: The longest that a heartbeat waits until the records are read at the start of a term.
MAX_LOADING_WAIT = timedelta(seconds=1.5)


class HeartbeatResponder:
    """Answers workers during one term."""

    def __init__(
        self,
        context: TermContext,
        state: TermState,
        reconciler: Reconciler,
        record_writer: RecordWriter,
        machines: CandidateMachines,
    ) -> None:
        self.term = context.term
        self.may_command = context.may_command
        self.limits = context.params.workers
        self.clock = context.clock
        self.state = state
        self.registry = state.registry
        self.reconciler = reconciler
        self.record_writer = record_writer
        self.machines = machines

    async def respond(
        self, heartbeat: WorkerHeartbeat, may_answer: Callable[[], bool], max_wait: timedelta
    ) -> Commands | None:
        """Return the answer to a heartbeat; None when this controller may not answer it.

        `may_answer`: whether a worker may be answered at the moment of the call.
        `max_wait`: the longest that the answer is delayed while there is no work for the worker.
        """
        if not await self._records_loaded() or self._is_superseded(heartbeat):
            return None
        if heartbeat.machine in self.registry.terminated:
            return None
        machine = self.reconciler.process_heartbeat(heartbeat)
        if machine is None:
            return self._answer_to_outdated(heartbeat, may_answer)
        if self.may_command() and self.reconciler.commands.may_start(machine, heartbeat):
            await self._wait_for_work(machine, max_wait)
        if not may_answer() or machine.name in self.registry.terminated:
            return None
        return self._commands(machine, heartbeat)

    async def _records_loaded(self) -> bool:
        loaded = self.state.loaded
        return loaded.is_set() or await self._completes(loaded.wait(), MAX_LOADING_WAIT)

    def _is_superseded(self, heartbeat: WorkerHeartbeat) -> bool:
        """Whether a later leader has answered the worker; if so, end this term."""
        if heartbeat.token <= self.term.last_token:
            return False
        log.warning(
            "stepping down: a later leader has answered %s: token=%d own_epoch=%d",
            heartbeat.machine,
            heartbeat.token,
            self.term.epoch,
        )
        self.term.ended.set()
        return True

    def _answer_to_outdated(
        self, heartbeat: WorkerHeartbeat, may_answer: Callable[[], bool]
    ) -> Commands | None:
        """Return the answer to a heartbeat from which nothing is concluded.

        If it is from a new worker process, the token in the answer lets its next heartbeat show
        that. The answer counts as a renewal only if it may renew the lease of a process with
        tasks. It does not if a newer heartbeat of the same process has arrived, since a lease is
        counted from the sending of the heartbeat, nor if the sender can have no tasks.
        """
        machine = self.registry.get(heartbeat.machine)
        if machine is None or not may_answer():
            return None
        context, now = self.reconciler.context, self.clock.now()
        token = answer_token(machine, heartbeat, context)
        if token is None:
            return None
        if not context.gives(heartbeat.token) and may_have_former_tasks(machine, context, now):
            machine.last_answer = max(machine.last_answer, now)
            machine.record_renewal(heartbeat, now)
        return Commands(token, [])

    def _commands(self, machine: Machine, heartbeat: WorkerHeartbeat) -> Commands | None:
        now = self.clock.now()
        machine.last_answer = max(machine.last_answer, now)
        machine.record_renewal(heartbeat, now)
        context = self.reconciler.context
        shown_token = heartbeat.token if context.gives(heartbeat.token) else 0
        newest = machine.newest == (shown_token, heartbeat.session, heartbeat.sequence)
        if newest:
            machine.reachability.answered(now, self.limits.lease_duration)
        commands: list[Command] = []
        if newest and self.may_command():
            commands = self.reconciler.commands.of_records(machine, heartbeat)
        elif newest:
            commands = self.reconciler.commands.of_cancellations(machine, heartbeat)
        token = answer_token(machine, heartbeat, context)
        return None if token is None else Commands(token, commands)

    async def _wait_for_work(self, machine: Machine, max_wait: timedelta) -> None:
        """Wait a little before answering, so that the answer can carry starts.

        Starts are sent only in answers, and the next heartbeat may be seconds away. So an answer
        waits for the plan that the heartbeat itself has triggered, or, when the machine is idle,
        for any plan that places a task there; then until the placement is stored.
        """
        if not machine.up:
            return  # nothing is started until its next heartbeat shows that answers reach it
        if not has_unstored_start(machine) and not await self._placed_within(
            machine, self._placement_wait(machine, max_wait)
        ):
            return
        deadline = self.clock.now() + MAX_RECORD_WAIT
        while self.may_command() and has_unstored_start(machine):
            left = deadline - self.clock.now()
            if left <= ZERO or not await self._completes(self._records_stored(), left):
                return

    def _placement_wait(self, machine: Machine, max_wait: timedelta) -> timedelta:
        """Return how long to wait for a task to be placed on a machine with nothing to start."""
        idle_wait = min(self.limits.heartbeat_interval * IDLE_WAIT_SHARE, max_wait)
        if not machine.placements or self.machines.may_wait(machine, idle_wait):
            return idle_wait
        return MAX_PLAN_WAIT if self.state.plan_trigger.pending else ZERO

    async def _placed_within(self, machine: Machine, timeout: timedelta) -> bool:
        machine.placement_added.clear()
        return timeout > ZERO and await self._completes(machine.placement_added.wait(), timeout)

    async def _records_stored(self) -> bool:
        async with self.record_writer.stored:
            return await self.record_writer.stored.wait()

    @staticmethod
    async def _completes(wait: Awaitable[bool], timeout: timedelta) -> bool:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await wait
        except TimeoutError:
            return False
        return True
