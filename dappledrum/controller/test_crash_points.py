"""Processes that are there again within a second of their end: what the next one may wrongly take
for its own, forget or repeat (docs/design.md, "Back at once")."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job, led_world
from dappledrum.simulation.crash_points import STEPS, play_ends
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import now


@pytest.mark.long
@pytest.mark.parametrize("step", STEPS)
async def test_ends_at_each_step(step):
    """Rules are checked after each step, and every job is done in the end."""
    ended = [await play_ends(step, seed) for seed in range(2)]
    assert sum(ended) >= 2, "the step never came by"


async def test_processes_that_begin_in_an_outage_are_ready_at_once():
    """They once were when it was over, and the load balancer, which had left them all out by
    then, took them back so slowly that users found nobody for 10 s more."""
    world = await led_world(3, members=FIVE)
    await world.wait(3)
    world.state.out = True
    await world.wait(2)
    for member in FIVE:
        world.kill(member)
    for member in FIVE:
        await world.wait(world.rng.uniform(0, 0.2))
        world.start(member)
    await world.wait(1.2)
    assert [await world.readiness(member) for member in FIVE] == [200] * 5
    reply = await world._ask("GET", "/submissions/j-000001")
    assert reply.status == 503
    alone = FIVE[0]
    world.cut_from_peers(alone)
    await world.restart(alone, 0.1)
    await world.wait(3)
    assert await world.readiness(alone) != 200, "it can neither serve users nor pass them on"
    world.network.heal()
    world.state.end_outage()
    await world.wait(1)
    assert await world.readiness(alone) == 200


async def test_words_of_a_later_process_count_though_its_clock_says_that_it_is_the_earlier():
    """Clocks wander by a quarter of a second, more than a process that ends at once lives."""
    world = await led_world(4, members=FIVE)
    await world.wait(3)
    member = world.others(world.leader())[0]
    await world.restart(member, 0.1)
    world.nodes[member].reach.born -= 5_000
    await world.wait(6)  # what the one before has told is not fresh any more
    for other in world.others(member):
        reach = world.nodes[other].reach
        assert reach.table.is_connected(member, reach.clock.now())


async def test_a_process_in_a_loop_of_ends_slows_nobody():
    """What each restart of a follower costs: some requests to the state service, no change of a
    record, and nobody else's time."""
    world = await led_world(5, members=FIVE)
    await world.wait(3)
    leader = world.leader()
    member = world.others(leader)[0]
    await world.wait(10)
    rest = world.state.requests
    await world.wait(20)
    rest = (world.state.requests - rest) / 20
    requests, writes = world.state.requests, world.state.writes
    began = now()
    for _ in range(20):
        await world.restart(member, 0.3)
        await world.wait(0.3)
        assert world.leader() == leader
    each = (world.state.requests - requests - rest * (now() - began)) / 20
    assert each < 12 and world.state.writes == writes
    for number, other in enumerate(world.others(member)):
        await world.restart(member, 0.3)
        assert await world.submit(job(number), tries=1, member=other) == 201
    await world.finish([f"j-{n:06d}" for n in range(4)])


@pytest.mark.parametrize("seed", range(3))
async def test_a_leader_that_is_back_at_once_is_replaced_at_once(seed):
    """Its key kept all others from standing until its hold was over, 3 s later, though its next
    process knew that nobody led under it."""
    world = await led_world(seed, members=FIVE)
    for back in (0.0, 0.05, 0.3):
        await world.wait(5)
        leader = world.leader()
        began = now()
        await world.restart(leader, back)
        while world.leader() is None:
            await asyncio.sleep(0.01)
            assert now() - began < back + 0.5
        # Whoever is not back within its hold is waited for, as ever.
        leader = world.leader()
        world.kill(leader)
        await world.wait(2)
        assert world.leader() is None
        await world.until_led(most=2)
        world.start(leader)


async def test_a_key_with_ones_own_name_that_nobody_leads_by_goes():
    """A transaction of an election that is executed after its sender's end: the process after it
    does not lead by that key, and ends it."""
    world = await led_world(7, members=FIVE)
    await world.wait(3)
    state = world.state
    leader = world.leader()
    ghost = world.others(leader)[0]
    epoch = state.keys["epoch"][0]["epoch"]
    world.kill(leader)
    await world.wait(1)
    for hold in [h for k, (_, _, h) in state.keys.items() if k == "leader"]:
        state._end(hold)
    state.holds[99] = (now() + 3, 3.0)
    body = {
        "guards": [],
        "then": [
            {"write": "leader", "value": {"member": ghost, "epoch": epoch + 1}, "hold": 99},
            {"write": "epoch", "value": {"epoch": epoch + 1}},
        ],
    }
    state._multi(body)
    assert state.keys["leader"][2] == 99
    await world.wait(0.75)
    assert 99 not in state.holds
    assert world.leader() is not None
    assert world.nodes[world.leader()].elector.term.epoch == epoch + 2


async def test_all_end_again_and_again():
    """Five at once, five times, before the first read is over or after it."""
    world = await led_world(6, members=FIVE)
    names = await world.accept_jobs(4, dueS=None)
    for _ in range(5):
        await world.restart_all(world.rng.uniform(0, 1))
        await world.wait(world.rng.choice((0.0, 0.005, 0.02, 0.5, 4.0)))
    await world.until_led(most=6)
    await world.finish(names)
