"""Dependency graph of the live jobs, in the memory of the leader.

It is derived from the records of live and ended jobs, so a new leader derives the same graph. A
job is released only when all its dependencies are *stored* as done. The heartbeat that reports
the end of the last task is not enough, since a cancellation by another controller may still be
the first to write the record. Likewise, a job is cancelled with a dependency only after the
dependency's cancellation is stored.
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
    """The remembered outcome of a finished job."""

    outcome: Outcome
    ended_at: datetime | None  # when it ended; None if written by a version that does not store it
    depth: int


def format_names(names: Iterable[str]) -> str:
    """Up to `MAX_LOGGED_NAMES` names and the number of the others, for the log."""
    ordered = sorted(names)
    more = (
        f" and {len(ordered) - MAX_LOGGED_NAMES} more" if len(ordered) > MAX_LOGGED_NAMES else ""
    )
    return ", ".join(ordered[:MAX_LOGGED_NAMES]) + more


class DependencyGraph:
    """Dependency graph of one term of leadership."""

    def __init__(
        self,
        jobs: dict[str, Job],
        mark_dirty: Callable[[Page], None],
        request_plan: Callable[[str], None],
    ) -> None:
        self.jobs = jobs
        self.mark_dirty = mark_dirty
        self.request_plan = request_plan
        self.dependents: dict[str, dict[str, None]] = {}  # live jobs that wait for each job
        self.outcomes: OrderedDict[str, StoredOutcome] = OrderedDict()
        # Dependencies neither live nor known to be finished; their records must be read.
        self.unknown: dict[str, None] = {}

    def clear(self) -> None:
        """Forget everything, before the records are read again."""
        self.dependents.clear()
        self.outcomes.clear()
        self.unknown.clear()

    def add(self, job: Job) -> None:
        """Add a live job."""
        self.unknown.pop(job.id, None)
        for dependency in sorted(job.unmet_dependencies):
            self.dependents.setdefault(dependency, {})[job.id] = None
        for dependency in sorted(job.unmet_dependencies):
            live, stored = self.jobs.get(dependency), self.outcomes.get(dependency)
            if live is not None:
                job.depth = max(job.depth, live.depth + 1)
                if live.cancelled:
                    self._cancel_dependents(live)
            elif stored is not None:
                self._apply_outcome(dependency, job, stored)
            else:
                self.unknown[dependency] = None
        if job.unmet_dependencies and not job.cancelled:
            log.info("%s waits for %s", job.id, format_names(job.unmet_dependencies))
        if job.cancelled:
            self.cancelled(job)

    def cancelled(self, job: Job) -> None:
        """Handle that the cancellation of a job was stored, by any controller."""
        self._cancel_dependents(job)

    def ended(self, job: Job) -> None:
        """Handle that the final state of a job was stored."""
        record = job.ended_record()
        for dependency in job.unmet_dependencies:
            self._unlink(dependency, job.id)
        self.record_outcome(job.id, record, job.depth)

    def record_outcome(self, name: str, record: EndedRecord, depth: int = 0) -> None:
        """Record a stored final state, and release or cancel the jobs that wait for it."""
        ended_at = (
            None if record.at_ms is None else datetime.fromtimestamp(record.at_ms / 1000, UTC)
        )
        stored = self.outcomes[name] = StoredOutcome(record.state, ended_at, depth)
        while len(self.outcomes) > MAX_REMEMBERED_OUTCOMES:
            self.outcomes.popitem(last=False)
        self.unknown.pop(name, None)
        for dependent in list(self.dependents.get(name, ())):
            job = self.jobs.get(dependent)
            if job is not None:
                self._apply_outcome(name, job, stored)
        self.dependents.pop(name, None)

    def _unlink(self, dependency: str, dependent: str) -> None:
        waiting = self.dependents.get(dependency)
        if waiting is not None:
            waiting.pop(dependent, None)
            if not waiting:
                self.dependents.pop(dependency)
                self.unknown.pop(dependency, None)

    def _apply_outcome(self, dependency: str, job: Job, stored: StoredOutcome) -> None:
        if stored.outcome is Outcome.CANCELLED:
            self._cancel(job, dependency)
            self._cancel_dependents(job)
            return
        job.unmet_dependencies.discard(dependency)
        job.depth = max(job.depth, stored.depth + 1)
        if stored.ended_at is not None:
            # Without a stored time, the dependency ended before this job was accepted, and the
            # job's times count from its acceptance.
            job.released_at = max(job.released_at, stored.ended_at)
        self._unlink(dependency, job.id)
        if not job.unmet_dependencies and not job.cancelled:
            waited = (job.released_at - job.accepted_at).total_seconds()
            log.info("%s released %.1f s after submission: all dependencies done", job.id, waited)
            self.request_plan("job released")

    def _cancel_dependents(self, first: Job) -> None:
        """Cancel all jobs that wait for a job, directly or indirectly.

        Not recursive, since chains may be long.
        """
        stack = [first]
        while stack:
            job = stack.pop()
            for name in list(self.dependents.get(job.id, ())):
                dependent = self.jobs.get(name)
                if dependent is not None and not dependent.cancelled:
                    self._cancel(dependent, job.id)
                    stack.append(dependent)

    def _cancel(self, job: Job, dependency: str) -> None:
        if job.cancelled:
            return
        job.cancelled = True
        log.info("%s cancelled with its dependency %s", job.id, dependency)
        if job.placement_count():
            # Without placements the job ends at once, and its head is not written again.
            job.page(0).bump_revision()
        self.mark_dirty(job.page(0))
        self.request_plan("job cancelled")
