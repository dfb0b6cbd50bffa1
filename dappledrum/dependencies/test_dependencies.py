"""Chains of jobs over the stand-ins: released in order, cancelled together, whatever happens to
the controllers in between. The rules are checked after each step."""

import json

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation import fault_scenarios
from dappledrum.simulation.cluster import World, job, led_world
from dappledrum.simulation.scenario import now


def name(number):
    return f"j-{number:06d}"


def link(number, *needs, **changes):
    changes = {"beats": 2, "dueS": None, "runS": 3.0, "expectedS": 3.0} | changes
    return job(number, waitsOn=[name(need) for need in needs], **changes)


async def settled_world(seed):
    world = await led_world(seed)
    await world.wait(1)
    return world


async def pipeline(world, first=1, **changes):
    """A fork and a join, with a deadline on the last job only."""
    return await world.accept(
        link(first, urgency="best_effort", **changes),
        link(first + 1, first),
        link(first + 2, first, beats=3),
        link(first + 3, first + 1, first + 2, urgency="high", dueS=90.0),
    )


async def test_a_fork_and_a_join_run_in_order():
    world = await settled_world(31)
    names = await pipeline(world)
    assert await world.poll(names[-1]) == "pending"
    await world.finish(names)
    leader = world.nodes[world.leader()].leader
    assert not leader.graph.followers and not leader.graph.unknown


async def outage(world):
    await fault_scenarios.outage(6)(world)


async def nothing(world):
    await world.wait(0)


FAULTS = [nothing, fault_scenarios.leader_killed, fault_scenarios.all_killed, outage]


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_pipeline_outlives_trouble_at_each_stage(fault):
    """A successor finds from the records alone what waits, and what has been released."""
    world = await settled_world(32)
    names = await pipeline(world)
    for done in names[:-1]:
        await world.until(lambda done=done: len(world.rules.jobs[done].done) > 0)
        await fault(world)
    await world.finish(names)


@pytest.mark.parametrize("fault", FAULTS)
async def test_a_cancellation_takes_along_all_that_follows(fault):
    """Also when the leader that would have cancelled them ends first."""
    world = await settled_world(33)
    names = await pipeline(world, runS=60.0)
    await world.until(lambda: world.rules.starts > 0)
    assert await world.cancel(names[0]) == "cancelled"
    await fault(world)
    # Named long after: accepted all the same, and cancelled.
    assert await world.submit(link(9, 4)) == 201
    await world.wait(28)
    for told in [*names, name(9)]:
        assert await world.poll(told) == "cancelled"
    assert not world.rules.running


async def test_jobs_after_one_that_was_done_before_its_cancellation_go_on():
    world = await settled_world(34)
    names = await pipeline(world)
    await world.finish(names[:1])
    assert await world.cancel(names[0]) == "done"
    await world.finish(names)
    assert [await world.poll(told) for told in names] == ["done"] * 4


async def test_a_cancellation_that_beats_the_record_of_the_last_end_releases_nobody():
    """All tasks have completed, but the user was told that the job is cancelled: the record
    decides, so what waits must not start on the last report alone."""
    world = await settled_world(35)
    await world.accept(link(1), link(2, 1))
    state = world.network.services["state"]

    async def no_ends(source, method, path, body):
        if b'"ended/' in (body or b"") and b'"then":[]' not in body:
            return await state("nobody", "POST", "/nowhere", b"")
        return await state(source, method, path, body)

    state.refused.add("nobody")
    world.network.services["state"] = no_ends
    await world.until(lambda: len(world.rules.jobs[name(1)].done) == 2)
    await world.wait(2)
    world.network.services["state"] = state
    told = await world.cancel(name(1))
    await world.wait(10)
    after = await world.poll(name(2))
    assert (told, after) in (("cancelled", "cancelled"), ("done", "running"), ("done", "done"))


async def test_names_are_checked_before_a_submission_is_taken():
    world = await settled_world(36)
    await world.accept(link(1), link(2, form="service", expectedS=0.0))
    assert await world.submit(link(3, 77)) == 422
    assert await world.submit(link(3, 1, 77)) == 422
    assert await world.submit(link(3, 3)) == 422
    assert await world.submit(link(3, 1, 2)) == 422
    assert await world.submit(link(3, 1, 1)) == 201
    # Once accepted, it is never refused, whatever is sent now.
    assert await world.submit(link(3, 77)) == 200
    await world.finish([name(1), name(3)])
    assert await world.submit(link(3, 77)) == 200
    assert await world.submit(link(4, 1, 3)) == 201
    await world.accept(*map(link, range(100, 140)))
    requests = world.state.requests
    assert await world.submit(link(5, *range(100, 140))) == 201
    assert world.state.requests - requests < 30
    await world.finish([name(5)])
    for bad in ("j-000001", ["x"], [1], {"a": 1}):
        body = json.dumps(link(6) | {"waitsOn": bad}).encode()
        reply = await world._ask("POST", "/submissions", body)
        assert reply is not None and reply.status == 400 and b"waitsOn" in reply.body
    body = json.dumps(link(7) | {"waitsOn": None}).encode()
    world.rules.submitted(link(7))
    assert (await world._ask("POST", "/submissions", body)).status == 201


async def test_while_names_cannot_be_read_the_user_is_told_at_once():
    world = await settled_world(37)
    assert await world.submit(link(1, beats=1)) == 201
    await world.finish([name(1)])
    world.state.out = True
    await world.wait(2)
    world.rules.submitted(link(2, 1))
    began = now()
    assert await world.submit(link(2, 1), tries=1) is None
    assert now() - began < 1.5
    world.state.end_outage()
    assert await world.submit(link(2, 1)) == 201
    await world.finish([name(2)])


async def test_long_chains_and_many_followers_are_cancelled_in_time():
    """Nothing recursive, and their records share transactions, also after the limits dropped."""
    world = World(seed=38, next=NextLimits(write_rps=30.0, value_kb=2.0, txn_ops=8))
    world.drop_limits()
    await world.until_led()
    await world.wait(1)
    assert await world.submit(link(1, runS=300.0, expectedS=300.0)) == 201
    for number in range(2, 330):
        needs = (number - 1,) if number < 160 else (1, number // 2)
        assert await world.submit(link(number, *needs)) == 201
    assert await world.cancel(name(1)) == "cancelled"
    await world.wait(28)
    states = {await world.poll(name(number)) for number in range(1, 330)}
    assert states == {"cancelled"}


async def test_records_that_make_no_sense_end_no_loop():
    """A ring, and a name without any record: both stay pending, and can be cancelled."""
    world = await settled_world(39)
    await world.accept(*(link(number, runS=200.0, expectedS=200.0) for number in (1, 2, 3)))
    leader = world.leader()
    for member in world.members:
        world.kill(member)
    for number, needs in ((1, [name(2)]), (2, [name(1)]), (3, ["j-999999"])):
        value, _, hold = world.state.keys[f"job/{name(number)}"]
        value["spec"]["waitsOn"] = needs
        world.rules.jobs[name(number)].spec["waitsOn"] = []
        world.state.tally += 1
        world.state.keys[f"job/{name(number)}"] = (value, world.state.tally, hold)
    await world.wait(12)
    for member in world.members:
        world.start(member)
    await world.until_led()
    assert leader is not None
    assert await world.submit(link(4)) == 201
    await world.finish([name(4)])
    for number in (1, 3):
        assert await world.cancel(name(number)) == "cancelled"
    await world.wait(5)
    assert await world.poll(name(3)) == "cancelled"
    world.rules.jobs[name(2)].spec["waitsOn"] = [name(1)]
    assert await world.poll(name(2)) == "cancelled"
