"""Controllers that are suspended while their clocks, and all other processes, go on."""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, led_cluster
from dappledrum.simulation.fault_scenarios import (
    freezing,
    machines_terminated,
    rolling_restart,
    short_outage,
)
from dappledrum.simulation.scenario import run_day
from dappledrum.simulation.virtual_time import PROCESS, VirtualLoop, run
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector, PauseTolerantTimeout

PAUSES = [
    freezing(who, seconds) for who in ("leader", "follower", "all") for seconds in (2, 7, 30)
]


@pytest.mark.parametrize("fault", PAUSES, ids=lambda t: t.__name__)
async def test_a_day_with_a_pause_keeps_the_invariants(fault):
    await run_day(SimulatedCluster(seed=31), fault, runS=15.0)


@pytest.mark.parametrize(
    "other_fault", [short_outage, machines_terminated, rolling_restart], ids=lambda t: t.__name__
)
async def test_a_day_with_a_pause_of_the_leader_and_another_fault_keeps_the_invariants(
    other_fault,
):
    cluster = SimulatedCluster(seed=32)

    async def pauses_and_fault(cluster):
        await freezing("leader", 5)(cluster)
        pause = asyncio.get_running_loop().create_task(freezing("leader", 7)(cluster))
        await other_fault(cluster)
        await pause

    await run_day(cluster, pauses_and_fault, runS=15.0)


@pytest.mark.parametrize("seed", range(4))
async def test_a_day_with_pauses_at_any_moment_keeps_the_invariants(seed):
    """Controllers are suspended in turn, for less or more than the leader's lease, in the middle
    of renewals, transactions, plans and delayed answers."""
    cluster = SimulatedCluster(seed=40 + seed)

    async def frequent_pauses(cluster):
        for number in range(12):
            await cluster.wait(cluster.rng.uniform(0.1, 2.5))
            member = cluster.leader() if number % 3 else cluster.rng.choice(cluster.members)
            if member is None:
                continue
            cluster.freeze(member)
            await cluster.wait(cluster.rng.choice([0.3, 1.0, 2.0, 2.8, 3.3, 5.0, 10.0]))
            cluster.thaw(member)

    await run_day(cluster, frequent_pauses, jobs=8, runS=12.0)


async def test_a_short_pause_of_the_leader_changes_nothing():
    """A pause shorter than the leader's lease changes neither the leader nor machines or tasks."""
    cluster = await led_cluster(37)
    names = await cluster.accept_jobs(3, runS=30.0, expectedS=30.0, dueS=55.0)
    await cluster.until(lambda: len(cluster.rules.running) == 12)
    machines, rented = set(cluster.cloud.machines), cluster.cloud.last_number
    for _ in range(3):
        leader = cluster.leader()
        cluster.freeze(leader)
        await cluster.wait(2.2)
        cluster.thaw(leader)
        await cluster.wait(1.5)
        assert cluster.leader() == leader
    assert set(cluster.cloud.machines) == machines
    assert cluster.cloud.last_number == rented
    await cluster.finish(names)
    assert cluster.rules.starts == 12


async def test_an_answer_that_arrived_during_a_pause_is_read_before_the_timeout():
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)

    async def ask():
        PROCESS.set("a")
        answer = loop.create_future()
        loop.call_later(3.0, answer.set_result, "here")  # in the middle of the pause
        async with PauseTolerantTimeout(timedelta(seconds=1.5)):
            return await answer

    answer_task = loop.create_task(ask())
    await asyncio.sleep(1)
    loop.freeze("a")
    await asyncio.sleep(5)
    loop.thaw("a")
    assert await answer_task == "here"

    async def ask_without_answer():
        PROCESS.set("b")
        async with PauseTolerantTimeout(timedelta(seconds=1.5)):
            await loop.create_future()

    with pytest.raises(TimeoutError):
        await loop.create_task(ask_without_answer())


async def test_a_pause_is_detected():
    pause_detector = PauseDetector(Clock())
    first_running_since = pause_detector.running_since()
    await asyncio.sleep(1)
    assert pause_detector.running_since() == first_running_since
    await asyncio.sleep(8)
    assert pause_detector.running_since() == pause_detector.clock.now() > first_running_since


def test_a_failure_while_a_process_is_suspended_ends_the_test():
    """Such a test once never ended, so its failure was not reported."""

    async def main():
        cluster = await led_cluster(39)
        cluster.freeze(cluster.leader())
        raise ValueError("as a failed check")

    with pytest.raises(ValueError, match="failed check"):
        run(main())
