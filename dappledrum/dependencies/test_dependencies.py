"""Chains of jobs over the stand-ins: released in order, cancelled together, whatever happens to
the controllers in between. The rules are checked after each step."""

import json

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation import fault_scenarios
from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.scenario import now


def name(number):
    return f"j-{number:06d}"


def link(number, *needs, **changes):
    changes = {"beats": 2, "dueS": None, "runS": 3.0, "expectedS": 3.0} | changes
    return job(number, waitsOn=[name(need) for need in needs], **changes)


async def settled_world(seed):
    cluster = await led_cluster(seed)
    await cluster.wait(1)
    return cluster


async def pipeline(cluster, first=1, **changes):
    """A fork and a join, with a deadline on the last job only."""
    return await cluster.accept(
        link(first, urgency="best_effort", **changes),
        link(first + 1, first),
        link(first + 2, first, beats=3),
        link(first + 3, first + 1, first + 2, urgency="high", dueS=90.0),
    )


async def test_a_fork_and_a_join_run_in_order():
    cluster = await settled_world(31)
    names = await pipeline(cluster)
    assert await cluster.poll(names[-1]) == "pending"
    await cluster.finish(names)
    leader = cluster.controllers[cluster.leader()].leader
    assert not leader.graph.followers
    assert not leader.graph.unknown


async def outage(cluster):
    await fault_scenarios.outage(6)(cluster)


async def nothing(cluster):
    await cluster.wait(0)


FAULTS = [nothing, fault_scenarios.leader_killed, fault_scenarios.all_killed, outage]


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_pipeline_outlives_trouble_at_each_stage(fault):
    """A successor finds from the records alone what waits, and what has been released."""
    cluster = await settled_world(32)
    names = await pipeline(cluster)
    for done in names[:-1]:
        await cluster.until(lambda done=done: len(cluster.rules.jobs[done].done) > 0)
        await fault(cluster)
    await cluster.finish(names)


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_cancellation_takes_along_all_that_follows(fault):
    """Also when the leader that would have cancelled them ends first."""
    cluster = await settled_world(33)
    names = await pipeline(cluster, runS=60.0)
    await cluster.until(lambda: cluster.rules.starts > 0)
    assert await cluster.cancel(names[0]) == "cancelled"
    await fault(cluster)
    # Named long after: accepted all the same, and cancelled.
    assert await cluster.submit(link(9, 4)) == 201
    await cluster.wait(28)
    for told in [*names, name(9)]:
        assert await cluster.poll(told) == "cancelled"
    assert not cluster.rules.running


async def test_jobs_after_one_that_was_done_before_its_cancellation_go_on():
    cluster = await settled_world(34)
    names = await pipeline(cluster)
    await cluster.finish(names[:1])
    assert await cluster.cancel(names[0]) == "done"
    await cluster.finish(names)
    assert [await cluster.poll(told) for told in names] == ["done"] * 4


async def test_a_cancellation_that_beats_the_record_of_the_last_end_releases_nobody():
    """All tasks have completed, but the user was told that the job is cancelled: the record
    decides, so what waits must not start on the last heartbeat alone."""
    cluster = await settled_world(35)
    await cluster.accept(link(1), link(2, 1))
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
    told = await cluster.cancel(name(1))
    await cluster.wait(10)
    after = await cluster.poll(name(2))
    assert (told, after) in (("cancelled", "cancelled"), ("done", "running"), ("done", "done"))


async def test_names_are_checked_before_a_submission_is_taken():
    cluster = await settled_world(36)
    await cluster.accept(link(1), link(2, form="service", expectedS=0.0))
    assert await cluster.submit(link(3, 77)) == 422
    assert await cluster.submit(link(3, 1, 77)) == 422
    assert await cluster.submit(link(3, 3)) == 422
    assert await cluster.submit(link(3, 1, 2)) == 422
    assert await cluster.submit(link(3, 1, 1)) == 201
    # Once accepted, it is never refused, whatever is sent now.
    assert await cluster.submit(link(3, 77)) == 200
    await cluster.finish([name(1), name(3)])
    assert await cluster.submit(link(3, 77)) == 200
    assert await cluster.submit(link(4, 1, 3)) == 201
    await cluster.accept(*map(link, range(100, 140)))
    requests = cluster.store.requests
    assert await cluster.submit(link(5, *range(100, 140))) == 201
    assert cluster.store.requests - requests < 30
    await cluster.finish([name(5)])
    for bad in ("j-000001", ["x"], [1], {"a": 1}):
        body = json.dumps(link(6) | {"waitsOn": bad}).encode()
        reply = await cluster._ask("POST", "/submissions", body)
        assert reply is not None
        assert reply.status == 400
        assert b"waitsOn" in reply.body
    body = json.dumps(link(7) | {"waitsOn": None}).encode()
    cluster.rules.submitted(link(7))
    assert (await cluster._ask("POST", "/submissions", body)).status == 201


async def test_while_names_cannot_be_read_the_user_is_told_at_once():
    cluster = await settled_world(37)
    assert await cluster.submit(link(1, beats=1)) == 201
    await cluster.finish([name(1)])
    cluster.store.out = True
    await cluster.wait(2)
    cluster.rules.submitted(link(2, 1))
    began = now()
    assert await cluster.submit(link(2, 1), tries=1) is None
    assert now() - began < 1.5
    cluster.store.end_outage()
    assert await cluster.submit(link(2, 1)) == 201
    await cluster.finish([name(2)])


async def test_long_chains_and_many_followers_are_cancelled_in_time():
    """Nothing recursive, and their records share transactions, also after the limits dropped."""
    cluster = SimulatedCluster(seed=38, next=NextLimits(write_rps=30.0, value_kb=2.0, txn_ops=8))
    cluster.drop_limits()
    await cluster.until_led()
    await cluster.wait(1)
    assert await cluster.submit(link(1, runS=300.0, expectedS=300.0)) == 201
    for number in range(2, 330):
        needs = (number - 1,) if number < 160 else (1, number // 2)
        assert await cluster.submit(link(number, *needs)) == 201
    assert await cluster.cancel(name(1)) == "cancelled"
    await cluster.wait(28)
    states = {await cluster.poll(name(number)) for number in range(1, 330)}
    assert states == {"cancelled"}


async def test_records_that_make_no_sense_end_no_loop():
    """A ring, and a name without any record: both stay pending, and can be cancelled."""
    cluster = await settled_world(39)
    await cluster.accept(*(link(number, runS=200.0, expectedS=200.0) for number in (1, 2, 3)))
    leader = cluster.leader()
    for member in cluster.members:
        cluster.kill(member)
    for number, needs in ((1, [name(2)]), (2, [name(1)]), (3, ["j-999999"])):
        value, _, hold = cluster.store.keys[f"job/{name(number)}"]
        value["spec"]["waitsOn"] = needs
        cluster.rules.jobs[name(number)].spec["waitsOn"] = []
        cluster.store.tally += 1
        cluster.store.keys[f"job/{name(number)}"] = (value, cluster.store.tally, hold)
    await cluster.wait(12)
    for member in cluster.members:
        cluster.start(member)
    await cluster.until_led()
    assert leader is not None
    assert await cluster.submit(link(4)) == 201
    await cluster.finish([name(4)])
    for number in (1, 3):
        assert await cluster.cancel(name(number)) == "cancelled"
    await cluster.wait(5)
    assert await cluster.poll(name(3)) == "cancelled"
    cluster.rules.jobs[name(2)].spec["waitsOn"] = [name(1)]
    assert await cluster.poll(name(2)) == "cancelled"
