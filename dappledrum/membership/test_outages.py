"""Outages of the state service while a controller is missing, and leaders that go on for promises
while another one leads."""

import asyncio

import pytest

from dappledrum.simulation.cluster import World
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import busy_world, nothing_lost
from dappledrum.simulation.virtual_time import run


@pytest.mark.parametrize("how", ["killed", "frozen", "cut"])
def test_an_outage_while_one_controller_is_missing_loses_no_work(how):
    """All had to promise once: with one missing, an outage longer than a worker's lease lost all
    that ran."""

    async def main():
        world = await busy_world(seed=4)
        missing = next(m for m in FIVE if m != world.leader())
        if how == "killed":
            world.kill(missing)
        elif how == "frozen":
            world.freeze(missing)
        else:
            others = [m for m in FIVE if m != missing]
            world.cut_off(missing, "state", *others, *("back-" + m for m in others))
        world.state.out = True
        await nothing_lost(world, 15)
        world.state.end_outage()
        if how == "frozen":
            world.thaw(missing)
        world.network.heal()
        await nothing_lost(world, 5)

    run(main())


def test_without_all_a_leader_goes_on_for_a_bounded_time():
    """Somebody may be served meanwhile, and have told a user that a job is cancelled: 30 s for the
    cancellation, 9 s of lease, 5 s to spare."""

    async def main():
        world = await busy_world(seed=4)
        leader = world.leader()
        world.kill(next(m for m in FIVE if m != leader))
        world.state.out = True
        await world.wait(13)
        assert world.nodes[leader].elector.holding() is not None
        await world.wait(6)
        assert world.nodes[leader].elector.holding() is None
        world.state.end_outage()
        await world.wait(10)

    run(main())


def clear(world):
    leader = world.leader()
    return leader is not None and world.nodes[leader].elector.term.others_stopped_at is not None


def two_sides(world):
    """Leader and two others are refused by the state service, two are served, and the two sides
    can't talk; returns the leader, and the others in this order."""
    leader = world.leader()
    others = [m for m in FIVE if m != leader]
    # Words would tell the three that another leads: the two can't reach their peers at all.
    for one in (leader, *others[:2]):
        world.state.refused.add(one)
        for two in others[2:]:
            for a, b in ((one, "back-" + two), (two, "back-" + one)):
                world.network.cut(a, b)
    return leader, others


def test_a_minority_that_is_served_leads_and_waits_with_its_proofs():
    """Leader and two others are refused, two are served: one of the two leads, but what it does
    not hear of counts as running until a majority has told that it holds to no promise."""

    async def main():
        world = await busy_world(seed=5)
        leader, _ = two_sides(world)
        await world.until(lambda: world.leader() not in (None, leader), most=10)
        seen = 0.0
        while world.nodes[leader].elector.holding() is not None:
            # The former leader still answers: nothing may be given up meanwhile, whoever leads.
            second = world.leader()
            assert second is None or world.nodes[second].elector.term.others_stopped_at is None
            await world.wait(0.25)
            seen += 0.25
        assert seen > 2
        await world.until(lambda: clear(world), most=40)
        world.network.heal()
        world.state.refused.clear()
        await world.wait(15)

    run(main())


def test_who_stands_without_a_majority_of_the_living_leads_all_the_same():
    async def main():
        world = await busy_world(seed=6)
        leader = world.leader()
        others = [m for m in FIVE if m != leader]
        for member in (leader, *others[:2]):
            world.kill(member)
        took = await world.until(lambda: world.leader() is not None)
        assert took < 5
        await asyncio.sleep(0)
        await world.finish([f"j-{n:06d}" for n in range(3)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_candidate_that_comes_late_leaves_no_bar_against_the_winner(seed):
    """It looked for a leader before the winner's transaction and for the epoch after it, and asked
    all whether it may stand against the winner: their promises to that one counted for nothing in
    the outage that followed."""

    async def main():
        world = World(seed=seed, members=FIVE)
        for _ in range(4):
            await world.until(lambda: world.leader() is not None)
            leader = world.leader()
            # Requests to the state service take long enough for elections to overlap.
            for member in FIVE:
                world.network.slow[(member, "state")] = world.rng.uniform(0, 0.1)
            await world.restart(leader, 5.0)
            await world.wait(3)
            for member in FIVE:
                votes = world.nodes[member].elector.votes
                epoch = world.nodes[world.leader()].elector.term.epoch
                assert votes.least_epoch <= epoch and (votes.tried or 0) < epoch

    run(main())
