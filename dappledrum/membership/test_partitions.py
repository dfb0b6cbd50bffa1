"""Network partitions that leave some path to each worker: all are served, and no work is lost."""

import asyncio
import json

import pytest

from dappledrum.election.messages import TransferLeadership
from dappledrum.election.terms import TOKENS_PER_TERM
from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.network_partitions import after
from dappledrum.simulation.scenario import (
    cluster_with_long_jobs,
    sessions,
    wait_without_lost_leases,
)


async def test_controllers_without_the_store_do_not_redirect_to_a_former_leader():
    """Controllers that the store did not serve once sent all workers to the former leader."""
    cluster = await cluster_with_long_jobs(lease_s=15.0)
    leader = cluster.leader()
    others = cluster.others(leader)
    heartbeat = {"drum": "host-9", "endpoint": "10.1.0.1:9000", "build": "small", "hall": "a"}
    heartbeat |= {"loaners": True, "set": 1, "tick": 1, "baton": 0}
    for member in others[:3]:
        cluster.cut_off(member, "state")
    cluster.kill(leader)
    for _ in range(6):
        for member in others:
            await cluster.poll("j-000001", member)
        await cluster.wait(0.5)
    assert cluster.leader() == others[3]
    for member in others[:3]:
        reply = await cluster.send_user_request(
            "POST", "/hello", json.dumps(heartbeat).encode(), member
        )
        assert reply.status == 421
        assert json.loads(reply.body).get("conductor") != leader


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("mode", ["hold", "refuse", "503"])
async def test_work_continues_when_four_of_five_controllers_lose_the_store(mode, seed):
    """The four once redirected workers in a circle until their leases expired, while the fifth led
    and reached everything."""
    cluster = await cluster_with_long_jobs(seed=seed)
    leader = cluster.leader()
    fifth = after(leader, 3)
    for member in cluster.others(fifth):
        if mode == "hold":
            cluster.cut_off(member, "state")
        elif mode == "refuse":
            cluster.network.refusing.add(frozenset((member, "state")))
        else:
            cluster.store.refused.add(member)
    await wait_without_lost_leases(cluster, 30)
    assert cluster.leader() == fifth
    for member in cluster.others(fifth):
        assert await cluster.poll("j-000001", member) == "running"
        ready = await cluster.send_user_request("GET", "/ready", None, member)
        assert json.loads(ready.body) == {"state": f"through {fifth}"}


@pytest.mark.parametrize("seed", range(2))
async def test_a_leader_cut_off_from_all_workers_is_replaced_by_one_that_reaches_them(seed):
    """It once took three heartbeat intervals to detect this, and the successor was random."""
    cluster = await cluster_with_long_jobs(seed=seed, lease_s=15.0)
    leader = cluster.leader()
    other_cut_off = after(leader, 2)
    for name in cluster.cloud.machines:
        cluster.network.cut(leader, name)
        cluster.network.cut(other_cut_off, name)
    took = await cluster.until(lambda: cluster.leader() not in (None, leader))
    assert took < 5
    assert cluster.leader() != other_cut_off
    await wait_without_lost_leases(cluster, 20)


async def test_a_leader_that_neither_workers_nor_peers_reach_resigns():
    """Connections between controllers are refused, so it can't ask its peers; it once kept the
    leader key as long as that lasted."""
    cluster = await cluster_with_long_jobs(seed=2, lease_s=24.0)
    await cluster.wait(8)
    leader = cluster.leader()
    for member in FIVE:
        for peer in FIVE:
            cluster.network.refusing.add(frozenset((member, "back-" + peer)))
    for name in cluster.cloud.machines:
        cluster.network.refusing.add(frozenset((leader, name)))
    took = await cluster.until(lambda: cluster.leader() not in (None, leader))
    assert took < 10
    await wait_without_lost_leases(cluster, 20)


async def test_the_only_running_controller_leads_again_after_it_resigned():
    cluster = await cluster_with_long_jobs(seed=2, lease_s=24.0)
    await cluster.wait(8)
    leader = cluster.leader()
    for member in cluster.others(leader):
        cluster.kill(member)
    for name in cluster.cloud.machines:
        cluster.network.cut(leader, name)
    await cluster.wait(16)
    cluster.network.heal()
    assert await cluster.until(lambda: cluster.leader() == leader) < 4


async def test_heartbeats_are_forwarded_when_no_controller_reaches_both_store_and_workers():
    """Only the leader reaches the store, and only one follower reaches the workers."""
    cluster = await cluster_with_long_jobs(seed=3, lease_s=20.0)
    leader = cluster.leader()
    through = after(leader, 1)
    for member in FIVE:
        if member != leader:
            cluster.cut_off(member, "state")
        if member != through:
            for name in cluster.cloud.machines:
                cluster.network.cut(member, name)
    await wait_without_lost_leases(cluster, 40)
    assert cluster.leader() == leader
    await cluster.submit(job(50), member=leader)
    await cluster.until(lambda: any(j == "j-000050" for j, _ in cluster.rules.running), 30)


async def test_a_zone_that_is_cut_off_with_the_leader_loses_no_work_outside():
    """The leader inside the zone continues as long as it may. Outside, another controller leads,
    and none of the workers there loses its lease."""
    cluster = await cluster_with_long_jobs(seed=8, lease_s=15.0)
    await cluster.accept(job(60, beats=4, hall="b", runS=200.0, expectedS=200.0, dueS=400.0))
    await cluster.until(lambda: len(cluster.rules.running) == 22)
    leader = cluster.leader()
    inside = [leader, after(leader, 1)]
    outside = [m for m in FIVE if m not in inside]
    zone_b = {name for name, m in cluster.cloud.machines.items() if m.kind[1] == "b"}
    assert zone_b
    assert len(zone_b) < len(cluster.cloud.machines)
    for member in inside:
        cluster.cut_off(member, "state", "cloud", *outside, *("back-" + m for m in outside))
        for name in set(cluster.cloud.machines) - zone_b:
            cluster.network.cut(member, name)
    for name in zone_b:
        for member in outside:
            cluster.network.cut(member, name)
    before = sessions(cluster)
    took = await cluster.until(lambda: cluster.leader() in outside)
    assert took < 5
    await cluster.wait(30)
    lost = {name for name, session in sessions(cluster).items() if session > before[name]}
    assert lost <= zone_b
    cluster.network.heal()
    await cluster.wait(10)


def newest_term(cluster):
    """The number of terms before the newest one that a controller knows."""
    epochs = [controller.elector.epoch for controller in cluster.controllers.values()]
    return (max(epochs) - 1) // TOKENS_PER_TERM


async def test_unstable_links_transfer_leadership_at_most_three_times_a_minute(caplog):
    """Every two seconds the store refuses the other half of the controllers. Between transfers the
    leader keeps its lease."""
    cluster = await cluster_with_long_jobs(seed=4)
    before = newest_term(cluster)
    for second in range(60):
        refused = [m for n, m in enumerate(FIVE) if (n + second // 2) % 2]
        cluster.store.refused = set(refused)
        await cluster.wait(1)
    transfers = [r for r in caplog.records if "transferring leadership" in r.getMessage()]
    assert 0 < len(transfers) <= 3
    assert newest_term(cluster) <= before + 4
    cluster.store.refused.clear()
    await cluster.wait(3)


@pytest.mark.parametrize("when", [0.0, 0.01, 0.03])
@pytest.mark.parametrize("who", ["leader", "successor"])
async def test_a_leadership_transfer_during_which_one_side_is_cut_off_loses_no_work(who, when):
    """The messages of the transfer may be lost or late; another controller then leads."""
    cluster = await cluster_with_long_jobs(seed=5)
    leader = cluster.leader()
    successor = after(leader, 1)
    cluster.controllers[leader].elector.transfer_leadership(successor, "a test")
    await asyncio.sleep(when)
    isolated = leader if who == "leader" else successor
    cluster.isolate(isolated)
    await cluster.until(lambda: cluster.leader() not in (None, isolated), timeout_s=12)
    await wait_without_lost_leases(cluster, 10)
    cluster.network.heal()
    await wait_without_lost_leases(cluster, 10)


async def test_a_late_leadership_offer_is_declined():
    cluster = await cluster_with_long_jobs(seed=6)
    leader = cluster.leader()
    term = cluster.controllers[leader].elector.term
    offer = TransferLeadership(leader, term.last_token, term.version, [], True)
    await cluster.restart(leader)
    await cluster.until_led()
    new_leader = cluster.leader()
    for member in cluster.others(new_leader):
        assert not await cluster.controllers[member].elector.accept_leadership(offer)
    assert cluster.leader() == new_leader


async def test_peers_of_the_previous_version_get_no_heartbeats():
    """Two of three controllers don't support heartbeats: leadership and work are unaffected."""
    cluster = await led_cluster(7, on_previous_version={"drummer-1", "drummer-2"})
    await cluster.accept(job(1, beats=4, runS=20.0))
    await cluster.wait(5)
    for controller in cluster.controllers.values():
        assert not controller.membership.monitor.table.received
    await cluster.restart(cluster.leader())
    await cluster.finish(["j-000001"])
