"""Golden bytes of heartbeats of workers and of the answers to them."""

import asyncio

import msgspec
import pytest

from dappledrum.controller import process
from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import RecordingCaller, as_sent
from dappledrum.http import connection
from dappledrum.simulation.cluster import led_cluster
from dappledrum.timing.clock import seconds
from dappledrum.workers.messages import (
    Cause,
    Command,
    Commands,
    Redirect,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
)

GOLDEN = load("workers")

#: Messages that controllers only receive.
HEARTBEATS = {
    "report-all-fields": WorkerHeartbeat(
        machine="host-000231",
        address="10.1.0.232:9000",
        type="g8",
        zone="a",
        spot=True,
        session=1,
        sequence=88,
        token=41,
        notice_s=29.5,
        tasks=[
            TaskStatus(task="j-000412/3", attempt=2, state="running"),
            TaskStatus(task="j-000398/0", attempt=1, state="ended", cause="stopped", saved=True),
        ],
    ),
    "report-of-an-empty-machine": WorkerHeartbeat(
        machine="host-000232",
        address="10.1.0.233:9000",
        type="g8",
        zone="b",
        spot=False,
        session=2,
        sequence=1,
        token=0,
    ),
}
#: Messages that controllers only send.
ANSWERS = {
    "commands": Commands(
        token=41,
        commands=[
            Command(op="start", task="j-000412/4", attempt=2),
            Command(op="stop", task="j-000377/1", attempt=1, grace_s=10.0),
            Command(op="forget", task="j-000398/0", attempt=3),
        ],
    ),
    "no-commands": Commands(token=41, commands=[]),
    "redirect": Redirect(report_to="drummer-2"),
    "redirect-anywhere": Redirect(),
}
ENUM_VALUES = {
    "task-states": (
        [
            TaskState.FETCHING,
            TaskState.WAITING,
            TaskState.RUNNING,
            TaskState.SAVING,
            TaskState.ENDED,
        ],
        TaskState,
    ),
    "causes": (
        [
            Cause.DONE,
            Cause.STOPPED,
            Cause.ERROR,
            Cause.FULL,
            Cause.BUSY,
            Cause.UNKNOWN,
            Cause.PEERS,
            Cause.ALONE,
        ],
        Cause,
    ),
}
OTHER_ENTRIES = {"inspect", "inspected", "report-of-an-unknown-task", "stop-an-unknown-task"}


def test_each_entry_is_covered():
    assert set(GOLDEN) == {*HEARTBEATS, *ANSWERS, *ENUM_VALUES, *OTHER_ENTRIES}


@pytest.mark.parametrize("name", HEARTBEATS)
def test_golden_heartbeats_are_read(name):
    entry = GOLDEN[name]
    assert (entry.method, entry.path) == ("POST", connection.HEARTBEAT_PATH)
    assert msgspec.json.decode(entry.data, type=WorkerHeartbeat) == HEARTBEATS[name]


@pytest.mark.parametrize("name", ANSWERS)
def test_answers_are_encoded_as_the_golden_bytes(name):
    assert msgspec.json.encode(ANSWERS[name]) == GOLDEN[name].data


@pytest.mark.parametrize("name", ENUM_VALUES)
def test_enum_values_are_the_golden_ones(name):
    values, enum = ENUM_VALUES[name]
    assert values == list(enum)
    assert msgspec.json.encode(values) == GOLDEN[name].data


async def test_a_leader_stops_an_unknown_task_on_an_unknown_machine():
    """Neither the machine nor its task is known, so the answer stops the task."""
    cluster = await led_cluster(1, members=("drummer-0",))
    expected = GOLDEN["stop-an-unknown-task"]
    serve = cluster.network.services["drummer-0"]
    reply = await serve("worker", *as_sent(GOLDEN["report-of-an-unknown-task"]))
    assert (reply.status, reply.body) == (expected.status, expected.data)


async def test_a_follower_redirects_a_heartbeat():
    cluster = await led_cluster(1, reach=False)
    leader = cluster.leader()
    follower = next(member for member in cluster.members if member != leader)
    serve = cluster.network.services[follower]
    reply = await serve("worker", *as_sent(GOLDEN["report-of-an-unknown-task"]))
    expected = GOLDEN["redirect"]
    assert reply.status == expected.status
    assert reply.body == expected.data.replace(b"drummer-2", leader.encode())


def test_a_probe_sends_the_golden_request(monkeypatch):
    caller = RecordingCaller([GOLDEN["inspected"]])
    monkeypatch.setattr(process, "PooledClient", lambda host, port, max_idle: caller)
    assert asyncio.run(process.probe_worker("10.1.0.232:9000", seconds(1)))
    assert caller.sent == [as_sent(GOLDEN["inspect"])]
