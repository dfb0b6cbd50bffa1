"""Hedged reads for transactions whose answer is late.

A transaction without an answer has an unknown outcome, and waiting for the timeout costs whoever
asked more than a second. A read that shows what only the transaction, or one with the same effect,
can have written settles it earlier. A read that does not show it proves nothing, since the
transaction may still be executed: then the commit waits for its answer as before.
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

MIN_READ_DELAY = timedelta(milliseconds=50)
READ_DELAY_ROUND_TRIPS = 4  # after which an answer counts as late
MAX_READS = 3  # for one transaction
READ_BACKOFF_FACTOR = 3  # by which the delay grows from one read to the next


class Evidence(NamedTuple):
    """A value that one transaction alone can have put in the place of an earlier version."""

    key: str
    replaced: int  # version of the key before; 0: absent
    value: msgspec.Raw

    def shown_by(self, entry: Entry | None) -> bool:
        """Whether the key has just this value, written after the version that it replaces."""
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
    the store serves this controller, and the budget allows a request at once. Raises what
    `StoreClient.commit` raises.
    """
    queueing_delay = store.budget.queueing_delay(priority, len(changes))
    outcome: list[T] = []

    async def read_outcome() -> None:
        found = await _read_repeatedly(store, priority, find, queueing_delay, timeout)
        if found is not None:
            outcome.append(found)
            commit_timeout.reschedule(asyncio.get_running_loop().time())

    try:
        async with asyncio.timeout(None) as commit_timeout:
            reads = asyncio.ensure_future(read_outcome())
            try:
                return await store.commit(guards, changes, priority, timeout)
            finally:
                reads.cancel()
    except TimeoutError:
        if not outcome:
            raise
        log.debug("a read has shown the outcome of a transaction whose answer is late")
        return outcome[0]


async def commit_idempotent(
    store: StoreClient,
    guards: Sequence[Guard],
    changes: Sequence[Put | Delete],
    priority: RequestPriority,
    timeout: timedelta = REQUEST_TIMEOUT,
) -> int:
    """Run a transaction that may be executed twice, and once more while its answer is late: one
    that only compares, or only deletes. Returns the revision of whichever answers first, and
    raises what `StoreClient.commit` raises."""

    async def commit_again() -> int | ConflictError:
        try:
            return await store.commit(guards, changes, priority, timeout)
        except ConflictError as error:
            return error

    answer: int | ConflictError = await commit_or_find(
        store, guards, changes, priority, commit_again, timeout
    )
    if isinstance(answer, ConflictError):
        raise answer
    return answer


async def _read_repeatedly(
    store: StoreClient,
    priority: RequestPriority,
    find: Callable[[], Awaitable[T | None]],
    queueing_delay: timedelta,
    timeout: timedelta,
) -> T | None:
    """Read until something is proven; None when it is not worthwhile any more."""
    delay = max(MIN_READ_DELAY, store.availability.link.smoothed_delay * READ_DELAY_ROUND_TRIPS)
    await asyncio.sleep(queueing_delay.total_seconds())
    for _ in range(MAX_READS):
        if delay > timeout / 2:
            return None  # the answer would not be back sooner than that of the transaction
        await asyncio.sleep(delay.total_seconds())
        if not store.availability.is_failing() and store.budget.queueing_delay(priority) == ZERO:
            try:
                found = await find()
            except StoreError as error:
                log.debug("outcome of a transaction not read: %s", error)
            else:
                if found is not None:
                    return found
        delay *= READ_BACKOFF_FACTOR
    return None
