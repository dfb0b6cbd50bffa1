"""Reads the final states of dependencies that this term does not know."""

import asyncio
import logging
from datetime import timedelta

import msgspec

from dappledrum.dependencies.graph import DependencyGraph, format_names
from dappledrum.jobs.keys import ended_key, head_key
from dappledrum.jobs.messages import EndedRecord
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

MAX_CONCURRENT_READS = 8
POLL_INTERVAL = timedelta(milliseconds=100)
MIN_RETRY_DELAY = timedelta(seconds=1)
MAX_RETRY_DELAY = timedelta(seconds=30)


class DependencyResolver:
    """Dependency resolver of one term of leadership."""

    def __init__(self, store: StoreClient, graph: DependencyGraph, clock: Clock) -> None:
        self.store = store
        self.graph = graph
        self.clock = clock
        self.retries: dict[str, tuple[timedelta, int]] = {}  # time of next read, failures so far

    async def run(self) -> None:
        """Read unknown final states, forever."""
        while True:
            await self.resolve_due()
            await asyncio.sleep(POLL_INTERVAL.total_seconds())

    async def resolve_due(self) -> None:
        """Read each unknown final state once, if its retry is due."""
        now = self.clock.now()
        unknown = self.graph.unknown
        self.retries = {name: retry for name, retry in self.retries.items() if name in unknown}
        due = [name for name in unknown if self.retries.get(name, (now, 0))[0] <= now]
        for first in range(0, len(due), MAX_CONCURRENT_READS):
            await asyncio.gather(
                *(self._read(name) for name in due[first : first + MAX_CONCURRENT_READS])
            )

    async def _read(self, name: str) -> None:
        try:
            # The head is read first, because a job only moves from its head to its final state.
            live = await self.store.get(head_key(name), RequestPriority.RECORD)
            entry = (
                await self.store.get(ended_key(name), RequestPriority.RECORD)
                if live is None
                else None
            )
            if entry is not None:
                self.graph.record_outcome(name, msgspec.json.decode(entry.value, type=EndedRecord))
                return
        except StoreError as error:
            log.info("dependency %s not read: %s", name, error)
            return
        except msgspec.DecodeError as error:
            log.error(  # noqa: TRY400 - the record is at fault, a traceback adds nothing
                "dependency %s has an unusable record, its dependents stay pending: %s",
                name,
                error,
            )
            self._retry_later(name, 1)
            return
        if live is not None:
            self._retry_later(name, 0)  # the watch will report the live job
            return
        if name not in self.retries:
            waiting = format_names(self.graph.dependents.get(name, ()))
            log.error(
                "dependency %s has no record, its dependents stay pending: %s", name, waiting
            )
        self._retry_later(name, 1)

    def _retry_later(self, name: str, added_failures: int) -> None:
        count = self.retries.get(name, (self.clock.now(), 0))[1] + added_failures
        pause = min(MIN_RETRY_DELAY * 2 ** min(count, 6), MAX_RETRY_DELAY)
        self.retries[name] = (self.clock.now() + pause, count)
