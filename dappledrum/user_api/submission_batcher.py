"""Puts accepted jobs into the store, those that come together in one transaction.

Each job keeps its own guards. When one of them fails, only its job hears of it, and the others are
written without it. While the answer of a transaction is late, its jobs are looked up: one that is
stored is accepted, whichever transaction has stored it.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.jobs.keys import ended_key, head_key
from dappledrum.jobs.stored_job import StoredJob
from dappledrum.store.client import MAX_TRANSACTION_BYTES, StoreClient
from dappledrum.store.errors import ConflictError, StoreError
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import ZERO

GATHER = timedelta(milliseconds=5)
AT_ONCE = 4  # one slow answer of the store must not hold up whoever comes next
QUEUE = timedelta(milliseconds=300)  # what would wait for longer is told to come back


class _Item(NamedTuple):
    job: str
    puts: list[Put]
    answer: asyncio.Future[int | StoredJob]

    def guards(self) -> list[Guard]:
        """The job must neither be live nor have ended."""
        return [Guard(head_key(self.job), 0), Guard(ended_key(self.job), 0)]

    def fail(self, error: Exception) -> None:
        """Tell whoever waits what became of the transaction, unless a read has told it already."""
        if not self.answer.done():
            self.answer.set_exception(error)

    def succeed(self, version: int) -> None:
        """Report the version under which the job is stored, unless a read has done so already."""
        if not self.answer.done():
            self.answer.set_result(version)

    def mark_retrieved(self) -> None:
        """Whoever waited may have given up: then nobody else retrieves the exception."""
        if self.answer.done():
            self.answer.exception()


class SubmissionBatcher:
    """Jobs on their way into the store."""

    def __init__(
        self,
        store: StoreClient,
        max_changes: int,
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]],
    ) -> None:
        self.store = store
        self.max_changes = max_changes
        self.find = find
        self.waiting: dict[str, _Item] = {}
        self.writing: set[asyncio.Task[None]] = set()
        self.writer: asyncio.Task[None] | None = None

    def full(self) -> bool:
        """Whether the rate of changes leaves no room for one more job soon."""
        return (
            self.store.budget.queueing_delay(
                RequestPriority.SUBMISSION, writes=len(self.waiting) + 1
            )
            > QUEUE
        )

    async def admit(self, job: str, puts: list[Put]) -> int | StoredJob:
        """Store a new job; returns the version, or what was read of the job while the answer was
        late, or raises what became of its transaction."""
        item = self.waiting.get(job)
        if item is None:
            future: asyncio.Future[int | StoredJob] = asyncio.get_running_loop().create_future()
            item = self.waiting[job] = _Item(job, puts, future)
        if self.writer is None:
            self.writer = asyncio.get_running_loop().create_task(self._write())
        return await asyncio.shield(item.answer)

    async def _write(self) -> None:
        try:
            while self.waiting:
                await asyncio.sleep(GATHER.total_seconds())
                if len(self.writing) >= AT_ONCE:
                    await asyncio.wait(self.writing, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.get_running_loop().create_task(self._commit(self._batch()))
                self.writing.add(task)
                task.add_done_callback(self.writing.discard)
        finally:
            self.writer = None

    def _batch(self) -> list[_Item]:
        """What fits into one transaction, and into the rate; always one."""
        batch: list[_Item] = []
        size = changes = 0
        for item in list(self.waiting.values()):
            size += sum(len(bytes(put.value)) + 300 for put in item.puts)
            changes += len(item.puts)
            over = (
                self.store.budget.queueing_delay(RequestPriority.SUBMISSION, writes=changes) > ZERO
            )
            if batch and (size > MAX_TRANSACTION_BYTES or changes > self.max_changes or over):
                break
            batch.append(self.waiting.pop(item.job))
        return batch

    async def _commit(self, batch: list[_Item]) -> None:
        guards = [guard for item in batch for guard in item.guards()]
        puts = [put for item in batch for put in item.puts]
        try:
            version = await commit_or_find(
                self.store, guards, puts, RequestPriority.SUBMISSION, lambda: self._find(batch)
            )
        except ConflictError as error:
            others = self._refuse(batch, error)
            if others:
                await self._commit(others)
        except StoreError as error:
            for item in batch:
                item.fail(type(error)(error.reason, error.request))
        except Exception as error:
            for item in batch:
                item.fail(StoreError(str(error)))
            raise
        else:
            for item in batch:
                item.succeed(version)
        for item in batch:
            item.mark_retrieved()

    @staticmethod
    def _refuse(batch: list[_Item], error: ConflictError) -> list[_Item]:
        """Fail the items whose guards did not hold; returns those that are left to be stored."""
        failed = set(error.conflicting_keys)
        refused = [i for i in batch if {head_key(i.job), ended_key(i.job)} & failed] or batch
        for item in refused:
            item.fail(ConflictError(error.conflicting_keys))
        return [i for i in batch if i not in refused and not i.answer.done()]

    async def _find(self, batch: list[_Item]) -> bool | None:
        """Answer for those of the batch that are stored; True once all of them are answered.

        Each is read for itself: one that another controller has stored meanwhile says nothing of
        the others, since the transaction then fails.
        """
        for item in batch:
            if item.answer.done():
                continue
            if self.store.budget.queueing_delay(RequestPriority.SUBMISSION) > ZERO:
                return None
            found = await self.find(item.job, RequestPriority.SUBMISSION)
            if found is None:
                return None
            if not item.answer.done():
                item.answer.set_result(found)
        return True
