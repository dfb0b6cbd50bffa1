"""Since when nobody can have answered a worker: what ends with the controllers is proven
terminated a lease after that, not a lease after the next leader's term has begun."""

import asyncio
import random

import pytest

from dappledrum.membership.test_outages import partition_into_two_sides
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.virtual_time import run
from dappledrum.workers.attempt_ends import AttemptEnds

LEASE = 9.0


@pytest.fixture
def proofs(monkeypatch):
    """Each proof by silence is recorded with its time, and compared with what is on the machine: a
    loop of the leader would only log a failure and go on."""
    found, clusters, wrong = [], [], []
    lose = AttemptEnds.lose

    def checked(self, machine, placement, reason, entry):
        rented = clusters[-1].cloud.machines.get(machine.name)
        key = (f"{placement.page.job.id}/{placement.task}", placement.attempt)
        if "silent" in reason:
            found.append((asyncio.get_running_loop().time(), machine.name))
            on = rented.worker.attempts.get(key) if rented is not None and rented.worker else None
            if on is not None and on.state != "ended":
                wrong.append(f"{key} is on {machine.name}")
        lose(self, machine, placement, reason, entry)

    monkeypatch.setattr(AttemptEnds, "lose", checked)
    yield found, clusters
    assert not wrong


async def busy(clusters, seed):
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=LEASE)
    clusters.append(cluster)
    await cluster.until(lambda: cluster.leader() is not None)
    for number in range(6):
        await cluster.submit(job(number, beats=6, runS=40.0, expectedS=40.0, dueS=None))
    await cluster.until(lambda: cluster.rules.starts >= 16)
    await cluster.wait(3)
    return cluster


def hang(cluster, share):
    for worker in cluster.cloud.workers()[::share]:
        worker.hung = True


def test_what_ends_with_all_controllers_is_proven_terminated_a_lease_later(
    proofs,
):
    """They come back in an outage, so the next leader begins seconds later."""
    found, clusters = proofs

    async def main():
        cluster = await busy(clusters, 1)
        cluster.store.out = True
        await cluster.wait(1)
        hang(cluster, 2)
        await cluster.restart_all(3.0)
        back = asyncio.get_running_loop().time()
        await cluster.wait(5)
        cluster.store.end_outage()
        await cluster.until(lambda: cluster.leader() is not None)
        began = asyncio.get_running_loop().time()
        assert began > back + 5
        await cluster.wait(back + LEASE + 2.5 - began)
        assert found
        assert max(at for at, _ in found) < back + LEASE + 2.5
        for worker in cluster.cloud.workers():
            worker.hung = False
        await cluster.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(8))
def test_no_running_task_is_proven_terminated(proofs, seed):
    """Leaders that exit, are paused, go on by lease grants and are cut off, while machines are cut
    off too, and go on at any moment: at each proof nothing is on the machine."""
    _, clusters = proofs

    async def main():
        cluster = await busy(clusters, seed)
        rng = random.Random(seed)
        for _ in range(5):
            for name in rng.sample(sorted(cluster.cloud.machines), 2):
                for member in FIVE:
                    cluster.network.cut(member, name)
            await cluster.wait(rng.uniform(0, 2))
            leader = cluster.leader()
            what = rng.choice(("end", "end", "all", "outage", "freeze"))
            if what == "end" and leader is not None:
                await cluster.restart(leader, rng.choice((0.0, 0.3, 2.0)))
            elif what == "all":
                await cluster.restart_all(rng.uniform(0, 4))
            elif what == "freeze" and leader is not None:
                cluster.freeze(leader)
                await cluster.wait(rng.uniform(2, 8))
                cluster.thaw(leader)
            else:
                cluster.store.out = True
                await cluster.wait(rng.uniform(1, 3))
                await cluster.restart(rng.choice(FIVE), 0.3)
                await cluster.wait(rng.uniform(1, 6))
                cluster.store.end_outage()
            await cluster.wait(rng.uniform(1, LEASE + 2))
            cluster.network.heal()
            await cluster.wait(2)
        await cluster.finish([f"j-{n:06d}" for n in range(6)], most=600)

    run(main())


def test_a_leader_that_others_are_not_aware_of_may_still_answer(proofs):
    """Leader and two others are refused and go on by lease grants, two are served and lead, and
    the two sides can't talk: what the two hear of each other says nothing of the three."""
    _, clusters = proofs

    async def main():
        cluster = await busy(clusters, 3)
        leader, others = partition_into_two_sides(cluster)
        for worker in cluster.cloud.workers()[::2]:  # these reach only the former leader
            for member in others:
                cluster.network.cut(member, worker.name)
        await cluster.until(lambda: cluster.leader() not in (None, leader), most=10)
        assert cluster.controllers[leader].elector.valid_term() is not None
        await cluster.wait(5)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_answered_until_it_transferred_leadership(proofs, seed):
    _, clusters = proofs

    async def main():
        cluster = await busy(clusters, seed)
        await cluster.wait(12)
        leader = cluster.leader()
        for worker in cluster.cloud.workers()[::2]:
            for member in FIVE:
                cluster.network.cut(member, worker.name)
        cluster.store.refused.add(leader)
        await cluster.until(lambda: cluster.leader() not in (None, leader), most=10)
        await cluster.wait(LEASE - 4)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.finish([f"j-{n:06d}" for n in range(6)], most=400)

    run(main())
