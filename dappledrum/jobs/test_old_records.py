"""Compatibility with version 0.2.0: its records are read here, and it can read new ones.

The structures below reproduce how that version decoded and encoded records, reduced to what the
tests need. That version dropped unknown fields when it rewrote a record.
"""

import cbor2
import msgspec

from dappledrum.election.messages import EpochRecord, LeaderRecord, LeaseGrantReply
from dappledrum.fleet.messages import Catalog, FleetRecord
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import EndedRecord, JobRecord, Outcome, PageRecord
from dappledrum.jobs.page_encoding import page_changes
from dappledrum.peers.messages import (
    HeartbeatAttemptsReply,
    HeartbeatAttemptsRequest,
    LeaseGrantCall,
    PeerRequest,
    Relay,
    RelayReply,
)
from dappledrum.peers.messages import decode as decode_peer
from dappledrum.simulation.cluster import job

HEAD = (
    b'{"spec":{"id":"j-000007","pattern":"plain","crew":"blue","form":"batch",'
    b'"urgency":"standard","beats":300,"vcpus":2.0,"accelerators":0.0,"memGb":2.0,'
    b'"skin":"img-1","pullGb":0.5,"oneZone":false,"spread":false,"loaners":true,'
    b'"expectedS":6.0,"markEveryS":0.0,"markTakeS":0.0,"builds":["small"],"hall":null,'
    b'"dueS":120.0},"at_ms":1764000000000,"size":256,"page":[4,"5",[],"host-0000",["a","b"],'
    b'[["11",1,0,[3,1,2,4,2,2]],["12",2,1,[7,3,4]]]],"cancelled":false,"done":2,"running":3}'
)
PAGE = b'[2,"0",[],"host-000013",["a"],[["",1,0,[0,1,9]]]]'
PAGE_OF_0_1 = b'[2,"1",[["host-000013",1,"a",[[0,1,9]]]]]'
ENDED = b'{"state":"cancelled","tasks":4}'


class OldSpec(msgspec.Struct):
    id: str
    pattern: str
    crew: str
    form: str
    urgency: str
    beats: int
    vcpus: float
    accelerators: float
    memGb: float  # noqa: N815
    skin: str
    pullGb: float  # noqa: N815
    oneZone: bool  # noqa: N815
    spread: bool
    loaners: bool
    expectedS: float  # noqa: N815
    markEveryS: float  # noqa: N815
    markTakeS: float  # noqa: N815
    builds: list[str] | None = None
    hall: str | None = None
    dueS: float | None = None  # noqa: N815


class OldPage(msgspec.Struct, array_like=True):
    attempt: int = 1
    done: str = "0"
    places: list[tuple[str, int, str, list[tuple[int, int, int]]]] = []
    prefix: str = ""
    zones: list[str] = []
    rows: list[tuple[str, int, int, list[int]]] = []


class OldHead(msgspec.Struct):
    spec: OldSpec
    at_ms: int
    size: int
    page: OldPage
    cancelled: bool = False
    done: int = 0
    running: int = 0


class OldEnded(msgspec.Struct):
    state: str
    tasks: int


def rewritten(value, kind):
    """The value after the old version has read and rewritten it."""
    return msgspec.json.encode(msgspec.json.decode(value, type=kind))


def loaded(head, page):
    result = Job(msgspec.json.decode(head, type=JobRecord), 3)
    result.add_page(1, msgspec.json.decode(page, type=PageRecord), 4)
    return result


def job_state(live):
    attempts = {
        (p.task, p.attempt, p.machine, p.session, p.zone, p.placed_at) for p in live.placements()
    }
    pages = {index: (page.attempt, page.done) for index, page in live.pages.items()}
    return live.spec, live.accepted_at, live.page_size, live.cancelled, live.done, attempts, pages


def test_old_records_are_read_and_rewritten_without_loss_by_both_versions():
    for page in (PAGE, PAGE_OF_0_1):
        live = loaded(HEAD, page)
        assert live.placement_count() == 4
        assert live.page(0).done == 5
        assert live.spec.types == ["small"]
        assert not live.unmet_dependencies
        assert live.released_at == live.accepted_at
        [head] = page_changes(live.page(0), 8192, 8192)
        [further] = page_changes(live.page(1), 8192, 8192)
        reloaded = loaded(rewritten(head.value, OldHead), rewritten(further.value, OldPage))
        assert job_state(reloaded) == job_state(live)


def test_an_old_controller_that_cancels_a_job_loses_none_of_its_state():
    """The old version reads the head, marks it as cancelled, and writes it again."""
    live = loaded(HEAD, PAGE)
    [head] = page_changes(live.page(0), 8192, 8192)
    old = msgspec.json.decode(head.value, type=OldHead)
    old.cancelled = True
    reloaded = loaded(msgspec.json.encode(old), PAGE)
    live.cancelled = True
    assert job_state(reloaded) == job_state(live)


def test_final_states_are_compatible_in_both_directions():
    ended = msgspec.json.decode(ENDED, type=EndedRecord)
    assert (ended.state, ended.tasks, ended.at_ms) == (Outcome.CANCELLED, 4, None)
    new = msgspec.json.encode(EndedRecord(Outcome.DONE, 7, 1_764_000_000_000))
    old = msgspec.json.decode(rewritten(new, OldEnded), type=OldEnded)
    assert (old.state, old.tasks) == ("done", 7)


def test_the_old_version_decodes_and_reencodes_a_new_job_without_loss():
    """New records omit default values and have smaller pages."""
    spec = {key: value for key, value in job(9).items() if key != "runS"}
    record = msgspec.convert({"spec": spec, "at_ms": 5, "size": 45, "page": [1, "0"]}, JobRecord)
    old = msgspec.json.decode(msgspec.json.encode(record), type=OldHead)
    assert msgspec.json.decode(msgspec.json.encode(old), type=JobRecord) == record


def test_other_old_records_and_messages_are_still_decoded():
    leader = msgspec.json.decode(b'{"member":"n-1","epoch":7}', type=LeaderRecord)
    assert (leader.member, leader.epoch) == ("n-1", 7)
    assert msgspec.json.decode(b'{"epoch":7}', type=EpochRecord).epoch == 7
    fleet = b'{"booting":[[["host-000001"],"small","a",true,1764000000000]]}'
    assert msgspec.json.encode(msgspec.json.decode(fleet, type=FleetRecord)) == fleet
    catalog = (
        b'{"builds":[{"label":"small","vcpus":4.0,"accelerators":0.0,"memGb":16.0,"cacheGb":20.0,'
        b'"fetchGbPerS":1.0,"hourly":0.3,"readyS":8.0,"halls":["a"],"marketPrice":0.1}]}'
    )
    assert msgspec.json.decode(catalog, type=Catalog).types[0].name == "small"
    requests = [
        ({"kind": "relay", "method": "GET", "path": "/x", "body": b""}, Relay),
        ({"kind": "knocks", "within_ms": 10}, HeartbeatAttemptsRequest),
        (
            {"kind": "promise", "request": {"member": "n", "epoch": 3, "for_ms": 2000}},
            LeaseGrantCall,
        ),
    ]
    for message, kind in requests:
        assert isinstance(decode_peer(cbor2.dumps(message), PeerRequest), kind)
    replies = [
        ({"status": 200, "body": b"{}", "retry_after": None}, RelayReply),
        ({"machines": {"host-000001": 2}}, HeartbeatAttemptsReply),
        ({"granted": False, "reason": "why"}, LeaseGrantReply),
    ]
    for message, kind in replies:
        assert isinstance(decode_peer(cbor2.dumps(message), kind), kind)
