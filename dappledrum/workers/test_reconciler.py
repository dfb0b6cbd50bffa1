"""When an attempt is proven terminated, and when it is not.

A wrong proof would start a task a second time, which the invariant `ran_twice` forbids.
"""

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


class OneJobReconciler:
    """A reconciler with one job, whose first task is placed on machine m in session 1.

    The placement is not stored before `save` is called.
    """

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
        """Process a heartbeat and return the commands of its answer; None if it is ignored."""
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
    def placement_removed(self):
        return 0 not in self.page.placements


def reconciler_with_stored_placement():
    """A reconciler whose placement is stored in the job's record."""
    setup = OneJobReconciler()
    setup.save()
    return setup


RUNNING, DONE, STOPPED = (1, "running", None), (1, "ended", "done"), (1, "ended", "stopped")


async def test_no_start_is_sent_before_its_record_is_stored():
    setup = OneJobReconciler()
    assert setup.heartbeat(2) == []
    setup.save()
    assert setup.heartbeat(3) == [("start", 1)]
    # The answer may have been lost, so the start of the same attempt is sent again.
    assert setup.heartbeat(4) == [("start", 1)]
    assert setup.heartbeat(5, RUNNING) == []


async def test_absence_from_a_later_heartbeat_proves_termination():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2)
    setup.heartbeat(3, RUNNING)
    setup.heartbeat(4)
    assert setup.placement_removed


async def test_absence_from_a_heartbeat_with_a_predecessors_token_proves_nothing():
    setup = reconciler_with_stored_placement()
    setup.placement.observed = True
    setup.heartbeat(2, token=TOKEN - 1)
    assert not setup.placement_removed
    setup.heartbeat(3)
    assert setup.placement_removed


async def test_an_old_heartbeat_changes_nothing():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(5)
    setup.heartbeat(7, RUNNING)
    assert setup.heartbeat(6) is None
    assert not setup.placement_removed


async def test_a_newer_session_proves_termination_and_an_older_one_is_ignored():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(3, RUNNING)
    assert setup.heartbeat(9, session=0) is None
    assert not setup.placement_removed
    setup.heartbeat(1, session=2)
    assert setup.placement_removed


async def test_a_placement_in_an_ended_session_is_never_started():
    setup = reconciler_with_stored_placement()
    assert setup.heartbeat(1, session=2) == []
    assert setup.placement_removed


async def test_an_end_is_forgotten_only_when_it_is_stored():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2)
    assert setup.heartbeat(3, DONE) == []
    assert setup.page.is_done(0)
    assert setup.placement_removed
    setup.save()
    assert setup.heartbeat(4, DONE) == [("forget", 1)]


async def test_cancelled_tasks_get_a_stop_until_they_have_ended():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2)
    setup.heartbeat(3, RUNNING)
    setup.job.cancelled = True
    assert setup.heartbeat(4, RUNNING) == [("stop", 1)]
    assert not setup.placement_removed
    setup.heartbeat(5, STOPPED)
    assert setup.placement_removed


async def test_a_start_that_was_cancelled_and_proven_lost_is_removed():
    setup = reconciler_with_stored_placement()
    assert setup.heartbeat(2) == [("start", 1)]
    setup.job.cancelled = True
    assert setup.heartbeat(3) == []
    assert setup.placement_removed


async def test_an_unknown_attempt_is_stopped():
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2)
    assert setup.heartbeat(3, RUNNING, (77, "running", None)) == [("stop", 77)]
    assert not setup.placement_removed


@pytest.mark.parametrize(("silence", "removed"), [(8.9, False), (9.05, False), (9.6, True)])
async def test_silence_counts_from_the_last_possible_answer(silence, removed):
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2, RUNNING)
    await asyncio.sleep(silence)
    setup.reconciler.lose_expired()
    assert setup.placement_removed is removed


async def test_a_predecessor_may_have_answered_until_now():
    setup = reconciler_with_stored_placement()
    await asyncio.sleep(100)
    setup.registry.machines.clear()
    setup.reconciler.restore(setup.job)
    await asyncio.sleep(8.9)
    setup.reconciler.lose_expired()
    assert not setup.placement_removed
    await asyncio.sleep(0.7)
    setup.reconciler.lose_expired()
    assert setup.placement_removed


async def test_a_late_heartbeat_does_not_add_a_returned_machine_again():
    setup = OneJobReconciler()
    setup.reconciler.remove_returned(setup.registry.get("m"))
    assert setup.placement_removed
    assert setup.heartbeat(9, RUNNING) is None
    assert setup.registry.get("m") is None


async def test_failures_count_against_the_machine_once_the_job_succeeds_elsewhere():
    setup = reconciler_with_stored_placement()
    for attempt in range(1, 4):
        setup.heartbeat(attempt * 2, (attempt, "ended", "error"))
        setup.placement = setup.page.place(0, "m", 1, "a", datetime.now(UTC))
        setup.registry.get("m").placements[(setup.job.id, 0)] = setup.placement
    machine = setup.registry.get("m")
    assert not machine.draining
    assert machine.blocked_until > setup.reconciler.clock.now()
    assert setup.job.retry_at == timedelta(0)
    succeeded = [TaskStatus("j-000001/1", 9, "ended", "done")]
    setup.reconciler.process_heartbeat(
        WorkerHeartbeat("n", "10.1.0.2:1", "small", "a", True, 1, 1, TOKEN, None, succeeded)
    )
    assert machine.draining


async def test_a_single_heartbeat_of_a_new_machine_elsewhere_does_not_count():
    """When a new machine sent its first heartbeat to a peer, leaders once resigned needlessly."""
    setup = OneJobReconciler()
    assert sending_heartbeats_elsewhere({"new": 1}, setup.registry) == []
    assert sending_heartbeats_elsewhere({"new": 2}, setup.registry) == ["new"]
    assert sending_heartbeats_elsewhere({"m": 1}, setup.registry) == ["m"]


async def test_a_machine_that_boots_for_longer_than_a_lease_has_not_expired():
    """Its tasks were once given up, or the machine returned, between its first heartbeat and the
    answer to it."""
    setup = OneJobReconciler()
    machine = setup.registry.ensure("slow", None, setup.reconciler.clock.now())
    await asyncio.sleep(60)
    heartbeat = WorkerHeartbeat("slow", "10.1.0.1:1", "small", "a", True, 1, 1, 0)
    assert setup.reconciler.process_heartbeat(heartbeat) is machine
    placement = setup.page.place(1, "slow", 1, "a", datetime.now(UTC))
    machine.placements[(setup.job.id, 1)] = placement
    setup.reconciler.lose_expired()
    assert 1 in setup.page.placements
    assert not machine.expired(
        setup.reconciler.clock.now(), setup.reconciler.limits.lease_duration
    )


async def test_an_answer_has_at_most_400_commands_and_64_kib():
    setup = OneJobReconciler()
    machine = setup.registry.get("m")
    large_job = Job(JobRecord(setup.job.spec, 0, 5000, PageRecord()), 1)
    page = large_job.page(0)
    page.count = 5000
    for task in range(1000):
        placement = page.place(task, "m", 1, "a", datetime.now(UTC))
        machine.placements[(large_job.id, task)] = placement
    page.stored_revision = page.revision
    heartbeat = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 1, 2, TOKEN)
    setup.reconciler.process_heartbeat(heartbeat)
    first = setup.reconciler.commands.of_records(machine, heartbeat)
    assert len(first) == 400
    assert len(msgspec.json.encode(first)) < 64 * 1024


async def test_tasks_that_an_unreachable_machine_never_started_are_lost_with_its_next_heartbeat():
    """Their start was once sent again in each answer, until the session ended a lease later."""
    setup = reconciler_with_stored_placement()
    for tick in (2, 3):
        assert setup.heartbeat(tick) == [("start", 1)]
    assert setup.heartbeat(4) == []
    assert setup.registry.get("m").reachability.unreachable
    assert not setup.placement_removed, "the answer to heartbeat 3 may have arrived"
    setup.heartbeat(5)
    assert setup.placement_removed


@pytest.mark.parametrize("copies", range(6))
async def test_old_copies_after_a_failover_do_not_stop_tasks_started_since_they_were_sent(copies):
    """Old copies show neither the new token nor the task, so the machine may count as unreachable.

    A task that it seemed never to have started was once stopped when a heartbeat showed it.
    """
    setup = OneJobReconciler()
    machine = setup.registry.get("m")
    setup.registry.machines.clear()
    setup.reconciler.restore(setup.job)
    assert setup.registry.get("m") is not machine
    setup.save()
    for sequence in range(2, 2 + copies):
        setup.heartbeat(sequence, token=TOKEN - 1)
    assert not setup.placement.lost
    assert setup.heartbeat(20, RUNNING, token=TOKEN - 1) == []
    assert setup.heartbeat(21, RUNNING) == []
    assert not setup.placement_removed


NEXT_TOKEN = TOKEN + 1  # of a newer process of the worker


async def test_a_lower_token_proves_nothing_whatever_its_numbers():
    """Guards against two processes in one proof: the new one has lower numbers than a copy."""
    setup = reconciler_with_stored_placement()
    setup.heartbeat(2, token=NEXT_TOKEN)
    setup.heartbeat(3, RUNNING, token=NEXT_TOKEN)
    for token in (0, TOKEN - 1, TOKEN):
        assert setup.heartbeat(50, token=token) is None
        assert setup.heartbeat(1, session=9, token=token) is None
        assert setup.heartbeat(60, (1, "ended", "error"), token=token) is None
    assert not setup.placement_removed
    assert setup.heartbeat(4, RUNNING, token=NEXT_TOKEN) == []


@pytest.mark.parametrize(("sequence", "session"), [(2, 1), (50, 1), (1, 3), (2, 0)])
async def test_a_higher_token_shows_a_new_process_whatever_its_numbers(sequence, session):
    """Guards against a machine that gets no work until its new process has sent more heartbeats
    than the former one, or has reached its session."""
    setup = reconciler_with_stored_placement()
    setup.heartbeat(50, RUNNING)
    machine = setup.registry.get("m")
    machine.remember_image("img", 1.0, 9.0)
    machine.reclaim_at = timedelta(seconds=1)
    machine.reachability.unreachable = True
    setup.heartbeat(sequence, session=session, token=NEXT_TOKEN)
    assert setup.placement_removed
    assert (machine.session, machine.sequence) == (session, sequence)
    assert not machine.images
    assert machine.reclaim_at is None
    assert not machine.reachability.unreachable


async def test_a_start_offered_to_a_former_process_is_offered_to_the_new_one():
    setup = reconciler_with_stored_placement()
    assert setup.heartbeat(50) == [("start", 1)]
    assert setup.heartbeat(2, token=NEXT_TOKEN) == [("start", 1)]
    assert setup.registry.get("m").reachability.missed_answers == 0
    setup.job.cancelled = True
    assert setup.heartbeat(3, token=NEXT_TOKEN) == []
    assert setup.placement_removed


async def test_a_cancelled_start_that_was_offered_to_a_former_process_is_removed():
    """Guards against a limit that stays used until the new process reaches the former numbers."""
    setup = reconciler_with_stored_placement()
    assert setup.heartbeat(50) == [("start", 1)]
    setup.job.cancelled = True
    setup.heartbeat(2, token=NEXT_TOKEN)
    assert setup.placement_removed


@pytest.mark.parametrize("recorded_session", [1, 2, 9])
async def test_a_placement_of_another_session_is_lost_once_this_terms_token_is_shown(
    recorded_session,
):
    """Guards against a record that names a later session than the new process has."""
    setup = OneJobReconciler()
    setup.registry.machines.clear()
    setup.page.remove(0)
    setup.placement = setup.page.place(0, "m", recorded_session, "a", datetime.now(UTC))
    setup.save()
    setup.reconciler.restore(setup.job)
    assert setup.heartbeat(1, session=1, token=0) == []
    assert setup.heartbeat(2, session=12, token=TOKEN - 1) == []
    assert not setup.placement_removed, "copies show other sessions"
    setup.heartbeat(2, session=1)
    assert setup.placement_removed is (recorded_session != 1)


async def test_a_heartbeat_without_this_terms_token_gets_no_start():
    """Guards against `ran_twice`: the start went to a new process, and a delayed heartbeat of the
    former one, which had been answered in this term, then showed that attempt as failed."""
    setup = OneJobReconciler()
    setup.registry.machines.clear()
    setup.save()
    setup.reconciler.restore(setup.job)
    for sequence, token in ((1, 0), (2, TOKEN - 1), (3, 0)):
        assert setup.heartbeat(sequence, token=token) == []
    assert setup.heartbeat(1) == [("start", 1)]


async def test_a_success_shown_by_a_copy_counts_but_the_task_stays_placed():
    """Guards against `quota`: the new process may run the task again."""
    setup = OneJobReconciler()
    setup.registry.machines.clear()
    setup.save()
    setup.reconciler.restore(setup.job)
    setup.heartbeat(9, DONE, token=TOKEN - 1)
    assert setup.page.is_done(0)
    assert not setup.placement_removed
    assert setup.heartbeat(2, RUNNING) == [("stop", 1)]
    setup.heartbeat(3)
    assert setup.placement_removed
