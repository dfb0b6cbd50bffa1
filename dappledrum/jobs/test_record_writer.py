"""Order of the record writer's changes when the write rate is scarce."""

import asyncio
import random
from datetime import timedelta

import msgspec

from dappledrum.election.terms import Term
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.jobs.record_writer import MAX_COMMIT_DELAY, RecordWriter
from dappledrum.settings import StoreLimits
from dappledrum.simulation.cluster import job
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
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
