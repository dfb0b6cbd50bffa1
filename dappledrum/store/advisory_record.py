"""Advisory records, which let the next leader start with what this one has learned.

No decision relies on them, so a failed write is not retried.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

import msgspec

from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_size import value_size

log = logging.getLogger(__name__)

T = TypeVar("T")


class AdvisoryRecord(Generic[T]):
    """One key that the leader writes, under its guard, when the value has changed."""

    def __init__(
        self,
        store: StoreClient,
        guard: Guard,
        key: str,
        schema: type[T],
        max_bytes: int,
        priority: RequestPriority,
    ) -> None:
        self.store = store
        self.guard = guard
        self.key = key
        self.schema = schema
        self.max_bytes = max_bytes  # larger values are not written
        self.priority = priority
        self.last_written: T | None = None

    async def write_if_changed(self, record: T) -> None:
        """Write the record unless this controller's last write had the same content."""
        if record == self.last_written:
            return
        value = encode_value(record)
        size = value_size(bytes(value))
        if size > self.max_bytes:
            log.warning(
                "advisory record %s not written: size=%d max=%d", self.key, size, self.max_bytes
            )
            return
        try:
            await self.store.commit([self.guard], [Put(self.key, value)], self.priority)
            self.last_written = record
        except StoreError as error:
            log.debug("advisory record %s not written: %s", self.key, error)

    async def write_periodically(self, make_record: Callable[[], T], interval: timedelta) -> None:
        """Write the result of `make_record` at this interval, if it has changed; never returns."""
        while True:
            await asyncio.sleep(interval.total_seconds())
            await self.write_if_changed(make_record())

    async def read(self) -> T | None:
        """Read the record of an earlier leader; None if it is missing, unreadable or malformed."""
        try:
            entry = await self.store.get(self.key, RequestPriority.RECORD)
            return None if entry is None else msgspec.json.decode(entry.value, type=self.schema)
        except (StoreError, msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("advisory record %s not read: %s", self.key, error)
            return None
