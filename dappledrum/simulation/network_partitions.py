"""What cuts cost, before and after: whole controllers over the stand-ins, in virtual time.

    python3 -m dappledrum.simulation.network_partitions [SEEDS]

For each cut of 45 s, with and without `--reach`: seconds without a leader, the longest time in
which each machine had no answered report (median, 99th percentile, most), and sessions that ended.
"""

import asyncio
import logging
import statistics
import sys
from collections.abc import Callable

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{n}" for n in range(5))
LENGTH = 45.0
STEP = 0.25


def after(member: str, places: int) -> str:
    """The controller that comes so many places later in the workers' list."""
    return FIVE[(FIVE.index(member) + places) % len(FIVE)]


def from_workers(cluster: SimulatedCluster, *members: str) -> None:
    """Nothing passes between these controllers and any worker."""
    for member in members:
        for name in cluster.cloud.machines:
            cluster.network.cut(member, name)


def leader_from_state(cluster: SimulatedCluster, leader: str) -> None:
    cluster.cut_off(leader, "state")


def four_from_state(cluster: SimulatedCluster, leader: str) -> None:
    for member in FIVE:
        if member != after(leader, 3):
            cluster.cut_off(member, "state")


def four_refused(cluster: SimulatedCluster, leader: str) -> None:
    cluster.store.refused = {member for member in FIVE if member != after(leader, 3)}


def leader_from_workers(cluster: SimulatedCluster, leader: str) -> None:
    from_workers(cluster, leader)


def three_from_workers(cluster: SimulatedCluster, leader: str) -> None:
    from_workers(cluster, leader, after(leader, 2), after(leader, 4))


def state_here_workers_there(cluster: SimulatedCluster, leader: str) -> None:
    """The leader alone is served, and another one alone is reached by workers."""
    for member in FIVE:
        if member != leader:
            cluster.cut_off(member, "state")
    from_workers(cluster, *(member for member in FIVE if member != after(leader, 1)))


def outage_without_one(cluster: SimulatedCluster, leader: str) -> None:
    """For a third of the time, which is longer than a lease."""
    cluster.kill(after(leader, 2))
    cluster.store.out = True
    asyncio.get_running_loop().call_later(LENGTH / 3, cluster.store.end_outage)


CUTS: tuple[Callable[[SimulatedCluster, str], None], ...] = (
    leader_from_state,
    four_from_state,
    four_refused,
    leader_from_workers,
    three_from_workers,
    state_here_workers_there,
    outage_without_one,
)


async def play(
    cut: Callable[[SimulatedCluster, str], None], seed: int, reach: bool
) -> tuple[float, list[float], int]:
    """Seconds without a leader, the longest gap of each machine, sessions that ended."""
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
    cut(cluster, leader)
    alone = 0.0
    for _ in range(int(LENGTH / STEP)):
        await cluster.wait(STEP)
        alone += STEP * (cluster.leader() is None and not cluster.store.out)
        now = asyncio.get_running_loop().time()
        for worker in cluster.cloud.workers():
            if worker.name in gaps:
                gaps[worker.name] = max(gaps[worker.name], now - worker.answered)
    ended = sum(w.session - sessions.get(w.name, w.session) for w in cluster.cloud.workers())
    return alone, list(gaps.values()), ended


def main(seeds: int) -> None:
    """One line a cut and setting."""
    logging.disable(logging.CRITICAL)
    print("cut, reach: no leader (most, s); longest gap of a machine (s); sessions ended")
    for cut in CUTS:
        for reach in (False, True):
            played = [run(play(cut, seed, reach)) for seed in range(seeds)]
            gaps = sorted(gap for _, each, _ in played for gap in each)
            print(
                f"{cut.__name__}, {'on' if reach else 'off'}:"
                f" {max(alone for alone, _, _ in played):.1f};"
                f" {statistics.median(gaps):.1f}, {gaps[int(0.99 * (len(gaps) - 1))]:.1f},"
                f" {gaps[-1]:.1f}; {sum(ended for _, _, ended in played)} of {len(gaps)}"
            )


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 5)
