"""Cancellations of jobs whose stored head has no room left for them."""

from datetime import timedelta

import msgspec
import pytest

from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import MachineRow, PageRecord
from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job

REDUCED_LIMITS = NextLimits(write_rps=40.0, value_kb=2.0, txn_ops=8)
TASKS = 100
IMAGE_LENGTHS = range(1, 33)  # a head is filled up to a row of about 30 bytes


def old_head(number, image):
    """The head of a service as a leader of version 0.2.0 has stored it, each task on a machine of
    its own."""
    spec = job(number, form="service", beats=TASKS, skin=image, expectedS=0.0, dueS=None)
    spec.pop("runS")
    rows = [MachineRow(f"{37 * task:05d}", 1, 0, [task, task + 1, 40]) for task in range(TASKS)]
    page = PageRecord(TASKS + 1, "0", [], "host-0", ["keskusta"], rows)
    fields = {"page": msgspec.to_builtins(page)[:-1], "cancelled": False, "done": 0}
    return {"spec": spec, "at_ms": 1_764_000_000_000, "size": 256, "running": TASKS} | fields


def cluster_with_old_services():
    cluster = SimulatedCluster(seed=57, next=REDUCED_LIMITS)
    puts = [
        {"write": head_key(f"j-{number:06d}"), "value": old_head(number, "x" * length)}
        for number, length in enumerate(IMAGE_LENGTHS)
    ]
    for put in puts:
        cluster.store.run_transaction({"guards": [], "then": [put]})
    return cluster


async def cancel(cluster, number, member):
    """Cancel a job at one controller, once; returns the status."""
    path = f"/submissions/j-{number:06d}/cancel"
    link = cluster.network.caller("user", member)
    return (await link.request("POST", path, b"", timedelta(seconds=5))).status


@pytest.mark.parametrize("member", ["drummer-0", "drummer-2"])
async def test_a_service_is_cancelled_after_its_leader_has_split_its_head(member):
    """Guards against 503 for every cancellation of a job whose head fills its value: the head
    was split up to the limit, and the mark of the cancellation was refused for ever."""
    cluster = cluster_with_old_services()
    cluster.drop_limits()
    await cluster.until_led()
    heads = [head_key(f"j-{number:06d}") for number in range(len(IMAGE_LENGTHS))]
    await cluster.until(lambda: all(cluster.store.keys[key][0]["page"][6:] for key in heads))
    refused_before = len(cluster.store.too_large)
    statuses = []
    for number in range(len(IMAGE_LENGTHS)):
        statuses.append(await cancel(cluster, number, member))
        await cluster.wait(0.5)
    assert statuses == [200] * len(IMAGE_LENGTHS)
    assert len(cluster.store.too_large) == refused_before


async def test_a_service_is_cancelled_without_a_leader_when_limits_have_dropped():
    """Guards against a controller that waits for a leader to split a head: the version of one
    controller is unknown, so heads are whole, and nobody leads when the limits drop."""
    cluster = cluster_with_old_services()
    cluster.kill("drummer-2")
    await cluster.until_led()
    follower = next(m for m in ("drummer-0", "drummer-1") if m != cluster.leader())
    cluster.kill(cluster.leader())
    cluster.drop_limits()
    assert await cancel(cluster, 0, follower) == 200
    assert cluster.store.too_large == [head_key("j-000000")]
    head = cluster.store.keys[head_key("j-000000")][0]
    assert head["cancelled"]
    # The next leader sees all tasks, wherever their rows are, and none of them is lost.
    await cluster.until_led()
    leader = cluster.controllers[cluster.leader()].leader
    await cluster.until(lambda: leader.loaded.is_set())
    assert leader.jobs["j-000000"].placement_count() == TASKS
