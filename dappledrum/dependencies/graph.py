"""The waiting relation among the live jobs, in the memory of one term.

It is derived from the records of live and ended jobs, so a successor derives the same. A job is
released only when the ends of all jobs that it waits for are *stored* as done. The heartbeat of a
last task is not enough, since a cancellation on another controller may still win the write of the
record. Likewise, a job is cancelled because of another one only when the cancellation of that one
is stored.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from datetime import UTC, datetime
from typing import NamedTuple

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import EndedRecord, Outcome
from dappledrum.jobs.page import Page

log = logging.getLogger(__name__)

MAX_REMEMBERED_OUTCOMES = 10_000
MAX_LOGGED_NAMES = 8


class StoredOutcome(NamedTuple):
    """What has to be remembered of a finished job."""

    outcome: Outcome
    at: datetime | None  # None: a version that does not say has written the end
    depth: int


def shown(names: Iterable[str]) -> str:
    """Some of the names, for the log."""
    ordered = sorted(names)
    more = (
        f" and {len(ordered) - MAX_LOGGED_NAMES} more" if len(ordered) > MAX_LOGGED_NAMES else ""
    )
    return ", ".join(ordered[:MAX_LOGGED_NAMES]) + more


class DependencyGraph:
    """The relation for one term of leadership."""

    def __init__(
        self,
        jobs: dict[str, Job],
        mark: Callable[[Page], None],
        wake: Callable[[str], None],
    ) -> None:
        self.jobs = jobs
        self.mark = mark
        self.wake = wake
        self.followers: dict[str, dict[str, None]] = {}  # live jobs that wait for each job
        self.past: OrderedDict[str, StoredOutcome] = OrderedDict()
        self.unknown: dict[
            str, None
        ] = {}  # neither live nor known to be finished: their ends must be read

    def clear(self) -> None:
        """Forget everything, since the records are read again."""
        self.followers.clear()
        self.past.clear()
        self.unknown.clear()

    def add(self, job: Job) -> None:
        """Add a live job."""
        self.unknown.pop(job.id, None)
        for need in sorted(job.unmet_dependencies):
            self.followers.setdefault(need, {})[job.id] = None
        for need in sorted(job.unmet_dependencies):
            live, past = self.jobs.get(need), self.past.get(need)
            if live is not None:
                job.depth = max(job.depth, live.depth + 1)
                if live.cancelled:
                    self._cancel_followers(live)
            elif past is not None:
                self._settle(need, job, past)
            else:
                self.unknown[need] = None
        if job.unmet_dependencies and not job.cancelled:
            log.info("%s waits for %s", job.id, shown(job.unmet_dependencies))
        if job.cancelled:
            self.cancelled(job)

    def cancelled(self, job: Job) -> None:
        """Note that the cancellation of a job is stored, by any controller."""
        self._cancel_followers(job)

    def ended(self, job: Job) -> None:
        """Note that the end of a job is stored."""
        record = job.ended_record()
        for need in job.unmet_dependencies:
            self._unlink(need, job.id)
        self.settle(job.id, record, job.depth)

    def settle(self, name: str, record: EndedRecord, depth: int = 0) -> None:
        """Note a stored end, and release or cancel the jobs that wait for it."""
        at = None if record.at_ms is None else datetime.fromtimestamp(record.at_ms / 1000, UTC)
        past = self.past[name] = StoredOutcome(record.state, at, depth)
        while len(self.past) > MAX_REMEMBERED_OUTCOMES:
            self.past.popitem(last=False)
        self.unknown.pop(name, None)
        for follower in list(self.followers.get(name, ())):
            job = self.jobs.get(follower)
            if job is not None:
                self._settle(name, job, past)
        self.followers.pop(name, None)

    def _unlink(self, need: str, follower: str) -> None:
        waiting = self.followers.get(need)
        if waiting is not None:
            waiting.pop(follower, None)
            if not waiting:
                self.followers.pop(need)
                self.unknown.pop(need, None)

    def _settle(self, need: str, job: Job, past: StoredOutcome) -> None:
        if past.outcome is Outcome.CANCELLED:
            self._cancel(job, need)
            self._cancel_followers(job)
            return
        job.unmet_dependencies.discard(need)
        job.depth = max(job.depth, past.depth + 1)
        if past.at is not None:
            # Without a time, the end was before the job came: then its times count from there.
            job.released_at = max(job.released_at, past.at)
        self._unlink(need, job.id)
        if not job.unmet_dependencies and not job.cancelled:
            waited = (job.released_at - job.accepted_at).total_seconds()
            log.info("%s is released %.1f s after it came: all it needs is done", job.id, waited)
            self.wake("job released")

    def _cancel_followers(self, first: Job) -> None:
        """Cancel all jobs that wait for a job, directly or indirectly. Without recursion, since
        chains may be long."""
        stack = [first]
        while stack:
            job = stack.pop()
            for name in list(self.followers.get(job.id, ())):
                follower = self.jobs.get(name)
                if follower is not None and not follower.cancelled:
                    self._cancel(follower, job.id)
                    stack.append(follower)

    def _cancel(self, job: Job, need: str) -> None:
        if job.cancelled:
            return
        job.cancelled = True
        log.info("%s is cancelled with %s, which it needs", job.id, need)
        if job.placement_count():
            job.page(0).bump_revision()  # else it ends at once, and no head is written
        self.mark(job.page(0))
        self.wake("job cancelled")
