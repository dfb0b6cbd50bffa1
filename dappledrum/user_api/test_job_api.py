"""Submissions, polls and cancellations: which requests are accepted, and their answers."""

import asyncio
import json
from datetime import UTC, datetime

import msgspec
import pytest

from dappledrum.http.messages import Request
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import max_value_bytes, page_record
from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.simulation.virtual_time import run


def send(*bodies):
    """Return the statuses of submissions that are sent to a simulated cluster without faults."""

    async def main():
        cluster = await led_cluster(1)
        replies = [
            await cluster.send_user_request("POST", "/submissions", body) for body in bodies
        ]
        return [reply.status for reply in replies if reply is not None]

    return run(main())


def body(**changes):
    spec = job(1, **changes)
    del spec["runS"]
    return json.dumps({key: value for key, value in spec.items() if value != "absent"}).encode()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", 400),
        (b"{", 400),
        (b"[]", 400),
        (b"\xff\xfe", 400),
        (b"[" * 50_000, 400),
        (body(id="absent"), 400),
        (body(id="x-1"), 400),
        (body(id="j-1/2"), 400),
        (body(id="j-000001\n"), 400),
        (body(id="j-\u00b2"), 400),
        (body(waitsOn=["j-000002\n"]), 400),
        (body(beats=0), 400),
        (body(beats=100_001), 400),
        (body(beats=1.5), 400),
        (body(beats="4"), 400),
        (body(vcpus=-1.0), 400),
        (body(vcpus=1e300), 400),
        (body(vcpus=float("nan")), 400),
        (body(urgency="asap"), 400),
        (body(form="ensembles"), 400),
        (body(form="ensemble"), 201),
        (body(crew="red", vcpus=4.0, form="ensemble", beats=3), 422),
        (body(spread=None), 400),
        (body(builds=["x" * 190] * 60), 400),
        (body(crew="nobody"), 422),
        (body(vcpus=64.0), 422),
        (body(builds=["large"], hall="b"), 422),
        (body(builds=[]), 422),
        (body(crew="red", vcpus=10.0), 422),
        (body(crew="red", vcpus=4.0, form="service", beats=3), 422),
        (body(crew="red", vcpus=4.0, beats=3), 201),
        (body(dueS=None, more={"unknown": 1}), 201),
        (body(dueS="absent", hall="absent", builds="absent"), 201),
    ],
)
def test_status_of_a_submission(data, status):
    assert send(data) == [status]


def test_an_accepted_job_is_never_refused_later():
    assert send(body(), body(), body(crew="nobody")) == [201, 200, 200]


@pytest.mark.parametrize(
    "changed",
    [
        {"vcpus": "absent"},
        {"beats": 0},
        {"form": "unknown"},
        {"waitsOn": ["j-000009"]},
        {"waitsOn": ["j-000001"]},
        {"builds": ["x" * 190] * 60},
    ],
)
def test_a_changed_submission_of_an_accepted_job_is_never_refused(changed):
    """Guards against a 400 for an accepted job when its repeated submission lacks a field."""
    statuses = send(body(id="j-000002", **changed), body(), body(**changed))
    assert statuses[0] in (400, 422)
    assert statuses[1:] == [201, 200]


async def test_status_of_paths_and_methods():
    cluster = await led_cluster(1)
    for method, path, status in (
        ("GET", "/submissions/j-000009", 404),
        ("GET", "/submissions/nonsense", 404),
        ("GET", "/submissions/j-1%2F..", 404),
        ("GET", "/submissions/j-\u00b2", 404),
        ("GET", "/submissions/j-", 404),
        ("GET", "/submissions/j-" + "1" * 31, 404),
        ("POST", "/submissions/j-000009/cancel", 404),
        ("DELETE", "/submissions/j-000009", 405),
        ("GET", "/submissions", 405),
        ("POST", "/ready", 405),
        ("GET", "/ready", 200),
        ("GET", "/", 404),
        ("POST", "/hello", 400),
    ):
        reply = await cluster.send_user_request(method, path, b"")
        assert reply is not None, path
        assert reply.status == status, path


@pytest.mark.parametrize("name", ["j-\u00b2", "j-", "j-" + "1" * 31, "j-1\n"])
async def test_an_invalid_job_id_is_not_read_from_the_store(name):
    """Guards against invalid ids in request paths to the store: a digit may be outside ASCII."""
    cluster = await led_cluster(1)
    began = asyncio.get_running_loop().time()
    reply = await cluster.controllers["drummer-1"].serve(
        Request("GET", f"/submissions/{name}", b"")
    )
    assert reply.status == 404
    assert asyncio.get_running_loop().time() == began


async def test_a_very_large_job_keeps_within_the_limits_of_the_store():
    """The simulated store checks the sizes of values and transactions. Most tasks of the job are
    marked as done."""
    cluster = await led_cluster(8)
    names = await cluster.accept(
        job(1, beats=100_000, vcpus=0.25, memGb=0.1, runS=2.0, dueS=None), job(2)
    )
    await cluster.until(lambda: cluster.rules.starts > 300)
    leader = cluster.controllers[cluster.leader()]
    live = leader.leader.jobs["j-000001"]
    facts = cluster.rules.jobs["j-000001"]
    for index in range(live.page_count - 1):
        page = live.page(index)
        if not page.placements and page.done == 0:
            page.done = (1 << page.count) - 1
            live.done += page.count
            page.bump_revision()
            leader.leader.record_writer.mark_dirty(page)
            facts.done.update(range(page.first, page.first + page.count))
    await cluster.until(lambda: len(leader.leader.record_writer.dirty) < 8)
    for _ in range(10):  # the totals in the head are written after the pages
        reply = await cluster.send_user_request("GET", "/submissions/j-000001")
        if reply is not None and json.loads(reply.body)["done"] > 90_000:
            break
        await cluster.wait(1)
    else:
        raise AssertionError("the head does not contain the totals of the pages")
    await cluster.restart(cluster.leader())
    await cluster.finish(names, timeout_s=600)


def test_pages_are_the_same_after_they_are_stored_and_read():
    spec = {key: value for key, value in job(7, beats=600).items() if key != "runS"}
    record = JobRecord(msgspec.convert(spec, Spec), 1_700_000_000_000, 256, PageRecord())
    first = Job(record, 1)
    now = datetime.fromtimestamp(1_700_000_042, UTC)
    for index in range(3):
        page = first.page(index)
        for offset in range(0, page.count, 7):
            page.place(page.first + offset, f"host-{offset % 5}", offset % 3, "a", now)
        page.finish(page.first + 1)
    second = Job(
        msgspec.json.decode(msgspec.json.encode(first.head_record()), type=JobRecord),
        5,
    )
    for index in (1, 2):
        second.add_page(index, page_record(first.page(index)), 6)

    def contents(page: Page):
        rows = {
            t: (p.machine, p.session, p.zone, p.attempt, p.placed_at)
            for t, p in page.placements.items()
        }
        return page.done, page.attempt, rows, list(page.free_tasks())

    for index in range(3):
        assert contents(first.page(index)) == contents(second.page(index))
    assert (second.done, second.placement_count(), second.waiting()) == (
        first.done,
        first.placement_count(),
        first.waiting(),
    )


def machine_name(index: int) -> str:
    return f"host-{100_000 + 37 * index}"


def test_all_tasks_of_a_page_can_run_on_different_machines():
    """Guards against tasks that wait although machines are idle, as their page would be too large
    to store: with whole machine names, it could hold rows for only about 100 of 256 tasks."""
    spec = {key: value for key, value in job(7, beats=256).items() if key != "runS"}
    page = Job(
        JobRecord(msgspec.convert(spec, Spec), 1_700_000_000_000, 256, PageRecord()), 1
    ).page(0)
    now = datetime.fromtimestamp(1_700_000_999, UTC)
    for task in range(240):
        bound = max_value_bytes(page, machine_name(task), now)
        assert bound <= 8 * 1024
        page.place(task, machine_name(task), 1, "keskusta", now)
        assert len(msgspec.json.encode(page.job.head_record())) <= bound


def test_records_of_earlier_versions_are_read():
    """Guards against an upgrade that can't read the live jobs, and so runs their tasks twice."""
    spec = {key: value for key, value in job(7).items() if key != "runS"}
    old = [9, "1", [["host-1", 2, "a", [[1, 5, 30], [2, 6, 31]]]]]
    record = {"spec": spec, "at_ms": 1_700_000_000_000, "size": 256, "page": old}
    live = Job(msgspec.json.decode(json.dumps(record).encode(), type=JobRecord), 3)
    rows = {(p.task, p.machine, p.session, p.zone, p.attempt) for p in live.placements()}
    assert rows == {(1, "host-1", 2, "a", 5), (2, "host-1", 2, "a", 6)}
    assert (live.done, live.page(0).attempt) == (1, 9)


async def test_a_catalog_loaded_during_a_submission_does_not_cause_a_refusal():
    """Guards against a valid job that is permanently refused with 422, when the catalog is loaded
    after the check of the machine types and before the answer."""
    cluster = await led_cluster(1)
    job_api = cluster.controllers["drummer-0"].job_api
    types, job_api.types = job_api.types, None
    asyncio.get_running_loop().call_later(0.002, setattr, job_api, "types", types)
    reply = await job_api.submit(body())
    assert job_api.types is types
    assert reply.status == 503


async def test_a_record_that_cannot_be_decoded_affects_only_its_own_job():
    """Guards against a record that fails a whole batch of polls, or that keeps a leader from
    reading the other jobs."""
    cluster = await led_cluster(9)
    names = await cluster.accept_jobs(6, runS=20.0)
    await cluster.until(lambda: cluster.rules.starts >= 4)
    bad = names[2]
    cluster.store.revision += 1
    cluster.store.keys[f"job/{bad}"] = ({"spec": 7}, cluster.store.revision, None)
    await cluster.restart_all(0.2)
    await cluster.until_led()
    asked = [asyncio.ensure_future(cluster.poll(name, cluster.members[0])) for name in names]
    states = dict(zip(names, await asyncio.gather(*asked), strict=True))
    assert states.pop(bad) is None, "its state is unknown, but the job still exists"
    assert None not in states.values()
    await cluster.submit(job(7))
    await cluster.finish([*states, "j-000007"], timeout_s=200)
    assert f"job/{bad}" in cluster.store.keys


async def test_the_cached_form_of_a_job_is_the_stored_one():
    """Guards against caching the form of a repeated submission that joined the first one with
    another form: a job that waits for the service would be accepted and never start."""
    cluster = await led_cluster(10)
    await cluster.wait(1)
    job_api = cluster.controllers["drummer-1"].job_api
    replies = await asyncio.gather(
        job_api.submit(body(form="service")), job_api.submit(body(form="batch"))
    )
    assert [reply.status for reply in replies] == [201, 201]
    reply = await job_api.submit(body(id="j-000002", waitsOn=["j-000001"]))
    assert reply.status == 422


async def test_an_accepted_job_with_too_many_dependencies_is_not_refused():
    cluster = await led_cluster(11)
    await cluster.wait(1)
    job_api = cluster.controllers["drummer-1"].job_api
    assert (await job_api.submit(body())).status == 201
    state = msgspec.structs.replace(job_api.params.state, txn_ops=0)
    job_api.params = msgspec.structs.replace(job_api.params, state=state)
    assert (await job_api.submit(body())).status == 200
    assert (await job_api.submit(body(id="j-000002"))).status == 400
