"""Golden bytes of messages between controllers, which are in CBOR."""

from datetime import timedelta
from typing import get_args

import pytest

from dappledrum.election.messages import (
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    PreVoteReply,
    TransferLeadership,
    TransferLeadershipReply,
)
from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import RecordingCaller, as_sent
from dappledrum.peers.client import Peers
from dappledrum.peers.heartbeat_messages import (
    ForwardedHeartbeats,
    ForwardedHeartbeatsReply,
    PeerHeartbeat,
    PeerHeartbeats,
    PeerHeartbeatsReply,
)
from dappledrum.peers.messages import (
    HeartbeatAttemptsReply,
    HeartbeatAttemptsRequest,
    HoldsTermReply,
    HoldsTermRequest,
    LeaseGrantCall,
    PeerReply,
    PeerRequest,
    Relay,
    RelayReply,
    VersionReply,
    VersionRequest,
    decode,
    encode,
)
from dappledrum.simulation.cluster import led_cluster

GOLDEN = load("controllers")
SECOND = timedelta(seconds=1)

FULL_HEARTBEAT = PeerHeartbeat(
    member="drummer-0",
    incarnation=1764000000000,
    uptime_ms=81234,
    age_ms=12,
    unpaused_ms=80000,
    epoch=7,
    leader="drummer-1",
    leads=True,
    term_ms=70000,
    store_delay_ms=15,
    store_response_age_ms=16,
    cloud_delay_ms=17,
    heartbeat_ages_ms={"a": 21, "b": 22},
    probe_ages_ms={"a": 31, "b": 32},
    unreachable_zones=["c"],
    probe_addresses={"a": ["10.1.0.232:9000"]},
)
SHORT_HEARTBEAT = PeerHeartbeat(
    member="drummer-2", incarnation=1764000000001, uptime_ms=5, age_ms=6, unpaused_ms=4
)

REQUESTS = {
    "relay": Relay(method="POST", path="/submissions", body=b'{"id":"j-000007"}'),
    "report-attempts": HeartbeatAttemptsRequest(within_ms=10000),
    "promise": LeaseGrantCall(
        request=LeaseGrantRequest(
            member="drummer-1", epoch=7, grant_ms=2000, confirmed_span_ms=45000
        )
    ),
    "version": VersionRequest(),
    "holding": HoldsTermRequest(),
    "heartbeats": PeerHeartbeats(own=FULL_HEARTBEAT, relayed=[SHORT_HEARTBEAT]),
    "heartbeats-none-heard": PeerHeartbeats(own=SHORT_HEARTBEAT),
    "forwarded-reports": ForwardedHeartbeats(heartbeats=[b'{"drum":"host-000231"}', b"{}"]),
    "transfer-leadership": TransferLeadership(
        member="drummer-1",
        epoch=7,
        version=412,
        transfer_ages_ms=[1000, 60000],
        others_stopped=True,
    ),
    "pre-vote": PreVote(member="drummer-1", epoch=8),
}
REPLIES = {
    "relay-reply": RelayReply(status=503, body=b'{"error":"try again"}', retry_after=2),
    "relay-reply-at-once": RelayReply(status=200, body=b"{}"),
    "report-attempts-reply": HeartbeatAttemptsReply(machines={"host-000231": 2, "host-000232": 1}),
    "promise-reply": LeaseGrantReply(
        granted=True,
        reason="why",
        weak=True,
        cancelled=["j-000003", "j-000004"],
        confirmed_span_ms=45000,
    ),
    "promise-refused": LeaseGrantReply(granted=False, reason="state service reached"),
    "version-reply": VersionReply(version="0.7.0"),
    "holding-reply": HoldsTermReply(holds=True, quiet_ms=0),
    "holding-reply-unknown": HoldsTermReply(holds=False),
    "heartbeats-reply": PeerHeartbeatsReply(own=FULL_HEARTBEAT, relayed=[SHORT_HEARTBEAT]),
    "forwarded-reports-reply": ForwardedHeartbeatsReply(answers=[b'{"baton":7,"calls":[]}', None]),
    "transfer-leadership-reply": TransferLeadershipReply(leads=True),
    "pre-vote-reply": PreVoteReply(free=True),
}
#: By request: the call that sends it, the reply, and the result of the call.
CALLS = {
    "relay": (
        lambda peers: peers.relay("drummer-1", REQUESTS["relay"], SECOND),
        "relay-reply",
        REPLIES["relay-reply"],
    ),
    "report-attempts": (
        lambda peers: peers.heartbeat_attempts(timedelta(seconds=10), SECOND),
        "report-attempts-reply",
        {"host-000231": 2, "host-000232": 1},
    ),
    "promise": (
        lambda peers: peers.is_served("drummer-1", REQUESTS["promise"].request, SECOND),
        "promise-refused",
        True,
    ),
    "version": (lambda peers: peers.version("drummer-1", SECOND), "version-reply", "0.7.0"),
    "holding": (lambda peers: peers.no_term_held(SECOND), "holding-reply-unknown", True),
    "heartbeats": (
        lambda peers: peers.heartbeats("drummer-1", REQUESTS["heartbeats"], SECOND),
        "heartbeats-reply",
        REPLIES["heartbeats-reply"],
    ),
    "forwarded-reports": (
        lambda peers: peers.forward_heartbeats(
            "drummer-1", [b'{"drum":"host-000231"}', b"{}"], SECOND
        ),
        "forwarded-reports-reply",
        [b'{"baton":7,"calls":[]}', None],
    ),
    "transfer-leadership": (
        lambda peers: peers.transfer_leadership(
            "drummer-1", REQUESTS["transfer-leadership"], SECOND
        ),
        "transfer-leadership-reply",
        True,
    ),
}


def test_each_entry_is_covered():
    assert set(GOLDEN) == {*REQUESTS, *REPLIES}


def test_each_kind_of_message_has_an_entry():
    assert {type(message) for message in REQUESTS.values()} == set(get_args(PeerRequest))
    assert {type(message) for message in REPLIES.values()} == set(get_args(PeerReply))


@pytest.mark.parametrize("name", REQUESTS)
def test_requests_are_encoded_as_the_golden_bytes(name):
    entry = GOLDEN[name]
    assert encode(REQUESTS[name]) == entry.data
    assert decode(entry.data, PeerRequest) == REQUESTS[name]


@pytest.mark.parametrize("name", REPLIES)
def test_replies_are_encoded_as_the_golden_bytes(name):
    entry = GOLDEN[name]
    assert encode(REPLIES[name]) == entry.data
    assert decode(entry.data, type(REPLIES[name])) == REPLIES[name]


@pytest.mark.parametrize("name", CALLS)
async def test_calls_send_the_golden_requests_and_read_the_golden_replies(name):
    call, reply, expected = CALLS[name]
    caller = RecordingCaller([GOLDEN[reply]])
    assert await call(Peers({"drummer-1": caller})) == expected
    assert caller.sent == [as_sent(GOLDEN[name])]


async def test_a_lease_grant_counts_with_its_confirmed_cancellations():
    caller = RecordingCaller([GOLDEN["promise-reply"]])
    answers = await Peers({"drummer-1": caller}).request_lease_grants(
        REQUESTS["promise"].request, SECOND
    )
    assert caller.sent == [as_sent(GOLDEN["promise"])]
    assert (answers.agreed, answers.strong) == (1, 0)
    assert answers.confirmed.cancelled == {"j-000003", "j-000004"}
    assert answers.confirmed.span == timedelta(seconds=45)


async def test_a_candidate_sends_the_golden_pre_vote():
    caller = RecordingCaller([GOLDEN["pre-vote-reply"]])
    answers = await Peers({"drummer-1": caller}).pre_vote(REQUESTS["pre-vote"], SECOND)
    assert caller.sent == [as_sent(GOLDEN["pre-vote"])]
    assert answers.agreed == 1


async def test_a_leader_answers_requests_on_its_address_for_peers():
    cluster = await led_cluster(1, members=("drummer-0",))
    request, expected = GOLDEN["holding"], GOLDEN["holding-reply"]
    serve = cluster.network.services["back-drummer-0"]
    reply = await serve("drummer-1", *as_sent(request))
    assert (reply.status, reply.body) == (expected.status, expected.data)
