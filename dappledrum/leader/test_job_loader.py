"""Records that can be decoded and make no sense: the trouble of their own job, whether a new
leader finds them or the watch tells them; one that raised kept the leader from beginning, and from
hearing of cancellations."""

import asyncio

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

BAD = {
    "bitmap": {"page": [1, "zz", [], "", [], []]},
    "zone": {"page": [1, "0", [], "", ["a"], [["host-1", 1, 7, [0, 1, 1]]]]},
    "row": {"page": [1, "0", [], "", ["a"], [["host-1", 1, 0, [0, 1]]]]},
    "parts": {"spec_parts": 2},
}


def spec_of(number):
    return {key: value for key, value in job(number).items() if key != "runS"}


@pytest.mark.parametrize("new", [True, False])
@pytest.mark.parametrize("what", BAD)
def test_a_record_that_makes_no_sense(what, new):
    async def main():
        cluster = SimulatedCluster(seed=1)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(2)
        record = {"spec": spec_of(77), "at_ms": 0, "size": 256, "page": [1, "0", [], "", [], []]}
        put = {"write": "job/j-000077", "value": record | BAD[what]}
        if new:
            cluster.kill(cluster.leader())
        cluster.store._multi({"guards": [], "then": [put]})
        await cluster.until(lambda: cluster.leader() is not None, most=10)
        await cluster.wait(1)
        fine = job(1, dueS=None)
        assert await cluster.submit(fine) == 201
        await cluster.finish([fine["id"]], most=60)
        leader = cluster.controllers[cluster.leader()]
        assert "j-000077" not in leader.leader.jobs
        known = leader.elector.term.cancellations_known_at
        assert (leader.clock.now() - known).total_seconds() < 3

    run(main())


def test_a_leader_that_can_not_read_gives_up():
    """Its renewals are answered, its lists are not: it kept the key, and answered nobody."""

    async def main():
        cluster = SimulatedCluster(seed=2)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(2)
        stuck = cluster.leader()
        for member in cluster.members:
            if member != stuck:
                await cluster.restart(member, 0.1)
        await cluster.wait(3)
        victim = next(m for m in cluster.members if m != stuck)
        scan = cluster.controllers[victim].store.scan

        async def nothing(prefix, priority):
            if prefix == "job/":
                await asyncio.sleep(3600)
            return await scan(prefix, priority)

        cluster.controllers[victim].store.scan = nothing
        cluster.controllers[stuck].elector.transfer_leadership(victim, "a test")
        await cluster.until(lambda: cluster.leader() == victim, most=10)
        await cluster.until(lambda: cluster.leader() not in (None, victim), most=120)

    run(main())
