"""Decides what users are told of jobs that wait for others.

A job is cancelled with any job that it waits for, directly or through others, as soon as that
one's cancellation is stored. The leader writes that into the records of the waiting jobs later; in
an outage of the store, much later. So a waiting job is called pending only if, after the request
arrived, the store has shown for each job before it that it is not cancelled, or is done.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from dappledrum.jobs.messages import EndedRecord, Outcome
from dappledrum.store.errors import StoreError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.user_api.fresh_states import FreshStates, JobState
from dappledrum.user_api.job_heads import HeadCache, JobHead

MAX_ROUNDS = 12  # of reads for one batch; with lists of all live jobs three are usual
MAX_VERIFIED_JOBS = 400  # more are read from the list of all live jobs, in fewer requests


class Dependencies(NamedTuple):
    """All jobs that some jobs wait for, directly or through others, as far as known."""

    dependents: dict[str, list[str]]  # by job: those that wait for it
    cancelled: set[str]
    unread: set[str]  # whether they are cancelled is not known yet
    unlisted: set[str]  # live jobs that wait for jobs listed in parts
    failed: set[str]  # their records can't be used

    def reached_from(self, jobs: Iterable[str]) -> set[str]:
        """These jobs, and all that wait for them."""
        reached = set(jobs)
        stack = list(reached)
        while stack:
            for dependent in self.dependents.get(stack.pop(), ()):
                if dependent not in reached:
                    reached.add(dependent)
                    stack.append(dependent)
        return reached


class DependencyCheck:
    """What is known of the jobs that the jobs of one batch wait for."""

    def __init__(
        self, fresh: FreshStates, heads: HeadCache, ended: Mapping[str, EndedRecord]
    ) -> None:
        self.fresh = fresh
        self.heads = heads
        self.ended = ended

    def explore(self, jobs: Iterable[str]) -> Dependencies:
        """Walk from live jobs to all that they wait for, without further reads."""
        found = Dependencies({}, set(), set(), set(), set())
        stack = list(jobs)
        seen = set(stack)
        while stack:
            job = stack.pop()
            for need in self._classify(job, found):
                found.dependents.setdefault(need, []).append(job)
                if need not in seen:
                    seen.add(need)
                    stack.append(need)
        return found

    def _classify(self, job: str, found: Dependencies) -> tuple[str, ...]:
        """Add a job to the sets that it belongs to; returns the jobs that it waits for."""
        cached = self.heads.get(job)
        state: JobState = self.ended.get(job) or self.fresh.states.get(job)
        if isinstance(state, EndedRecord):
            if state.state is Outcome.CANCELLED:
                found.cancelled.add(job)
            return ()
        if self.heads.is_cancelled(job):
            found.cancelled.add(job)
            return ()
        if isinstance(state, StoreError):
            found.failed.add(job)
        elif job not in self.fresh.states:
            found.unread.add(job)
        head = state if isinstance(state, JobHead) else cached
        if head is None:
            return ()  # not read yet, unusable, or never accepted
        if head.waits_for is None:
            if head is state:
                found.unlisted.add(job)
            return ()
        return head.waits_for

    async def resolve(self, jobs: Iterable[str]) -> None:
        """Read until it is known of each job whether one before it is cancelled; jobs of which it
        can't be known are still reached from an unread, unlisted or failed one.

        Raises a `StoreError` if the store does not answer, or its rate is used up.
        """
        left = set(jobs)
        for _ in range(MAX_ROUNDS):
            found = self.explore(left)
            left -= found.reached_from(found.cancelled)
            found = self.explore(left)
            if not found.unread and not found.unlisted:
                break
            await self._read(found)

    async def _read(self, found: Dependencies) -> None:
        self.fresh.reader.check_rate_limit(RequestPriority.POLL)
        await self.fresh.read_lists_of_dependencies(sorted(found.unlisted))
        cached = [job for job in sorted(found.unread) if job in self.heads]
        if cached and len(cached) <= MAX_VERIFIED_JOBS:
            await self.fresh.verify(cached)
        else:
            await self.fresh.read_dependencies(found.unread)
