"""Worker processes that begin again under the name of a former one, against a model.

Drawn histories of one machine: its worker process ends and another begins at session 1, sequence
number 1 and token 0; heartbeats and answers are lost or late; copies of any earlier heartbeat
arrive; leaders change. After each step the real `HeartbeatResponder` and `Reconciler` are compared
with what is on the machine.
"""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from unittest.mock import Mock

import msgspec
import pytest

from dappledrum.dispatch.candidate_machines import CandidateMachines
from dappledrum.election.terms import Term
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.leader.context import TermContext, TermState
from dappledrum.leader.heartbeat_responder import HeartbeatResponder
from dappledrum.settings import WorkerLimits
from dappledrum.simulation.cluster import job
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.messages import TaskStatus, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

LEASE_S = 9.0
REPORT_S = 1.0
STEP_S = 0.25
TIMEOUT_S = 4.0  # after which a worker drops an answer
TASKS = 4
#: More than the tokens that any term of these histories may give.
EPOCHS_APART = 2**30


@dataclass
class Process:
    """One process of the worker."""

    number: int
    renewed: float
    session: int = 1
    sequence: int = 0
    token: int = 0
    attempts: dict[tuple[int, int], str] = field(default_factory=dict)  # state, or cause of end

    def active(self):
        """Its tasks and attempts that have not ended."""
        return {key for key, state in self.attempts.items() if state == "running"}


@dataclass
class SentHeartbeat:
    """A heartbeat, and when and by which process it was sent."""

    message: WorkerHeartbeat
    at: float
    process: Process


class ModelLeader:
    """The real parts of one term that process heartbeats; records are stored at once."""

    def __init__(self, restored_job, epoch, clock):
        self.job, self.clock = restored_job, clock
        self.page = restored_job.page(0)
        limits = WorkerLimits(REPORT_S, LEASE_S, 30.0)
        self.term = Term(epoch, 1, 1, clock.now())
        self.term.others_stopped_at = clock.now()
        context = TermContext(
            self.term,
            lambda: True,
            Mock(),
            Mock(),
            Mock(),
            Mock(workers=limits),
            Mock(),
            clock,
            lambda: ZERO,
        )
        self.state = TermState(clock)
        self.state.jobs[restored_job.id] = restored_job
        self.state.loaded.set()
        self.registry = self.state.registry
        reconciliation = ReconciliationContext(
            self.state.jobs,
            self.registry,
            limits,
            clock,
            epoch,
            lambda: self.term.others_stopped_at,
        )
        self.reconciler = Reconciler(
            reconciliation,
            self.state.estimates,
            self.state.ledger,
            Mock(spec=ReconciliationObserver),
        )
        machines = Mock(spec=CandidateMachines)
        machines.may_wait.return_value = False
        self.responder = HeartbeatResponder(context, self.state, self.reconciler, Mock(), machines)
        for placement in self.page.placements.values():
            placement.observed, placement.offered_sequence = False, -1
        self.reconciler.no_answers_since(clock.now())
        self.reconciler.restore(restored_job)
        self.limits = limits

    def plan(self):
        """Place each free task on the machine if it may get work, give up what has expired, and
        store the records."""
        self.reconciler.lose_expired()
        machine = self.registry.get("m")
        now = self.clock.now()
        if (
            machine is not None
            and machine.up
            and not machine.reachability.unreachable
            and not machine.silent(now, self.limits.heartbeat_interval, ZERO)
        ):
            for task in list(self.page.free_tasks()):
                placement = self.page.place(task, "m", machine.session, "a", datetime.now(UTC))
                machine.placements[self.job.id, task] = placement
        self.page.stored_revision = self.page.revision

    def placed(self):
        """The tasks and attempts that count as being on the machine."""
        machine = self.registry.get("m")
        placements = () if machine is None else machine.placements.values()
        return {(placement.task, placement.attempt) for placement in placements}


class History:
    """One drawn history of one machine."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        spec = {key: value for key, value in job(1, beats=TASKS).items() if key != "runS"}
        self.job = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
        self.epoch = 1
        self.leader = ModelLeader(self.job, self.epoch, self.clock)
        self.process = Process(0, self.now())
        self.sent: list[SentHeartbeat] = []
        self.receivers: dict[int, set[int]] = {}  # processes that have received each token
        self.awaited: SentHeartbeat | None = None
        self.next_report = 0.0
        self.calm = False  # whether nothing is lost, late or repeated any more
        self.answers_lost = self.heartbeats_lost = False
        self.deliveries: set[asyncio.Task] = set()
        self.events = Counter()

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.deliveries.add(task)
        task.add_done_callback(self.deliveries.discard)

    # the machine

    def restart(self):
        """End the worker process with all its tasks, and start another one."""
        self.process = Process(self.process.number + 1, self.now())
        self.awaited, self.next_report = None, 0.0
        self.events["restarts"] += 1

    def step_worker(self):
        process, now = self.process, self.now()
        if now > process.renewed + LEASE_S:
            process.session += 1
            process.renewed = now
            process.attempts.clear()
            self.next_report = 0.0
        for key in sorted(process.active()):
            if not self.calm and self.rng.random() < 0.01:
                process.attempts[key] = self.rng.choice(("done", "error"))
                self.next_report = 0.0
        if self.awaited is not None and now > self.awaited.at + TIMEOUT_S:
            self.awaited, self.next_report = None, now + 1
        if self.awaited is None and now >= self.next_report:
            self.send()

    def send(self):
        process = self.process
        process.sequence += 1
        tasks = [
            TaskStatus(f"{self.job.id}/{task}", attempt, "running")
            if state == "running"
            else TaskStatus(f"{self.job.id}/{task}", attempt, "ended", state)
            for (task, attempt), state in process.attempts.items()
        ]
        message = WorkerHeartbeat(
            "m", "10.1.0.1:1", "small", "a", True,
            process.session, process.sequence, process.token, None, tasks,
        )  # fmt: skip
        heartbeat = SentHeartbeat(message, self.now(), process)
        self.sent.append(heartbeat)
        self.awaited = heartbeat
        late = not self.calm and self.rng.random() < 0.15
        lost = not self.calm and (self.heartbeats_lost or self.rng.random() < 0.1)
        delay = self.rng.uniform(1, 3 * LEASE_S) if late else self.rng.uniform(0, 0.1)
        if not lost:
            self.spawn(self.deliver(heartbeat, delay))

    async def deliver(self, heartbeat, delay):
        """Deliver a heartbeat to the leader of that moment, and the answer to its sender if that
        still waits for it."""
        await asyncio.sleep(delay)
        leader = self.leader
        answer = await leader.responder.respond(
            heartbeat.message, lambda: not leader.term.ended.is_set(), ZERO
        )
        lost = not self.calm and (self.answers_lost or self.rng.random() < 0.1)
        if answer is None or lost:
            return
        await asyncio.sleep(
            self.rng.choice((0.01, 0.01, 0.1, 1.0, 3.0)) if not self.calm else 0.01
        )
        if self.awaited is heartbeat and self.now() <= heartbeat.at + TIMEOUT_S:
            self.receive(heartbeat, answer)

    def receive(self, heartbeat, answer):
        process = self.process
        self.awaited, self.next_report = None, self.now() + REPORT_S
        if heartbeat.message.session != process.session or answer.token < process.token:
            return
        self.receivers.setdefault(answer.token, set()).add(process.number)
        if answer.token > process.token:
            self.next_report = self.now() + 0.5
        process.token = answer.token
        process.renewed = max(process.renewed, heartbeat.at)
        for command in answer.commands:
            self.execute(command)

    def execute(self, command):
        attempts = self.process.attempts
        key = (int(command.task.rpartition("/")[2]), command.attempt)
        state = attempts.get(key)
        if command.op == "start" and state is None:
            busy = any(task == key[0] for task, _ in self.process.active())
            attempts[key] = "busy" if busy else "running"
            self.next_report = min(self.next_report, self.now() + 0.5)
        elif command.op == "stop" and state == "running":
            attempts[key] = "stopped"
        elif command.op == "forget" and state is not None and state != "running":
            del attempts[key]

    # the rest of the world

    def change_leader(self):
        """The leader ends, and another one takes over the records."""
        self.leader.term.ended.set()
        self.epoch += EPOCHS_APART
        self.leader = ModelLeader(self.job, self.epoch, self.clock)
        self.events["leaders"] += 1

    def repeat_heartbeats(self):
        for heartbeat in self.rng.sample(self.sent, min(len(self.sent), self.rng.randint(1, 3))):
            self.events["copies"] += 1
            self.spawn(self.deliver_copy(heartbeat))

    async def deliver_copy(self, heartbeat):
        leader = self.leader
        await leader.responder.respond(
            heartbeat.message, lambda: not leader.term.ended.is_set(), ZERO
        )

    def disturb(self):
        if self.rng.random() < 0.03:
            self.restart()
        if self.rng.random() < 0.01:
            self.change_leader()
        if self.rng.random() < 0.25 and self.sent:
            self.repeat_heartbeats()
        if self.rng.random() < 0.02:
            self.answers_lost = self.rng.random() < 0.4
            self.heartbeats_lost = self.rng.random() < 0.3

    def check(self):
        """Compare what the leader concludes with what is on the machine."""
        process, leader = self.process, self.leader
        unknown = process.active() - leader.placed()
        assert not unknown, f"runs, but counts as terminated: {unknown}"
        for task, _ in process.active():
            renewed_at = leader.page.placements[task].renewed_at
            renewed = renewed_at - self.clock.now() + timedelta(seconds=self.now())
            assert renewed.total_seconds() >= process.renewed - 0.001, "a renewal is not counted"

    async def play(self, steps):
        """Play some steps with faults, then as many leases without any as it may take until the
        machine has all the work that is left."""
        for _ in range(steps):
            self.disturb()
            await self.step()
        self.calm = True
        self.answers_lost = self.heartbeats_lost = False
        calm_since = self.now()
        while not self.recovered():
            assert self.now() - calm_since <= 2 * LEASE_S + TIMEOUT_S, "gets no work"
            await self.step()

    def recovered(self):
        page = self.leader.page
        running = {task for task, _ in self.process.active()}
        return all(page.is_done(task) or task in running for task in range(TASKS))

    async def step(self):
        self.step_worker()
        self.leader.plan()
        self.check()
        await asyncio.sleep(STEP_S)
        self.check()


@pytest.mark.parametrize("first_seed", range(0, 400, 50))
def test_a_restarted_worker_is_told_from_copies_of_its_former_process(first_seed):
    """No attempt that runs counts as terminated, each renewal of its lease is counted, and the
    machine has work again within two leases once nothing is lost any more."""
    events = Counter()
    for seed in range(first_seed, first_seed + 50):

        async def main(seed=seed):
            history = History(seed)
            try:
                await history.play(400)
            except AssertionError as error:
                raise AssertionError(f"seed {seed}: {error}") from error
            for token, processes in history.receivers.items():
                assert len(processes) == 1, f"seed {seed}: token {token} identifies no process"
            return history.events

        events += run(main())
    assert min(events["restarts"], events["leaders"], events["copies"]) > 50, events


def heartbeat_with(attempts, sequence, token):
    tasks = [TaskStatus("j-000001/0", attempt, "running") for attempt in attempts]
    return WorkerHeartbeat(
        "m", "10.1.0.1:1", "small", "a", True, 1, sequence, token, None, tasks
    )  # fmt: skip


@pytest.mark.parametrize(("token", "counted"), [(0, False), (1, True)])
async def test_a_copy_renews_nothing_once_a_process_has_shown_its_token(token, counted):
    """Guards against copies of before the term that keep the tasks of a machine which is gone."""
    history = History(1)
    leader = history.leader
    leader.term.others_stopped_at = None

    async def respond(heartbeat):
        return await leader.responder.respond(heartbeat, lambda: True, ZERO)

    await respond(heartbeat_with([], 1, 1))
    leader.plan()
    await respond(heartbeat_with([1], 2, 1))
    placement = leader.page.placements[0]
    renewed_at = placement.renewed_at
    await asyncio.sleep(1)
    assert await respond(heartbeat_with([1], 3, token)) is not None
    assert (placement.renewed_at > renewed_at) is counted


@pytest.mark.parametrize("later", [0, 1])
async def test_an_unproven_heartbeat_renews_what_it_shows_also_out_of_order(later):
    """Guards against a renewal that is not counted: a copy with higher numbers came first."""
    history = History(1)
    leader = history.leader
    page = leader.page
    placement = page.place(0, "m", 1, "a", datetime.now(UTC))
    leader.reconciler.restore(history.job)
    copy = heartbeat_with([], 50 * later, 0)
    await leader.responder.respond(copy, lambda: True, ZERO)
    renewed_at = placement.renewed_at
    await asyncio.sleep(1)
    answer = await leader.responder.respond(heartbeat_with([1], 5, 0), lambda: True, ZERO)
    assert answer is not None
    assert placement.renewed_at > renewed_at
