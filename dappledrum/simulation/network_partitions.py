"""Measures the effects of network partitions on a simulated cluster, in virtual time.

    python3 -m dappledrum.simulation.network_partitions [SEEDS]

Prints for each partition of 45 s, with and without `--reach`: seconds without a leader outside
outages of the store, the longest time in which no heartbeat of a machine was answered (median,
99th percentile, maximum), and sessions that ended.
"""

import asyncio
import logging
import statistics
import sys
from collections.abc import Callable

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{n}" for n in range(5))
PARTITION_S = 45.0
CHECK_INTERVAL_S = 0.25


def after(member: str, places: int) -> str:
    """The controller that is so many places later in the workers' list, cyclically."""
    return FIVE[(FIVE.index(member) + places) % len(FIVE)]


def cut_from_workers(cluster: SimulatedCluster, *members: str) -> None:
    """Cut these controllers off from all workers."""
    for member in members:
        for name in cluster.cloud.machines:
            cluster.network.cut(member, name)


def leader_from_state(cluster: SimulatedCluster, leader: str) -> None:
    """The leader and the store do not reach each other."""
    cluster.cut_off(leader, "state")


def four_from_state(cluster: SimulatedCluster, leader: str) -> None:
    """The store reaches only one controller, which does not lead."""
    for member in FIVE:
        if member != after(leader, 3):
            cluster.cut_off(member, "state")


def four_refused(cluster: SimulatedCluster, leader: str) -> None:
    """The store refuses all controllers but one, which does not lead."""
    cluster.store.refused = {member for member in FIVE if member != after(leader, 3)}


def leader_from_workers(cluster: SimulatedCluster, leader: str) -> None:
    """Workers and the leader do not reach each other."""
    cut_from_workers(cluster, leader)


def three_from_workers(cluster: SimulatedCluster, leader: str) -> None:
    """Workers reach only two controllers, which do not lead."""
    cut_from_workers(cluster, leader, after(leader, 2), after(leader, 4))


def state_here_workers_there(cluster: SimulatedCluster, leader: str) -> None:
    """The store serves only the leader, and workers reach only another controller."""
    for member in FIVE:
        if member != leader:
            cluster.cut_off(member, "state")
    cut_from_workers(cluster, *(member for member in FIVE if member != after(leader, 1)))


def outage_without_one(cluster: SimulatedCluster, leader: str) -> None:
    """A follower is down, and the store has an outage for a third of the time, longer than a
    leader's lease."""
    cluster.kill(after(leader, 2))
    cluster.store.in_outage = True
    asyncio.get_running_loop().call_later(PARTITION_S / 3, cluster.store.end_outage)


PARTITIONS: tuple[Callable[[SimulatedCluster, str], None], ...] = (
    leader_from_state,
    four_from_state,
    four_refused,
    leader_from_workers,
    three_from_workers,
    state_here_workers_there,
    outage_without_one,
)


async def run_partition(
    partition: Callable[[SimulatedCluster, str], None], seed: int, reach: bool
) -> tuple[float, list[float], int]:
    """Run one partition; returns the seconds without a leader, the longest gap of each machine
    and the number of ended sessions."""
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=15.0, reach=reach)
    await cluster.until(lambda: cluster.leader() is not None)
    for number in range(3):
        await cluster.submit(job(number, beats=6, runS=300.0, expectedS=300.0, dueS=600.0))
    await cluster.until(lambda: len(cluster.rules.running) == 18)
    await cluster.wait(3)
    leader = cluster.leader()
    assert leader is not None
    sessions = {worker.name: worker.session for worker in cluster.cloud.workers()}
    gaps = dict.fromkeys(sessions, 0.0)
    partition(cluster, leader)
    leaderless = 0.0
    for _ in range(int(PARTITION_S / CHECK_INTERVAL_S)):
        await cluster.wait(CHECK_INTERVAL_S)
        leaderless += CHECK_INTERVAL_S * (cluster.leader() is None and not cluster.store.in_outage)
        now = asyncio.get_running_loop().time()
        for worker in cluster.cloud.workers():
            if worker.name in gaps:
                gaps[worker.name] = max(gaps[worker.name], now - worker.answered_at)
    ended = sum(w.session - sessions.get(w.name, w.session) for w in cluster.cloud.workers())
    return leaderless, list(gaps.values()), ended


def main(seeds: int) -> None:
    """Print one line for each partition, with and without `--reach`."""
    logging.disable(logging.CRITICAL)
    print("cut, reach: no leader (most, s); longest gap of a machine (s); sessions ended")
    for partition in PARTITIONS:
        for reach in (False, True):
            results = [run(run_partition(partition, seed, reach)) for seed in range(seeds)]
            gaps = sorted(gap for _, longest, _ in results for gap in longest)
            print(
                f"{partition.__name__}, {'on' if reach else 'off'}:"
                f" {max(leaderless for leaderless, _, _ in results):.1f};"
                f" {statistics.median(gaps):.1f}, {gaps[int(0.99 * (len(gaps) - 1))]:.1f},"
                f" {gaps[-1]:.1f}; {sum(ended for _, _, ended in results)} of {len(gaps)}"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
