"""Upgrades from the version before job dependencies, with both versions running and users served.

An old controller is simulated by this code with the records that the old version would write: it
drops fields that it does not know, makes pages of 256 tasks, ignores later limits and refuses the
request for its version (see `simulation/cluster.py`).
"""

import asyncio
from datetime import UTC, datetime

import msgspec
import pytest

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, RowsRecord, SpecPart
from dappledrum.jobs.page_encoding import load_rows, page_changes
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job

REDUCED_LIMITS = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=8)


def job_name(number):
    return f"j-{number:06d}"


def old_cluster(seed):
    members = tuple(f"drummer-{n}" for n in range(3))
    cluster = SimulatedCluster(
        seed=seed, members=members, next=REDUCED_LIMITS, on_previous_version=set(members)
    )
    cluster.cloud.max_machines = 30
    return cluster


async def submit_jobs_to_old_version(cluster):
    """Submit four jobs: an array and a service of several pages each, one job with a long list of
    machine types, and one with long tasks."""
    specs = [
        job(1, beats=600, vcpus=0.1, memGb=0.1, runS=25.0, expectedS=25.0, dueS=None),
        job(2, form="service", expectedS=0.0, dueS=None, beats=300, vcpus=0.1, memGb=0.1),
        job(3, builds=["small", *(f"type-{n:03d}-" + "x" * 20 for n in range(45))]),
        job(4, runS=60.0, expectedS=60.0),
    ]
    for spec in specs:
        assert await cluster.submit(spec) == 201
    await cluster.until(lambda: cluster.rules.starts > 500)


async def one_by_one(cluster):
    for member in cluster.members:
        await cluster.upgrade(member)
        await cluster.wait(4)


async def leader_first(cluster):
    await cluster.upgrade(cluster.leader())
    await cluster.wait(4)
    await one_by_one(cluster)


async def leader_last(cluster):
    while len(cluster.on_previous_version) > 1:
        await cluster.upgrade(
            next(m for m in sorted(cluster.on_previous_version) if m != cluster.leader())
        )
        await cluster.wait(3)
    await one_by_one(cluster)


async def all_at_once(cluster):
    cluster.on_previous_version.clear()
    await cluster.restart_all()


async def leadership_back_and_forth(cluster):
    """Leadership moves between old and new controllers as they restart; processes that are not
    upgraded yet restart with the old version."""
    first = cluster.leader()
    await cluster.upgrade(first)
    await cluster.wait(3)
    others = [member for member in cluster.members if member != first]
    for member in (cluster.leader(), first, *others):
        if member is not None:
            await cluster.restart(member, 4.0)
            await cluster.wait(5)
    await one_by_one(cluster)


async def outage_during_upgrade(cluster):
    await cluster.upgrade(cluster.members[0])
    cluster.store.in_outage = True
    await cluster.wait(5)
    cluster.store.end_outage()
    await one_by_one(cluster)


async def crash_during_upgrade(cluster):
    await cluster.upgrade(cluster.members[0])
    await cluster.restart_all()
    await cluster.wait(3)
    await one_by_one(cluster)


@pytest.mark.long
@pytest.mark.parametrize(
    "upgrade",
    [
        one_by_one,
        leader_first,
        leader_last,
        all_at_once,
        leadership_back_and_forth,
        outage_during_upgrade,
        crash_during_upgrade,
    ],
)
async def test_jobs_finish_when_limits_drop_right_after_an_upgrade(upgrade):
    cluster = old_cluster(51)
    await cluster.until(lambda: cluster.leader() is not None)
    await submit_jobs_to_old_version(cluster)
    await upgrade(cluster)
    assert not cluster.on_previous_version
    assert not cluster.store.too_large
    cluster.drop_limits()
    # Dependencies on jobs of the old version, which are live or have ended.
    assert await cluster.submit(job(10, waitsOn=[job_name(1), job_name(4)], dueS=None)) == 201
    assert await cluster.submit(job(11, waitsOn=[job_name(10)], dueS=200.0)) == 201
    assert await cluster.submit(job(12, waitsOn=[job_name(3)])) == 201
    await cluster.finish([job_name(n) for n in (1, 3, 4, 10, 11, 12)])
    assert await cluster.poll(job_name(2)) == "running"
    assert await cluster.cancel(job_name(2)) == "cancelled"
    await cluster.wait(25)
    assert not cluster.rules.running
    assert await cluster.poll(job_name(2)) == "cancelled"
    await cluster.wait(5)
    garbage = [key for key in cluster.store.keys if key.split("/")[0] in ("page", "rows", "spec")]
    assert not garbage
    assert cluster.store.over_rate <= 3
    # The first refusal only shows that the limits have dropped.
    assert len(cluster.store.too_large) <= 3


async def test_jobs_finish_when_limits_drop_before_all_versions_are_read():
    """Guards against records that can't be written after the limits have dropped while one
    controller is down. Its version is unknown, so records are written whole until the store
    refuses the first one."""

    cluster = old_cluster(53)
    await cluster.until(lambda: cluster.leader() is not None)
    await submit_jobs_to_old_version(cluster)
    missing = next(member for member in cluster.members if member != cluster.leader())
    cluster.kill(missing)
    for member in cluster.members:
        if member != missing:
            await cluster.upgrade(member)
            await cluster.wait(4)
    cluster.drop_limits()
    await cluster.finish([job_name(3), job_name(4)])
    assert 0 < len(cluster.store.too_large) < 12
    assert await cluster.cancel(job_name(2)) == "cancelled"
    cluster.on_previous_version.clear()
    cluster.start(missing)
    await cluster.finish([job_name(1)])
    await cluster.wait(25)
    assert not cluster.rules.running


def placement_rows(page):
    return {(p.task, p.attempt, p.machine, p.session, p.zone) for p in page.placements.values()}


def test_a_page_of_the_previous_version_is_split_into_parts():
    """Guards against old records that can't be written again after an upgrade: a page of 256 tasks
    on different machines and a specification with hundreds of dependencies are written under a
    quarter of the limit, and read by a successor."""
    spec = job(1, beats=300, waitsOn=[job_name(n) for n in range(400)])
    spec.pop("runS")
    stored = {"spec": spec, "at_ms": 1_764_000_000_000, "size": 256, "page": [1, "0"]}
    first = Job(msgspec.json.decode(msgspec.json.encode(stored), type=JobRecord), 3)
    utc_now = datetime.now(UTC)
    for task in range(256):
        first.page(0).place(task, f"host-{task:06d}", 1, "ab"[task % 2], utc_now)
    first.page(1).place(260, "host-9", 70, "a", utc_now)
    changes = {}
    for page in first.pages.values():
        written = page_changes(page, 2048, 2048)
        assert all(len(bytes(change.value)) <= 2048 for change in written)
        changes |= {change.key: change.value for change in written}
    assert len(changes) > 6
    head = msgspec.json.decode(changes["job/j-000001"], type=JobRecord)
    specs = sorted(key for key in changes if key.startswith("spec/"))
    assert len(specs) == head.spec_parts
    parts = [msgspec.json.decode(changes[key], type=SpecPart) for key in specs]
    second = Job(head, 4, parts)
    assert second.spec == first.spec
    assert len(second.unmet_dependencies) == 400
    for key, value in changes.items():
        if key.startswith("rows/"):
            load_rows(second.page(0), msgspec.json.decode(value, type=RowsRecord))
    assert placement_rows(second.page(0)) == placement_rows(first.page(0))
    # A page that has become smaller removes its surplus parts.
    first.page(0).parts = sum(key.startswith("rows/") for key in changes)
    for task in range(200):
        first.page(0).remove(task)
    removed = [c for c in page_changes(first.page(0), 2048, 2048) if not hasattr(c, "value")]
    assert len(removed) > 1


async def test_a_job_with_hundreds_of_dependencies_is_accepted():
    cluster = SimulatedCluster(seed=52, next=REDUCED_LIMITS)
    cluster.drop_limits()
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.wait(5)
    ids = []
    for number in range(300):
        spec = job(number, beats=1, vcpus=0.1, memGb=0.1, runS=1.0, dueS=None)
        ids.append(spec["id"])
        assert await cluster.submit(spec) == 201
    assert await cluster.submit(job(900, waitsOn=ids)) == 201
    await cluster.restart(cluster.leader())
    await cluster.finish([job_name(900)])
    assert not cluster.store.too_large
    await asyncio.sleep(5)
    assert not [key for key in cluster.store.keys if key.startswith("spec/")]
