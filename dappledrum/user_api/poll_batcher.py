"""Answers polls in batches, many of them from one request to the store.

With many small jobs there are more polls than the store accepts requests. A controller caches the
states that it has read, with their versions. One transaction that has only guards shows for dozens
of jobs whether their cached states are current. It begins after the polls that it answers have
arrived, so no user receives an older state than another controller has already returned.
"""

import asyncio
import logging
from collections.abc import Iterable
from datetime import timedelta

from dappledrum.jobs.messages import EndedRecord
from dappledrum.store.errors import RateLimitedError, StoreError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.user_api.dependency_check import DependencyCheck
from dappledrum.user_api.fresh_states import REQUEST_TIMEOUT, FreshStates
from dappledrum.user_api.job_heads import (
    CANCELLED_BY_DEPENDENCY,
    MAX_CACHED_JOBS,
    HeadCache,
    JobHead,
    LiveStatus,
)
from dappledrum.user_api.job_reader import JobReader

log = logging.getLogger(__name__)

MIN_BATCH_DELAY = timedelta(milliseconds=10)  # polls that arrive within it share a read
MAX_BATCH_DELAY = timedelta(milliseconds=300)  # when the share of the request rate is used up
#: For a batch, with the jobs that its jobs wait for. Users wait for 2 s.
MAX_READ_TIME = timedelta(seconds=1.5)
MAX_CONCURRENT_BATCHES = 3  # so that a read that hangs does not delay all other polls


PollAnswer = LiveStatus | EndedRecord | None


class PollBatcher:
    """Waiting polls, and the batches of reads that answer them."""

    def __init__(self, reader: JobReader, heads: HeadCache, max_guards: int) -> None:
        self.store = reader.store
        self.reader = reader
        self.heads = heads
        self.max_guards = max_guards
        self.waiting: dict[str, asyncio.Future[PollAnswer]] = {}
        self.batches: set[asyncio.Task[None]] = set()
        self.batch_starter: asyncio.Task[None] | None = None

    async def ask(self, job: str) -> PollAnswer:
        """Return the state of a job, from a read that begins after this call."""
        wait = self.store.budget.queueing_delay(RequestPriority.POLL)
        if wait > REQUEST_TIMEOUT * 0.8 or len(self.waiting) > MAX_CACHED_JOBS:
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
            await self._read_batch(batch)
        except Exception as error:  # every waiting poll must get an answer
            if not isinstance(error, StoreError):
                log.exception("reading for polls failed, going on")
            for answer in batch.values():
                if not answer.done():
                    answer.set_exception(StoreError(str(error)))
        for answer in batch.values():
            answer.exception()  # marks it as retrieved: the request may have ended

    async def _read_batch(self, batch: dict[str, asyncio.Future[PollAnswer]]) -> None:
        """Answer all polls of a batch; those of jobs that wait for no other come first."""
        began = self.reader.store.budget.clock.now()
        fresh = FreshStates(self.reader, self.heads, self.max_guards)
        check = DependencyCheck(fresh, self.heads, self.reader.ended)
        for job in self._known_as_cancelled(batch, check):
            _answer(batch[job], CANCELLED_BY_DEPENDENCY)
        jobs = {job for job, answer in batch.items() if not answer.done()}
        await self._read(jobs, fresh, check)
        waiting = []
        for job in jobs:
            state = fresh.states[job]
            if isinstance(state, JobHead) and state.may_wait:
                waiting.append(job)
            else:
                _answer(batch[job], state.status if isinstance(state, JobHead) else state)
        if waiting:
            time_left = MAX_READ_TIME - (self.reader.store.budget.clock.now() - began)
            states = await self._check_dependencies(waiting, check, fresh, time_left)
            for job, status in states.items():
                _answer(batch[job], status)

    def _known_as_cancelled(self, jobs: Iterable[str], check: DependencyCheck) -> set[str]:
        """Return those of the jobs that wait for one that is known to be cancelled, which can't
        change any more.

        A job that is cancelled itself may have run since its head was read, so it is read again.
        """
        waiting = [
            job
            for job in jobs
            if (head := self.heads.get(job)) and head.may_wait and not self.heads.is_cancelled(job)
        ]
        found = check.explore(waiting)
        return found.reached_from(found.cancelled).intersection(waiting)

    async def _read(self, jobs: set[str], fresh: FreshStates, check: DependencyCheck) -> None:
        """Read the jobs; what they wait for is verified by the same request if possible."""
        cached = {job for job in jobs if job in self.heads}
        waiting = [job for job in cached if (head := self.heads.get(job)) and head.may_wait]
        dependencies = sorted(check.explore(waiting).unread - jobs) if waiting else []
        # A read of a single job costs no more, and also shows a changed state.
        if len(cached) + len(dependencies) > 1:
            await fresh.verify([*cached, *dependencies])
        missing = jobs - fresh.states.keys()
        if missing:
            await fresh.read(missing)

    async def _check_dependencies(
        self,
        waiting: list[str],
        check: DependencyCheck,
        fresh: FreshStates,
        max_time: timedelta,
    ) -> dict[str, LiveStatus | StoreError]:
        """Return the state of live jobs that wait for others, or why it is not known."""
        reason = "the records of jobs that it waits for"
        try:
            async with asyncio.timeout(max(0.0, max_time.total_seconds())):
                await check.resolve(waiting)
        except (StoreError, TimeoutError) as error:
            reason = f"{reason}: {error}"
        found = check.explore(waiting)
        cancelled = found.reached_from(found.cancelled)
        unknown = found.reached_from(found.unread | found.unlisted | found.failed)
        result: dict[str, LiveStatus | StoreError] = {}
        for job in waiting:
            head = fresh.states[job]
            if job in cancelled:
                result[job] = CANCELLED_BY_DEPENDENCY
            elif job in unknown or not isinstance(head, JobHead):
                result[job] = StoreError(reason)
            else:
                result[job] = head.status
        return result


def _answer(answer: asyncio.Future[PollAnswer], state: PollAnswer | StoreError) -> None:
    if answer.done():
        return
    if isinstance(state, StoreError):
        answer.set_exception(state)
    else:
        answer.set_result(state)
