"""What a controller remembers of the stored heads of live jobs.

Only what the versions of heads make verifiable, or what never changes, may be used for answers to
users: a head with an unchanged version still says the same, a cancelled job stays cancelled, and
the jobs that a job waits for are fixed when it is submitted.
"""

from collections import OrderedDict
from typing import NamedTuple

from dappledrum.jobs.messages import JobRecord

MAX_CACHED_JOBS = 4_000


class LiveStatus(NamedTuple):
    """The state of a live job that is shown to users."""

    cancelled: bool
    done: int
    running: int
    #: It is cancelled with a job that it waits for, and its own record need not say so yet.
    by_dependency: bool = False


CANCELLED_BY_DEPENDENCY = LiveStatus(True, 0, 0, by_dependency=True)


class JobHead(NamedTuple):
    """The head of a live job at one version, as far as answers to users need it."""

    status: LiveStatus
    version: int
    #: Jobs that may have to be done before it starts; None: they are listed in parts.
    waits_for: tuple[str, ...] | None
    spec_parts: int = 0  # number of parts that hold lists of its specification

    @property
    def may_wait(self) -> bool:
        """Whether its state depends on other jobs."""
        return self.waits_for is None or bool(self.waits_for)


def job_head(record: JobRecord, version: int) -> JobHead:
    """Return the head of a record with this version."""
    status = LiveStatus(record.cancelled, record.done, record.running)
    waits_for: tuple[str, ...] | None = ()
    # A task has started only after all that its job waits for was done.
    released = record.released_ms is not None or record.done > 0 or record.running > 0
    if not released and not record.cancelled:
        listed_in_parts = record.spec.needs is None and record.spec_parts > 0
        waits_for = None if listed_in_parts else tuple(record.spec.needs or ())
    return JobHead(status, version, waits_for, record.spec_parts)


class HeadCache:
    """The newest known heads of live jobs, which jobs are cancelled, and the lists of dependencies
    that were read from parts."""

    def __init__(self) -> None:
        self._heads: OrderedDict[str, JobHead] = OrderedDict()
        self._cancelled: OrderedDict[str, None] = OrderedDict()
        self._listed_in_parts: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def __contains__(self, job: str) -> bool:
        return job in self._heads

    def get(self, job: str) -> JobHead | None:
        """Return the newest known head of a job."""
        return self._heads.get(job)

    def put(self, job: str, head: JobHead) -> JobHead:
        """Remember a head that a read or a write of this controller has shown; returns it, with
        the jobs that it waits for if they are known."""
        if head.waits_for is None:
            head = head._replace(waits_for=self._listed_in_parts.get(job))
        if head.status.cancelled:
            self.mark_cancelled(job)
        before = self._heads.get(job)
        if before is None or before.version <= head.version:
            self._heads[job] = head
            self._heads.move_to_end(job)
            while len(self._heads) > MAX_CACHED_JOBS:
                self._heads.popitem(last=False)
        return head

    def mark_cancelled(self, job: str) -> None:
        """Remember that the stored head of a job is marked as cancelled, and so stays."""
        self._cancelled[job] = None
        while len(self._cancelled) > MAX_CACHED_JOBS:
            self._cancelled.popitem(last=False)

    def is_cancelled(self, job: str) -> bool:
        """Whether the job is known to be cancelled; False if that is not known."""
        return job in self._cancelled

    def put_dependencies(self, job: str, needs: tuple[str, ...]) -> None:
        """Remember the jobs that a job waits for, as its parts list them."""
        self._listed_in_parts[job] = needs
        while len(self._listed_in_parts) > MAX_CACHED_JOBS:
            self._listed_in_parts.popitem(last=False)

    def drop(self, job: str, version: int) -> None:
        """Forget a head of this version or an older one, which has changed since."""
        head = self._heads.get(job)
        if head is not None and head.version <= version:
            del self._heads[job]
