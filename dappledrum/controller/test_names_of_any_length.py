"""Jobs whose names hardly fit into the values of the store."""

import json

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job


async def cluster_with_small_values(value_kb):
    limits = NextLimits(write_rps=40.0, value_kb=value_kb, txn_ops=8)
    cluster = SimulatedCluster(seed=58, next=limits)
    cluster.drop_limits()
    await cluster.until_led()
    await cluster.wait(5)
    return cluster


@pytest.mark.parametrize(
    "name",
    ["x" * 200, "ö" * 200, "😀" * 200, "\x01" * 200],
    ids=["ascii", "escape", "two-escapes", "control"],
)
@pytest.mark.parametrize("value_kb", [1.0, 2.0])
async def test_a_job_with_long_names_runs_and_can_be_cancelled(name, value_kb):
    """Guards against 503 for ever for a job whose names leave no room in its head: its submission
    was refused by the store, or its cancellation."""
    cluster = await cluster_with_small_values(value_kb)
    specs = [job(number, pattern=name, skin=name, runS=10.0, dueS=None) for number in (1, 2)]
    for spec in specs:
        assert await cluster.submit(spec, tries=3) == 201
    await cluster.until(lambda: len(cluster.rules.running) > 0)
    await cluster.restart(cluster.leader())
    assert await cluster.cancel("j-000001", tries=3) == "cancelled"
    await cluster.finish(["j-000001", "j-000002"])
    assert not cluster.store.too_large


async def test_a_job_that_no_value_can_hold_is_refused_with_a_clear_error():
    """Guards against 503 for ever for a submission that can't be stored at all."""
    cluster = await cluster_with_small_values(0.5)
    body = {key: value for key, value in job(1).items() if key != "runS"}
    reply = await cluster.send_user_request("POST", "/submissions", json.dumps(body).encode())
    assert (reply.status, json.loads(reply.body)) == (
        400,
        {"error": "names too long for a record"},
    )
    assert not cluster.store.too_large
