"""Processes that are there again within a second of their end: what the next one may wrongly take
for its own, forget or repeat (docs/design.md, "Back at once")."""

import asyncio
import random

import pytest

from dappledrum.standins.ends import STEPS, Ends
from dappledrum.standins.time import run
from dappledrum.standins.world import World, job

FIVE = tuple(f"drummer-{index}" for index in range(5))


async def busy(seed, step, rng):
    world = World(seed=seed, members=FIVE)
    await world.until(lambda: world.leader() is not None)
    ends = Ends(world, step, rng, most=10)
    names = []
    for number in range(6):
        spec = job(number, beats=6, dueS=None, crew="red" if number == 5 else "blue")
        names.append(spec["id"])
        assert await world.submit(spec) in (200, 201)
    await world.until(lambda: world.rules.starts >= 4)
    return world, names, ends


async def troubles(world, rng):
    """What makes each step come by: an outage, leaders that end or must hand over, machines
    taken."""
    for _ in range(2):
        await world.wait(rng.uniform(1, 3))
        if world.leader() is not None:
            await world.restart(world.leader(), rng.uniform(0, 4))
    world.state.out = True
    await world.wait(rng.uniform(2, 4))
    world.state.end_outage()
    await world.wait(rng.uniform(14, 16))  # a term that is long enough to be handed over
    leader = world.leader()
    if leader is not None:
        world.state.refused.add(leader)
    for name in list(world.cloud.machines)[::3]:
        world.cloud.take(name)
    await world.wait(rng.uniform(5, 8))
    world.state.refused.clear()
    assert await world.submit(job(900, dueS=None)) in (200, 201)
    await world.wait(60)  # and idle machines for long enough to be returned
    if world.leader() is not None:
        world.state.refused.add(world.leader())
    await world.wait(6)
    world.state.refused.clear()


@pytest.mark.long
@pytest.mark.parametrize("step", STEPS)
def test_ends_at_each_step(step):
    """Rules are checked after each step, and every job is done in the end."""

    async def main():
        fates = 0
        for seed in range(2):
            rng = random.Random(f"{step} {seed}")
            world, names, ends = await busy(seed, STEPS[step], rng)
            await troubles(world, rng)
            world.network.watcher = None
            await world.wait(2)
            await world.finish([*names, "j-000900"], most=400)
            fates += ends.fates.total()
        assert fates >= 2, "the step never came by"

    run(main())


async def ready(world, member):
    reply = await world._ask("GET", "/ready", None, member)
    return reply is not None and reply.status == 200


def test_processes_that_begin_in_an_outage_are_ready_at_once():
    """They once were when it was over, and the load balancer, which had left them all out by
    then, took them back so slowly that users found nobody for 10 s more."""

    async def main():
        world = World(seed=3, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        await world.wait(3)
        world.state.out = True
        await world.wait(2)
        for member in FIVE:
            world.kill(member)
        for member in FIVE:
            await world.wait(world.rng.uniform(0, 0.2))
            world.start(member)
        await world.wait(1.2)
        assert all([await ready(world, member) for member in FIVE])
        reply = await world._ask("GET", "/submissions/j-000001")
        assert reply.status == 503
        alone = FIVE[0]
        world.cut_off(alone, *FIVE[1:], *("back-" + member for member in FIVE[1:]))
        await world.restart(alone, 0.1)
        await world.wait(3)
        assert not await ready(world, alone), "it can neither serve users nor pass them on"
        world.network.heal()
        world.state.end_outage()
        await world.wait(1)
        assert await ready(world, alone)

    run(main())


def test_words_of_a_later_process_count_though_its_clock_says_that_it_is_the_earlier():
    """Clocks wander by a quarter of a second, more than a process that ends at once lives."""

    async def main():
        world = World(seed=4, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        await world.wait(3)
        member = next(m for m in FIVE if m != world.leader())
        await world.restart(member, 0.1)
        world.nodes[member].reach.born -= 5_000
        await world.wait(6)  # what the one before has told is not fresh any more
        for other in FIVE:
            if other != member:
                reach = world.nodes[other].reach
                assert reach.table.talks(member, reach.clock.now())

    run(main())


def test_a_process_in_a_loop_of_ends_slows_nobody():
    """What each restart of a follower costs: some requests to the state service, no change of a
    record, and nobody else's time."""

    async def main():
        world = World(seed=5, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        await world.wait(3)
        leader = world.leader()
        member = next(m for m in FIVE if m != leader)
        others = [m for m in FIVE if m != member]
        await world.wait(10)
        rest = world.state.requests
        await world.wait(20)
        rest = (world.state.requests - rest) / 20
        requests, writes = world.state.requests, world.state.writes
        loop = asyncio.get_running_loop()
        began = loop.time()
        for _ in range(20):
            await world.restart(member, 0.3)
            await world.wait(0.3)
            assert world.leader() == leader
        each = (world.state.requests - requests - rest * (loop.time() - began)) / 20
        assert each < 12 and world.state.writes == writes
        for number, other in enumerate(others):
            await world.restart(member, 0.3)
            assert await world.submit(job(number), tries=1, member=other) == 201
        await world.finish([f"j-{n:06d}" for n in range(len(others))])

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_leader_that_is_back_at_once_is_replaced_at_once(seed):
    """Its key kept all others from standing until its hold was over, 3 s later, though its next
    process knew that nobody led under it."""

    async def main():
        world = World(seed=seed, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        for back in (0.0, 0.05, 0.3):
            await world.wait(5)
            leader = world.leader()
            loop = asyncio.get_running_loop()
            began = loop.time()
            await world.restart(leader, back)
            while world.leader() is None:
                await asyncio.sleep(0.01)
                assert loop.time() - began < back + 0.5
            # Whoever is not back within its hold is waited for, as ever.
            leader = world.leader()
            world.kill(leader)
            await world.wait(2)
            assert world.leader() is None
            await world.until(lambda: world.leader() is not None, most=2)
            world.start(leader)

    run(main())


def test_a_key_with_ones_own_name_that_nobody_leads_by_goes():
    """A transaction of an election that is executed after its sender's end: the process after it
    does not lead by that key, and ends it."""

    async def main():
        world = World(seed=7, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        await world.wait(3)
        state = world.state
        leader = world.leader()
        ghost = next(m for m in FIVE if m != leader)
        epoch = state.keys["epoch"][0]["epoch"]
        world.kill(leader)
        await world.wait(1)
        for hold in [h for k, (_, _, h) in state.keys.items() if k == "leader"]:
            state._end(hold)
        state.holds[99] = (asyncio.get_running_loop().time() + 3, 3.0)
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

    run(main())


def test_all_end_again_and_again():
    """Five at once, five times, before the first read is over or after it."""

    async def main():
        world = World(seed=6, members=FIVE)
        await world.until(lambda: world.leader() is not None)
        names = []
        for number in range(4):
            names.append(job(number)["id"])
            assert await world.submit(job(number, dueS=None)) == 201
        for _ in range(5):
            await world.restart_all(world.rng.uniform(0, 1))
            await world.wait(world.rng.choice((0.0, 0.005, 0.02, 0.5, 4.0)))
        await world.until(lambda: world.leader() is not None, most=6)
        await world.finish(names)

    run(main())
