"""Store outages while a controller is missing, and leaders that continue on lease grants while
another controller leads."""

import asyncio

import pytest

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import cluster_with_long_jobs, wait_without_lost_leases
from dappledrum.simulation.virtual_time import run


@pytest.mark.parametrize("how", ["killed", "frozen", "cut"])
def test_an_outage_while_one_controller_is_missing_loses_no_work(how):
    """Lease grants of all controllers were once required: with one missing, an outage longer than
    a worker's lease lost all running tasks."""

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
        cluster.store.in_outage = True
        await wait_without_lost_leases(cluster, 15)
        cluster.store.end_outage()
        if how == "frozen":
            cluster.thaw(missing)
        cluster.network.heal()
        await wait_without_lost_leases(cluster, 5)

    run(main())


def test_a_leader_without_grants_of_all_continues_for_a_bounded_time():
    """The missing controller may reach the store, and have confirmed a cancellation to a user.

    A cancellation must take effect within 30 s, of which 9 s are the lease and 5 s margin.
    """

    async def main():
        cluster = await cluster_with_long_jobs(seed=4)
        leader = cluster.leader()
        cluster.kill(next(m for m in FIVE if m != leader))
        cluster.store.in_outage = True
        await cluster.wait(13)
        assert cluster.controllers[leader].elector.valid_term() is not None
        await cluster.wait(6)
        assert cluster.controllers[leader].elector.valid_term() is None
        cluster.store.end_outage()
        await cluster.wait(10)

    run(main())


def others_have_stopped(cluster):
    """Whether the leader has confirmed that no other controller answers workers."""
    leader = cluster.leader()
    return (
        leader is not None
        and cluster.controllers[leader].elector.term.others_stopped_at is not None
    )


def partition_into_two_sides(cluster):
    """Cut the leader and two followers off from the other two followers and from the store.

    Returns the leader, and the followers in this order.
    """
    leader = cluster.leader()
    others = [m for m in FIVE if m != leader]
    # Heartbeats would inform the three of the new leader, so the links are cut in both directions.
    for member in (leader, *others[:2]):
        cluster.store.refused.add(member)
        for peer in others[2:]:
            for a, b in ((member, "back-" + peer), (peer, "back-" + member)):
                cluster.network.cut(a, b)
    return leader, others


def test_a_leader_of_a_served_minority_gives_up_nothing_while_the_former_leader_answers():
    """The store refuses the leader and two others, and serves two: one of the two leads.

    Tasks of which it gets no heartbeat count as running until a majority has confirmed that it is
    free of lease grants.
    """

    async def main():
        cluster = await cluster_with_long_jobs(seed=5)
        leader, _ = partition_into_two_sides(cluster)
        await cluster.until(lambda: cluster.leader() not in (None, leader), timeout_s=10)
        overlap = 0.0
        while cluster.controllers[leader].elector.valid_term() is not None:
            # The former leader still answers workers, so no leader may give up placements yet.
            second = cluster.leader()
            assert (
                second is None
                or cluster.controllers[second].elector.term.others_stopped_at is None
            )
            await cluster.wait(0.25)
            overlap += 0.25
        assert overlap > 2
        await cluster.until(lambda: others_have_stopped(cluster), timeout_s=40)
        cluster.network.heal()
        cluster.store.refused.clear()
        await cluster.wait(15)

    run(main())


def test_two_of_five_controllers_elect_a_leader_when_the_others_are_killed():
    async def main():
        cluster = await cluster_with_long_jobs(seed=6)
        leader = cluster.leader()
        others = [m for m in FIVE if m != leader]
        for member in (leader, *others[:2]):
            cluster.kill(member)
        took = await cluster.until(lambda: cluster.leader() is not None)
        assert took < 5
        await asyncio.sleep(0)
        await cluster.finish([f"j-{n:06d}" for n in range(3)], timeout_s=400)

    run(main())


@pytest.mark.parametrize("seed", range(6))
def test_a_late_candidate_does_not_make_voters_refuse_grants_to_the_winner(seed):
    """A candidate that read the leader before the winner's transaction, and the epoch after it,
    once campaigned against the winner's epoch.

    The voters' lease grants to the winner were then void in the store outage that followed.
    """

    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE)
        for _ in range(4):
            await cluster.until(lambda: cluster.leader() is not None)
            leader = cluster.leader()
            # Requests to the store take long enough for elections to overlap.
            for member in FIVE:
                cluster.network.extra_latency_s[(member, "state")] = cluster.rng.uniform(0, 0.1)
            await cluster.restart(leader, 5.0)
            await cluster.wait(3)
            for member in FIVE:
                voter = cluster.controllers[member].elector.voter
                epoch = cluster.controllers[cluster.leader()].elector.term.epoch
                assert voter.min_grant_epoch <= epoch
                assert (voter.campaigned_against_epoch or 0) < epoch

    run(main())
