"""The version before chains and this one side by side, while users are served.

An old controller is this code with what the version before would have written: it drops fields
that it does not know, makes pages of 256 tasks, knows no later limits and refuses the question for
its version (see `simulation/cluster.py`).
"""

import asyncio
from datetime import UTC, datetime

import msgspec
import pytest

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, RowsRecord, SpecPart
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run

NEXT = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=8)


def name(number):
    return f"j-{number:06d}"


def old_world(seed):
    members = tuple(f"drummer-{n}" for n in range(3))
    world = World(seed=seed, members=members, next=NEXT, old=set(members))
    world.cloud.most = 30
    return world


async def submit_old(world):
    """Live jobs of many pages, one of them a service, and one with a long list of types."""
    specs = [
        job(1, beats=600, vcpus=0.1, memGb=0.1, runS=25.0, expectedS=25.0, dueS=None),
        job(2, form="service", expectedS=0.0, dueS=None, beats=300, vcpus=0.1, memGb=0.1),
        job(3, builds=["small", *(f"type-{n:03d}-" + "x" * 20 for n in range(45))]),
        job(4, runS=60.0, expectedS=60.0),
    ]
    for spec in specs:
        assert await world.submit(spec) == 201
    await world.until(lambda: world.rules.starts > 500)


async def one_by_one(world):
    for member in world.members:
        await world.upgrade(member)
        await world.wait(4)


async def leader_first(world):
    await world.upgrade(world.leader())
    await world.wait(4)
    await one_by_one(world)


async def leader_last(world):
    while len(world.old) > 1:
        await world.upgrade(next(m for m in sorted(world.old) if m != world.leader()))
        await world.wait(3)
    await one_by_one(world)


async def all_at_once(world):
    world.old.clear()
    await world.restart_all()


async def old_after_new_after_old(world):
    """Leadership goes back and forth; a process that dies early comes back old."""
    first = world.leader()
    await world.upgrade(first)
    await world.wait(3)
    others = [member for member in world.members if member != first]
    for member in (world.leader(), first, *others):
        if member is not None:
            await world.restart(member, 4.0)
            await world.wait(5)
    await one_by_one(world)


async def outage_in_the_midst(world):
    await world.upgrade(world.members[0])
    world.state.out = True
    await world.wait(5)
    world.state.end_outage()
    await one_by_one(world)


async def crash_in_the_midst(world):
    await world.upgrade(world.members[0])
    await world.restart_all()
    await world.wait(3)
    await one_by_one(world)


@pytest.mark.long
@pytest.mark.parametrize(
    "upgrade",
    [
        one_by_one,
        leader_first,
        leader_last,
        all_at_once,
        old_after_new_after_old,
        outage_in_the_midst,
        crash_in_the_midst,
    ],
)
def test_an_upgrade_while_serving_and_limits_that_drop_right_after(upgrade):
    async def main():
        world = old_world(51)
        await world.until(lambda: world.leader() is not None)
        await submit_old(world)
        await upgrade(world)
        assert not world.old and not world.state.too_large
        world.drop_limits()
        # Named by both: a job of the version before, still live or not.
        assert await world.submit(job(10, waitsOn=[name(1), name(4)], dueS=None)) == 201
        assert await world.submit(job(11, waitsOn=[name(10)], dueS=200.0)) == 201
        assert await world.submit(job(12, waitsOn=[name(3)])) == 201
        await world.finish([name(n) for n in (1, 3, 4, 10, 11, 12)])
        assert await world.poll(name(2)) == "running"
        assert await world.cancel(name(2)) == "cancelled"
        await world.wait(25)
        assert not world.rules.running
        assert await world.poll(name(2)) == "cancelled"
        await world.wait(5)
        left = [key for key in world.state.keys if key.split("/")[0] in ("page", "rows", "spec")]
        assert not left
        assert world.state.over_rate <= 3
        # The first refusal only tells that the limits have dropped.
        assert len(world.state.too_large) <= 3

    run(main())


def test_limits_that_drop_before_all_have_told_their_version():
    """One controller does not come back for a while, so records are still written whole; the
    first refusal tells, and nothing stays unwritable."""

    async def main():
        world = old_world(53)
        await world.until(lambda: world.leader() is not None)
        await submit_old(world)
        missing = next(member for member in world.members if member != world.leader())
        world.kill(missing)
        for member in world.members:
            if member != missing:
                await world.upgrade(member)
                await world.wait(4)
        world.drop_limits()
        await world.finish([name(3), name(4)])
        assert 0 < len(world.state.too_large) < 12
        assert await world.cancel(name(2)) == "cancelled"
        world.old.clear()
        world.start(missing)
        await world.finish([name(1)])
        await world.wait(25)
        assert not world.rules.running

    run(main())


def placed(page):
    return {(p.task, p.attempt, p.machine, p.session, p.zone) for p in page.places.values()}


def test_a_page_of_the_version_before_goes_into_parts():
    """256 tasks on machines of their own, written again under a quarter of the limit, and read by
    a successor; a specification that needs hundreds of jobs likewise."""
    spec = job(1, beats=300, waitsOn=[name(n) for n in range(400)])
    spec.pop("runS")
    stored = {"spec": spec, "at_ms": 1_764_000_000_000, "size": 256, "page": [1, "0"]}
    first = Job(msgspec.json.decode(msgspec.json.encode(stored), type=JobRecord), 3)
    today = datetime.now(UTC)
    for task in range(256):
        first.page(0).place(task, f"host-{task:06d}", 1, "ab"[task % 2], today)
    first.page(1).place(260, "host-9", 70, "a", today)
    changes = {}
    for page in first.pages.values():
        own = page.to_values(2048, 2048)
        assert all(len(bytes(change.value)) <= 2048 for change in own)
        changes |= {change.key: change.value for change in own}
    assert len(changes) > 6
    head = msgspec.json.decode(changes["job/j-000001"], type=JobRecord)
    specs = sorted(key for key in changes if key.startswith("spec/"))
    assert len(specs) == head.spec_parts
    parts = [msgspec.json.decode(changes[key], type=SpecPart) for key in specs]
    second = Job(head, 4, parts)
    assert second.spec == first.spec and len(second.unmet) == 400
    for key, value in changes.items():
        if key.startswith("rows/"):
            second.page(0).load_rows(msgspec.json.decode(value, type=RowsRecord))
    assert placed(second.page(0)) == placed(first.page(0))
    # Smaller again, it removes its parts.
    first.page(0).parts = sum(key.startswith("rows/") for key in changes)
    for task in range(200):
        first.page(0).remove(task)
    removed = [c for c in first.page(0).to_values(2048, 2048) if not hasattr(c, "value")]
    assert len(removed) > 1


def test_hundreds_of_names_are_taken_and_too_many_are_refused():
    async def main():
        world = World(seed=52, next=NEXT)
        world.drop_limits()
        await world.until(lambda: world.leader() is not None)
        await world.wait(5)
        ids = []
        for number in range(300):
            spec = job(number, beats=1, vcpus=0.1, memGb=0.1, runS=1.0, dueS=None)
            ids.append(spec["id"])
            assert await world.submit(spec) == 201
        assert await world.submit(job(900, waitsOn=ids)) == 201
        await world.restart(world.leader())
        await world.finish([name(900)])
        assert not world.state.too_large
        await asyncio.sleep(5)
        assert not [key for key in world.state.keys if key.startswith("spec/")]

    run(main())
