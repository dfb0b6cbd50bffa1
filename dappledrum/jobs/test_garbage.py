"""What is removed as nobody's: never what belongs to a live job, however late it is removed."""

import msgspec
import pytest

from dappledrum.jobs.messages import PageRecord, RowsRecord, Spec
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run

SMALL = NextLimits(value_kb=2.0)


def parts(world, prefix):
    return sorted(key for key in world.state.keys if key.startswith(prefix))


def inject(world, node, spec):
    """Another controller accepts a job, at this very moment."""

    sent = {key: value for key, value in spec.items() if key != "runS"}
    puts = node.intake._record(msgspec.convert(sent, Spec))
    assert len(puts) > 1
    then = [{"write": p.key, "value": msgspec.json.decode(bytes(p.value))} for p in puts]
    reply = world.state._multi({"guards": [{"key": puts[0].key, "stamp": 0}], "then": then})
    assert reply.status == 200


def test_a_long_job_that_comes_while_a_new_leader_reads():
    """Its names were seen in a list that began after the one of the jobs, and were taken for what
    an ended job had left: the next leader found a job that lacked a part, and it never ran."""

    async def main():
        world = World(seed=3, next=SMALL)
        await world.until(lambda: world.leader() is not None)
        await world.wait(5)
        spec = job(7, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
        world.rules.submitted(spec)
        other = next(m for m in world.members if m != world.leader())

        def between(sent):
            if sent.path.startswith("/keys?prefix=page/") and not parts(world, "job/"):
                inject(world, world.nodes[other], spec)
                kept.extend(parts(world, "spec/"))

        kept = []
        world.network.watcher = between
        world.cloud.out = True  # nothing of it runs until another leads
        await world.restart(world.leader(), 0.3)
        await world.until(lambda: bool(parts(world, "job/")), most=10)
        world.network.watcher = None
        await world.wait(5)
        assert kept and parts(world, "spec/") == kept
        await world.restart(world.leader(), 0.3)
        world.cloud.out = False
        await world.finish([spec["id"]])

    run(main())


def test_rows_that_a_page_has_outgrown_go_with_its_next_record():
    """They are in the list beside rows of the same page that count. Removed as nobody's, at any
    later time, they could be in use again: the next leader would not know what runs there."""

    async def main():
        world = World(seed=4, next=SMALL)
        await world.until(lambda: world.leader() is not None)
        await world.wait(4)
        spec = job(8, beats=24, vcpus=0.5, runS=300.0, expectedS=300.0, dueS=400.0)
        assert await world.submit(spec) == 201
        await world.until(lambda: len(world.rules.running) > 20)
        await world.wait(3)
        stale = RowsRecord("host-", ["a"], [("999", 1, 0, [0, 1, 1])])
        world.state._multi(
            {
                "guards": [],
                "then": [{"write": "rows/j-000008/0/5", "value": msgspec.to_builtins(stale)}],
            }
        )
        page = msgspec.convert(world.state.keys["job/j-000008"][0]["page"], PageRecord)
        assert page.parts <= 5
        await world.restart(world.leader(), 0.3)
        await world.until(lambda: world.leader() is not None)
        leader = world.nodes[world.leader()].leader
        await world.until(leader.loaded.is_set)
        head = leader.jobs["j-000008"].page(0)
        assert head.parts == 6 and len(head.places) > 20
        assert "rows/j-000008/0/5" not in leader.recorder.garbage
        head.touch()
        leader.recorder.mark(head)
        await world.wait(3)
        assert parts(world, "rows/j-000008/0/5") == []

    run(main())


@pytest.mark.parametrize("live", [True, False])
def test_what_is_removed_late_is_nobodys_still(live):
    """The removal may be carried out when somebody has submitted the job after all."""

    async def main():
        world = World(seed=5, next=SMALL)
        await world.until(lambda: world.leader() is not None)
        await world.wait(4)
        leader = world.nodes[world.leader()].leader
        key = "spec/j-000009/0"
        then = [{"write": key, "value": {}}]
        if live:
            spec = job(9, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
            world.cloud.out = True
            inject(world, world.nodes[world.leader()], spec)
        else:
            world.state._multi({"guards": [], "then": then})
        leader.recorder.garbage[key] = None
        leader.recorder.wake.set()
        await world.wait(3)
        assert bool(parts(world, key)) is live and not leader.recorder.garbage

    run(main())
