"""Advisory records that only help a successor: no decision relies on them, and a failed write is
not repeated."""

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

log = logging.getLogger(__name__)

T = TypeVar("T")


class AdvisoryRecord(Generic[T]):
    """One key, written by the leader under its guard when the value has changed."""

    def __init__(
        self,
        store: StoreClient,
        guard: Guard,
        key: str,
        kind: type[T],
        max_bytes: int,
        priority: RequestPriority,
    ) -> None:
        self.store = store
        self.guard = guard
        self.key = key
        self.kind = kind
        self.max_bytes = max_bytes  # larger values are not written
        self.priority = priority
        self.last_written: T | None = None

    async def write_if_changed(self, record: T) -> None:
        """Write the record unless this controller's last write had the same content."""
        if record == self.last_written:
            return
        value = encode_value(record)
        size = len(bytes(value))
        if size > self.max_bytes:
            log.warning("%s not written, too large: %d bytes", self.key, size)
            return
        try:
            await self.store.commit([self.guard], [Put(self.key, value)], self.priority)
            self.last_written = record
        except StoreError as error:
            log.debug("%s not written: %s", self.key, error)

    async def write_periodically(self, make: Callable[[], T], interval: timedelta) -> None:
        """Write what `make` returns, at this interval, for ever."""
        while True:
            await asyncio.sleep(interval.total_seconds())
            await self.write_if_changed(make())

    async def read(self) -> T | None:
        """The record of a predecessor; None if there is none, or none that can be used."""
        try:
            entry = await self.store.get(self.key, RequestPriority.RECORD)
            return None if entry is None else msgspec.json.decode(entry.value, type=self.kind)
        except (StoreError, msgspec.DecodeError, UnicodeDecodeError) as error:
            log.info("%s not read: %s", self.key, error)
            return None
