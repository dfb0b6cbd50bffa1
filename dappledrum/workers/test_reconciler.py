"""When an attempt is proven gone, and when it is not: the cases on which ran_twice hangs."""

import asyncio
from datetime import UTC, datetime, timedelta
from unittest.mock import Mock

import msgspec
import pytest

from dappledrum.accounting.ledger import Ledger
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import WorkerLimits
from dappledrum.simulation.cluster import job
from dappledrum.timing.clock import Clock
from dappledrum.workers.heartbeat_attempts import sending_heartbeats_elsewhere
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.messages import TaskStatus, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

TOKEN = 5


class Desk:
    """A bookkeeper with one job, whose first task is placed on machine m in session 1 and
    stored."""

    def __init__(self):
        spec = {key: value for key, value in job(1).items() if key != "runS"}
        self.job = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
        self.registry = MachineRegistry()
        limits = WorkerLimits(1.0, 9.0, 30.0)
        jobs = {self.job.id: self.job}
        context = ReconciliationContext(jobs, self.registry, limits, Clock(), TOKEN)
        ledger = Ledger(self.registry, context.clock)
        observer = Mock(spec=ReconciliationObserver)
        self.reconciler = Reconciler(context, Estimates(), ledger, observer)
        self.page = self.job.page(0)
        self.heartbeat(1)
        machine = self.registry.get("m")
        self.placement = self.page.place(0, "m", 1, "a", datetime.now(UTC))
        machine.placements[(self.job.id, 0)] = self.placement

    def save(self):
        self.page.stored_revision = self.page.revision

    def heartbeat(self, sequence, *tasks, session=1, token=TOKEN):
        """Take a heartbeat and return the answer's commands."""
        items = [
            TaskStatus("j-000001/0", attempt, state, cause) for attempt, state, cause in tasks
        ]
        heartbeat = WorkerHeartbeat(
            "m", "10.1.0.1:1", "small", "a", True, session, sequence, token, None, items
        )
        machine = self.reconciler.process_heartbeat(heartbeat)
        if machine is None:
            return None
        machine.last_answer = self.reconciler.clock.now()
        return [(c.op, c.attempt) for c in self.reconciler.commands.of_records(machine, heartbeat)]

    @property
    def gone(self):
        return 0 not in self.page.placements


def stored_desk():
    """The same, with the placement in the job's record."""
    desk = Desk()
    desk.save()
    return desk


RUNNING, DONE, STOPPED = (1, "running", None), (1, "ended", "done"), (1, "ended", "stopped")


async def test_no_start_before_its_record_is_stored():
    desk = Desk()
    assert desk.heartbeat(2) == []
    desk.save()
    assert desk.heartbeat(3) == [("start", 1)]
    # The answer may have been lost; the same attempt can be repeated.
    assert desk.heartbeat(4) == [("start", 1)]
    assert desk.heartbeat(5, RUNNING) == []


async def test_absent_from_a_heartbeat_that_proves_something():
    desk = stored_desk()
    desk.heartbeat(2)
    desk.heartbeat(3, RUNNING)
    desk.heartbeat(4)
    assert desk.gone


async def test_absent_from_a_heartbeat_held_back_under_a_predecessor():
    desk = stored_desk()
    desk.placement.observed = True
    desk.heartbeat(2, token=TOKEN - 1)
    assert not desk.gone
    desk.heartbeat(3)
    assert desk.gone


async def test_an_old_heartbeat_changes_nothing():
    desk = stored_desk()
    desk.heartbeat(5)
    desk.heartbeat(7, RUNNING)
    assert desk.heartbeat(6) is None
    assert not desk.gone


async def test_a_newer_session_and_an_older_one():
    desk = stored_desk()
    desk.heartbeat(3, RUNNING)
    assert desk.heartbeat(9, session=0) is None
    assert not desk.gone
    desk.heartbeat(1, session=2)
    assert desk.gone


async def test_a_placement_in_a_session_that_is_over_is_never_started():
    desk = stored_desk()
    assert desk.heartbeat(1, session=2) == []
    assert desk.gone


async def test_an_end_is_forgotten_only_when_it_is_stored():
    desk = stored_desk()
    desk.heartbeat(2)
    assert desk.heartbeat(3, DONE) == []
    assert desk.page.is_done(0)
    assert desk.gone
    desk.save()
    assert desk.heartbeat(4, DONE) == [("forget", 1)]


async def test_cancelled_tasks_are_stopped_until_they_are_gone():
    desk = stored_desk()
    desk.heartbeat(2)
    desk.heartbeat(3, RUNNING)
    desk.job.cancelled = True
    assert desk.heartbeat(4, RUNNING) == [("stop", 1)]
    assert not desk.gone
    desk.heartbeat(5, STOPPED)
    assert desk.gone


async def test_a_cancelled_start_that_was_never_sent_or_is_proven_lost():
    desk = stored_desk()
    assert desk.heartbeat(2) == [("start", 1)]
    desk.job.cancelled = True
    assert desk.heartbeat(3) == []
    assert desk.gone


async def test_an_unknown_attempt_is_stopped():
    desk = stored_desk()
    desk.heartbeat(2)
    assert desk.heartbeat(3, RUNNING, (77, "running", None)) == [("stop", 77)]
    assert not desk.gone


@pytest.mark.parametrize(("silence", "gone"), [(8.9, False), (9.05, False), (9.6, True)])
async def test_silence_counts_from_the_last_possible_answer(silence, gone):
    desk = stored_desk()
    desk.heartbeat(2, RUNNING)
    await asyncio.sleep(silence)
    desk.reconciler.lose_expired()
    assert desk.gone is gone


async def test_a_predecessor_may_have_answered_until_now():
    desk = stored_desk()
    await asyncio.sleep(100)
    desk.registry.machines.clear()
    desk.reconciler.restore(desk.job)
    await asyncio.sleep(8.9)
    desk.reconciler.lose_expired()
    assert not desk.gone
    await asyncio.sleep(0.7)
    desk.reconciler.lose_expired()
    assert desk.gone


async def test_returned_machines_stay_gone():
    desk = Desk()
    desk.reconciler.remove_returned(desk.registry.get("m"))
    assert desk.gone
    assert desk.heartbeat(9, RUNNING) is None
    assert desk.registry.get("m") is None


async def test_faults_are_laid_on_the_machine_or_on_the_job():
    desk = stored_desk()
    for attempt in range(1, 4):
        desk.heartbeat(attempt * 2, (attempt, "ended", "error"))
        desk.placement = desk.page.place(0, "m", 1, "a", datetime.now(UTC))
        desk.registry.get("m").placements[(desk.job.id, 0)] = desk.placement
    machine = desk.registry.get("m")
    assert not machine.draining
    assert machine.blocked_until > desk.reconciler.clock.now()
    assert desk.job.retry_at == timedelta(0)
    done = [TaskStatus("j-000001/1", 9, "ended", "done")]
    desk.reconciler.process_heartbeat(
        WorkerHeartbeat("n", "10.1.0.2:1", "small", "a", True, 1, 1, TOKEN, None, done)
    )
    assert machine.draining


async def test_who_should_have_been_heard_of():
    """A first knock elsewhere of a machine that has just come up made leaders resign for
    nothing."""
    desk = Desk()
    assert sending_heartbeats_elsewhere({"new": 1}, desk.registry) == []
    assert sending_heartbeats_elsewhere({"new": 2}, desk.registry) == ["new"]
    assert sending_heartbeats_elsewhere({"m": 1}, desk.registry) == ["m"]


async def test_a_machine_that_boots_for_longer_than_a_lease_is_not_silent():
    """Its first tasks were given up, or the machine was returned, in the moment between its
    heartbeat and the answer."""
    desk = Desk()
    machine = desk.registry.ensure("slow", None, desk.reconciler.clock.now())
    await asyncio.sleep(60)
    heartbeat = WorkerHeartbeat("slow", "10.1.0.1:1", "small", "a", True, 1, 1, 0)
    assert desk.reconciler.process_heartbeat(heartbeat) is machine
    placement = desk.page.place(1, "slow", 1, "a", datetime.now(UTC))
    machine.placements[(desk.job.id, 1)] = placement
    desk.reconciler.lose_expired()
    assert 1 in desk.page.placements
    assert not machine.expired(desk.reconciler.clock.now(), desk.reconciler.limits.lease_duration)


async def test_an_answer_stays_short():
    desk = Desk()
    machine = desk.registry.get("m")
    big = Job(JobRecord(desk.job.spec, 0, 5000, PageRecord()), 1)
    page = big.page(0)
    page.count = 5000
    for task in range(1000):
        placement = page.place(task, "m", 1, "a", datetime.now(UTC))
        machine.placements[(big.id, task)] = placement
    page.stored_revision = page.revision
    heartbeat = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 1, 2, TOKEN)
    desk.reconciler.process_heartbeat(heartbeat)
    first = desk.reconciler.commands.of_records(machine, heartbeat)
    assert len(first) == 400
    assert len(msgspec.json.encode(first)) < 64 * 1024


async def test_what_an_unreachable_machine_never_began_is_lost_with_its_next_heartbeat():
    """It was offered again with each heartbeat, and lost with the session, a lease later."""
    desk = stored_desk()
    for tick in (2, 3):
        assert desk.heartbeat(tick) == [("start", 1)]
    assert desk.heartbeat(4) == []
    assert desk.registry.get("m").reachability.unreachable
    assert not desk.gone, "the answer to heartbeat 3 may have been heard"
    desk.heartbeat(5)
    assert desk.gone


@pytest.mark.parametrize("copies", range(6))
async def test_old_copies_after_a_takeover_give_nothing_up_that_was_started_since(copies):
    """They show neither the new token nor the task, so the machine may be taken for deaf; what it
    is then thought never to have begun was stopped when its next heartbeat showed it."""
    desk = Desk()
    machine = desk.registry.get("m")
    desk.registry.machines.clear()
    desk.reconciler.restore(desk.job)
    assert desk.registry.get("m") is not machine
    desk.save()
    for sequence in range(2, 2 + copies):
        desk.heartbeat(sequence, token=TOKEN - 1)
    assert not desk.placement.lost
    assert desk.heartbeat(20, RUNNING, token=TOKEN - 1) == []
    assert desk.heartbeat(21, RUNNING) == []
    assert not desk.gone
