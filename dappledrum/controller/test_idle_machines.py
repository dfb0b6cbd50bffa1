"""Use of idle capacity: by work without a deadline, and by spot instead of on-demand machines."""

from datetime import timedelta

from dappledrum.scheduling.timeline import Size
from dappledrum.simulation.cluster import SimulatedCluster, job

BEST_EFFORT = {
    "urgency": "best_effort",
    "dueS": None,
    "markEveryS": 5.0,
    "markTakeS": 1.0,
    "expectedS": 40.0,
    "runS": 40.0,
}


def running(cluster, name):
    return sum(job_id == name for job_id, _ in cluster.rules.running)


async def test_work_without_a_deadline_starts_and_finishes():
    """Guards against planning such work with a deadline far ahead: each plan then postponed it,
    until the day was over."""

    cluster = SimulatedCluster(seed=21)
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(1, beats=12, **BEST_EFFORT))
    await cluster.until(lambda: running(cluster, "j-000001") >= 4, timeout_s=60)
    await cluster.finish(["j-000001"])
    assert all(machine.kind[2] for machine in cluster.cloud.machines.values())


async def test_best_effort_work_with_checkpoints_is_preempted_for_work_that_would_be_late():
    cluster = SimulatedCluster(seed=22)
    cluster.cloud.max_machines = 2
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(1, beats=40, **BEST_EFFORT | {"runS": 300.0, "builds": ["small"]}))
    await cluster.until(lambda: running(cluster, "j-000001") >= 3, timeout_s=90)
    before = running(cluster, "j-000001")
    await cluster.submit(job(2, beats=2, vcpus=3.0, builds=["small"], dueS=40.0))
    took = await cluster.finish(["j-000002"], timeout_s=60)
    assert took < 40
    assert running(cluster, "j-000001") < before + 1
    assert await cluster.cancel("j-000001") == "cancelled"


async def test_heartbeat_answers_wait_only_with_free_capacity_and_no_task_about_to_finish():
    """Guards against late reports of finished tasks: a worker sends one heartbeat at a time, so a
    report waits for the answer to the previous one."""

    cluster = SimulatedCluster(seed=22)
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(1, beats=1, builds=["large"], runS=30.0, expectedS=30.0))
    await cluster.until(lambda: len(cluster.rules.running) == 1)
    await cluster.wait(3)
    leader = cluster.controllers[cluster.leader()].leader
    [machine] = [m for m in leader.registry if m.placements]
    assert leader.dispatcher.machines.may_wait(machine, timedelta(seconds=2))
    assert not leader.dispatcher.machines.may_wait(machine, timedelta(seconds=29))
    leader.dispatcher.machines.sizes = {Size(16.0, 0.0, 1.0)}  # no waiting task fits beside it
    assert not leader.dispatcher.machines.may_wait(machine, timedelta(seconds=2))


async def test_on_demand_machines_are_replaced_by_any_spot_machine_that_fits():
    """Guards against replacement by the same type and zone only: large on-demand machines rented
    during a shortage then stayed, while idle spot machines of another type were returned."""

    cluster = SimulatedCluster(seed=44)
    large = next(kind for kind in cluster.cloud.types if kind["label"] == "large")
    large["marketPrice"] = None  # no spot machine of this type
    cluster.cloud.max_machines = 20
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(0, beats=12, vcpus=4.0, loaners=False, dueS=40.0, runS=20.0))
    await cluster.finish(["j-000000"])
    on_demand = {m.name for m in cluster.cloud.machines.values() if not m.kind[2]}
    assert on_demand
    names = []
    for number in range(1, 16):
        await cluster.submit(job(number, beats=4, runS=12.0, expectedS=12.0, dueS=150.0))
        names.append(f"j-{number:06d}")
        await cluster.wait(8)
    used = {m for places in cluster.rules.running.values() for m in places}
    assert used
    assert not used & on_demand
    await cluster.finish(names)


async def busy_cluster(spec, running):
    """Return a cluster with two small on-demand machines and a large spot machine, once at least
    `running` tasks of the job run. No more machines can be rented."""
    cluster = SimulatedCluster(seed=45)
    for kind in (("small", "a", False), ("small", "a", False), ("large", "a", True)):
        cluster.cloud.add(kind)
    cluster.cloud.max_machines = len(cluster.cloud.machines)
    await cluster.until(lambda: cluster.leader() is not None)
    assert await cluster.submit(spec) == 201
    await cluster.until(lambda: len(cluster.rules.running) >= running)
    return cluster


async def assert_no_machine_retires(cluster, seconds):
    """Assert that no machine is retiring during this time."""
    leader = cluster.controllers[cluster.leader()].leader
    end = cluster.now() + seconds
    while cluster.now() < end:
        await cluster.wait(0.25)
        assert not any(machine.retiring for machine in leader.registry)


async def test_on_demand_machines_are_kept_while_spot_machines_are_about_to_be_reclaimed():
    """Guards against counting the capacity of a spot machine that is about to be reclaimed. While
    no other machine could be rented, on-demand ones then got no new work and were returned."""

    spec = job(1, beats=40, runS=100.0, expectedS=100.0, dueS=60.0)
    cluster = await busy_cluster(spec, 10)
    taken = next(w for w in cluster.cloud.workers() if w.kind[0] == "large")
    taken.reclaim_at = cluster.now() + 30
    await assert_no_machine_retires(cluster, 15)
    assert len(cluster.rules.running) <= 4, "the spot machine is drained before it is reclaimed"
    cluster.cloud.max_machines = 10
    await cluster.finish(["j-000001"], timeout_s=600)


async def test_on_demand_machines_are_kept_while_late_work_waits_for_their_type():
    """Guards against counting the capacity of spot machines of another type for that work."""

    spec = job(1, beats=30, runS=100.0, expectedS=100.0, dueS=60.0, builds=["small"])
    cluster = await busy_cluster(spec, 4)
    await assert_no_machine_retires(cluster, 30)
    assert await cluster.cancel("j-000001") == "cancelled"
