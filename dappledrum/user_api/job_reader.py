"""Reads jobs from the store for answers to users.

Only final states are answered from memory, since they never change again.
"""

from collections import OrderedDict
from collections.abc import Collection
from datetime import timedelta
from typing import TypeVar

import msgspec

from dappledrum.jobs.keys import ended_key, head_key, spec_key
from dappledrum.jobs.messages import EndedRecord, JobRecord, SpecPart
from dappledrum.jobs.stored_job import LiveRecord, StoredJob
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import RateLimitedError, StoreError
from dappledrum.store.messages import Entry
from dappledrum.store.rate_limiter import RequestPriority

READ_TIMEOUT = timedelta(seconds=1)
MAX_CACHED_ENDED_JOBS = 20_000
ENDED_PAGE_SIZE = 200  # keys

T = TypeVar("T")

#: The final state of a job, why its record is unusable, or None if it has none.
FinalState = EndedRecord | StoreError | None


class JobReader:
    """Reads of one controller, and the final states that they have shown."""

    def __init__(self, store: StoreClient) -> None:
        self.store = store
        self.ended: OrderedDict[str, EndedRecord] = OrderedDict()

    def cache_ended(self, job: str, record: EndedRecord) -> None:
        """Cache a final state."""
        self.ended[job] = record
        while len(self.ended) > MAX_CACHED_ENDED_JOBS:
            self.ended.popitem(last=False)

    async def find_cached(self, job: str, priority: RequestPriority) -> StoredJob:
        """Read a job unless its final state is known."""
        return self.ended.get(job) or await self.find(job, priority)

    async def find(self, job: str, priority: RequestPriority) -> StoredJob:
        """Read a job.

        A job only moves from live to ended, so the live key is read first. If both keys are
        absent, the job was never accepted.
        """
        self.check_rate_limit(priority)
        entry = await self.store.get(head_key(job), priority, READ_TIMEOUT)
        if entry is not None:
            return decode(entry.value, JobRecord), entry.version
        return await self.find_ended(job, priority)

    async def read_live(self, job: str) -> JobRecord | None:
        """Read the head of a live job."""
        entry = await self.store.get(head_key(job), RequestPriority.SUBMISSION, READ_TIMEOUT)
        return None if entry is None else decode(entry.value, JobRecord)

    def check_rate_limit(self, priority: RequestPriority) -> None:
        """Raise RateLimitedError if a request would have to wait for long."""
        if self.store.budget.queueing_delay(priority) > READ_TIMEOUT / 2:
            raise RateLimitedError

    async def find_ended(self, job: str, priority: RequestPriority) -> EndedRecord | None:
        """Read the final state of a job that is no longer live, or was never accepted."""
        entry = await self.store.get(ended_key(job), priority, READ_TIMEOUT)
        if entry is None:
            return None
        record = decode(entry.value, EndedRecord)
        self.cache_ended(job, record)
        return record

    async def find_many_ended(self, jobs: Collection[str]) -> dict[str, FinalState]:
        """Read the final states of jobs that are no longer live, or were never accepted.

        Each request reads a page of neighbouring keys, and the next one begins at the next wanted
        key, so there are never more requests than jobs.
        """
        result: dict[str, FinalState] = {}
        for job in sorted(jobs):
            if job not in result:
                known = self.ended.get(job)
                result |= {job: known} if known else await self._read_ended_page(job, jobs)
        return result

    async def _read_ended_page(self, first: str, jobs: Collection[str]) -> dict[str, FinalState]:
        """Read final states from that of `first` on; returns those of `jobs` that the page covers,
        None for jobs without one."""
        entries, more = await self.store.page(
            ended_key(""),
            _position_before(ended_key(first)),
            ENDED_PAGE_SIZE,
            RequestPriority.POLL,
        )
        found = {entry.key.removeprefix(ended_key("")): entry for entry in entries}
        last = max(found) if more and found else None
        covered = [job for job in jobs if job >= first and (last is None or job <= last)]
        states: dict[str, FinalState] = dict.fromkeys(covered)
        for job, entry in found.items():
            try:
                self.cache_ended(job, decode(entry.value, EndedRecord))
            except StoreError as error:
                if job in states:
                    states[job] = error
            else:
                if job in states:
                    states[job] = self.ended[job]
        return states

    async def live_entries(self) -> dict[str, Entry]:
        """Read the heads of all live jobs."""
        entries, _ = await self.store.scan(head_key(""), RequestPriority.POLL)
        return {entry.key.removeprefix(head_key("")): entry for entry in entries}

    async def find_many(self, jobs: set[str]) -> dict[str, LiveRecord]:
        """Return those of the jobs that are live, from one scan of all live jobs."""
        entries = await self.live_entries()
        return {job: decode_live(entries[job]) for job in jobs if job in entries}

    async def read_dependencies(self, job: str, spec_parts: int) -> tuple[str, ...]:
        """Read the jobs that a job waits for from the parts of its specification."""
        names: list[str] = []
        for number in range(spec_parts):
            self.check_rate_limit(RequestPriority.POLL)
            entry = await self.store.get(spec_key(job, number), RequestPriority.POLL, READ_TIMEOUT)
            if entry is None:
                raise StoreError(f"a part of the specification of {job} is missing")
            names += decode(entry.value, SpecPart).needs
        return tuple(names)


def _position_before(key: str) -> str:
    """A position from which a list begins with this key of a job: after all keys that differ from
    it by a lower last digit. Names of jobs end in a digit."""
    return f"{key[:-1]}{chr(ord(key[-1]) - 1)}~"


def decode(value: msgspec.Raw, record_type: type[T]) -> T:
    """Decode a record; raises StoreError if that fails."""
    try:
        return msgspec.json.decode(value, type=record_type)
    except msgspec.DecodeError as error:
        raise StoreError(f"record can't be decoded: {error}") from error


def decode_live(entry: Entry) -> LiveRecord:
    """Decode the head of a live job.

    A record that can't be decoded is returned as an error, so that only the requests for its job
    fail, not the whole batch.
    """
    try:
        return decode(entry.value, JobRecord), entry.version
    except StoreError as error:
        return error
