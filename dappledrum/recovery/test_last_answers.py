"""Tasks on silent machines are declared lost one lease after the last possible answer of any
controller to a worker, not one lease after the next leader's term has begun.

If that moment were taken too early, a task that still runs would be declared lost, and would be
started a second time.
"""

import asyncio
import random

import pytest

from dappledrum.membership.test_outages import partition_into_two_sides
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.virtual_time import run
from dappledrum.workers.attempt_ends import AttemptEnds

LEASE_S = 9.0


@pytest.fixture
def losses_by_silence(monkeypatch):
    """Record each loss that is declared because of silence, with its time, and compare it with the
    attempts on the machine.

    The check comes at the end, since the leader's loops would only log a failed assertion. Yields
    the losses, and the list to which a test adds its cluster.
    """
    losses, clusters, false_losses = [], [], []
    lose = AttemptEnds.lose

    def checked_lose(self, machine, placement, reason, entry):
        rented = clusters[-1].cloud.machines.get(machine.name)
        key = (f"{placement.page.job.id}/{placement.task}", placement.attempt)
        if "silent" in reason:
            losses.append((asyncio.get_running_loop().time(), machine.name))
            found = (
                rented.worker.attempts.get(key) if rented is not None and rented.worker else None
            )
            if found is not None and found.state != "ended":
                false_losses.append(f"{key} is on {machine.name}")
        lose(self, machine, placement, reason, entry)

    monkeypatch.setattr(AttemptEnds, "lose", checked_lose)
    yield losses, clusters
    assert not false_losses


async def start_busy_cluster(clusters, seed):
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=LEASE_S)
    clusters.append(cluster)
    await cluster.until(lambda: cluster.leader() is not None)
    for number in range(6):
        await cluster.submit(job(number, beats=6, runS=40.0, expectedS=40.0, dueS=None))
    await cluster.until(lambda: cluster.rules.starts >= 16)
    await cluster.wait(3)
    return cluster


def hang_every_nth_worker(cluster, n):
    for worker in cluster.cloud.workers()[::n]:
        worker.hung = True


def test_tasks_are_declared_lost_one_lease_after_all_controllers_restarted(losses_by_silence):
    """The controllers restart during a store outage, so the next term begins seconds later."""
    losses, clusters = losses_by_silence

    async def main():
        cluster = await start_busy_cluster(clusters, 1)
        cluster.store.in_outage = True
        await cluster.wait(1)
        hang_every_nth_worker(cluster, 2)
        await cluster.restart_all(3.0)
        restarted_at = asyncio.get_running_loop().time()
        await cluster.wait(5)
        cluster.store.end_outage()
        await cluster.until(lambda: cluster.leader() is not None)
        leader_since = asyncio.get_running_loop().time()
        assert leader_since > restarted_at + 5
        await cluster.wait(restarted_at + LEASE_S + 2.5 - leader_since)
        assert losses
        assert max(at for at, _ in losses) < restarted_at + LEASE_S + 2.5
        for worker in cluster.cloud.workers():
            worker.hung = False
        await cluster.finish([f"j-{n:06d}" for n in range(6)], timeout_s=400)

    run(main())


@pytest.mark.parametrize("seed", range(8))
def test_no_running_task_is_declared_lost(losses_by_silence, seed):
    """Leaders exit, are paused, and go on by lease grants, while machines are cut off from all
    controllers and reconnected: a task that is declared lost no longer runs on its machine."""
    _, clusters = losses_by_silence

    async def main():
        cluster = await start_busy_cluster(clusters, seed)
        rng = random.Random(seed)
        for _ in range(5):
            for name in rng.sample(sorted(cluster.cloud.machines), 2):
                for member in FIVE:
                    cluster.network.cut(member, name)
            await cluster.wait(rng.uniform(0, 2))
            leader = cluster.leader()
            fault = rng.choice(("end", "end", "all", "outage", "freeze"))
            if fault == "end" and leader is not None:
                await cluster.restart(leader, rng.choice((0.0, 0.3, 2.0)))
            elif fault == "all":
                await cluster.restart_all(rng.uniform(0, 4))
            elif fault == "freeze" and leader is not None:
                cluster.freeze(leader)
                await cluster.wait(rng.uniform(2, 8))
                cluster.thaw(leader)
            else:
                cluster.store.in_outage = True
                await cluster.wait(rng.uniform(1, 3))
                await cluster.restart(rng.choice(FIVE), 0.3)
                await cluster.wait(rng.uniform(1, 6))
                cluster.store.end_outage()
            await cluster.wait(rng.uniform(1, LEASE_S + 2))
            cluster.network.heal()
            await cluster.wait(2)
        await cluster.finish([f"j-{n:06d}" for n in range(6)], timeout_s=600)

    run(main())


def test_a_new_leader_does_not_assume_that_an_unreachable_former_leader_is_silent(
    losses_by_silence,
):
    """The store refuses the leader and two followers, which go on by lease grants, and serves the
    two others, one of which becomes leader. The two sides can't reach each other, so the new
    leader can't find out since when the former one has answered no worker."""
    _, clusters = losses_by_silence

    async def main():
        cluster = await start_busy_cluster(clusters, 3)
        leader, others = partition_into_two_sides(cluster)
        for worker in cluster.cloud.workers()[::2]:  # these reach only the former leader
            for member in others:
                cluster.network.cut(member, worker.name)
        await cluster.until(lambda: cluster.leader() not in (None, leader), timeout_s=10)
        assert cluster.controllers[leader].elector.valid_term() is not None
        await cluster.wait(5)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.finish([f"j-{n:06d}" for n in range(6)], timeout_s=400)

    run(main())


@pytest.mark.parametrize("seed", range(4))
def test_a_leader_that_transfers_leadership_has_answered_until_then(losses_by_silence, seed):
    """If its last answer were assumed to be earlier than the transfer, tasks of workers that it
    answered in between would be declared lost too early."""
    _, clusters = losses_by_silence

    async def main():
        cluster = await start_busy_cluster(clusters, seed)
        await cluster.wait(12)
        leader = cluster.leader()
        for worker in cluster.cloud.workers()[::2]:
            for member in FIVE:
                cluster.network.cut(member, worker.name)
        cluster.store.refused.add(leader)
        await cluster.until(lambda: cluster.leader() not in (None, leader), timeout_s=10)
        await cluster.wait(LEASE_S - 4)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.finish([f"j-{n:06d}" for n in range(6)], timeout_s=400)

    run(main())
