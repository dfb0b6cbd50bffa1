"""Garbage collection never removes records of a live job, however late it is executed."""

import msgspec
import pytest

from dappledrum.jobs.messages import PageRecord, RowsRecord, Spec
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

SMALL_VALUES = NextLimits(value_kb=2.0)


def stored_keys(cluster, prefix):
    return sorted(key for key in cluster.store.keys if key.startswith(prefix))


def accept_immediately(cluster, controller, spec):
    """Store a job as accepted by this controller, without any delay."""

    sent = {key: value for key, value in spec.items() if key != "runS"}
    puts = controller.job_api._new_job_writes(msgspec.convert(sent, Spec))
    assert len(puts) > 1
    then = [{"write": p.key, "value": msgspec.json.decode(bytes(p.value))} for p in puts]
    reply = cluster.store.run_transaction(
        {"guards": [{"key": puts[0].key, "stamp": 0}], "then": then}
    )
    assert reply.status == 200


def test_a_split_job_accepted_while_a_new_leader_reads_the_records_keeps_its_parts():
    """A new leader lists jobs before parts. It took the parts of a job accepted in between for
    leftovers of an ended job and removed them; the job lacked a part and never ran."""

    async def main():
        cluster = SimulatedCluster(seed=3, next=SMALL_VALUES)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(5)
        spec = job(7, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
        cluster.rules.submitted(spec)
        other = next(m for m in cluster.members if m != cluster.leader())

        def accept_between_lists(sent):
            if sent.path.startswith("/keys?prefix=page/") and not stored_keys(cluster, "job/"):
                accept_immediately(cluster, cluster.controllers[other], spec)
                spec_keys.extend(stored_keys(cluster, "spec/"))

        spec_keys = []
        cluster.network.watcher = accept_between_lists
        cluster.cloud.in_outage = True  # keeps the job from running until another controller leads
        await cluster.restart(cluster.leader(), 0.3)
        await cluster.until(lambda: bool(stored_keys(cluster, "job/")), timeout_s=10)
        cluster.network.watcher = None
        await cluster.wait(5)
        assert spec_keys
        assert stored_keys(cluster, "spec/") == spec_keys
        await cluster.restart(cluster.leader(), 0.3)
        cluster.cloud.in_outage = False
        await cluster.finish([spec["id"]])

    run(main())


def test_unneeded_row_parts_of_a_live_page_are_deleted_by_its_next_record():
    """A new leader finds them beside row parts of the same page that are valid. If the garbage
    collector removed them later, they could be in use again by then, and the next leader would
    not know of the attempts in them."""

    async def main():
        cluster = SimulatedCluster(seed=4, next=SMALL_VALUES)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        spec = job(8, beats=24, vcpus=0.5, runS=300.0, expectedS=300.0, dueS=400.0)
        assert await cluster.submit(spec) == 201
        await cluster.until(lambda: len(cluster.rules.running) > 20)
        await cluster.wait(3)
        stale = RowsRecord("host-", ["a"], [("999", 1, 0, [0, 1, 1])])
        cluster.store.run_transaction(
            {
                "guards": [],
                "then": [{"write": "rows/j-000008/0/5", "value": msgspec.to_builtins(stale)}],
            }
        )
        page = msgspec.convert(cluster.store.keys["job/j-000008"][0]["page"], PageRecord)
        assert page.parts <= 5
        await cluster.restart(cluster.leader(), 0.3)
        await cluster.until(lambda: cluster.leader() is not None)
        leader = cluster.controllers[cluster.leader()].leader
        await cluster.until(leader.loaded.is_set)
        head = leader.jobs["j-000008"].page(0)
        assert head.parts == 6
        assert len(head.placements) > 20
        assert "rows/j-000008/0/5" not in leader.record_writer.garbage
        head.bump_revision()
        leader.record_writer.mark_dirty(head)
        await cluster.wait(3)
        assert stored_keys(cluster, "rows/j-000008/0/5") == []

    run(main())


@pytest.mark.parametrize("live", [True, False])
def test_a_late_removal_only_deletes_records_without_a_live_job(live):
    """The removal may be executed after a job with the same ID has been submitted."""

    async def main():
        cluster = SimulatedCluster(seed=5, next=SMALL_VALUES)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        leader = cluster.controllers[cluster.leader()].leader
        key = "spec/j-000009/0"
        then = [{"write": key, "value": {}}]
        if live:
            spec = job(9, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
            cluster.cloud.in_outage = True
            accept_immediately(cluster, cluster.controllers[cluster.leader()], spec)
        else:
            cluster.store.run_transaction({"guards": [], "then": then})
        leader.record_writer.garbage[key] = None
        leader.record_writer.wake.set()
        await cluster.wait(3)
        assert bool(stored_keys(cluster, key)) is live
        assert not leader.record_writer.garbage

    run(main())
