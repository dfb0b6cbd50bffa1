"""Heads that a leader writes in parts, while transactions are executed late."""

import asyncio
import json
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.election.terms import LEADER_KEY, Term
from dappledrum.http.client import NoResponseError
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key, page_key, rows_key
from dappledrum.jobs.messages import JobRecord, MachineRow, PageRecord, RowsRecord, Spec
from dappledrum.jobs.page_encoding import load_rows
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.model.stored_heads import JOB, contents, contents_of, heads
from dappledrum.settings import StoreLimits
from dappledrum.simulation.cluster import job as submission
from dappledrum.simulation.key_value_store import KeyValueStore
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock

OLD_BYTES = 8 * 1024
MACHINE = "host-000001"
MAX_WAIT_S = 50


def limits_of(value_kb, txn_ops):
    return StoreLimits(rps=200.0, write_rps=100.0, value_kb=value_kb, txn_ops=txn_ops)


#: A head of the old size fits into the values of one transaction.
limits = st.sampled_from([(1.0, 16), (2.0, 8), (3.0, 6), (8.0, 4)]).map(
    lambda pair: limits_of(*pair)
)
#: A head of the old size takes more values than one transaction changes.
tight_limits = st.sampled_from([(1.0, 4), (1.0, 6), (2.0, 3)]).map(lambda pair: limits_of(*pair))
#: After how many further transactions one without an answer is executed; None: at once.
delays = st.lists(st.none() | st.integers(1, 4), max_size=8)
#: By task: it is taken from its machine and completes, or is placed on another one.
changes = st.lists(st.tuples(st.booleans(), st.integers(0, 255)), max_size=12)


class LateStore:
    """A connection to a store that executes some transactions late and without an answer."""

    def __init__(self, store, drawn_delays):
        self.store = store
        self.delays = list(drawn_delays)
        self.late = []

    async def request(self, method, path, body, timeout):
        if path != "/multi":
            return await self.store("controller", method, path, body or b"")
        for transaction in list(self.late):
            transaction[0] -= 1
            if transaction[0] <= 0:
                self.late.remove(transaction)
                self.store.run_transaction(json.loads(transaction[1]))
        delay = self.delays.pop(0) if self.delays else None
        if delay is not None:
            self.late.append([delay, body])
            raise NoResponseError("executed later")
        return self.store.run_transaction(json.loads(body))


def change(page, completes, offset):
    """Change the progress of one task of the page, if it has that many."""
    task = page.first + offset % page.count
    if completes:
        page.remove(task)
        page.finish(task)
    elif task in page.placements:
        page.remove(task)
        page.place(task, MACHINE, 2, "keskusta", page.job.accepted_at)


def leader_of(record, store_limits, drawn_delays):
    """A store with a leader's key and the head of a job; returns the leader's record writer, the
    job and the store."""
    store = KeyValueStore()
    value = json.loads(msgspec.json.encode(record))
    puts = [{"write": LEADER_KEY, "value": {}}, {"write": head_key(JOB), "value": value}]
    store.run_transaction({"guards": [], "then": puts})
    store.value_bytes, store.txn_ops = store_limits.value_bytes, store_limits.txn_ops
    clock = Clock()
    client = StoreClient(LateStore(store, drawn_delays), store_limits, clock, random.Random(1))
    term = Term(1, store.revision, 1)
    writer = RecordWriter(client, term, store_limits, ValueLimit(store_limits), clock)
    return writer, Job(record, store.revision), store


async def write_as_leader(record, store_limits, drawn_delays, drawn_changes, index=0):
    """Change the progress of a page of a job step by step, as its leader; returns the record
    writer, the job and the store."""
    writer, job, store = leader_of(record, store_limits, drawn_delays)
    page = job.page(index)
    for task in range(page.first, page.first + page.count) if index else ():
        page.place(task, f"host-{37 * task:06d}", 1, "keskusta", job.accepted_at)
    writing = asyncio.create_task(writer.run())
    for completes, offset in [(False, 0), *drawn_changes]:
        change(page, completes, offset)
        page.bump_revision()
        writer.mark_dirty(page)
        await asyncio.sleep(0.3)
    for _ in range(MAX_WAIT_S):
        if not writer.dirty and not writer.ending:
            break
        await asyncio.sleep(1)
    writing.cancel()
    return writer, job, store


def contents_of_page(page):
    rows = {(p.task, p.attempt, p.machine, p.session) for p in page.placements.values()}
    return page.done, page.attempt, rows


def check_stored(writer, job, store):
    assert not writer.dirty
    assert not store.too_large
    if not job.finished:
        values = {key: msgspec.json.encode(entry[0]) for key, entry in store.keys.items()}
        assert contents(values) == contents_of(job)


@settings(max_examples=60, derandomize=True, deadline=None)
@given(heads(OLD_BYTES), limits, delays, changes)
def test_a_leader_stores_what_it_knows_whatever_was_executed_late(
    record, store_limits, drawn_delays, drawn_changes
):
    """Invariant: once all is written, the values of a head say what the leader knows."""
    check_stored(*run(write_as_leader(record, store_limits, drawn_delays, drawn_changes)))


@settings(max_examples=60, derandomize=True, deadline=None)
@given(heads(OLD_BYTES), tight_limits, delays, changes)
def test_a_leader_stores_a_large_head_step_by_step_whatever_was_executed_late(
    record, store_limits, drawn_delays, drawn_changes
):
    """The same if the head and its parts take several transactions."""
    check_stored(*run(write_as_leader(record, store_limits, drawn_delays, drawn_changes)))


async def test_a_leader_stores_a_head_of_more_parts_than_a_transaction_changes():
    """Guards against a job whose progress is not stored any more: a head of an earlier version
    needs more parts than one transaction may change."""
    spec = msgspec.convert(submission(57, beats=200), Spec)
    rows = [MachineRow(f"{37 * task:05d}", 1, 0, [task, task + 1, 40]) for task in range(200)]
    page = PageRecord(201, "0", [], "host-0", ["keskusta"], rows)
    record = JobRecord(msgspec.structs.replace(spec, id=JOB), 1_764_000_000_000, 256, page)
    drawn_changes = [(True, 3), (True, 100), (True, 190)]
    check_stored(*await write_as_leader(record, limits_of(1.0, 4), [], drawn_changes))


@pytest.mark.parametrize("drawn_delays", [[], [None, 2, None, 1, 3, None, 4]])
async def test_a_leader_stores_a_large_page_other_than_the_first(drawn_delays):
    """Guards against a further page that is taken for a head: its record stands alone."""
    spec = msgspec.convert(submission(57, beats=300), Spec)
    record = JobRecord(msgspec.structs.replace(spec, id=JOB), 1_764_000_000_000, 150, PageRecord())
    drawn_changes = [(True, 3), (False, 5), (True, 100)]
    writer, job, store = await write_as_leader(
        record, limits_of(1.0, 4), drawn_delays, drawn_changes, index=1
    )
    assert not writer.dirty
    assert not store.too_large
    successor = Job(record, 1)
    stored = msgspec.convert(store.keys[page_key(JOB, 1)][0], PageRecord)
    successor.add_page(1, stored, 1)
    for number in range(stored.parts):
        part = msgspec.convert(store.keys[rows_key(JOB, 1, number)][0], RowsRecord)
        load_rows(successor.page(1), part)
    assert contents_of_page(successor.page(1)) == contents_of_page(job.page(1))
