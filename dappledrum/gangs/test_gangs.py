"""Tests gangs: the capacity search against a search of every moment, and simulated clusters."""

import asyncio
from datetime import UTC, datetime

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.gangs.all_or_nothing import is_incomplete
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.peers.versions import MIN_VERSION_WITH_GANGS, at_least
from dappledrum.scheduling.gang_search import Gang, GangSearch, capacity_at
from dappledrum.scheduling.plan import Bag, Planner, TeamCapacity
from dappledrum.scheduling.timeline import InstanceKind, MachineTimeline, Offer, Size
from dappledrum.settings import Team
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import seconds

NOW = 100
drawn_machines = st.lists(
    st.tuples(
        st.integers(1, 8),  # CPUs
        st.sampled_from([0, 0, 7, 20]),  # seconds until it is ready
        st.lists(st.tuples(st.integers(0, 30), st.integers(1, 40), st.integers(1, 4)), max_size=3),
    ),
    max_size=4,
)


def build(drawn):
    result = []
    for index, (cpus, ready, taken) in enumerate(drawn):
        timeline = MachineTimeline(
            *(f"m{index}", InstanceKind("p", "z", True), Size(cpus, 0, 99), seconds(NOW + ready)),
            *(seconds(NOW), 0.4, 1.0, seconds(60)),
            booting=ready > 0,
        )
        timeline.index = index
        timeline.images["i"] = seconds(NOW)
        for start, length, size in taken:
            at = max(NOW + start, NOW + ready)
            if capacity_at(timeline, Size(size, 0, 1), seconds(at), seconds(at + length)):
                timeline.reserve(seconds(at), seconds(at + length), Size(size, 0, 1))
        result.append(timeline)
    return result


def plain_capacity(drawn, timeline, cpus, start, span):
    """Number of tasks that fit on one machine, checked second by second."""
    _, ready, _ = drawn
    if start < NOW + ready:
        return 0
    capacity = 99
    for moment in range(start, start + span):
        step = max(i for i, t in enumerate(timeline.times) if t <= seconds(moment))
        capacity = min(capacity, int(timeline.free[step].cpus) // cpus)
    return capacity


def test_a_gang_is_incomplete_even_if_an_attempt_repeats_a_completed_task():
    """The number of attempts on machines made such a gang look complete, so it was not restarted,
    and its members waited forever for the missing one."""
    spec = msgspec.convert(job(1, beats=3, form="ensemble"), Spec)
    gang = Job(JobRecord(spec, 0, 256, PageRecord()), 1)
    page = gang.page(0)
    for task in range(3):
        page.place(task, f"host-{task}", 1, "a", datetime.now(UTC))
    assert not is_incomplete(gang)
    page.finish(0)  # a late heartbeat reports that an earlier attempt finished it
    assert not is_incomplete(gang)
    page.remove(2)
    assert is_incomplete(gang)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(drawn_machines, st.integers(1, 4), st.integers(1, 8), st.integers(1, 25))
def test_the_earliest_moment_with_room_for_all(drawn, cpus, count, span):
    timelines = build(drawn)
    gang = Gang(
        *(Size(cpus, 0, 1), count, seconds(span), seconds(NOW + 500), "i", 0.0, lambda kind: True)
    )
    found = GangSearch(gang, timelines, [], seconds(NOW)).without_renting()
    moments = sorted({NOW, *(int(t.total_seconds()) for one in timelines for t in one.times)})
    enough = [
        at
        for at in moments
        if sum(
            plain_capacity(row, one, cpus, at, span)
            for row, one in zip(drawn, timelines, strict=True)
        )
        >= count
    ]
    if not enough:
        assert found is None
    else:
        assert found is not None
        assert found.start == seconds(enough[0])
        assert sum(number for _, number in found.shares) == count


def make_plan(timelines, bags, offers=()):
    return Planner(seconds(NOW), timelines, offers, 0.3, TeamCapacity({})).run(bags)


def make_bag(name, count, rank=(), **changes):
    base = {
        "id": name,
        "size": Size(4, 0, 1),
        "ready": count,
        "unready": 0,
        "total": count,
        "run": seconds(10),
        "due": seconds(NOW + 60),
        "image": "i",
        "image_gb": 0.0,
        "allowed": lambda kind: True,
        "rank": rank,
        "gang": True,
    }
    return Bag(**(base | changes))


def test_two_gangs_never_hold_half_of_the_capacity_each():
    timelines = build([(8, 0, []), (8, 0, [(0, 30, 4)])])
    plan = make_plan(timelines, [make_bag("a", 3, (0,)), make_bag("b", 3, (1,))])
    assert sum(n for name, _, n in plan.starts if name == "a") == 3
    assert not any(name == "b" for name, _, _ in plan.starts)
    plan = make_plan(
        build([(8, 0, [(0, 9, 4)])]),
        [make_bag("a", 2, (0,)), make_bag("c", 1, (1,), gang=False)],
    )
    # Capacity is reserved only from the moment at which there is enough for the whole gang.
    assert not plan.starts
    assert plan.needed == {"m0"}
    late = make_plan(
        build([(8, 0, [(0, 30, 4)])]),
        [make_bag("a", 2, (0,)), make_bag("c", 1, (1,), gang=False)],
    )
    assert [name for name, _, _ in late.starts] == ["c"]


def test_a_gang_rents_one_kind_and_several_only_if_one_is_not_enough():
    offers = [
        Offer(InstanceKind("p", "z", True), Size(8, 0, 9), 0.1, seconds(20), 1.0, seconds(60), 2),
        Offer(InstanceKind("q", "z", True), Size(16, 0, 9), 1.0, seconds(5), 1.0, seconds(60), 2),
    ]
    assert make_plan([], [make_bag("a", 4)], [*offers]).rentals == {
        InstanceKind("p", "z", True): 2
    }
    offers[0].max_count = offers[1].max_count = 2
    both = make_plan([], [make_bag("a", 11)], offers)
    assert both.rentals == {InstanceKind("p", "z", True): 2, InstanceKind("q", "z", True): 2}
    offers[0].max_count = offers[1].max_count = 2
    # Nothing is rented for part of a gang.
    assert not make_plan([], [make_bag("a", 13)], offers).rentals


def test_old_and_unreadable_versions_do_not_support_gangs():
    assert at_least("0.4.0", MIN_VERSION_WITH_GANGS)
    assert at_least("1.0.0", MIN_VERSION_WITH_GANGS)
    assert at_least("0.10.0rc", MIN_VERSION_WITH_GANGS[:2])
    for version in ("", "0.3.9", "0.4", "x.y.z", "0.4.0rc1"):
        assert not at_least(version, MIN_VERSION_WITH_GANGS)


def gang_job(number, **changes):
    return job(number, form="ensemble", **changes)


async def submit_and_start(cluster, spec):
    await cluster.until(lambda: cluster.leader() is not None)
    assert await cluster.submit(spec) == 201
    tasks = spec["beats"]
    await cluster.until(lambda: len(cluster.rules.running) == tasks)


def test_a_gang_restarts_as_a_whole_when_a_member_is_lost():
    async def main():
        cluster = SimulatedCluster(seed=61)
        await submit_and_start(cluster, gang_job(1, beats=8, vcpus=3.0, runS=20.0, expectedS=20.0))
        await cluster.wait(6)
        taken = next(iter(cluster.rules.running.values()))
        cluster.cloud.terminate(next(iter(taken)))
        await cluster.finish(["j-000001"])
        assert cluster.rules.starts > 8

    run(main())


def test_a_gang_survives_takeovers_even_while_it_is_being_placed():
    async def main():
        cluster = SimulatedCluster(seed=62)
        await cluster.until(lambda: cluster.leader() is not None)
        assert (
            await cluster.submit(gang_job(1, beats=12, vcpus=2.0, runS=15.0, expectedS=15.0))
            == 201
        )
        await cluster.until(lambda: cluster.rules.starts >= 1)
        await cluster.restart(cluster.leader())
        await cluster.until(lambda: len(cluster.rules.running) == 12)
        await cluster.restart_all()
        await cluster.finish(["j-000001"])

    run(main())


def test_gangs_that_do_not_fit_together_take_turns():
    async def main():
        cluster = SimulatedCluster(seed=63)
        cluster.cloud.max_machines = 4
        await cluster.until(lambda: cluster.leader() is not None)
        names = []
        for number in range(4):
            spec = gang_job(number, beats=3, vcpus=4.0, builds=["small"], dueS=60.0)
            assert await cluster.submit(spec) == 201
            names.append(spec["id"])
        await cluster.finish(names)

    run(main())


def test_team_limits_count_whole_gangs_and_prod_preempts_whole_gangs():
    async def main():
        cluster = SimulatedCluster(seed=64, teams=(Team("blue"), Team("red", cpus_max=8.0)))
        cluster.cloud.max_machines = 2
        await cluster.until(lambda: cluster.leader() is not None)
        assert await cluster.submit(gang_job(1, crew="red", beats=5)) == 422
        await submit_and_start(
            cluster,
            gang_job(
                2, beats=4, builds=["small"], runS=60.0, expectedS=60.0, urgency="best_effort"
            ),
        )
        urgent = job(3, beats=1, vcpus=4.0, builds=["small"], urgency="prod", runS=25.0)
        urgent["dueS"] = 20.0
        assert await cluster.submit(urgent) == 201
        await cluster.until(
            lambda: any(name == "j-000003" for name, _ in cluster.rules.running), 30
        )
        await cluster.wait(3)
        assert not [n for n, _ in cluster.rules.running if n == "j-000002"]
        await cluster.finish(["j-000002", "j-000003"])

    run(main())


def test_gangs_are_accepted_once_all_controllers_support_them():
    async def main():
        members = tuple(f"drummer-{n}" for n in range(3))
        cluster = SimulatedCluster(seed=65, members=members, on_previous_version={"drummer-2"})
        await cluster.until(lambda: cluster.leader() is not None)
        reply = await cluster.submit(gang_job(1), tries=3, member="drummer-0")
        assert reply is None  # 503: an older leader could not read the record
        await cluster.upgrade("drummer-2")
        assert await cluster.submit(gang_job(1), member="drummer-0") == 201
        cluster.kill("drummer-1")
        await cluster.restart("drummer-0")
        # The store shows the versions, although one controller does not answer.
        assert await cluster.submit(gang_job(2), member="drummer-0") == 201
        await cluster.finish(["j-000001", "j-000002"])
        assert asyncio.get_running_loop().time() < 200

    run(main())
