"""Heartbeat against record, at the start of a term: the table of docs/recovery.md as a plain
model, and the real reconciler on everything that the two can say of one task on one machine."""

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
    held_back: bool  # the heartbeat was sent under a predecessor
    shown: tuple[int, str, str | None] | None  # attempt, state, cause


class Outcome(NamedTuple):
    """What follows at the first heartbeat, and the commands in its answer."""

    placed: bool  # it still counts as on the machine
    done: bool
    instruction: str | None


def expected_outcome(case: Case) -> Outcome:
    """The table of docs/recovery.md."""
    placed, done = case.recorded is not None, case.done
    attempt, recorded_in = case.recorded or (0, 0)
    mine = case.shown is not None and placed and case.shown[0] == attempt
    ended = case.shown is not None and case.shown[1] == "ended"
    unstored = False
    if ended and case.shown[2] == "done" and not done:
        done = unstored = True  # the result is kept by the worker, whoever started it
    if mine and ended:
        placed = False
        unstored = True
    if placed and recorded_in < case.session:
        placed = False  # the worker has killed all of that session
        unstored = True
    unwanted = case.cancelled or done
    if placed and unwanted and not mine and not case.held_back and recorded_in == case.session:
        placed = False  # never begun there, or terminated
        unstored = True
    instruction = None
    if case.shown is not None and ended:
        instruction = None if (placed and mine) or unstored else "forget"
    elif case.shown is not None:
        instruction = None if placed and mine and not unwanted else "stop"
    if (
        instruction is None
        and placed
        and not mine
        and not unwanted
        and recorded_in == case.session
    ):
        instruction = "start"  # as recorded; repeated, it changes nothing
    if (
        instruction == "stop"
        and placed
        and not mine
        and not unwanted
        and recorded_in == case.session
    ):
        instruction = "stop, start"  # the other goes first; until then the worker refuses this one
    if (
        instruction == "forget"
        and placed
        and not mine
        and not unwanted
        and recorded_in == case.session
    ):
        instruction = "forget, start"
    return Outcome(placed, done, instruction)


def actual_outcome(case: Case) -> Outcome:
    """What the reconciler makes of it, after it has restored a predecessor's record."""

    async def main() -> Outcome:
        spec = {key: value for key, value in job(1, beats=1).items() if key != "runS"}
        own = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
        page = own.page(0)
        if case.done:
            page.finish(0)
        if case.recorded is not None:
            page.place(0, "m", case.recorded[1], "a", datetime.now(UTC), case.recorded[0])
        page.stored_revision = page.revision
        own.cancelled = case.cancelled
        limits = WorkerLimits(1.0, 9.0, 30.0)
        context = ReconciliationContext({own.id: own}, MachineRegistry(), limits, Clock(), TOKEN)
        ledger = Ledger(context.registry, context.clock)
        reconciler = Reconciler(context, Estimates(), ledger, Mock(spec=ReconciliationObserver))
        reconciler.restore(own)
        tasks = [] if case.shown is None else [TaskStatus("j-000001/0", *case.shown)]
        token = TOKEN - 1 if case.held_back else TOKEN
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
    if not (values[0] is not None and values[1])  # one change stores the end and removes the place
]


def test_everything_that_a_heartbeat_and_a_record_can_say_of_a_task():
    different = [case for case in CASES if actual_outcome(case) != expected_outcome(case)]
    assert len(CASES) > 500
    assert not different, (
        f"{len(different)} of {len(CASES)}, as {different[0]}:"
        f" {actual_outcome(different[0])}, not {expected_outcome(different[0])}"
    )


@pytest.mark.parametrize("case", CASES[::7])
def test_nothing_is_started_that_may_be_elsewhere_or_has_ended(case):
    """Whatever the table says: a start is for what is recorded here, in this session, and not
    done or cancelled; a forget is for what is stored."""
    outcome = actual_outcome(case)
    if outcome.instruction is not None and "start" in outcome.instruction:
        assert outcome.placed
        assert not outcome.done
        assert not case.cancelled
        assert case.recorded is not None
        assert case.recorded[1] == case.session
    if outcome.instruction is not None and "forget" in outcome.instruction:
        assert outcome.done == case.done
