"""Golden bytes of requests of users and of the responses to them."""

import asyncio
import json

import msgspec
import pytest

from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import as_sent
from dappledrum.jobs.messages import Form, Outcome, Priority, Spec, StatusResponse
from dappledrum.simulation.cluster import led_cluster
from dappledrum.user_api.responses import answer, busy, refusal

GOLDEN = load("users")

#: Messages that controllers only receive.
SUBMISSIONS = {
    "submission-all-fields": Spec(
        id="j-000412",
        job_class="train",
        team="vision",
        form=Form.GANG,
        priority=Priority.HIGH,
        tasks=16,
        cpus=8.0,
        gpus=1.0,
        memory_gb=64.0,
        image="img-07",
        image_gb=6.2,
        types=["g8"],
        zone="a",
        one_zone=True,
        spread=False,
        spot=True,
        estimate_s=240.0,
        checkpoint_s=30.0,
        save_s=4.0,
        deadline_s=900.0,
        needs=["j-000410", "j-000411"],
    ),
    "submission-with-nulls": Spec(
        id="j-000413",
        job_class="web",
        team="ads",
        form=Form.SERVICE,
        priority=Priority.PRODUCTION,
        tasks=9,
        cpus=2.0,
        gpus=0.0,
        memory_gb=4.0,
        image="img-08",
        image_gb=0.5,
        one_zone=False,
        spread=True,
        spot=False,
        estimate_s=0.0,
        checkpoint_s=0.0,
        save_s=0.0,
    ),
}
#: Messages that controllers only send.
RESPONSES = {
    "answer-running": answer(
        200, StatusResponse(id="j-000412", state=Outcome.RUNNING, done=3, running=13)
    ),
    "answer-pending": answer(201, StatusResponse(id="j-000412", state=Outcome.QUEUED)),
    "answer-done": answer(
        200, StatusResponse(id="j-000412", state=Outcome.DONE, done=16, running=0)
    ),
    "answer-cancelled": answer(200, StatusResponse(id="j-000412", state=Outcome.CANCELLED)),
    "try-again": busy(2),
    "refused": refusal(422, "unknown team nobody"),
}
ENUM_VALUES = {
    "forms": ([Form.ARRAY, Form.SERVICE, Form.GANG], Form),
    "priorities": (
        [Priority.PRODUCTION, Priority.HIGH, Priority.NORMAL, Priority.LOW],
        Priority,
    ),
    "states": (
        [Outcome.QUEUED, Outcome.RUNNING, Outcome.DONE, Outcome.CANCELLED],
        Outcome,
    ),
}
#: Requests to a controller and its responses, sent one after the other without a pause.
FIRST_EXCHANGES = [
    ("ask-whether-ready", "ready"),
    ("poll-first", "unknown-job"),
    ("cancel-first", "unknown-job"),
    ("submit-for-unknown-team", "refused"),
    ("submit-with-wrong-method", "use-post"),
    ("unknown-path", "no-such-path"),
    ("submit-first", "first-accepted"),
    ("submit-first", "first-known"),
    ("poll-first", "first-known"),
    ("cancel-first", "first-cancelled"),
    ("cancel-first", "first-cancelled"),
    ("submit-second", "second-accepted"),
]
#: Sent later, when the first job has been removed and the second one is done.
LATER_EXCHANGES = [
    ("poll-first", "first-gone"),
    ("submit-first", "first-gone"),
    ("cancel-first", "first-cancelled"),
    ("poll-second", "second-done"),
    ("submit-second", "second-done"),
    ("cancel-second", "second-stays-done"),
]


def test_each_entry_is_covered():
    conversation = {name for exchange in (*FIRST_EXCHANGES, *LATER_EXCHANGES) for name in exchange}
    assert set(GOLDEN) == {*SUBMISSIONS, *RESPONSES, *ENUM_VALUES, *conversation}


@pytest.mark.parametrize("name", SUBMISSIONS)
def test_golden_submissions_are_read(name):
    assert msgspec.json.decode(GOLDEN[name].data, type=Spec) == SUBMISSIONS[name]


@pytest.mark.parametrize("name", RESPONSES)
def test_responses_are_encoded_as_the_golden_bytes(name):
    response, entry = RESPONSES[name], GOLDEN[name]
    assert (response.status, response.body) == (entry.status, entry.data)


@pytest.mark.parametrize("name", ENUM_VALUES)
def test_enum_values_are_the_golden_ones(name):
    values, enum = ENUM_VALUES[name]
    assert values == list(enum)
    assert msgspec.json.encode(values) == GOLDEN[name].data


async def test_a_controller_answers_users_with_the_golden_responses():
    cluster = await led_cluster(1, members=("drummer-0",))
    serve = cluster.network.services["drummer-0"]
    for name in ("submit-first", "submit-second"):
        spec = json.loads(GOLDEN[name].data) | {"runS": 6.0}
        cluster.rules.submitted(spec, asyncio.get_running_loop().time())
    for exchanges in (FIRST_EXCHANGES, LATER_EXCHANGES):
        for request, expected in exchanges:
            reply = await serve("user", *as_sent(GOLDEN[request]))
            assert (reply.status, reply.body) == (GOLDEN[expected].status, GOLDEN[expected].data)
        await cluster.wait(60)
