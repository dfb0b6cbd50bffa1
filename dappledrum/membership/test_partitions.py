"""Whole controllers while some links are cut and a way is left: served, and nothing lost."""

import asyncio
import json

import pytest

from dappledrum.election.messages import TransferLeadership
from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.network_partitions import after
from dappledrum.simulation.scenario import (
    cluster_with_long_jobs,
    sessions,
    wait_without_lost_leases,
)


async def test_who_is_not_served_names_no_former_leader():
    """Four that the store did not serve once named the former leader to every worker."""
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
        reply = await cluster._ask("POST", "/hello", json.dumps(heartbeat).encode(), member)
        assert reply.status == 421
        assert json.loads(reply.body).get("conductor") != leader


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("mode", ["hold", "refuse", "503"])
async def test_four_of_five_lose_the_state_service(mode, seed):
    """The four once named the former leader to every worker, which went round between them until
    its lease was over, while the fifth led and reached everything."""
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
        ready = await cluster._ask("GET", "/ready", None, member)
        assert json.loads(ready.body) == {"state": f"through {fifth}"}


@pytest.mark.parametrize("seed", range(2))
async def test_the_leader_alone_is_cut_off_from_all_workers(seed):
    """It once needed three heartbeats' time to see it, and its successor was drawn by lot."""
    cluster = await cluster_with_long_jobs(seed=seed, lease_s=15.0)
    leader = cluster.leader()
    other = after(leader, 2)
    for name in cluster.cloud.machines:
        cluster.network.cut(leader, name)
        cluster.network.cut(other, name)
    took = await cluster.until(lambda: cluster.leader() not in (None, leader))
    assert took < 5
    assert cluster.leader() != other
    await wait_without_lost_leases(cluster, 20)


async def test_a_leader_that_neither_workers_nor_peers_reach_steps_aside():
    """Connections between controllers are refused, so it can ask nobody; it once kept its key
    until they were no more."""
    cluster = await cluster_with_long_jobs(seed=2, lease_s=24.0)
    await cluster.wait(8)
    leader = cluster.leader()
    for one in FIVE:
        for two in FIVE:
            cluster.network.refusing.add(frozenset((one, "back-" + two)))
    for name in cluster.cloud.machines:
        cluster.network.refusing.add(frozenset((leader, name)))
    took = await cluster.until(lambda: cluster.leader() not in (None, leader))
    assert took < 10
    await wait_without_lost_leases(cluster, 20)


async def test_the_only_one_left_leads_again_when_it_has_stepped_aside():
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


async def test_only_one_controller_reaches_the_workers_and_another_the_state_service():
    """Neither can serve alone: heartbeats go through the one to the other."""
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


async def test_a_zone_is_cut_off_with_the_leader_inside():
    """Inside it goes on as long as it may; outside another leads, and loses none of its own."""
    cluster = await cluster_with_long_jobs(seed=8, lease_s=15.0)
    await cluster.accept(job(60, beats=4, hall="b", runS=200.0, expectedS=200.0, dueS=400.0))
    await cluster.until(lambda: len(cluster.rules.running) == 22)
    leader = cluster.leader()
    inside = [leader, after(leader, 1)]
    outside = [m for m in FIVE if m not in inside]
    apart = {name for name, m in cluster.cloud.machines.items() if m.kind[1] == "b"}
    assert apart
    assert len(apart) < len(cluster.cloud.machines)
    for member in inside:
        cluster.cut_off(member, "state", "cloud", *outside, *("back-" + m for m in outside))
        for name in set(cluster.cloud.machines) - apart:
            cluster.network.cut(member, name)
    for name in apart:
        for member in outside:
            cluster.network.cut(member, name)
    before = sessions(cluster)
    took = await cluster.until(lambda: cluster.leader() in outside)
    assert took < 5
    await cluster.wait(30)
    lost = {name for name, session in sessions(cluster).items() if session > before[name]}
    assert lost <= apart
    cluster.network.heal()
    await cluster.wait(10)


async def test_links_that_come_and_go_move_leadership_only_so_often(caplog):
    """Every two seconds the store refuses the other half of the controllers: a leader may
    hand over three times a minute, and its lease lasts through the rest."""
    cluster = await cluster_with_long_jobs(seed=4)
    before = max(controller.elector.epoch for controller in cluster.controllers.values())
    for second in range(60):
        refused = [m for n, m in enumerate(FIVE) if (n + second // 2) % 2]
        cluster.store.refused = set(refused)
        await cluster.wait(1)
    moves = [r for r in caplog.records if "transferring leadership" in r.getMessage()]
    assert 0 < len(moves) <= 3
    assert (
        max(controller.elector.epoch for controller in cluster.controllers.values()) <= before + 4
    )
    cluster.store.refused.clear()
    await cluster.wait(3)


@pytest.mark.parametrize("when", [0.0, 0.01, 0.03])
@pytest.mark.parametrize("who", ["leader", "successor"])
async def test_a_handover_in_the_midst_of_which_one_is_cut_off_or_ends(who, when):
    """Whatever arrives of it, and however late: one leads, and nothing is lost."""
    cluster = await cluster_with_long_jobs(seed=5)
    leader = cluster.leader()
    successor = after(leader, 1)
    cluster.controllers[leader].elector.transfer_leadership(successor, "a test")
    await asyncio.sleep(when)
    gone = leader if who == "leader" else successor
    cluster.isolate(gone)
    await cluster.until(lambda: cluster.leader() not in (None, gone), most=12)
    await wait_without_lost_leases(cluster, 10)
    cluster.network.heal()
    await wait_without_lost_leases(cluster, 10)


async def test_an_offer_that_comes_late_is_declined():
    cluster = await cluster_with_long_jobs(seed=6)
    leader = cluster.leader()
    term = cluster.controllers[leader].elector.term
    offer = TransferLeadership(leader, term.epoch, term.version, [], True)
    await cluster.restart(leader)
    await cluster.until_led()
    now = cluster.leader()
    for member in cluster.others(now):
        assert not await cluster.controllers[member].elector.accept_leadership(offer)
    assert cluster.leader() == now


async def test_peers_of_the_version_before_are_not_spoken_to():
    """Two of three can't hear words: leadership and work go on as they did."""
    cluster = await led_cluster(7, old={"drummer-1", "drummer-2"})
    await cluster.accept(job(1, beats=4, runS=20.0))
    await cluster.wait(5)
    for controller in cluster.controllers.values():
        assert not controller.membership.monitor.table.received
    await cluster.restart(cluster.leader())
    await cluster.finish(["j-000001"])
