"""The ledger compared with a plain sum, the categories of idle capacity, and the job counts."""

from datetime import UTC, datetime, timedelta

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.accounting.idle_categories import Demand, idle_category
from dappledrum.accounting.ledger import Ledger, format_shares
from dappledrum.accounting.served_counts import ServedCounts
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.scheduling.timeline import InstanceKind, Size
from dappledrum.simulation.cluster import TYPES, job
from dappledrum.timing.clock import seconds
from dappledrum.workers.machine_registry import MachineRegistry

MODEL = msgspec.convert(TYPES[0], MachineType)
KIND = InstanceKind("small", "a", True)


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self):
        self.at = 0.0

    def now(self):
        return seconds(self.at)

    def utc_now(self):
        return datetime(2026, 1, 1, tzinfo=UTC) + timedelta(seconds=self.at)


def live_job(**changes):
    spec = msgspec.convert(
        {k: v for k, v in job(1, **changes).items() if k != "runS"}, Spec, strict=False
    )
    return Job(JobRecord(spec, 0, 256, PageRecord()), 1)


steps = st.lists(
    st.tuples(
        st.integers(1, 5),  # seconds
        st.sampled_from(["place", "run", "done", "lose", "return", "nothing"]),
        st.integers(0, 2),  # machine
    ),
    max_size=25,
)


@settings(max_examples=150, derandomize=True, deadline=None)
@given(steps)
def test_all_cost_is_booked_once_whatever_happens(drawn):
    clock, registry = ManualClock(), MachineRegistry()
    ledger = Ledger(registry, clock)
    work = live_job(beats=200, vcpus=2.0)
    names = ["host-0", "host-1", "host-2"]
    for name in names:
        registry.ensure(name, KIND, clock.now())
    total = kept = 0.0
    for span, what, index in drawn:
        machine = registry.machines[names[index]]
        free = [p for p in machine.placements.values() if p.running_since is not None]
        if what == "place" and len(machine.placements) < 2:
            machine.up_at = clock.now()
            task = next(work.page(0).free_tasks())
            placed = work.page(0).place(task, machine.name, 1, "a", clock.utc_now())
            machine.placements[(work.id, task)] = placed
        elif what == "run":
            for placement in machine.placements.values():
                placement.running_since = placement.running_since or clock.now()
        elif what in ("done", "lose") and free:
            placement = free[0]
            kept += placement.accrued_cost if what == "done" else 0.0
            ledger.settle(
                placement, CostCategory.KEPT if what == "done" else CostCategory.LOST_LEASE_EXPIRED
            )
            machine.placements.pop((work.id, placement.task))
            work.page(0).remove(placement.task)
        elif what == "return":
            machine.returning = True
        clock.at += span
        total += span / 3600 * MODEL.hourly(True) * len(registry.machines)
        ledger.book_elapsed({"small": MODEL}, [])
    booked = sum(ledger.unlogged.values())
    assert abs(booked - total) < 1e-9
    assert abs(ledger.unlogged[CostCategory.KEPT] - kept) < 1e-9
    assert min(ledger.unlogged.values(), default=0.0) > -1e-9
    by_machine = sum(sum(a.costs.values()) for a in ledger.accounts.values())
    assert abs(by_machine - total) < 1e-9
    ledger.log_totals(at_once=True)
    assert not ledger.unlogged


def test_idle_capacity_is_categorized_by_the_waiting_tasks():
    free = Size(4, 0, 16)

    def category(*demands, empty=True):
        return idle_category(KIND, free, empty, demands)

    fits = Demand(Size(2, 0, 2), lambda _kind: True, True)
    large = Demand(Size(8, 0, 2), lambda _kind: True, True)
    elsewhere = Demand(Size(2, 0, 2), lambda kind: not kind.spot, True)
    limited = Demand(Size(2, 0, 2), lambda _kind: True, False)
    assert category() is CostCategory.IDLE_EMPTY
    assert category(empty=False) is CostCategory.IDLE_BESIDE_WORK
    assert category(elsewhere) is CostCategory.IDLE_WRONG_KIND
    assert category(elsewhere, limited) is CostCategory.IDLE_TEAM_LIMIT
    assert category(elsewhere, limited, large) is CostCategory.IDLE_TOO_SMALL
    assert category(elsewhere, limited, large, fits) is CostCategory.IDLE_KEPT_FREE
    assert (
        format_shares({CostCategory.BOOT: 1.0, CostCategory.KEPT: 3.0}) == "kept 75.0%; boot 25.0%"
    )
    assert format_shares({}) == "nothing"


def test_jobs_are_counted_by_team_and_state():
    served = ServedCounts()
    done, cancelled, started, waiting = (live_job(crew=c) for c in ("b", "b", "b", "a"))
    cancelled.cancelled = True
    started.page(0).finish(0)
    served.count_finished(done)
    served.count_finished(cancelled)
    assert served.summary([started, waiting]) == (
        "a: 1 accepted, 0 started, 0 done, 0 cancelled;"
        " b: 3 accepted, 2 started, 1 done, 1 cancelled"
    )
