"""Every transaction of a controller has guards for all keys that it changes: one that is executed
late, after newer ones, then fails and changes nothing (docs/design.md, "Concurrent faults")."""

import asyncio
import json
import random

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE, submission, user
from dappledrum.simulation.network import LateWrites
from dappledrum.simulation.virtual_time import run

WRITTEN_ONCE = ("catalog", "gangs")  # and never removed
ADVISORY = ("fleet", "learned")  # no decision relies on these records


def guarded_key(key):
    """Key of the record (page or head of the job) that guards changes of this key."""
    kind, _, rest = key.partition("/")
    if kind == "rows":
        job_id, index, _ = rest.split("/")
        return f"job/{job_id}" if index == "0" else f"page/{job_id}/{index}"
    return "job/" + rest.split("/")[0] if kind in ("spec", "ended") else key


def unguarded_keys(body):
    """Keys that a transaction changes without the required guards."""
    guards = {guard["key"]: guard["stamp"] for guard in body["guards"]}
    changed = {c.get("write", c.get("remove")) for c in body["then"]}
    for change in body["then"]:
        key = change.get("write", change.get("remove"))
        job_id = key.split("/")[1] if "/" in key else ""
        by_leader = guards.get("leader", 0) > 0
        if key in ("leader", "epoch"):
            guarded = "leader" in guards and "epoch" in guards and {"leader", "epoch"} <= changed
        elif key in WRITTEN_ONCE:
            guarded = guards.get(key) == 0
        elif key in ADVISORY:
            guarded = by_leader
        elif key.startswith("ended/"):  # the head exists, and is removed in the same transaction
            guarded = (
                by_leader and guards.get(guarded_key(key), 0) > 0 and guarded_key(key) in changed
            )
        elif "remove" in change and guards.get(f"job/{job_id}") == 0:  # of a job without a head
            guarded = by_leader
        elif key.startswith("job/") and not by_leader:  # submission or cancellation by a user
            guarded = key in guards and guards.get(f"ended/{job_id}") == 0
        else:
            by_user = guards.get(f"job/{job_id}") == 0 == guards.get(f"ended/{job_id}")
            guarded = guarded_key(key) in guards and (by_leader or by_user)
        if not guarded:
            yield key


@pytest.mark.parametrize("seed", range(2))
def test_each_change_has_its_guards(seed):
    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE, next=NextLimits(value_kb=2.0))
        cluster.cloud.max_machines = 14
        kinds, unguarded = set(), []

        def check_guards(request):
            if request.path == "/multi":
                body = json.loads(request.body)
                for change in body["then"]:
                    key = change.get("write", change.get("remove"))
                    kinds.add(("write " if "write" in change else "remove ") + key.split("/")[0])
                unguarded.extend((key, request.body) for key in unguarded_keys(body))

        cluster.network.watcher = check_guards
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        users = []
        for number in range(8):
            user_rng = random.Random(f"{seed} {number}")
            users.append(
                asyncio.ensure_future(user(cluster, submission(number, user_rng), user_rng))
            )
        # A job with several pages and rows in parts, and one with a specification in parts.
        many_tasks = job(90, beats=300, vcpus=0.5, runS=5.0, expectedS=5.0, dueS=None)
        large_spec = job(91, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
        for spec in (many_tasks, large_spec):
            assert await cluster.submit(spec, 60) in (200, 201)
        cluster.network.late_writes = LateWrites(0.2, 2.0, 12.0)
        for _ in range(5):
            await cluster.wait(cluster.rng.uniform(4, 12))
            if cluster.leader() is not None:
                await cluster.restart(cluster.leader(), 0.3)
        cluster.network.late_writes = None
        while not all(task.done() for task in users):
            await cluster.wait(1)
        await cluster.finish([many_tasks["id"], large_spec["id"]], timeout_s=400)
        await cluster.wait(5)
        assert not unguarded, unguarded[0]
        expected = ("leader", "epoch", "job", "page", "spec", "ended", *WRITTEN_ONCE, *ADVISORY)
        assert kinds >= {f"write {kind}" for kind in expected} | {
            "remove job",
            "remove page",
        }

    run(main())
