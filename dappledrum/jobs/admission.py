"""Puts accepted jobs into the state service, those that come together in one transaction.

Each job keeps its own guards. When one of them fails, only its job hears of it, and the others are
written without it.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple

from dappledrum.jobs.record import ended_key, head_key
from dappledrum.state.budget import Rank
from dappledrum.state.client import TXN_BYTES, ConflictError, State, StateError
from dappledrum.state.messages import Guard, Put
from dappledrum.timing.clock import ZERO

GATHER = timedelta(milliseconds=5)
AT_ONCE = 4  # one slow answer of the state service must not hold up whoever comes next
QUEUE = timedelta(milliseconds=300)  # what would wait for longer is told to come back


class _Item(NamedTuple):
    job: str
    puts: list[Put]
    answer: asyncio.Future[int]


class Admission:
    """Jobs on their way into the state service."""

    def __init__(self, state: State, most_changes: int) -> None:
        self.state = state
        self.most_changes = most_changes
        self.waiting: dict[str, _Item] = {}
        self.writing: set[asyncio.Task[None]] = set()
        self.writer: asyncio.Task[None] | None = None

    def full(self) -> bool:
        """Whether the rate of changes leaves no room for one more job soon."""
        return self.state.busy_for(Rank.INTAKE, writes=len(self.waiting) + 1) > QUEUE

    async def admit(self, job: str, puts: list[Put]) -> int:
        """Store a new job; returns the version, or raises what became of its transaction."""
        item = self.waiting.get(job)
        if item is None:
            future: asyncio.Future[int] = asyncio.get_running_loop().create_future()
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
            over = self.state.busy_for(Rank.INTAKE, writes=changes) > ZERO
            if batch and (size > TXN_BYTES or changes > self.most_changes or over):
                break
            batch.append(self.waiting.pop(item.job))
        return batch

    async def _commit(self, batch: list[_Item]) -> None:
        guards = []
        for item in batch:
            guards += [Guard(head_key(item.job), 0), Guard(ended_key(item.job), 0)]
        try:
            puts = [put for item in batch for put in item.puts]
            version = await self.state.commit(guards, puts, Rank.INTAKE)
        except ConflictError as error:
            failed = set(error.failed)
            refused = [i for i in batch if {head_key(i.job), ended_key(i.job)} & failed] or batch
            for item in refused:
                item.answer.set_exception(ConflictError(error.failed))
            others = [item for item in batch if item not in refused]
            if others:
                await self._commit(others)
        except StateError as error:
            for item in batch:
                item.answer.set_exception(type(error)(str(error)))
        except Exception as error:
            for item in batch:
                item.answer.set_exception(StateError(str(error)))
            raise
        else:
            for item in batch:
                item.answer.set_result(version)
        for item in batch:
            if item.answer.done():
                item.answer.exception()  # whoever asked may have gone
