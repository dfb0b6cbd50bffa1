"""Jobs with dependencies in a simulated cluster are released in order and cancelled together, also
when controllers or the store fail in between. The invariants are checked after each step."""

import json

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation import fault_scenarios
from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.scenario import now


def name(number):
    return f"j-{number:06d}"


def dependent_job(number, *needs, **changes):
    changes = {"beats": 2, "dueS": None, "runS": 3.0, "expectedS": 3.0} | changes
    return job(number, waitsOn=[name(need) for need in needs], **changes)


async def ready_cluster(seed):
    cluster = await led_cluster(seed)
    await cluster.wait(1)
    return cluster


async def pipeline(cluster, first=1, **changes):
    """A fork and a join, with a deadline on the last job only."""
    return await cluster.accept(
        dependent_job(first, urgency="best_effort", **changes),
        dependent_job(first + 1, first),
        dependent_job(first + 2, first, beats=3),
        dependent_job(first + 3, first + 1, first + 2, urgency="high", dueS=90.0),
    )


async def test_jobs_of_a_fork_and_a_join_run_in_order():
    cluster = await ready_cluster(31)
    names = await pipeline(cluster)
    assert await cluster.poll(names[-1]) == "pending"
    await cluster.finish(names)
    leader = cluster.controllers[cluster.leader()].leader
    assert not leader.graph.dependents
    assert not leader.graph.unknown


async def outage(cluster):
    await fault_scenarios.outage(6)(cluster)


async def no_fault(cluster):
    await cluster.wait(0)


FAULTS = [no_fault, fault_scenarios.leader_killed, fault_scenarios.all_killed, outage]


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_pipeline_survives_a_fault_at_each_stage(fault):
    """A new leader must derive from the records alone which jobs wait and which are released."""
    cluster = await ready_cluster(32)
    names = await pipeline(cluster)
    for done in names[:-1]:
        await cluster.until(lambda done=done: len(cluster.rules.jobs[done].done) > 0)
        await fault(cluster)
    await cluster.finish(names)


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_cancellation_also_cancels_all_dependent_jobs(fault):
    """Also if the leader terminates before it has cancelled the dependent jobs."""
    cluster = await ready_cluster(33)
    names = await pipeline(cluster, runS=60.0)
    await cluster.until(lambda: cluster.rules.starts > 0)
    assert await cluster.cancel(names[0]) == "cancelled"
    await fault(cluster)
    # A job that is submitted later with a cancelled dependency is accepted, then cancelled.
    assert await cluster.submit(dependent_job(9, 4)) == 201
    await cluster.wait(28)
    for cancelled in [*names, name(9)]:
        assert await cluster.poll(cancelled) == "cancelled"
    assert not cluster.rules.running


async def test_cancelling_a_job_that_is_already_done_does_not_cancel_its_dependents():
    cluster = await ready_cluster(34)
    names = await pipeline(cluster)
    await cluster.finish(names[:1])
    assert await cluster.cancel(names[0]) == "done"
    await cluster.finish(names)
    assert [await cluster.poll(done) for done in names] == ["done"] * 4


async def test_a_cancellation_stored_before_the_final_state_releases_no_dependents():
    """All tasks have completed, but the cancellation was confirmed to the user before that was
    stored. The record decides, so dependents must not start on the last heartbeat alone."""
    cluster = await ready_cluster(35)
    await cluster.accept(dependent_job(1), dependent_job(2, 1))
    state = cluster.network.services["state"]

    async def no_ends(source, method, path, body):
        if b'"ended/' in (body or b"") and b'"then":[]' not in body:
            return await state("nobody", "POST", "/nowhere", b"")
        return await state(source, method, path, body)

    state.refused.add("nobody")
    cluster.network.services["state"] = no_ends
    await cluster.until(lambda: len(cluster.rules.jobs[name(1)].done) == 2)
    await cluster.wait(2)
    cluster.network.services["state"] = state
    confirmed = await cluster.cancel(name(1))
    await cluster.wait(10)
    after = await cluster.poll(name(2))
    assert (confirmed, after) in (
        ("cancelled", "cancelled"),
        ("done", "running"),
        ("done", "done"),
    )


async def test_dependencies_are_checked_before_a_submission_is_accepted():
    cluster = await ready_cluster(36)
    await cluster.accept(dependent_job(1), dependent_job(2, form="service", expectedS=0.0))
    assert await cluster.submit(dependent_job(3, 77)) == 422
    assert await cluster.submit(dependent_job(3, 1, 77)) == 422
    assert await cluster.submit(dependent_job(3, 3)) == 422
    assert await cluster.submit(dependent_job(3, 1, 2)) == 422
    assert await cluster.submit(dependent_job(3, 1, 1)) == 201
    # An accepted job is never refused later, even with an invalid dependency.
    assert await cluster.submit(dependent_job(3, 77)) == 200
    await cluster.finish([name(1), name(3)])
    assert await cluster.submit(dependent_job(3, 77)) == 200
    assert await cluster.submit(dependent_job(4, 1, 3)) == 201
    await cluster.accept(*map(dependent_job, range(100, 140)))
    requests = cluster.store.requests
    assert await cluster.submit(dependent_job(5, *range(100, 140))) == 201
    assert cluster.store.requests - requests < 30
    await cluster.finish([name(5)])
    for bad in ("j-000001", ["x"], [1], {"a": 1}):
        body = json.dumps(dependent_job(6) | {"waitsOn": bad}).encode()
        reply = await cluster.send_user_request("POST", "/submissions", body)
        assert reply is not None
        assert reply.status == 400
        assert b"waitsOn" in reply.body
    body = json.dumps(dependent_job(7) | {"waitsOn": None}).encode()
    cluster.rules.submitted(dependent_job(7))
    assert (await cluster.send_user_request("POST", "/submissions", body)).status == 201


async def test_submissions_fail_quickly_while_dependencies_cannot_be_read():
    cluster = await ready_cluster(37)
    assert await cluster.submit(dependent_job(1, beats=1)) == 201
    await cluster.finish([name(1)])
    cluster.store.in_outage = True
    await cluster.wait(2)
    cluster.rules.submitted(dependent_job(2, 1))
    began = now()
    assert await cluster.submit(dependent_job(2, 1), tries=1) is None
    assert now() - began < 1.5
    cluster.store.end_outage()
    assert await cluster.submit(dependent_job(2, 1)) == 201
    await cluster.finish([name(2)])


async def test_long_chains_and_many_dependents_are_cancelled_in_time():
    """Guards against recursion over a long chain, and against one transaction per record, also
    after the store's limits were lowered."""
    cluster = SimulatedCluster(seed=38, next=NextLimits(write_rps=30.0, value_kb=2.0, txn_ops=8))
    cluster.drop_limits()
    await cluster.until_led()
    await cluster.wait(1)
    assert await cluster.submit(dependent_job(1, runS=300.0, expectedS=300.0)) == 201
    for number in range(2, 330):
        needs = (number - 1,) if number < 160 else (1, number // 2)
        assert await cluster.submit(dependent_job(number, *needs)) == 201
    assert await cluster.cancel(name(1)) == "cancelled"
    await cluster.wait(28)
    states = {await cluster.poll(name(number)) for number in range(1, 330)}
    assert states == {"cancelled"}


async def test_invalid_dependencies_in_records_do_not_stop_the_leader():
    """Jobs in a dependency cycle, or with a dependency that has no record, stay pending and can
    be cancelled; other jobs still run."""
    cluster = await ready_cluster(39)
    await cluster.accept(
        *(dependent_job(number, runS=200.0, expectedS=200.0) for number in (1, 2, 3))
    )
    leader = cluster.leader()
    for member in cluster.members:
        cluster.kill(member)
    for number, needs in ((1, [name(2)]), (2, [name(1)]), (3, ["j-999999"])):
        value, _, hold = cluster.store.keys[f"job/{name(number)}"]
        value["spec"]["waitsOn"] = needs
        cluster.rules.jobs[name(number)].spec["waitsOn"] = []
        cluster.store.revision += 1
        cluster.store.keys[f"job/{name(number)}"] = (value, cluster.store.revision, hold)
    await cluster.wait(12)
    for member in cluster.members:
        cluster.start(member)
    await cluster.until_led()
    assert leader is not None
    assert await cluster.submit(dependent_job(4)) == 201
    await cluster.finish([name(4)])
    for number in (1, 3):
        assert await cluster.cancel(name(number)) == "cancelled"
    await cluster.wait(5)
    assert await cluster.poll(name(3)) == "cancelled"
    cluster.rules.jobs[name(2)].spec["waitsOn"] = [name(1)]
    assert await cluster.poll(name(2)) == "cancelled"
