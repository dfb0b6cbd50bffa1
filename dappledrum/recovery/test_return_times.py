"""Machines that return to a new leader, and the machines that are rented meanwhile.

A new leader must not rent replacements for machines whose workers are about to send heartbeats.
"""

from datetime import timedelta

import pytest

from dappledrum.recovery.return_times import expected_heartbeat_in
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.virtual_time import run


def test_an_overdue_machine_is_expected_the_later_the_longer_it_is_missing():
    def expected_after(missing_s):
        return expected_heartbeat_in(
            timedelta(seconds=missing_s), interval=timedelta(seconds=3)
        ).total_seconds()

    not_overdue = [expected_after(missing_s) for missing_s in range(6)]
    assert not_overdue == sorted(not_overdue, reverse=True)
    assert 0 < not_overdue[-1] < 1 < not_overdue[0] < 7
    overdue = [expected_after(missing_s) for missing_s in range(6, 60)]
    assert overdue == sorted(overdue)
    assert overdue[0] < 2
    assert overdue[-1] > 60


@pytest.mark.long
@pytest.mark.parametrize("machines_return", [True, False])
def test_machines_are_replaced_only_if_they_do_not_return(machines_return):
    """Idle machines on the cloud's list used to count as boots that had lasted for minutes, so
    that others were rented in the seconds until their workers sent heartbeats. Machines that don't
    return are soon replaced."""

    async def main():
        cluster = SimulatedCluster(seed=1, members=FIVE, lease_s=12.0)
        cluster.cloud.max_machines = 200
        for _ in range(30):
            cluster.cloud.add(("small", "a", True))
        await cluster.until(lambda: cluster.leader() is not None)
        # One task on each machine, which leaves capacity for one task of the second job there.
        long_job = job(
            1,
            beats=30,
            builds=["small"],
            vcpus=1.0,
            memGb=9.0,
            runS=160.0,
            expectedS=160.0,
            dueS=400.0,
        )
        await cluster.submit(long_job)
        await cluster.wait(100)
        up, rented = len(cluster.cloud.workers()), cluster.cloud.last_number
        assert up >= 30
        for worker in cluster.cloud.workers():
            worker.hung = True
        await cluster.restart_all(1.0)
        await cluster.until(lambda: cluster.leader() is not None)
        assert await cluster.submit(job(2, beats=30, dueS=50.0)) == 201
        await cluster.wait(2.5)
        assert cluster.cloud.last_number == rented, "the machines may return at any moment"
        if machines_return:
            for worker in cluster.cloud.workers():
                worker.hung = False
            await cluster.finish(["j-000001", "j-000002"])
            assert cluster.cloud.last_number <= rented + 3
        else:
            await cluster.wait(20)
            assert cluster.cloud.last_number > rented + 5, "the machines do not return"
            for worker in cluster.cloud.workers():
                worker.hung = False
            await cluster.finish(["j-000001", "j-000002"])

    run(main())


@pytest.mark.long
@pytest.mark.parametrize("seed", range(1, 5))
def test_no_replacements_are_rented_for_a_fleet_that_returns(seed):
    """All controllers exit while many tasks run, and restart before the workers' leases expire. On
    26 seeds 0 to 12 machines were rented, for the work itself and not in place of returning
    machines; 20 to 26 were rented when the leader did not wait for those."""

    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=12.0)
        cluster.cloud.max_machines = 200
        await cluster.until(lambda: cluster.leader() is not None)
        job_ids = []
        for number in range(8):
            spec = job(number, beats=60, runS=9.0, expectedS=9.0, dueS=200.0)
            job_ids.append(spec["id"])
            assert await cluster.submit(spec) == 201
        await cluster.until(lambda: cluster.rules.starts >= 200)
        await cluster.wait(6)
        rented, up = cluster.cloud.last_number, len(cluster.cloud.workers())
        await cluster.restart_all(8.0)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(8)
        assert up >= 20
        assert cluster.cloud.last_number - rented <= 13
        await cluster.finish(job_ids, timeout_s=600)

    run(main())
