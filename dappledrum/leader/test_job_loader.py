"""Reading of job records that fail to load.

A record that can be decoded but has invalid values must affect only its own job, whether a new
leader reads it or the watch shows it. When such a record raised an error instead, it kept the
leader from starting and from learning of cancellations.
"""

import asyncio

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

INVALID_RECORDS = {
    "bitmap": {"page": [1, "zz", [], "", [], []]},
    "zone": {"page": [1, "0", [], "", ["a"], [["host-1", 1, 7, [0, 1, 1]]]]},
    "row": {"page": [1, "0", [], "", ["a"], [["host-1", 1, 0, [0, 1]]]]},
    "parts": {"spec_parts": 2},
}


def spec_of(number):
    return {key: value for key, value in job(number).items() if key != "runS"}


@pytest.mark.parametrize("new_leader", [True, False])
@pytest.mark.parametrize("invalid_part", INVALID_RECORDS)
def test_an_invalid_record_affects_only_its_own_job(invalid_part, new_leader):
    async def main():
        cluster = SimulatedCluster(seed=1)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(2)
        record = {"spec": spec_of(77), "at_ms": 0, "size": 256, "page": [1, "0", [], "", [], []]}
        put = {"write": "job/j-000077", "value": record | INVALID_RECORDS[invalid_part]}
        if new_leader:
            cluster.kill(cluster.leader())
        cluster.store.run_transaction({"guards": [], "then": [put]})
        await cluster.until(lambda: cluster.leader() is not None, timeout_s=10)
        await cluster.wait(1)
        valid_job = job(1, dueS=None)
        assert await cluster.submit(valid_job) == 201
        await cluster.finish([valid_job["id"]], timeout_s=60)
        leader = cluster.controllers[cluster.leader()]
        assert "j-000077" not in leader.leader.jobs
        known = leader.elector.term.cancellations_known_at
        assert (leader.clock.now() - known).total_seconds() < 3

    run(main())


def test_a_leader_that_cannot_read_the_records_gives_up_leadership():
    """The store answers its lease renewals but not its scans. Such a leader used to keep the key
    and answer no worker."""

    async def main():
        cluster = SimulatedCluster(seed=2)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(2)
        former_leader = cluster.leader()
        for member in cluster.members:
            if member != former_leader:
                await cluster.restart(member, 0.1)
        await cluster.wait(3)
        successor = next(m for m in cluster.members if m != former_leader)
        scan = cluster.controllers[successor].store.scan

        async def scan_hanging_on_jobs(prefix, priority):
            if prefix == "job/":
                await asyncio.sleep(3600)
            return await scan(prefix, priority)

        cluster.controllers[successor].store.scan = scan_hanging_on_jobs
        cluster.controllers[former_leader].elector.transfer_leadership(successor, "a test")
        await cluster.until(lambda: cluster.leader() == successor, timeout_s=10)
        await cluster.until(lambda: cluster.leader() not in (None, successor), timeout_s=120)

    run(main())
