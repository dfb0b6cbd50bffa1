"""Since when nobody can have answered a worker: what dies with the controllers is proven gone a
lease after that, not a lease after the next leader has begun."""

import asyncio
import random

import pytest

from dappledrum.membership.test_outages import two_sides
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run
from dappledrum.workers.reconciler import Bookkeeper

FIVE = tuple(f"drummer-{index}" for index in range(5))
LEASE = 9.0


@pytest.fixture
def proofs(monkeypatch):
    """Each proof by silence is told with its time, and checked against what is on the machine: a
    loop of the leader would only log a failure and go on."""
    found, worlds, wrong = [], [], []
    lost = Bookkeeper._lost

    def checked(self, machine, placement, why, entry):
        rented = worlds[-1].cloud.machines.get(machine.name)
        key = (f"{placement.page.job.id}/{placement.task}", placement.attempt)
        if "silent" in why:
            found.append((asyncio.get_running_loop().time(), machine.name))
            on = rented.worker.attempts.get(key) if rented is not None and rented.worker else None
            if on is not None and on.state != "ended":
                wrong.append(f"{key} is on {machine.name}")
        lost(self, machine, placement, why, entry)

    monkeypatch.setattr(Bookkeeper, "_lost", checked)
    yield found, worlds
    assert not wrong


async def busy(worlds, seed):
    world = World(seed=seed, members=FIVE, lease_s=LEASE)
    worlds.append(world)
    await world.until(lambda: world.leader() is not None)
    for number in range(6):
        await world.submit(job(number, beats=6, runS=40.0, expectedS=40.0, dueS=None))
    await world.until(lambda: world.rules.starts >= 16)
    await world.wait(3)
    return world


def hang(world, share):
    for worker in world.cloud.workers()[::share]:
        worker.hung = True


def test_what_died_with_all_controllers_is_proven_gone_a_lease_after_they_are_back(proofs):
    """They come back in an outage, so the next leader begins seconds later."""
    found, worlds = proofs

    async def main():
        world = await busy(worlds, 1)
        world.state.out = True
        await world.wait(1)
        hang(world, 2)
        await world.restart_all(3.0)
        back = asyncio.get_running_loop().time()
        await world.wait(5)
        world.state.end_outage()
        await world.until(lambda: world.leader() is not None)
        began = asyncio.get_running_loop().time()
        assert began > back + 5
        await world.wait(back + LEASE + 2.5 - began)
        assert found and max(at for at, _ in found) < back + LEASE + 2.5
        for worker in world.cloud.workers():
            worker.hung = False
        await world.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(8))
def test_nothing_is_taken_for_gone_that_is_there(proofs, seed):
    """Leaders that end, stand still, go on for promises and are cut off, while machines are cut
    off too, and go on at any moment: at each proof nothing is on the machine."""
    _, worlds = proofs

    async def main():
        world = await busy(worlds, seed)
        rng = random.Random(seed)
        for _ in range(5):
            for name in rng.sample(sorted(world.cloud.machines), 2):
                for member in FIVE:
                    world.network.cut(member, name)
            await world.wait(rng.uniform(0, 2))
            leader = world.leader()
            what = rng.choice(("end", "end", "all", "outage", "freeze"))
            if what == "end" and leader is not None:
                await world.restart(leader, rng.choice((0.0, 0.3, 2.0)))
            elif what == "all":
                await world.restart_all(rng.uniform(0, 4))
            elif what == "freeze" and leader is not None:
                world.freeze(leader)
                await world.wait(rng.uniform(2, 8))
                world.thaw(leader)
            else:
                world.state.out = True
                await world.wait(rng.uniform(1, 3))
                await world.restart(rng.choice(FIVE), 0.3)
                await world.wait(rng.uniform(1, 6))
                world.state.end_outage()
            await world.wait(rng.uniform(1, LEASE + 2))
            world.network.heal()
            await world.wait(2)
        await world.finish([f"j-{n:06d}" for n in range(6)], most=600)

    run(main())


def test_a_leader_that_others_know_nothing_of_may_still_answer(proofs):
    """Leader and two others are refused and go on for promises, two are served and lead, and the
    two sides can't talk: what the two hear of each other says nothing of the three."""
    _, worlds = proofs

    async def main():
        world = await busy(worlds, 3)
        leader, others = two_sides(world)
        for worker in world.cloud.workers()[::2]:  # these reach only the former leader
            for member in others:
                world.network.cut(member, worker.name)
        await world.until(lambda: world.leader() not in (None, leader), most=10)
        assert world.nodes[leader].elector.holding() is not None
        await world.wait(5)
        world.network.heal()
        world.state.refused.clear()
        await world.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_has_handed_over_answered_until_then(proofs, seed):
    _, worlds = proofs

    async def main():
        world = await busy(worlds, seed)
        await world.wait(12)
        leader = world.leader()
        for worker in world.cloud.workers()[::2]:
            for member in FIVE:
                world.network.cut(member, worker.name)
        world.state.refused.add(leader)
        await world.until(lambda: world.leader() not in (None, leader), most=10)
        await world.wait(LEASE - 4)
        world.network.heal()
        world.state.refused.clear()
        await world.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())
