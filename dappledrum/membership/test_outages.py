"""Outages of the store while a controller is missing, and leaders that go on for promises
while another one leads."""

import asyncio

import pytest

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import cluster_with_long_jobs, wait_without_lost_leases
from dappledrum.simulation.virtual_time import run


@pytest.mark.parametrize("how", ["killed", "frozen", "cut"])
def test_an_outage_while_one_controller_is_missing_loses_no_work(how):
    """All had to promise once: with one missing, an outage longer than a worker's lease lost all
    that ran."""

    async def main():
        cluster = await cluster_with_long_jobs(seed=4)
        missing = next(m for m in FIVE if m != cluster.leader())
        if how == "killed":
            cluster.kill(missing)
        elif how == "frozen":
            cluster.freeze(missing)
        else:
            others = [m for m in FIVE if m != missing]
            cluster.cut_off(missing, "state", *others, *("back-" + m for m in others))
        cluster.store.out = True
        await wait_without_lost_leases(cluster, 15)
        cluster.store.end_outage()
        if how == "frozen":
            cluster.thaw(missing)
        cluster.network.heal()
        await wait_without_lost_leases(cluster, 5)

    run(main())


def test_without_all_a_leader_goes_on_for_a_bounded_time():
    """Somebody may be served meanwhile, and have told a user that a job is cancelled: 30 s for the
    cancellation, 9 s of lease, 5 s to spare."""

    async def main():
        cluster = await cluster_with_long_jobs(seed=4)
        leader = cluster.leader()
        cluster.kill(next(m for m in FIVE if m != leader))
        cluster.store.out = True
        await cluster.wait(13)
        assert cluster.controllers[leader].elector.valid_term() is not None
        await cluster.wait(6)
        assert cluster.controllers[leader].elector.valid_term() is None
        cluster.store.end_outage()
        await cluster.wait(10)

    run(main())


def clear(cluster):
    leader = cluster.leader()
    return (
        leader is not None
        and cluster.controllers[leader].elector.term.others_stopped_at is not None
    )


def two_sides(cluster):
    """Leader and two others are refused by the store, two are served, and the two sides
    can't talk; returns the leader, and the others in this order."""
    leader = cluster.leader()
    others = [m for m in FIVE if m != leader]
    # Words would tell the three that another leads: the two can't reach their peers at all.
    for one in (leader, *others[:2]):
        cluster.store.refused.add(one)
        for two in others[2:]:
            for a, b in ((one, "back-" + two), (two, "back-" + one)):
                cluster.network.cut(a, b)
    return leader, others


def test_a_minority_that_is_served_leads_and_waits_with_its_proofs():
    """Leader and two others are refused, two are served: one of the two leads, but what it does
    not hear of counts as running until a majority has told that it holds to no promise."""

    async def main():
        cluster = await cluster_with_long_jobs(seed=5)
        leader, _ = two_sides(cluster)
        await cluster.until(lambda: cluster.leader() not in (None, leader), most=10)
        seen = 0.0
        while cluster.controllers[leader].elector.valid_term() is not None:
            # The former leader still answers: nothing may be given up meanwhile, whoever leads.
            second = cluster.leader()
            assert (
                second is None
                or cluster.controllers[second].elector.term.others_stopped_at is None
            )
            await cluster.wait(0.25)
            seen += 0.25
        assert seen > 2
        await cluster.until(lambda: clear(cluster), most=40)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.wait(15)

    run(main())


def test_who_stands_without_a_majority_of_the_living_leads_all_the_same():
    async def main():
        cluster = await cluster_with_long_jobs(seed=6)
        leader = cluster.leader()
        others = [m for m in FIVE if m != leader]
        for member in (leader, *others[:2]):
            cluster.kill(member)
        took = await cluster.until(lambda: cluster.leader() is not None)
        assert took < 5
        await asyncio.sleep(0)
        await cluster.finish([f"j-{n:06d}" for n in range(3)], most=400)

    run(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_candidate_that_comes_late_leaves_no_bar_against_the_winner(seed):
    """It looked for a leader before the winner's transaction and for the epoch after it, and asked
    all whether it may stand against the winner: their promises to that one counted for nothing in
    the outage that followed."""

    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE)
        for _ in range(4):
            await cluster.until(lambda: cluster.leader() is not None)
            leader = cluster.leader()
            # Requests to the store take long enough for elections to overlap.
            for member in FIVE:
                cluster.network.slow[(member, "state")] = cluster.rng.uniform(0, 0.1)
            await cluster.restart(leader, 5.0)
            await cluster.wait(3)
            for member in FIVE:
                voter = cluster.controllers[member].elector.voter
                epoch = cluster.controllers[cluster.leader()].elector.term.epoch
                assert voter.min_grant_epoch <= epoch
                assert (voter.campaigned_against_epoch or 0) < epoch

    run(main())
