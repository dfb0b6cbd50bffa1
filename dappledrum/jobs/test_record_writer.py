"""Order of the record writer's changes when the write rate is scarce."""

import asyncio
import random
from datetime import timedelta

import msgspec

from dappledrum.election.terms import Term
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.jobs.record_batch import RecordBatch
from dappledrum.jobs.record_writer import (
    MAX_COMMIT_DELAY,
    REFUSED_RETRY_INTERVAL,
    RecordWriter,
)
from dappledrum.settings import StoreLimits
from dappledrum.simulation.cluster import job
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import TooLargeError
from dappledrum.store.messages import Delete
from dappledrum.store.rate_limiter import RateLimiter
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock


class NearlyExhaustedStore(StoreClient):
    """A store that accepts every transaction, with a request budget that is nearly used up."""

    def __init__(self, limits, clock):
        super().__init__(None, limits, clock, random.Random(1))
        self.budget.write_limiter = RateLimiter(20.0, clock.now())
        self.budget.write_limiter.consume(14, clock.now())
        self.written = []

    async def commit(self, guards, changes, priority, timeout=None):
        self.budget.write_limiter.consume(len(changes), self.budget.clock.now())
        self.written.append((self.budget.clock.now(), [change.key for change in changes]))
        return 100 + len(self.written)


def live_job(number):
    spec = {key: value for key, value in job(number).items() if key != "runS"}
    return Job(JobRecord(msgspec.convert(spec, Spec), 1_700_000_000_000, 256, PageRecord()), 1)


class SelectiveStore(StoreClient):
    """A store that refuses every transaction with a value of some keys, and accepts all others."""

    def __init__(self, limits, clock, refused_keys):
        super().__init__(None, limits, clock, random.Random(1))
        self.refused_keys = refused_keys
        self.written = []
        self.refusals = 0

    async def commit(self, guards, changes, priority, timeout=None):
        keys = {change.key for change in changes}
        if keys & self.refused_keys:
            self.refusals += 1
            raise TooLargeError("the store refused a value")
        self.written += sorted(keys)
        return 100 + len(self.written)


async def test_a_refused_record_keeps_no_other_from_being_stored(caplog):
    """Guards against a leader that writes nothing any more, as the store refuses one record: all
    that was written with it was refused with it, again and again."""
    clock = Clock()
    limits = StoreLimits(100, 100, 8, 24)
    jobs = [live_job(number) for number in range(4)]
    store = SelectiveStore(limits, clock, {"job/j-000001", "ended/j-000002"})
    record_writer = RecordWriter(store, Term(1, 1, 1), limits, ValueLimit(limits), clock)
    for running_job in jobs[:2]:
        running_job.page(0).place(0, "host-1", 1, "a", clock.utc_now())
    for ended_job in jobs[2:]:
        ended_job.cancelled = True
    for changed_job in jobs:
        record_writer.mark_dirty(changed_job.page(0))
    assert record_writer.unstored_start_count() == 2
    writing = asyncio.create_task(record_writer.run())
    await asyncio.sleep(2)
    assert store.written == ["job/j-000000", "ended/j-000003", "job/j-000003"]
    assert store.refusals == 3  # of all together, and of two alone
    assert "job/j-000001 is not stored, the store refuses it: the store refused" in caplog.text
    assert not record_writer.has_unstored_changes()
    assert record_writer.unstored_start_count() == 0
    store.refused_keys.clear()
    await asyncio.sleep(REFUSED_RETRY_INTERVAL.total_seconds())
    writing.cancel()
    assert sorted(store.written[3:]) == ["ended/j-000002", "job/j-000001", "job/j-000002"]
    assert not record_writer.dirty


def test_surplus_parts_are_removed_in_several_transactions():
    """Guards against a page that can't be written any more, since the removal of its former parts
    takes more changes than a transaction may have."""
    limits = StoreLimits(100, 100, 8, 4)
    page = live_job(1).page(0)
    page.parts = 10
    removed = []
    for _ in range(4):
        batch = RecordBatch(limits, ValueLimit(limits))
        assert batch.add_page(page)
        assert len(batch.changes) <= limits.txn_ops
        removed += [change.key for change in batch.changes if isinstance(change, Delete)]
        batch.mark_stored(7)
    assert sorted(removed) == [f"rows/j-000001/0/{number}" for number in range(10)]
    assert page.parts == 0


def test_starts_do_not_queue_behind_ends_of_tasks():
    """Guards against writing every end of a task at once: with a hundred live jobs, that used the
    whole write rate, and a start waited seconds for its record."""

    async def main():
        clock = Clock()
        limits = StoreLimits(100, 20, 8, 24)
        store = NearlyExhaustedStore(limits, clock)
        record_writer = RecordWriter(store, Term(1, 1, 1), limits, ValueLimit(limits), clock)
        jobs = [live_job(number) for number in range(12)]
        for running_job in jobs[:-1]:
            running_job.page(0).finish(0)
            record_writer.mark_dirty(running_job.page(0))
        jobs[-1].page(0).place(0, "host-1", 1, "a", clock.utc_now())
        record_writer.mark_dirty(jobs[-1].page(0))
        writing = asyncio.create_task(record_writer.run())
        began = clock.now()
        await asyncio.sleep(0.05)
        assert [keys for _, keys in store.written] == [["job/j-000011"]]
        await asyncio.sleep((MAX_COMMIT_DELAY * 2).total_seconds())
        writing.cancel()
        assert sorted(key for _, keys in store.written for key in keys) == sorted(
            f"job/{written_job.id}" for written_job in jobs
        )
        assert all(at - began < MAX_COMMIT_DELAY + timedelta(seconds=1) for at, _ in store.written)
        assert not record_writer.dirty

    run(main())
