"""Hedged reads for transactions whose answer is late.

A transaction without an answer has an unknown outcome, and waiting for the time-out costs whoever
asked more than a second. A read that shows what only the transaction, or one to the same effect,
can have left settles it earlier. A read that does not show it proves nothing, since the
transaction may still be carried out: then its answer is waited for as before.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from datetime import timedelta
from typing import NamedTuple, TypeVar

import msgspec

from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, StoreError
from dappledrum.store.messages import Delete, Entry, Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.transport import REQUEST_TIMEOUT
from dappledrum.timing.clock import ZERO

log = logging.getLogger(__name__)

T = TypeVar("T")

MIN_DELAY = timedelta(milliseconds=50)
DELAY_FACTOR = 4  # round trips after which an answer counts as late
READS = 3  # for one transaction
BACKOFF = 3  # each read waits so many times as long as the one before


class Evidence(NamedTuple):
    """A value that one transaction alone can have put in the place of an earlier version."""

    key: str
    replaced: int  # version of the key before; 0: absent
    value: msgspec.Raw

    def shown_by(self, entry: Entry | None) -> bool:
        """Whether the key holds just this value, written after the version that it replaces."""
        if entry is None or entry.version == self.replaced:
            return False
        stored, written = msgspec.json.decode(entry.value), msgspec.json.decode(self.value)
        return bool(stored == written)


async def commit_or_find(
    store: StoreClient,
    guards: Sequence[Guard],
    changes: Sequence[Put | Delete],
    priority: RequestPriority,
    find: Callable[[], Awaitable[T | None]],
    timeout: timedelta = REQUEST_TIMEOUT,
) -> int | T:
    """Run a transaction and return its revision, or what `find` has read of its outcome.

    `find` returns None as long as nothing is proven. It is called only while the answer is late,
    the store serves this controller, and the budget allows a request at once.
    """
    queued = store.budget.queueing_delay(priority, len(changes))
    found: list[T] = []

    async def read() -> None:
        result = await _read(store, priority, find, queued, timeout)
        if result is not None:
            found.append(result)
            waiting.reschedule(asyncio.get_running_loop().time())

    try:
        async with asyncio.timeout(None) as waiting:
            reads = asyncio.ensure_future(read())
            try:
                return await store.commit(guards, changes, priority, timeout)
            finally:
                reads.cancel()
    except TimeoutError:
        if not found:
            raise
        log.debug("a read has told what became of a transaction whose answer is late")
        return found[0]


async def commit_idempotent(
    store: StoreClient,
    guards: Sequence[Guard],
    changes: Sequence[Put | Delete],
    priority: RequestPriority,
    timeout: timedelta = REQUEST_TIMEOUT,
) -> int:
    """Run a transaction that may be carried out twice, and once more while its answer is late:
    one that only compares, or only removes. Either answer will do."""

    async def again() -> int | ConflictError:
        try:
            return await store.commit(guards, changes, priority, timeout)
        except ConflictError as error:
            return error

    answer = await commit_or_find(store, guards, changes, priority, again, timeout)
    if isinstance(answer, ConflictError):
        raise answer
    return answer


async def _read(
    store: StoreClient,
    priority: RequestPriority,
    find: Callable[[], Awaitable[T | None]],
    queued: timedelta,
    timeout: timedelta,
) -> T | None:
    """Read until something is proven; None when it is not worth while any more."""
    delay = max(MIN_DELAY, store.availability.link.smoothed_delay * DELAY_FACTOR)
    await asyncio.sleep(queued.total_seconds())
    for _ in range(READS):
        if delay > timeout / 2:
            return None  # the answer would not be back sooner than that of the transaction
        await asyncio.sleep(delay.total_seconds())
        if not store.availability.is_failing() and store.budget.queueing_delay(priority) == ZERO:
            try:
                found = await find()
            except StoreError as error:
                log.debug("the outcome of a transaction could not be read: %s", error)
            else:
                if found is not None:
                    return found
        delay *= BACKOFF
    return None
