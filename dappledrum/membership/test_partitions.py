"""Whole controllers while some links are cut and a way is left: served, and nothing lost."""

import asyncio
import json

import pytest

from dappledrum.election.messages import TransferLeadership
from dappledrum.simulation.cluster import job, led_world
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.network_partitions import after
from dappledrum.simulation.scenario import busy_world, nothing_lost, sessions


async def test_who_is_not_served_names_no_former_leader():
    """Four that the state service did not serve once named the former leader to every worker."""
    world = await busy_world(lease_s=15.0)
    leader = world.leader()
    others = world.others(leader)
    report = {"drum": "host-9", "endpoint": "10.1.0.1:9000", "build": "small", "hall": "a"}
    report |= {"loaners": True, "set": 1, "tick": 1, "baton": 0}
    for member in others[:3]:
        world.cut_off(member, "state")
    world.kill(leader)
    for _ in range(6):
        for member in others:
            await world.poll("j-000001", member)
        await world.wait(0.5)
    assert world.leader() == others[3]
    for member in others[:3]:
        reply = await world._ask("POST", "/hello", json.dumps(report).encode(), member)
        assert reply.status == 421
        assert json.loads(reply.body).get("conductor") != leader


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("mode", ["hold", "refuse", "503"])
async def test_four_of_five_lose_the_state_service(mode, seed):
    """The four once named the former leader to every worker, which went round between them until
    its lease was over, while the fifth led and reached everything."""
    world = await busy_world(seed=seed)
    leader = world.leader()
    fifth = after(leader, 3)
    for member in world.others(fifth):
        if mode == "hold":
            world.cut_off(member, "state")
        elif mode == "refuse":
            world.network.refusing.add(frozenset((member, "state")))
        else:
            world.state.refused.add(member)
    await nothing_lost(world, 30)
    assert world.leader() == fifth
    for member in world.others(fifth):
        assert await world.poll("j-000001", member) == "running"
        ready = await world._ask("GET", "/ready", None, member)
        assert json.loads(ready.body) == {"state": f"through {fifth}"}


@pytest.mark.parametrize("seed", range(2))
async def test_the_leader_alone_is_cut_off_from_all_workers(seed):
    """It once needed three reports' time to see it, and its successor was drawn by lot."""
    world = await busy_world(seed=seed, lease_s=15.0)
    leader = world.leader()
    other = after(leader, 2)
    for name in world.cloud.machines:
        world.network.cut(leader, name)
        world.network.cut(other, name)
    took = await world.until(lambda: world.leader() not in (None, leader))
    assert took < 5 and world.leader() != other
    await nothing_lost(world, 20)


async def test_a_leader_that_neither_workers_nor_peers_reach_steps_aside():
    """Connections between controllers are refused, so it can ask nobody; it once kept its key
    until they were no more."""
    world = await busy_world(seed=2, lease_s=24.0)
    await world.wait(8)
    leader = world.leader()
    for one in FIVE:
        for two in FIVE:
            world.network.refusing.add(frozenset((one, "back-" + two)))
    for name in world.cloud.machines:
        world.network.refusing.add(frozenset((leader, name)))
    took = await world.until(lambda: world.leader() not in (None, leader))
    assert took < 10
    await nothing_lost(world, 20)


async def test_the_only_one_left_leads_again_when_it_has_stepped_aside():
    world = await busy_world(seed=2, lease_s=24.0)
    await world.wait(8)
    leader = world.leader()
    for member in world.others(leader):
        world.kill(member)
    for name in world.cloud.machines:
        world.network.cut(leader, name)
    await world.wait(16)
    world.network.heal()
    assert await world.until(lambda: world.leader() == leader) < 4


async def test_only_one_controller_reaches_the_workers_and_another_the_state_service():
    """Neither can serve alone: reports go through the one to the other."""
    world = await busy_world(seed=3, lease_s=20.0)
    leader = world.leader()
    through = after(leader, 1)
    for member in FIVE:
        if member != leader:
            world.cut_off(member, "state")
        if member != through:
            for name in world.cloud.machines:
                world.network.cut(member, name)
    await nothing_lost(world, 40)
    assert world.leader() == leader
    await world.submit(job(50), member=leader)
    await world.until(lambda: any(j == "j-000050" for j, _ in world.rules.running), 30)


async def test_a_zone_is_cut_off_with_the_leader_inside():
    """Inside it goes on as long as it may; outside another leads, and loses none of its own."""
    world = await busy_world(seed=8, lease_s=15.0)
    await world.accept(job(60, beats=4, hall="b", runS=200.0, expectedS=200.0, dueS=400.0))
    await world.until(lambda: len(world.rules.running) == 22)
    leader = world.leader()
    inside = [leader, after(leader, 1)]
    outside = [m for m in FIVE if m not in inside]
    apart = {name for name, m in world.cloud.machines.items() if m.kind[1] == "b"}
    assert apart and len(apart) < len(world.cloud.machines)
    for member in inside:
        world.cut_off(member, "state", "cloud", *outside, *("back-" + m for m in outside))
        for name in set(world.cloud.machines) - apart:
            world.network.cut(member, name)
    for name in apart:
        for member in outside:
            world.network.cut(member, name)
    before = sessions(world)
    took = await world.until(lambda: world.leader() in outside)
    assert took < 5
    await world.wait(30)
    lost = {name for name, session in sessions(world).items() if session > before[name]}
    assert lost <= apart
    world.network.heal()
    await world.wait(10)


async def test_links_that_come_and_go_move_leadership_only_so_often(caplog):
    """Every two seconds the state service refuses the other half of the controllers: a leader may
    hand over three times a minute, and its lease lasts through the rest."""
    world = await busy_world(seed=4)
    before = max(node.elector.epoch for node in world.nodes.values())
    for second in range(60):
        refused = [m for n, m in enumerate(FIVE) if (n + second // 2) % 2]
        world.state.refused = set(refused)
        await world.wait(1)
    moves = [r for r in caplog.records if "handing over" in r.getMessage()]
    assert 0 < len(moves) <= 3
    assert max(node.elector.epoch for node in world.nodes.values()) <= before + 4
    world.state.refused.clear()
    await world.wait(3)


@pytest.mark.parametrize("when", [0.0, 0.01, 0.03])
@pytest.mark.parametrize("who", ["leader", "successor"])
async def test_a_handover_in_the_midst_of_which_one_is_cut_off_or_ends(who, when):
    """Whatever arrives of it, and however late: one leads, and nothing is lost."""
    world = await busy_world(seed=5)
    leader = world.leader()
    successor = after(leader, 1)
    world.nodes[leader].elector.transfer_leadership(successor, "a test")
    await asyncio.sleep(when)
    gone = leader if who == "leader" else successor
    world.isolate(gone)
    await world.until(lambda: world.leader() not in (None, gone), most=12)
    await nothing_lost(world, 10)
    world.network.heal()
    await nothing_lost(world, 10)


async def test_an_offer_that_comes_late_is_declined():
    world = await busy_world(seed=6)
    leader = world.leader()
    term = world.nodes[leader].elector.term
    offer = TransferLeadership(leader, term.epoch, term.version, [], True)
    await world.restart(leader)
    await world.until_led()
    now = world.leader()
    for member in world.others(now):
        assert not await world.nodes[member].elector.accept_leadership(offer)
    assert world.leader() == now


async def test_peers_of_the_version_before_are_not_spoken_to():
    """Two of three can't hear words: leadership and work go on as they did."""
    world = await led_world(7, old={"drummer-1", "drummer-2"})
    await world.accept(job(1, beats=4, runS=20.0))
    await world.wait(5)
    for node in world.nodes.values():
        assert not node.reach.table.known
    await world.restart(world.leader())
    await world.finish(["j-000001"])
