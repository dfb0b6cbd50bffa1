"""What is written first when the rate does not allow for everything."""

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


class Slow(StoreClient):
    """A store that takes every transaction, with a budget that is nearly used up."""

    def __init__(self, limits, clock):
        super().__init__(None, limits, clock, random.Random(1))
        self.budget.write_limiter = RateLimiter(20.0, clock.now())
        self.budget.write_limiter.consume(14, clock.now())
        self.written = []

    async def commit(self, guards, changes, priority, timeout=None):
        self.budget.write_limiter.consume(len(changes), self.budget.clock.now())
        self.written.append((self.budget.clock.now(), [change.key for change in changes]))
        return 100 + len(self.written)


def live(number):
    spec = {key: value for key, value in job(number).items() if key != "runS"}
    return Job(JobRecord(msgspec.convert(spec, Spec), 1_700_000_000_000, 256, PageRecord()), 1)


def test_starts_do_not_queue_behind_ends_of_tasks():
    """Guards against writing every end of a task at once: with a hundred live jobs that took the
    whole rate, and a start waited seconds for its record."""

    async def main():
        clock = Clock()
        limits = StoreLimits(100, 20, 8, 24)
        state = Slow(limits, clock)
        record_writer = RecordWriter(state, Term(1, 1, 1), limits, ValueLimit(limits), clock)
        jobs = [live(number) for number in range(12)]
        for one in jobs[:-1]:
            one.page(0).finish(0)
            record_writer.mark_dirty(one.page(0))
        jobs[-1].page(0).place(0, "host-1", 1, "a", clock.utc_now())
        record_writer.mark_dirty(jobs[-1].page(0))
        writing = asyncio.create_task(record_writer.run())
        began = clock.now()
        await asyncio.sleep(0.05)
        assert [keys for _, keys in state.written] == [["job/j-000011"]]
        await asyncio.sleep((MAX_COMMIT_DELAY * 2).total_seconds())
        writing.cancel()
        assert sorted(key for _, keys in state.written for key in keys) == sorted(
            f"job/{one.id}" for one in jobs
        )
        assert all(at - began < MAX_COMMIT_DELAY + timedelta(seconds=1) for at, _ in state.written)
        assert not record_writer.dirty

    run(main())
