"""What is removed as nobody's: never what belongs to a live job, however late it is removed."""

import msgspec
import pytest

from dappledrum.jobs.messages import PageRecord, RowsRecord, Spec
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

SMALL = NextLimits(value_kb=2.0)


def parts(cluster, prefix):
    return sorted(key for key in cluster.store.keys if key.startswith(prefix))


def inject(cluster, controller, spec):
    """Another controller accepts a job, at this very moment."""

    sent = {key: value for key, value in spec.items() if key != "runS"}
    puts = controller.job_api._new_job_writes(msgspec.convert(sent, Spec))
    assert len(puts) > 1
    then = [{"write": p.key, "value": msgspec.json.decode(bytes(p.value))} for p in puts]
    reply = cluster.store._multi({"guards": [{"key": puts[0].key, "stamp": 0}], "then": then})
    assert reply.status == 200


def test_a_long_job_that_comes_while_a_new_leader_reads():
    """Its names were seen in a list that began after the one of the jobs, and were taken for what
    an ended job had left: the next leader found a job that lacked a part, and it never ran."""

    async def main():
        cluster = SimulatedCluster(seed=3, next=SMALL)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(5)
        spec = job(7, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
        cluster.rules.submitted(spec)
        other = next(m for m in cluster.members if m != cluster.leader())

        def between(sent):
            if sent.path.startswith("/keys?prefix=page/") and not parts(cluster, "job/"):
                inject(cluster, cluster.controllers[other], spec)
                kept.extend(parts(cluster, "spec/"))

        kept = []
        cluster.network.watcher = between
        cluster.cloud.out = True  # nothing of it runs until another leads
        await cluster.restart(cluster.leader(), 0.3)
        await cluster.until(lambda: bool(parts(cluster, "job/")), most=10)
        cluster.network.watcher = None
        await cluster.wait(5)
        assert kept
        assert parts(cluster, "spec/") == kept
        await cluster.restart(cluster.leader(), 0.3)
        cluster.cloud.out = False
        await cluster.finish([spec["id"]])

    run(main())


def test_rows_that_a_page_has_outgrown_go_with_its_next_record():
    """They are in the list beside rows of the same page that count. Removed as nobody's, at any
    later time, they could be in use again: the next leader would not know what runs there."""

    async def main():
        cluster = SimulatedCluster(seed=4, next=SMALL)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        spec = job(8, beats=24, vcpus=0.5, runS=300.0, expectedS=300.0, dueS=400.0)
        assert await cluster.submit(spec) == 201
        await cluster.until(lambda: len(cluster.rules.running) > 20)
        await cluster.wait(3)
        stale = RowsRecord("host-", ["a"], [("999", 1, 0, [0, 1, 1])])
        cluster.store._multi(
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
        assert parts(cluster, "rows/j-000008/0/5") == []

    run(main())


@pytest.mark.parametrize("live", [True, False])
def test_what_is_removed_late_is_nobodys_still(live):
    """The removal may be carried out when somebody has submitted the job after all."""

    async def main():
        cluster = SimulatedCluster(seed=5, next=SMALL)
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        leader = cluster.controllers[cluster.leader()].leader
        key = "spec/j-000009/0"
        then = [{"write": key, "value": {}}]
        if live:
            spec = job(9, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
            cluster.cloud.out = True
            inject(cluster, cluster.controllers[cluster.leader()], spec)
        else:
            cluster.store._multi({"guards": [], "then": then})
        leader.record_writer.garbage[key] = None
        leader.record_writer.wake.set()
        await cluster.wait(3)
        assert bool(parts(cluster, key)) is live
        assert not leader.record_writer.garbage

    run(main())
