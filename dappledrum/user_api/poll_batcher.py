"""Answers to polls, many from one read.

With a swarm of small jobs there are more polls than the store takes requests. What a
controller has read before is kept with its version, and one transaction that only compares says
for dozens of jobs at once whether that still holds. It begins after the polls that it answers
came in, so nobody is told anything older than what another controller has said.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
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

KEPT = 4_000  # live jobs of which the newest reading is kept
GATHER = timedelta(milliseconds=10)  # polls that come together are read together
MAX_GATHER_TIME = timedelta(milliseconds=300)
REQUEST_TIMEOUT = timedelta(seconds=1)
AT_ONCE = 3  # readings on their way: one that hangs must not hold up all others
SINGLE = 2  # up to so many jobs are read one by one, more from the list of all live ones


class LiveStatus(NamedTuple):
    """What users are told of a live job."""

    cancelled: bool
    done: int
    running: int


PollAnswer = LiveStatus | EndedRecord | None


def seen(record: JobRecord) -> LiveStatus:
    """The part of a record that users are told."""
    return LiveStatus(record.cancelled, record.done, record.running)


class PollBatcher:
    """Waiting polls, and what is known of live jobs."""

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
        self.known: OrderedDict[str, tuple[LiveStatus, int]] = OrderedDict()
        self.waiting: dict[str, asyncio.Future[PollAnswer]] = {}
        self.running: set[asyncio.Task[None]] = set()
        self.starter: asyncio.Task[None] | None = None

    def note(self, job: str, found: LiveStatus, version: int) -> None:
        """Keep what a read or an own write has shown."""
        before = self.known.get(job)
        if before is None or before[1] <= version:
            self.known[job] = (found, version)
            self.known.move_to_end(job)
            while len(self.known) > KEPT:
                self.known.popitem(last=False)

    async def ask(self, job: str) -> PollAnswer:
        """State of a job, from a reading that begins after this call."""
        wait = self.store.budget.queueing_delay(RequestPriority.POLL)
        if wait > REQUEST_TIMEOUT * 0.8 or len(self.waiting) > KEPT:
            raise RateLimitedError
        answer = self.waiting.get(job)
        if answer is None:
            answer = self.waiting[job] = asyncio.get_running_loop().create_future()
        if self.starter is None:
            self.starter = asyncio.get_running_loop().create_task(self._start())
        return await asyncio.shield(answer)

    async def _start(self) -> None:
        """Begin readings for as long as polls wait."""
        try:
            while self.waiting:
                # The more of the share is used up, the more polls go into one reading.
                scarce = (
                    1
                    - max(0.0, self.store.budget.request_limiter.level)
                    / self.store.budget.request_limiter.size
                )
                pause = GATHER + (MAX_GATHER_TIME - GATHER) * scarce
                pause = max(
                    pause,
                    min(
                        self.store.budget.queueing_delay(RequestPriority.POLL), REQUEST_TIMEOUT / 2
                    ),
                )
                await asyncio.sleep(pause.total_seconds())
                if len(self.running) >= AT_ONCE:
                    await asyncio.wait(self.running, return_when=asyncio.FIRST_COMPLETED)
                batch = {}
                for job in list(self.waiting)[: self.max_guards]:
                    batch[job] = self.waiting.pop(job)
                task = asyncio.get_running_loop().create_task(self._answer(batch))
                self.running.add(task)
                task.add_done_callback(self.running.discard)
        finally:
            self.starter = None

    async def _answer(self, batch: dict[str, asyncio.Future[PollAnswer]]) -> None:
        try:
            found = await self._read(set(batch))
            for job, answer in batch.items():
                if not answer.done():
                    value = found[job]
                    if isinstance(value, Exception):
                        answer.set_exception(value)
                    else:
                        answer.set_result(value)
        except Exception as error:  # those who wait must hear of whatever went wrong
            if not isinstance(error, StoreError):
                log.exception("reading for polls failed, going on")
            for answer in batch.values():
                if not answer.done():
                    answer.set_exception(StoreError(str(error)))
        for answer in batch.values():
            answer.exception()  # whoever asked may have gone

    async def _read(self, jobs: set[str]) -> dict[str, PollAnswer | StoreError]:
        held = await self._unchanged({job for job in jobs if job in self.known})
        result: dict[str, PollAnswer | StoreError] = dict(held)
        missing = jobs - held.keys()
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]] = self.find
        if len(missing) > SINGLE:
            find = self.find_ended  # what is not among the live ones now was over before
            for job, found in (await self.find_many(missing)).items():
                if isinstance(found, StoreError):
                    result[job] = found
                else:
                    result[job] = seen(found[0])
                    self.note(job, seen(found[0]), found[1])
            missing -= result.keys()
        singly = await asyncio.gather(*(self._single(find, job) for job in missing))
        result.update(zip(missing, singly, strict=True))
        return result

    async def _unchanged(self, jobs: set[str]) -> dict[str, LiveStatus]:
        """Those of the known jobs that are still as they were known."""
        if len(jobs) < 2:
            return {}  # a read costs no more, and tells what has changed, too
        claims = {job: self.known[job] for job in jobs}
        guards = [Guard(head_key(job), version) for job, (_, version) in claims.items()]
        try:
            await commit_idempotent(self.store, guards, [], RequestPriority.POLL, REQUEST_TIMEOUT)
            failed: set[str] = set()
        except ConflictError as error:
            failed = set(error.conflicting_keys)
            if not failed:
                return {}
        result = {}
        for job, (found, version) in claims.items():
            if head_key(job) not in failed:
                result[job] = found
            elif self.known.get(job, (found, version))[1] <= version:
                self.known.pop(job, None)
        return result

    async def _single(
        self, find: Callable[[str, RequestPriority], Awaitable[StoredJob]], job: str
    ) -> PollAnswer | StoreError:
        try:
            found = await find(job, RequestPriority.POLL)
        except StoreError as error:
            return error
        if isinstance(found, tuple):
            record, version = found
            self.note(job, seen(record), version)
            return seen(record)
        return found
