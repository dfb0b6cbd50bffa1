"""Golden bytes of the keys and values in the store."""

import random
from types import SimpleNamespace

import msgspec
import pytest

from dappledrum.controller import catalog, peer_versions
from dappledrum.election.messages import EpochRecord, LeaderRecord
from dappledrum.election.terms import EPOCH_KEY, LEADER_KEY, TOKENS_PER_TERM
from dappledrum.fleet.fleet_facts import FLEET
from dappledrum.fleet.messages import BootingRecord, Catalog, FleetRecord, MachineType
from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import RecordingCaller, as_sent
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import (
    JOB_PREFIX,
    PAGE_PREFIX,
    ROWS_PREFIX,
    SPEC_PREFIX,
    ended_key,
    head_key,
    page_key,
    rows_key,
    spec_key,
)
from dappledrum.jobs.messages import (
    EndedRecord,
    Form,
    JobRecord,
    Outcome,
    PageRecord,
    Priority,
    RowsRecord,
    Spec,
    SpecPart,
)
from dappledrum.jobs.page_encoding import page_changes
from dappledrum.leader.advisory_records import LEARNED
from dappledrum.learning.messages import BootRow, ClassRow, LearnedRecord
from dappledrum.peers.client import Peers
from dappledrum.settings import StoreLimits
from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.store.client import StoreClient
from dappledrum.store.messages import Delete, encode_value
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock

GOLDEN = load("store")
STORE_PROTOCOL = load("state_service")

FULL_SPEC = Spec(
    id="j-000007",
    job_class="plain",
    team="blue",
    form=Form.GANG,
    priority=Priority.HIGH,
    tasks=300,
    cpus=2.0,
    gpus=1.0,
    memory_gb=3.5,
    image="img-1",
    image_gb=0.5,
    one_zone=True,
    spread=False,
    spot=True,
    estimate_s=6.0,
    checkpoint_s=30.0,
    save_s=4.0,
    types=["small", "large"],
    zone="a",
    deadline_s=120.0,
    needs=["j-000003", "j-000004"],
)
PLAIN_SPEC = Spec(
    id="j-000008",
    job_class="größe",
    team="red",
    form=Form.ARRAY,
    priority=Priority.LOW,
    tasks=3,
    cpus=0.25,
    gpus=0.0,
    memory_gb=1e-05,
    image="img/2:latest",
    image_gb=0.0,
    one_zone=False,
    spread=False,
    spot=True,
    estimate_s=1000000.0,
    checkpoint_s=0.0,
    save_s=0.0,
)
FULL_PAGE = PageRecord(
    attempt=4,
    done="5",
    legacy_rows=[("host-000013", 1, "a", [(0, 1, 9)])],
    prefix="host-00000",
    zones=["a", "b"],
    rows=[("1", 2, 0, [3, 1, 2, 4, 2, 2]), ("2", 1, 1, [7, 3, 4])],
    parts=2,
)

#: By entry: the key, the value, and the type that it is decoded as.
VALUES = {
    "job-all-fields": (
        head_key("j-000007"),
        JobRecord(
            spec=FULL_SPEC,
            at_ms=1764000000000,
            size=256,
            page=FULL_PAGE,
            cancelled=True,
            done=3,
            running=4,
            released_ms=1764000009000,
            spec_parts=2,
        ),
        JobRecord,
    ),
    "job-just-accepted": (
        head_key("j-000008"),
        JobRecord(spec=PLAIN_SPEC, at_ms=1764000000000, size=256, page=PageRecord()),
        JobRecord,
    ),
    "page-all-fields": (page_key("j-000007", 1), FULL_PAGE, PageRecord),
    "rows": (
        rows_key("j-000007", 1, 2),
        RowsRecord(prefix="host-00000", zones=["a", "b"], rows=[("1", 2, 0, [3, 1, 2])]),
        RowsRecord,
    ),
    "spec-part": (
        spec_key("j-000007", 1),
        SpecPart(types=["small", "large"], needs=["j-000003"]),
        SpecPart,
    ),
    "spec-part-types-only": (spec_key("j-000007", 0), SpecPart(types=["small"]), SpecPart),
    "ended-done": (
        ended_key("j-000007"),
        EndedRecord(state=Outcome.DONE, tasks=300, at_ms=1764000100000),
        EndedRecord,
    ),
    "ended-cancelled": (
        ended_key("j-000008"),
        EndedRecord(state=Outcome.CANCELLED, tasks=3),
        EndedRecord,
    ),
    "leader": (LEADER_KEY, LeaderRecord(member="drummer-1", epoch=7), LeaderRecord),
    "epoch": (EPOCH_KEY, EpochRecord(epoch=7), EpochRecord),
    "fleet": (
        FLEET,
        FleetRecord(
            booting=[
                BootingRecord(
                    names=["host-000001", "host-000002"],
                    type="small",
                    zone="a",
                    spot=True,
                    at_ms=1764000000000,
                )
            ]
        ),
        FleetRecord,
    ),
    "fleet-empty": (FLEET, FleetRecord(booting=[]), FleetRecord),
    "learned": (
        LEARNED,
        LearnedRecord(
            classes=[ClassRow(job_class="plain", count=12, mean=0.25, square=1.5)],
            boots=[BootRow(type="small", zone="a", spot=True, took_s=8.5, up_at_ms=1764000000000)],
        ),
        LearnedRecord,
    ),
    "learned-empty": (LEARNED, LearnedRecord(), LearnedRecord),
    "catalog": (
        catalog.CATALOG,
        Catalog(
            types=[
                MachineType(
                    name="small",
                    cpus=4.0,
                    gpus=1.0,
                    memory_gb=16.0,
                    cache_gb=20.0,
                    fetch_gb_per_s=1.25,
                    price=0.3,
                    boot_s=8.0,
                    zones=["a", "b"],
                    spot_price=0.1,
                ),
                MachineType(
                    name="large",
                    cpus=16.0,
                    gpus=0.0,
                    memory_gb=64.0,
                    cache_gb=40.0,
                    fetch_gb_per_s=1.0,
                    price=1.4,
                    boot_s=12.0,
                    zones=["a"],
                ),
            ]
        ),
        Catalog,
    ),
}
#: Written by the code under test below, not encoded from one record.
WRITTEN_BY_CODE = {
    "gangs",
    "live-head",
    "live-page",
    "live-split-head",
    "live-split-spec-0",
    "live-split-spec-1",
    "live-split-spec-2",
    "live-split-rows-0",
    "live-split-rows-1",
}
PREFIXES = {
    "prefix-jobs": (JOB_PREFIX, head_key("")),
    "prefix-pages": (PAGE_PREFIX,),
    "prefix-rows": (ROWS_PREFIX,),
    "prefix-specs": (SPEC_PREFIX,),
}


def test_each_entry_is_covered():
    assert set(GOLDEN) == {*VALUES, *WRITTEN_BY_CODE, *PREFIXES}


@pytest.mark.parametrize("name", VALUES)
def test_values_are_encoded_as_the_golden_bytes(name):
    key, value, record_type = VALUES[name]
    entry = GOLDEN[name]
    assert key == entry.key
    assert bytes(encode_value(value)) == entry.data
    assert msgspec.json.decode(entry.data, type=record_type) == value


@pytest.mark.parametrize("name", PREFIXES)
def test_key_prefixes_are_the_golden_ones(name):
    assert {GOLDEN[name].key} == set(PREFIXES[name])


def live_job():
    """The job of the entries `live-head` and `live-page`, as a new leader loads it."""
    result = Job(msgspec.json.decode(GOLDEN["live-head"].data, type=JobRecord), version=3)
    page = msgspec.json.decode(GOLDEN["live-page"].data, type=PageRecord)
    result.add_page(1, page, version=4)
    result.unmet_dependencies.clear()
    return result


def written(changes):
    return [(change.key, bytes(change.value)) for change in changes]


def golden(*names):
    return [(GOLDEN[name].key, GOLDEN[name].data) for name in names]


def test_a_leader_writes_a_live_job_exactly_as_it_has_read_it():
    job_read = live_job()
    places = {
        (
            placement.name,
            placement.attempt,
            placement.machine,
            placement.session,
            placement.zone,
            placement.placed_at.isoformat(),
        )
        for placement in job_read.placements()
    }
    assert places == {
        ("j-000007/3", 1, "host-000011", 2, "a", "2025-11-24T16:00:02+00:00"),
        ("j-000007/4", 2, "host-000011", 2, "a", "2025-11-24T16:00:05+00:00"),
        ("j-000007/7", 3, "host-000012", 1, "b", "2025-11-24T16:00:04+00:00"),
        ("j-000007/257", 1, "host-000013", 1, "a", "2025-11-24T16:00:09+00:00"),
    }
    assert [job_read.page(0).done, job_read.page(1).done] == [0b101, 0b1]
    assert written(page_changes(job_read.page(0), 8192, 8192)) == golden("live-head")
    assert written(page_changes(job_read.page(1), 8192, 8192)) == golden("live-page")


def test_a_leader_splits_a_job_that_exceeds_the_value_limit():
    """The value limit is so low that both the specification and the rows are split."""
    changes = page_changes(live_job().page(0), max_bytes=300, max_part_bytes=58)
    names = [name for name in GOLDEN if name.startswith("live-split-")]
    assert written(changes) == golden(*names)


def test_rows_that_an_earlier_write_had_split_off_are_removed():
    job_read = live_job()
    job_read.page(1).parts = 1
    [_, removal] = page_changes(job_read.page(1), 8192, 8192)
    assert removal == Delete(rows_key("j-000007", 1, 0))


async def test_support_of_gangs_by_all_controllers_is_recorded(monkeypatch):
    monkeypatch.setattr(peer_versions, "__version__", "0.7.0")
    limits = StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
    caller = RecordingCaller([STORE_PROTOCOL["key-missing"], STORE_PROTOCOL["transaction-done"]])
    store_client = StoreClient(caller, limits, Clock(), random.Random(1))
    job_api = SimpleNamespace(gangs=False)
    clients = SimpleNamespace(store=store_client, peers=Peers({}))
    await peer_versions.PeerVersions(clients, None, ValueLimit(limits), job_api).run()
    read, write = caller.sent
    assert read == ("GET", f"/keys/{GOLDEN['gangs'].key}", None)
    assert write == as_sent(STORE_PROTOCOL["write-gangs"])
    assert GOLDEN["gangs"].data in STORE_PROTOCOL["write-gangs"].data


async def test_a_controller_writes_no_other_keys():
    cluster = await led_cluster(1, members=("drummer-0",))
    await cluster.accept(job(7), job(8, form="service"))
    await cluster.wait(60)
    assert not cluster.rules.broken
    assert set(cluster.store.keys) == {
        GOLDEN[name].key
        for name in (
            *("ended-done", "job-just-accepted"),
            *("leader", "epoch", "catalog", "gangs", "fleet", "learned"),
        )
    }
    assert cluster.store.keys["leader"][0] == {"member": "drummer-0", "epoch": 1}
    assert cluster.store.keys["epoch"][0] == {"epoch": TOKENS_PER_TERM}
