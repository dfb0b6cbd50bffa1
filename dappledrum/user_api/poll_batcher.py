"""Answers polls in batches, many of them from one request to the store.

With many small jobs there are more polls than the store accepts requests. A controller caches the
states that it has read, with their versions. One transaction that has only guards shows for dozens
of jobs whether their cached states are current. It begins after the polls that it answers have
arrived, so no user receives an older state than another controller has already returned.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Container, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import EndedRecord, JobRecord
from dappledrum.jobs.stored_job import LiveRecord, StoredJob
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, RateLimitedError, StoreError
from dappledrum.store.hedged_commit import commit_idempotent
from dappledrum.store.messages import Guard
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)

MAX_TRACKED_JOBS = 4_000  # live jobs with a cached state; also jobs with waiting polls
MIN_BATCH_DELAY = timedelta(milliseconds=10)  # polls that arrive within it share a read
MAX_BATCH_DELAY = timedelta(milliseconds=300)  # when the share of the request rate is used up
REQUEST_TIMEOUT = timedelta(seconds=1)
MAX_CONCURRENT_BATCHES = 3  # so that a read that hangs does not delay all other polls
MAX_SINGLE_READS = 2  # more jobs are read from the list of all live ones


class LiveStatus(NamedTuple):
    """The state of a live job that is shown to users."""

    cancelled: bool
    done: int
    running: int


PollAnswer = LiveStatus | EndedRecord | None


def live_status(record: JobRecord) -> LiveStatus:
    """Return the part of a record that is shown to users."""
    return LiveStatus(record.cancelled, record.done, record.running)


class PollBatcher:
    """Waiting polls, and cached states of live jobs."""

    def __init__(
        self,
        store: StoreClient,
        max_guards: int,
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]],
        find_many: Callable[[set[str]], Awaitable[dict[str, LiveRecord]]],
        find_ended: Callable[[str, RequestPriority], Awaitable[EndedRecord | None]],
    ) -> None:
        self.store = store
        self.max_guards = max_guards
        self.find = find
        self.find_many = find_many
        self.find_ended = find_ended
        self.cached: OrderedDict[str, tuple[LiveStatus, int]] = OrderedDict()
        self.waiting: dict[str, asyncio.Future[PollAnswer]] = {}
        self.batches: set[asyncio.Task[None]] = set()
        self.batch_starter: asyncio.Task[None] | None = None

    def cache(self, job: str, found: LiveStatus, version: int) -> None:
        """Cache the state that a read or a write of this controller has shown."""
        before = self.cached.get(job)
        if before is None or before[1] <= version:
            self.cached[job] = (found, version)
            self.cached.move_to_end(job)
            while len(self.cached) > MAX_TRACKED_JOBS:
                self.cached.popitem(last=False)

    async def ask(self, job: str) -> PollAnswer:
        """Return the state of a job, from a read that begins after this call."""
        wait = self.store.budget.queueing_delay(RequestPriority.POLL)
        if wait > REQUEST_TIMEOUT * 0.8 or len(self.waiting) > MAX_TRACKED_JOBS:
            raise RateLimitedError
        answer = self.waiting.get(job)
        if answer is None:
            answer = self.waiting[job] = asyncio.get_running_loop().create_future()
        if self.batch_starter is None:
            self.batch_starter = asyncio.get_running_loop().create_task(self._start_batches())
        return await asyncio.shield(answer)

    async def _start_batches(self) -> None:
        """Start batches of reads for as long as polls wait."""
        try:
            while self.waiting:
                # The more of the request rate is used up, the more polls share a batch.
                used_share = (
                    1
                    - max(0.0, self.store.budget.request_limiter.level)
                    / self.store.budget.request_limiter.size
                )
                pause = MIN_BATCH_DELAY + (MAX_BATCH_DELAY - MIN_BATCH_DELAY) * used_share
                pause = max(
                    pause,
                    min(
                        self.store.budget.queueing_delay(RequestPriority.POLL), REQUEST_TIMEOUT / 2
                    ),
                )
                await asyncio.sleep(pause.total_seconds())
                if len(self.batches) >= MAX_CONCURRENT_BATCHES:
                    await asyncio.wait(self.batches, return_when=asyncio.FIRST_COMPLETED)
                batch = {}
                for job in list(self.waiting)[: self.max_guards]:
                    batch[job] = self.waiting.pop(job)
                task = asyncio.get_running_loop().create_task(self._answer_batch(batch))
                self.batches.add(task)
                task.add_done_callback(self.batches.discard)
        finally:
            self.batch_starter = None

    async def _answer_batch(self, batch: dict[str, asyncio.Future[PollAnswer]]) -> None:
        try:
            found = await self._read(set(batch))
            for job, answer in batch.items():
                if not answer.done():
                    value = found[job]
                    if isinstance(value, Exception):
                        answer.set_exception(value)
                    else:
                        answer.set_result(value)
        except Exception as error:  # every waiting poll must get an answer
            if not isinstance(error, StoreError):
                log.exception("reading for polls failed, going on")
            for answer in batch.values():
                if not answer.done():
                    answer.set_exception(StoreError(str(error)))
        for answer in batch.values():
            answer.exception()  # marks it as retrieved: the request may have ended

    async def _read(self, jobs: set[str]) -> dict[str, PollAnswer | StoreError]:
        unchanged = await self._unchanged_states({job for job in jobs if job in self.cached})
        result: dict[str, PollAnswer | StoreError] = dict(unchanged)
        missing = jobs - unchanged.keys()
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]] = self.find
        if len(missing) > MAX_SINGLE_READS:
            find = self.find_ended  # a job that is not live has ended, or does not exist
            for job, found in (await self.find_many(missing)).items():
                if isinstance(found, StoreError):
                    result[job] = found
                else:
                    result[job] = live_status(found[0])
                    self.cache(job, live_status(found[0]), found[1])
            missing -= result.keys()
        single_reads = await asyncio.gather(*(self._read_single(find, job) for job in missing))
        result.update(zip(missing, single_reads, strict=True))
        self._log_evidence(result, unchanged.keys())
        return result

    def _log_evidence(
        self, states: Mapping[str, PollAnswer | StoreError], unchanged: Container[str]
    ) -> None:
        """Log on which record each state of a live job rests."""
        if not log.isEnabledFor(logging.DEBUG):
            return
        for job, state in states.items():
            if isinstance(state, LiveStatus) and job in self.cached:
                evidence = "its version is unchanged" if job in unchanged else "read"
                version = self.cached[job][1]
                log.debug("state of live %s: %s, %s, version=%d", job, state, evidence, version)

    async def _unchanged_states(self, jobs: set[str]) -> dict[str, LiveStatus]:
        """Return the cached states of those cached jobs that have not changed since."""
        if len(jobs) < 2:
            return {}  # a read costs no more, and also shows a changed state
        expected = {job: self.cached[job] for job in jobs}
        guards = [Guard(head_key(job), version) for job, (_, version) in expected.items()]
        try:
            await commit_idempotent(self.store, guards, [], RequestPriority.POLL, REQUEST_TIMEOUT)
            failed: set[str] = set()
        except ConflictError as error:
            failed = set(error.conflicting_keys)
            if not failed:
                return {}
        result = {}
        for job, (found, version) in expected.items():
            if head_key(job) not in failed:
                result[job] = found
            elif self.cached.get(job, (found, version))[1] <= version:
                self.cached.pop(job, None)
        return result

    async def _read_single(
        self, find: Callable[[str, RequestPriority], Awaitable[StoredJob]], job: str
    ) -> PollAnswer | StoreError:
        try:
            found = await find(job, RequestPriority.POLL)
        except StoreError as error:
            return error
        if isinstance(found, tuple):
            record, version = found
            self.cache(job, live_status(record), version)
            return live_status(record)
        return found
