"""Every transaction that controllers send has its guards: whatever is executed late, after newer
ones, finds another version and changes nothing (docs/design.md, "Concurrent faults")."""

import asyncio
import json
import random

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE, submission, user
from dappledrum.simulation.network import LateWrites
from dappledrum.simulation.virtual_time import run

WRITTEN_ONCE = ("catalog", "gangs")  # never removed
ADVISORY = ("fleet", "learned")  # no decision relies on them


def guarded_key(key):
    """The record in whose transaction a key is written: its page, or the job's head."""
    kind, _, rest = key.partition("/")
    if kind == "rows":
        name, index, _ = rest.split("/")
        return f"job/{name}" if index == "0" else f"page/{name}/{index}"
    return "job/" + rest.split("/")[0] if kind in ("spec", "ended") else key


def unguarded_keys(body):
    """Keys that a transaction changes without the guards that it must have."""
    guards = {guard["key"]: guard["stamp"] for guard in body["guards"]}
    changed = {c.get("write", c.get("remove")) for c in body["then"]}
    for change in body["then"]:
        key = change.get("write", change.get("remove"))
        name = key.split("/")[1] if "/" in key else ""
        by_leader = guards.get("leader", 0) > 0
        if key in ("leader", "epoch"):
            guarded = "leader" in guards and "epoch" in guards and {"leader", "epoch"} <= changed
        elif key in WRITTEN_ONCE:
            guarded = guards.get(key) == 0
        elif key in ADVISORY:
            guarded = by_leader
        elif key.startswith("ended/"):  # a head is there, and goes with it
            guarded = (
                by_leader and guards.get(guarded_key(key), 0) > 0 and guarded_key(key) in changed
            )
        elif "remove" in change and guards.get(f"job/{name}") == 0:  # nobody's
            guarded = by_leader
        elif key.startswith("job/") and not by_leader:  # by users: never accepted, or as read
            guarded = key in guards and guards.get(f"ended/{name}") == 0
        else:
            by_user = guards.get(f"job/{name}") == 0 == guards.get(f"ended/{name}")
            guarded = guarded_key(key) in guards and (by_leader or by_user)
        if not guarded:
            yield key


@pytest.mark.parametrize("seed", range(2))
def test_each_change_has_its_guards(seed):
    async def main():
        cluster = SimulatedCluster(seed=seed, members=FIVE, next=NextLimits(value_kb=2.0))
        cluster.cloud.most = 14
        kinds, unguarded = set(), []

        def check_guards(sent):
            if sent.path == "/multi":
                body = json.loads(sent.body)
                for change in body["then"]:
                    key = change.get("write", change.get("remove"))
                    kinds.add(("write " if "write" in change else "remove ") + key.split("/")[0])
                unguarded.extend((key, sent.body) for key in unguarded_keys(body))

        cluster.network.watcher = check_guards
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(4)
        users = []
        for number in range(8):
            one = random.Random(f"{seed} {number}")
            users.append(asyncio.ensure_future(user(cluster, submission(number, one), one)))
        # Pages of their own, rows in parts, specifications in parts.
        many = job(90, beats=300, vcpus=0.5, runS=5.0, expectedS=5.0, dueS=None)
        long = job(91, builds=["small"] + [f"{n:04d}" * 10 for n in range(30)], dueS=None)
        for spec in (many, long):
            assert await cluster.submit(spec, 60) in (200, 201)
        cluster.network.late_writes = LateWrites(0.2, 2.0, 12.0)
        for _ in range(5):
            await cluster.wait(cluster.rng.uniform(4, 12))
            if cluster.leader() is not None:
                await cluster.restart(cluster.leader(), 0.3)
        cluster.network.late_writes = None
        while not all(one.done() for one in users):
            await cluster.wait(1)
        await cluster.finish([many["id"], long["id"]], most=400)
        await cluster.wait(5)
        assert not unguarded, unguarded[0]
        expected = ("leader", "epoch", "job", "page", "spec", "ended", *WRITTEN_ONCE, *ADVISORY)
        assert kinds >= {f"write {kind}" for kind in expected} | {"remove job", "remove page"}

    run(main())
