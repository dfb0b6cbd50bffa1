"""Machines that come back to a new leader, and what is rented meanwhile."""

from datetime import timedelta

import pytest

from dappledrum.recovery.return_times import expected_heartbeat_in
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.virtual_time import run


def test_a_machine_is_expected_the_later_the_longer_it_is_missing():
    def expected_after(missing_s):
        return expected_heartbeat_in(
            timedelta(seconds=missing_s), interval=timedelta(seconds=3)
        ).total_seconds()

    usual = [expected_after(missing_s) for missing_s in range(6)]
    assert usual == sorted(usual, reverse=True)
    assert 0 < usual[-1] < 1 < usual[0] < 7
    overdue = [expected_after(missing_s) for missing_s in range(6, 60)]
    assert overdue == sorted(overdue)
    assert overdue[0] < 2
    assert overdue[-1] > 60


@pytest.mark.long
@pytest.mark.parametrize("comes_back", [True, False])
def test_nothing_is_rented_for_what_is_about_to_come_back(comes_back):
    """Idle machines that the list shows were counted as boots of minutes, and others were rented
    in the seconds in which their workers came. Those that don't come are replaced soon."""

    async def main():
        cluster = SimulatedCluster(seed=1, members=FIVE, lease_s=12.0)
        cluster.cloud.most = 200
        for _ in range(30):
            cluster.cloud.add(("small", "a", True))
        await cluster.until(lambda: cluster.leader() is not None)
        # One on each, with capacity for one of the others beside it.
        long = job(
            1,
            beats=30,
            builds=["small"],
            vcpus=1.0,
            memGb=9.0,
            runS=160.0,
            expectedS=160.0,
            dueS=400.0,
        )
        await cluster.submit(long)
        await cluster.wait(100)
        up, rented = len(cluster.cloud.workers()), cluster.cloud.next
        assert up >= 30
        for worker in cluster.cloud.workers():
            worker.hung = True
        await cluster.restart_all(1.0)
        await cluster.until(lambda: cluster.leader() is not None)
        assert await cluster.submit(job(2, beats=30, dueS=50.0)) == 201
        await cluster.wait(2.5)
        assert cluster.cloud.next == rented, "they may be back any moment"
        if comes_back:
            for worker in cluster.cloud.workers():
                worker.hung = False
            await cluster.finish(["j-000001", "j-000002"])
            assert cluster.cloud.next <= rented + 3
        else:
            await cluster.wait(20)
            assert cluster.cloud.next > rented + 5, "they don't come"
            for worker in cluster.cloud.workers():
                worker.hung = False
            await cluster.finish(["j-000001", "j-000002"])

    run(main())


@pytest.mark.long
@pytest.mark.parametrize("seed", range(1, 5))
def test_a_fleet_that_comes_back_is_not_rented_again(seed):
    """All controllers end in the midst of much work, and come back before the workers' leases
    end. On 26 seeds 0 to 12 machines were rented, for the work itself and not in the place of
    what comes back; 20 to 26 when that was not waited for."""

    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=12.0)
        cluster.cloud.most = 200
        await cluster.until(lambda: cluster.leader() is not None)
        names = []
        for number in range(8):
            spec = job(number, beats=60, runS=9.0, expectedS=9.0, dueS=200.0)
            names.append(spec["id"])
            assert await cluster.submit(spec) == 201
        await cluster.until(lambda: cluster.rules.starts >= 200)
        await cluster.wait(6)
        rented, up = cluster.cloud.next, len(cluster.cloud.workers())
        await cluster.restart_all(8.0)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(8)
        assert up >= 20
        assert cluster.cloud.next - rented <= 13
        await cluster.finish(names, most=600)

    run(main())
