"""Guards against performance regressions in hot paths, measured in calls of Python functions
instead of time. A change that makes one of them more expensive on purpose raises its limit here.
"""

import gc
from datetime import timedelta
from unittest.mock import Mock

from dappledrum.accounting.ledger import Ledger
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.plan import Bag, Planner, TeamCapacity
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Offer, Size
from dappledrum.settings import WorkerLimits
from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.costs import calls, main
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

SPOT, ON_DEMAND = InstanceKind("small", "a", True), InstanceKind("small", "a", False)
SIZE = Size(1.0, 0.0, 1.0)


def seconds(value):
    return timedelta(seconds=value)


def plan_bag(free, busy, tasks, due, offers=()):
    """Plan one bag; returns the plan and the number of calls. Busy machines are free in 100 s."""
    timelines = []
    for index in range(free + busy):
        timeline = MachineTimeline(
            f"m{index}",
            SPOT if index % 2 else ON_DEMAND,
            Size(4.0, 0.0, 16.0),
            seconds(1000),
            seconds(990),
            0.1,
            1.0,
            seconds(60),
        )
        if index >= free:
            timeline.reserve(seconds(1000), seconds(1100), SIZE, 4)
        timelines.append(timeline)
    bag = Bag("j-1", SIZE, tasks, 0, tasks, seconds(9), seconds(due), "i", 0.1, lambda kind: True)
    planner = Planner(seconds(1000), timelines, offers, 0.3, TeamCapacity({}))
    return planner.plan, calls(lambda: planner.run([bag]))


def test_calls_of_the_garbage_collector_do_not_count():
    """Hypothesis registers such callbacks: after property tests in the same process, the limit on
    the plan for late work was exceeded."""

    def allocate():
        return [[] for _ in range(20_000)]

    expected = calls(allocate)
    gc.callbacks.append(lambda _phase, _info: None)
    try:
        assert calls(allocate) == expected
    finally:
        gc.callbacks.pop()
    assert gc.isenabled()


def test_calls_of_a_plan_with_enough_free_machines_hardly_grow_with_busy_machines():
    few, cost = plan_bag(8, 20, 16, 1100)
    many, more = plan_bag(8, 400, 16, 1100)
    assert sum(count for _, _, count in few.starts) == 16
    assert [count for _, _, count in few.starts] == [count for _, _, count in many.starts]
    # Sorting machines by free capacity takes two calls per machine, before the first bag.
    assert (more - cost) / 380 < 2


def test_a_plan_for_late_work_takes_few_calls_per_machine():
    """With nine calls per machine and kind, this took nine tenths of a leader's time."""
    offers = [
        Offer(kind, Size(4.0, 0.0, 16.0), 0.1, seconds(30), 1.0, seconds(60), 50)
        for kind in (SPOT, ON_DEMAND)
    ]
    few, cost = plan_bag(0, 100, 40, 1005, offers)
    many, more = plan_bag(0, 400, 40, 1005, offers)
    assert few.late
    assert many.late
    assert (more - cost) / 300 < 6
    assert cost < 1_300


def test_calls_of_a_heartbeat_do_not_grow_with_the_number_of_machines():
    async def count_calls(machines):
        registry = MachineRegistry()
        limits = WorkerLimits(1.0, 10.0, 30.0)
        context = ReconciliationContext({}, registry, limits, Clock(), 5)
        ledger = Ledger(registry, context.clock)
        reconciler = Reconciler(context, Estimates(), ledger, Mock(spec=ReconciliationObserver))

        def receive_heartbeat(name, tick):
            heartbeat = WorkerHeartbeat(name, "10.1.0.1:1", "small", "a", True, 1, tick, 5)
            machine = reconciler.process_heartbeat(heartbeat)
            return reconciler.commands.of_records(machine, heartbeat)

        for index in range(machines):
            receive_heartbeat(f"m{index}", 1)
        return calls(lambda: receive_heartbeat("m0", 2))

    assert run(count_calls(2)) == run(count_calls(300)) < 40


def test_machines_are_rarely_counted_unless_heartbeats_are_missing():
    async def main():
        cluster = SimulatedCluster(seed=1)
        cluster.cloud.add(("small", "a", True))
        await cluster.until(lambda: cluster.leader() is not None and cluster.cloud.workers())
        await cluster.wait(10)
        membership = cluster.controllers[cluster.leader()].membership
        silent_zones, counted = membership.silent_zones, []
        count = silent_zones.count_machines
        silent_zones.count_machines = lambda: counted.append(1) or count()
        await cluster.wait(10)
        assert 3 <= len(counted) <= 12, "a count at each check would be 40"
        counted.clear()
        for worker in cluster.cloud.workers():
            worker.hung = True
        await cluster.wait(4)
        assert len(counted) > 8, "machines are counted often while heartbeats are missing"
        assert silent_zones.silent_since, "the zone counts as silent"

    run(main())


def test_the_command_prints_a_row_for_each_package(capsys):
    assert main(["--machines", "6", "--until", "20", "--end", "12"]) == 0
    rows = capsys.readouterr().out.splitlines()
    assert "6 machines" in rows[0]
    assert len(rows) > 10
    assert any(row.startswith("scheduling") for row in rows)
