"""States of jobs that were all read after a certain moment.

A user who has received a state from one controller must not receive an older one from another. So
an answer rests on reads that began after its request had arrived, and not on what the controller
remembers, unless that can't change.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Collection, Iterable
from datetime import timedelta
from itertools import islice

from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import EndedRecord
from dappledrum.jobs.stored_job import LiveRecord, StoredJob
from dappledrum.store.errors import ConflictError, StoreError
from dappledrum.store.hedged_commit import commit_idempotent
from dappledrum.store.messages import Entry, Guard
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.user_api.job_heads import HeadCache, JobHead, job_head
from dappledrum.user_api.job_reader import JobReader, decode_live

log = logging.getLogger(__name__)

REQUEST_TIMEOUT = timedelta(seconds=1)
MAX_SINGLE_READS = 2  # more jobs are read from the list of all live ones
#: Single reads of jobs that others wait for, in all; a long chain is read from the list.
MAX_SINGLE_DEPENDENCY_READS = 4

#: The head of a live job, the final state of an ended one, why neither is known, or None if the
#: job was never accepted.
JobState = JobHead | EndedRecord | StoreError | None
Find = Callable[[str, RequestPriority], Awaitable[StoredJob]]


class FreshStates:
    """The states read since this object was created."""

    def __init__(self, reader: JobReader, heads: HeadCache, max_guards: int) -> None:
        self.reader = reader
        self.heads = heads
        self.max_guards = max_guards
        self.states: dict[str, JobState] = {}
        self._live_entries: dict[str, Entry] | None = None  # all live jobs, once they were listed
        self._single_dependency_reads = 0

    async def verify(self, jobs: Iterable[str]) -> None:
        """Show by one transaction that only compares versions, for as many of the jobs as it can
        have guards, which of their cached heads are current; others are dropped."""
        expected = {}
        for job in islice(jobs, self.max_guards):
            head = self.heads.get(job)
            if head is not None:
                expected[job] = head
        if not expected:
            return
        guards = [Guard(head_key(job), head.version) for job, head in expected.items()]
        try:
            await commit_idempotent(
                self.reader.store, guards, [], RequestPriority.POLL, REQUEST_TIMEOUT
            )
            failed: set[str] = set()
        except ConflictError as error:
            failed = set(error.conflicting_keys)
            if not failed:
                return
        for job, head in expected.items():
            if head_key(job) in failed:
                self.heads.drop(job, head.version)
            else:
                self._record(job, head, "its version is unchanged")

    async def read(self, jobs: set[str]) -> None:
        """Read jobs that were asked for."""
        find: Find = self.reader.find
        if len(jobs) > MAX_SINGLE_READS:
            find = self.reader.find_ended  # a job that is not live has ended, or does not exist
            jobs = jobs - await self._read_listed(jobs)
        await self._read_single(find, jobs)

    async def read_dependencies(self, jobs: Collection[str]) -> None:
        """Read jobs that others wait for; many of them may have ended."""
        left = set(jobs)
        self._single_dependency_reads += len(left)
        if self._single_dependency_reads <= MAX_SINGLE_DEPENDENCY_READS:
            await self._read_single(self.reader.find, left)
            return
        left -= await self._read_listed(left)
        self.states |= await self.reader.find_many_ended(left)

    async def read_lists_of_dependencies(self, jobs: Iterable[str]) -> None:
        """Read what these live jobs wait for from the parts of their specifications."""
        for job in jobs:
            head = self.states[job]
            assert isinstance(head, JobHead)
            try:
                needs = await self.reader.read_dependencies(job, head.spec_parts)
            except StoreError as error:
                self.states[job] = error
            else:
                self.heads.put_dependencies(job, needs)
                self.states[job] = self.heads.put(job, head)

    async def _read_listed(self, jobs: set[str]) -> set[str]:
        """Read jobs from the list of all live ones, which is read once, together with the live
        ones that they wait for; returns those of the jobs that are in the list."""
        if self._live_entries is None:
            self._live_entries = await self.reader.live_entries()
        found = jobs & self._live_entries.keys()
        stack = list(found)
        while stack:
            job = stack.pop()
            self._record_live(job, decode_live(self._live_entries[job]))
            state = self.states[job]
            needs = (state.waits_for or ()) if isinstance(state, JobHead) else ()
            stack += (n for n in needs if n in self._live_entries and n not in self.states)
        return found

    async def _read_single(self, find: Find, jobs: Collection[str]) -> None:
        await asyncio.gather(*(self._read_one(find, job) for job in jobs))

    async def _read_one(self, find: Find, job: str) -> None:
        try:
            found = await find(job, RequestPriority.POLL)
        except StoreError as error:
            self.states[job] = error
            return
        if isinstance(found, tuple):
            self._record_live(job, found)
        else:
            self.states[job] = found

    def _record_live(self, job: str, found: LiveRecord) -> None:
        if isinstance(found, StoreError):
            self.states[job] = found
        else:
            self._record(job, job_head(*found), "read")

    def _record(self, job: str, head: JobHead, evidence: str) -> None:
        self.states[job] = head = self.heads.put(job, head)
        log.debug("state of live %s: %s, %s, version=%d", job, head.status, evidence, head.version)
