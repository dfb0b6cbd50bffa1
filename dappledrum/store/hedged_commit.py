"""Hedged reads for transactions whose response is late.

A transaction without a response has an unknown outcome, and the caller would wait for more than a
second until the timeout. A read that returns what only this transaction, or one with the same
effect, can have written proves earlier that it was executed. Any other result proves nothing,
since the transaction may still be executed, so the commit keeps waiting for the response.
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
READ_DELAY_ROUND_TRIPS = 4  # round trips after which a response counts as late
MAX_READS = 3  # per transaction
READ_BACKOFF_FACTOR = 3  # growth of the delay from one read to the next


class Evidence(NamedTuple):
    """A value that only one transaction can have written over a certain version of a key."""

    key: str
    replaced_version: int  # 0: the key did not exist
    value: msgspec.Raw

    def shown_by(self, entry: Entry | None) -> bool:
        """Whether the entry has exactly this value and is not the replaced version."""
        if entry is None or entry.version == self.replaced_version:
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
    """Execute a transaction and return its revision, or what `find` returns if that is earlier.

    `find` reads the outcome and returns None if the read proves nothing. It is called only while
    the response is late, the store serves this controller, and the budget allows a request now.
    Raises what `StoreClient.commit` raises.
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
        log.debug("transaction outcome found by a read before its response")
        return outcome[0]


async def commit_idempotent(
    store: StoreClient,
    guards: Sequence[Guard],
    changes: Sequence[Put | Delete],
    priority: RequestPriority,
    timeout: timedelta = REQUEST_TIMEOUT,
) -> int:
    """Execute a transaction that only compares or only deletes, and repeat it while its response
    is late, since executing it twice does no harm.

    Returns the revision in the first response. Raises what `StoreClient.commit` raises.
    """

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
    """Read until a read proves the outcome; returns None when no further read is worthwhile."""
    delay = max(MIN_READ_DELAY, store.availability.link.smoothed_delay * READ_DELAY_ROUND_TRIPS)
    await asyncio.sleep(queueing_delay.total_seconds())
    for _ in range(MAX_READS):
        if delay > timeout / 2:
            return None  # the transaction's response or timeout would come first
        await asyncio.sleep(delay.total_seconds())
        if not store.availability.is_failing() and store.budget.queueing_delay(priority) == ZERO:
            try:
                found = await find()
            except StoreError as error:
                log.debug("transaction outcome not read: %s", error)
            else:
                if found is not None:
                    return found
        delay *= READ_BACKOFF_FACTOR
    return None
