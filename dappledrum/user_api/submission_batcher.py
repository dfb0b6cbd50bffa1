"""Stores new jobs, several that are submitted at about the same time in one transaction.

Each job has its own guards. When a guard fails, only the submission of its job fails, and the
other jobs are written without it. While the answer of a transaction is late, its jobs are read: a
job that is stored is accepted, whichever transaction has stored it.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.jobs.keys import ended_key, head_key
from dappledrum.jobs.stored_job import StoredJob
from dappledrum.store.client import MAX_TRANSACTION_BYTES, StoreClient
from dappledrum.store.errors import ConflictError, StoreError, TooLargeError
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import ZERO

log = logging.getLogger(__name__)

BATCH_DELAY = timedelta(milliseconds=5)  # submissions that arrive within it share a transaction
MAX_CONCURRENT_TRANSACTIONS = 4  # one slow answer of the store must not delay later submissions
MAX_QUEUEING_DELAY = timedelta(milliseconds=300)  # beyond it, users are asked to try again


class _PendingSubmission(NamedTuple):
    job: str
    puts: list[Put]
    answer: asyncio.Future[int | StoredJob]

    def guards(self) -> list[Guard]:
        """Return the guards that fail if the job is live or has ended."""
        return [Guard(head_key(self.job), 0), Guard(ended_key(self.job), 0)]

    def fail(self, error: Exception) -> None:
        """Report the error of the transaction, unless a read has already shown the outcome."""
        if not self.answer.done():
            self.answer.set_exception(error)

    def succeed(self, version: int) -> None:
        """Report the version of the stored job, unless a read has already shown the outcome."""
        if not self.answer.done():
            self.answer.set_result(version)

    def mark_retrieved(self) -> None:
        """Mark the exception as retrieved, since the request that waited for it may have ended."""
        if self.answer.done():
            self.answer.exception()


class SubmissionBatcher:
    """Queue of new jobs that are not stored yet, and the transactions that store them."""

    def __init__(
        self,
        store: StoreClient,
        max_changes: int,
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]],
    ) -> None:
        self.store = store
        self.max_changes = max_changes
        self.find = find
        self.waiting: dict[str, _PendingSubmission] = {}
        self.transactions: set[asyncio.Task[None]] = set()
        self.writer: asyncio.Task[None] | None = None

    def is_full(self) -> bool:
        """Whether the rate limit for changes would delay one more job for too long."""
        return (
            self.store.budget.queueing_delay(
                RequestPriority.SUBMISSION, writes=len(self.waiting) + 1
            )
            > MAX_QUEUEING_DELAY
        )

    async def admit(self, job: str, puts: list[Put]) -> int | StoredJob:
        """Store a new job; returns its version, or the job as read while the answer was late.

        Raises the error of the transaction.
        """
        submission = self.waiting.get(job)
        if submission is None:
            future: asyncio.Future[int | StoredJob] = asyncio.get_running_loop().create_future()
            submission = self.waiting[job] = _PendingSubmission(job, puts, future)
        if self.writer is None:
            self.writer = asyncio.get_running_loop().create_task(self._write())
        return await asyncio.shield(submission.answer)

    async def _write(self) -> None:
        try:
            while self.waiting:
                await asyncio.sleep(BATCH_DELAY.total_seconds())
                if len(self.transactions) >= MAX_CONCURRENT_TRANSACTIONS:
                    await asyncio.wait(self.transactions, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.get_running_loop().create_task(self._commit(self._next_batch()))
                self.transactions.add(task)
                task.add_done_callback(self.transactions.discard)
        finally:
            self.writer = None

    def _next_batch(self) -> list[_PendingSubmission]:
        """Take submissions that fit into one transaction and the rate limit, and at least one."""
        batch: list[_PendingSubmission] = []
        size = changes = 0
        for submission in list(self.waiting.values()):
            size += sum(len(bytes(put.value)) + 300 for put in submission.puts)
            changes += len(submission.puts)
            exceeds_rate = (
                self.store.budget.queueing_delay(RequestPriority.SUBMISSION, writes=changes) > ZERO
            )
            if batch and (
                size > MAX_TRANSACTION_BYTES or changes > self.max_changes or exceeds_rate
            ):
                break
            batch.append(self.waiting.pop(submission.job))
        return batch

    async def _commit(self, batch: list[_PendingSubmission]) -> None:
        guards = [guard for submission in batch for guard in submission.guards()]
        puts = [put for submission in batch for put in submission.puts]
        try:
            version = await commit_or_find(
                self.store,
                guards,
                puts,
                RequestPriority.SUBMISSION,
                lambda: self._answer_stored(batch),
            )
        except ConflictError as error:
            remaining = self._fail_conflicting(batch, error)
            if remaining:
                await self._commit(remaining)
        except StoreError as error:
            await self._handle_error(batch, error)
        except Exception as error:
            for submission in batch:
                submission.fail(StoreError(str(error)))
            raise
        else:
            for submission in batch:
                submission.succeed(version)
        for submission in batch:
            submission.mark_retrieved()

    async def _handle_error(self, batch: list[_PendingSubmission], error: StoreError) -> None:
        """Fail the submissions of a batch; one that is too large fails no other."""
        if isinstance(error, TooLargeError) and len(batch) > 1:
            log.info("submissions are stored separately, the store refuses one: %s", error)
            for submission in batch:
                await self._commit([submission])
            return
        for submission in batch:
            submission.fail(type(error)(error.reason, error.request))

    @staticmethod
    def _fail_conflicting(
        batch: list[_PendingSubmission], error: ConflictError
    ) -> list[_PendingSubmission]:
        """Fail the submissions whose guards failed; returns those that remain to be stored."""
        failed = set(error.conflicting_keys)
        refused = [i for i in batch if {head_key(i.job), ended_key(i.job)} & failed] or batch
        for submission in refused:
            submission.fail(ConflictError(error.conflicting_keys))
        return [i for i in batch if i not in refused and not i.answer.done()]

    async def _answer_stored(self, batch: list[_PendingSubmission]) -> bool | None:
        """Answer the submissions whose jobs are stored; returns True once all are answered.

        Each job is read separately: if another controller has stored one of them, this
        transaction fails, so that job proves nothing about the others.
        """
        for submission in batch:
            if submission.answer.done():
                continue
            if self.store.budget.queueing_delay(RequestPriority.SUBMISSION) > ZERO:
                return None
            found = await self.find(submission.job, RequestPriority.SUBMISSION)
            if found is None:
                return None
            if not submission.answer.done():
                submission.answer.set_result(found)
        return True
