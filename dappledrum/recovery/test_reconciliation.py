"""Reconciliation of heartbeats with records at the start of a term.

The table of docs/recovery.md, written as a plain function, is compared with the real reconciler
for every combination of what a record and a heartbeat can show of one task on one machine.
"""

import itertools
from datetime import UTC, datetime
from typing import NamedTuple
from unittest.mock import Mock

import msgspec
import pytest

from dappledrum.accounting.ledger import Ledger
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import WorkerLimits
from dappledrum.simulation.cluster import job
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.messages import TaskStatus, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

TOKEN = 5


class Case(NamedTuple):
    """A task as the records and as a heartbeat show it."""

    recorded: tuple[int, int] | None  # attempt and session
    done: bool  # its end is stored
    cancelled: bool
    session: int  # of the heartbeat
    from_former_term: bool  # the heartbeat has the token of a former leader
    shown: tuple[int, str, str | None] | None  # attempt, state and cause in the heartbeat


class Outcome(NamedTuple):
    """The state of the task after the first heartbeat, and the commands in the answer."""

    placed: bool  # it still counts as placed on the machine
    done: bool
    instruction: str | None


def expected_outcome(case: Case) -> Outcome:
    """Return the outcome by the table of docs/recovery.md."""
    placed, done = case.recorded is not None, case.done
    attempt, recorded_in = case.recorded or (0, 0)
    recorded_shown = case.shown is not None and placed and case.shown[0] == attempt
    ended = case.shown is not None and case.shown[1] == "ended"
    unstored = False
    if ended and case.shown[2] == "done" and not done:
        done = unstored = True  # the worker has the result, whichever leader started the attempt
    if recorded_shown and ended and not case.from_former_term:
        placed = False
        unstored = True
    if placed and recorded_in != case.session and not case.from_former_term:
        placed = False  # the worker has killed all tasks of the recorded session, or has restarted
        unstored = True
    unwanted = case.cancelled or done
    if (
        placed
        and unwanted
        and not recorded_shown
        and not case.from_former_term
        and recorded_in == case.session
    ):
        placed = False  # never started there, or terminated
        unstored = True
    instruction = None
    may_start = placed and recorded_in == case.session and not case.from_former_term
    if case.shown is not None and ended:
        instruction = None if (placed and recorded_shown) or unstored else "forget"
    elif case.shown is not None:
        instruction = None if placed and recorded_shown and not unwanted else "stop"
    if instruction is None and may_start and not recorded_shown and not unwanted:
        instruction = "start"  # of the recorded attempt; repeating it changes nothing
    if instruction == "stop" and may_start and not recorded_shown and not unwanted:
        # The worker refuses the recorded attempt until the other one has been stopped.
        instruction = "stop, start"
    if instruction == "forget" and may_start and not recorded_shown and not unwanted:
        instruction = "forget, start"
    return Outcome(placed, done, instruction)


def actual_outcome(case: Case) -> Outcome:
    """Return the outcome of the real reconciler, after it has restored a predecessor's record."""

    async def main() -> Outcome:
        spec = {key: value for key, value in job(1, beats=1).items() if key != "runS"}
        restored_job = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
        page = restored_job.page(0)
        if case.done:
            page.finish(0)
        if case.recorded is not None:
            page.place(0, "m", case.recorded[1], "a", datetime.now(UTC), case.recorded[0])
        page.stored_revision = page.revision
        restored_job.cancelled = case.cancelled
        limits = WorkerLimits(1.0, 9.0, 30.0)
        context = ReconciliationContext(
            {restored_job.id: restored_job}, MachineRegistry(), limits, Clock(), TOKEN
        )
        ledger = Ledger(context.registry, context.clock)
        reconciler = Reconciler(context, Estimates(), ledger, Mock(spec=ReconciliationObserver))
        reconciler.restore(restored_job)
        tasks = [] if case.shown is None else [TaskStatus("j-000001/0", *case.shown)]
        token = TOKEN - 1 if case.from_former_term else TOKEN
        heartbeat = WorkerHeartbeat(
            "m", "10.1.0.1:1", "small", "a", True, case.session, 7, token, None, tasks
        )
        machine = reconciler.process_heartbeat(heartbeat)
        assert machine is not None
        instruction = ", ".join(
            command.op for command in reconciler.commands.of_records(machine, heartbeat)
        )
        return Outcome(0 in page.placements, page.is_done(0), instruction or None)

    return run(main())


SHOWN = [None] + [
    (attempt, state, cause)
    for attempt in (1, 2)
    for state, cause in [
        ("fetching", None),
        ("running", None),
        ("flushing", None),
        ("ended", "done"),
        ("ended", "stopped"),
        ("ended", "error"),
    ]
]
CASES = [
    Case(*values)
    for values in itertools.product(
        [None, (1, 1), (1, 2), (2, 1), (2, 2)],
        [False, True],
        [False, True],
        [1, 2],
        [False, True],
        SHOWN,
    )
    # One change stores the end and removes the placement, so no task has both.
    if not (values[0] is not None and values[1])
]


def test_the_reconciler_follows_the_table_for_every_record_and_heartbeat():
    different = [case for case in CASES if actual_outcome(case) != expected_outcome(case)]
    assert len(CASES) > 500
    assert not different, (
        f"{len(different)} of {len(CASES)}, as {different[0]}:"
        f" {actual_outcome(different[0])}, not {expected_outcome(different[0])}"
    )


@pytest.mark.parametrize("case", CASES[::7])
def test_only_recorded_tasks_of_this_session_that_have_not_ended_are_started(case):
    """Independently of the table: a start is only for a task that is recorded on this machine in
    this session, and is not done or cancelled; a forget is only for a stored end."""
    outcome = actual_outcome(case)
    if outcome.instruction is not None and "start" in outcome.instruction:
        assert outcome.placed
        assert not outcome.done
        assert not case.cancelled
        assert case.recorded is not None
        assert case.recorded[1] == case.session
    if outcome.instruction is not None and "forget" in outcome.instruction:
        assert outcome.done == case.done
