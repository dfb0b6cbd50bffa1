"""Five controllers and hundreds of machines: the same invariants, and bounded work."""

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_scenarios import leader_killed, rolling_restart, short_outage

FIVE = tuple(f"drummer-{index}" for index in range(5))


async def spot_machines_reclaimed(cluster):
    """Reclaim a third of the spot machines at the same time."""
    for name in [m.name for m in cluster.cloud.machines.values() if m.kind[2]][::3]:
        cluster.cloud.terminate(name)
    await cluster.wait(5)


async def spot_machines_reclaimed_and_leader_killed(cluster):
    await spot_machines_reclaimed(cluster)
    await leader_killed(cluster)


@pytest.mark.long
@pytest.mark.parametrize(
    "fault",
    [leader_killed, rolling_restart, short_outage, spot_machines_reclaimed_and_leader_killed],
    ids=lambda f: f.__name__,
)
async def test_a_large_cluster_with_a_fault_keeps_the_invariants(fault):
    """Guards, in a large cluster, against plans that delay the renewal of the leader's lease,
    records that are too large, and failovers that lose or repeat tasks."""

    cluster = SimulatedCluster(seed=5, members=FIVE)
    cluster.cloud.max_machines = 240
    await cluster.until(lambda: cluster.leader() is not None)
    names = []
    for number in range(12):
        spec = job(number, beats=70, runS=10.0, expectedS=10.0, dueS=40.0, skin=f"i-{number % 3}")
        names.append(spec["id"])
        assert await cluster.submit(spec) == 201
    await cluster.until(lambda: cluster.rules.starts >= 300)
    assert len(cluster.cloud.machines) > 100
    await fault(cluster)
    await cluster.finish(names)


async def test_on_demand_machines_are_replaced_once_spot_machines_are_available():
    """Guards against on-demand machines that are never returned because small tasks keep them from
    being idle at the end of a billed interval."""

    cluster = SimulatedCluster(seed=6)
    cluster.cloud.max_machines = 3
    on_demand = [cluster.cloud.add(("large", "a", False)) for _ in range(3)]
    await cluster.until(lambda: cluster.leader() is not None)
    names = []
    for number in range(75):
        spec = job(number, builds=["large"], beats=6, runS=7.0, expectedS=7.0, dueS=40.0)
        names.append(spec["id"])
        assert await cluster.submit(spec) == 201
        await cluster.wait(2)
        if number == 20:
            assert all(name in cluster.cloud.machines for name in on_demand)
            cluster.cloud.max_machines = 40
    assert not any(name in cluster.cloud.machines for name in on_demand)
    assert any(machine.kind[2] for machine in cluster.cloud.machines.values())
    await cluster.finish(names)
