"""Machines that boot slowly, immediately or never, and a list of machines that lags far behind."""

import pytest

from dappledrum.fleet.cloud_client import CloudClient, CloudError
from dappledrum.fleet.messages import RentalRequest
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_scenarios import leader_killed, machines_terminated
from dappledrum.simulation.scenario import run_day


def boot_times_multiplied(factor):
    async def fault(cluster):
        cluster.cloud.boot_time_factor = factor
        await machines_terminated(cluster)
        await cluster.wait(40)
        cluster.cloud.boot_time_factor = 1.0

    fault.__name__ = f"boots_times_{factor}"
    return fault


async def stalled_boots_and_leader_killed(cluster):
    cluster.cloud.failing_boot_share = 0.5
    await machines_terminated(cluster)
    await leader_killed(cluster)
    await cluster.wait(20)
    cluster.cloud.failing_boot_share = 0.0


async def list_of_machines_lags(cluster):
    cluster.cloud.lag_s = 40.0
    await machines_terminated(cluster)
    await leader_killed(cluster)
    await cluster.wait(30)
    cluster.cloud.lag_s = 4.0


FAULTS = [
    boot_times_multiplied(0.05),
    boot_times_multiplied(6.0),
    stalled_boots_and_leader_killed,
    list_of_machines_lags,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda t: t.__name__)
async def test_a_day_with_abnormal_boots_keeps_the_invariants(fault):
    await run_day(SimulatedCluster(seed=51), fault, runS=10.0)


async def test_few_machines_are_rented_while_all_boots_are_slow():
    cluster = SimulatedCluster(seed=52)
    cluster.cloud.boot_time_factor = 8.0
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.submit(job(1, beats=12, dueS=30.0))
    await cluster.until(lambda: len(cluster.cloud.machines) >= 1)
    await cluster.wait(8)
    rented = cluster.cloud.last_number
    await cluster.wait(50)
    assert cluster.cloud.last_number <= rented + 3
    await cluster.finish(["j-000001"])


async def test_nothing_is_rented_or_returned_for_a_term_that_has_ended():
    """Guards against requests of a former leader for machines that another leader manages by then:
    they may be delayed for seconds by the rate limit, or by a pause of the process."""

    cluster = SimulatedCluster(seed=53)
    await cluster.until(lambda: cluster.leader() is not None)
    controller = cluster.controllers[cluster.leader()]
    cloud = CloudClient(cluster.network.caller("drummer-0", "cloud"), 0.5, controller.clock)
    await cloud.catalog()
    request = RentalRequest("r-old", "small", "a", True, 1)
    with pytest.raises(CloudError):
        await cloud.rent(request, lambda: False)
    name = cluster.cloud.add(("small", "a", True))
    with pytest.raises(CloudError):
        await cloud.return_machines([name], lambda: False)
    assert "r-old" not in cluster.cloud.rentals
    assert name in cluster.cloud.machines
