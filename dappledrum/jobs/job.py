"""State of a live job in the leader's memory."""

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

from dappledrum.jobs.messages import (
    PRIORITY_RANKS,
    EndedRecord,
    Form,
    JobRecord,
    Outcome,
    PageRecord,
    Spec,
    SpecPart,
)
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import load_page, page_record
from dappledrum.jobs.placement import Placement
from dappledrum.jobs.stored_spec import StoredSpec
from dappledrum.scheduling.timeline import Size
from dappledrum.timing.clock import ZERO


class Job:
    """A live job: specification, progress of its pages, and the leader's state of it."""

    def __init__(
        self, record: JobRecord, version: int, spec_parts: Sequence[SpecPart] = ()
    ) -> None:
        self.stored_spec = StoredSpec(record, spec_parts)
        self.spec: Spec = self.stored_spec.complete
        self.size = Size(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        self.id = record.spec.id
        self.page_size = record.size
        self.accepted_at = datetime.fromtimestamp(record.at_ms / 1000, UTC)
        # Dependencies not yet stored as done; no task of this job may start before they are.
        self.unmet_dependencies: set[str] = set()
        # When its last dependency was done; its times count from here, except its deadline.
        self.released_at = self.accepted_at
        if record.released_ms is None:
            self.unmet_dependencies.update(self.spec.needs or ())
        else:
            self.released_at = datetime.fromtimestamp(record.released_ms / 1000, UTC)
        self.depth = 0  # length of the longest chain of jobs that it depends on
        # Rank of its own priority, or of the priority of a job that depends on it.
        self.effective_rank = PRIORITY_RANKS[record.spec.priority]
        self.ended_at: datetime | None = None  # when it was done or terminated, stored or not
        self.cancelled = record.cancelled
        self.cancel_stored = record.cancelled  # users may have received an acknowledgement
        self.done = 0
        self.pages: dict[int, Page] = {}
        load_page(self.page(0), record.page, version)
        self.done = self.pages[0].done.bit_count()
        # Whether any task has run, according to the records and this leader's heartbeats.
        self.has_run = self.done > 0 or self.placement_count() > 0
        self.finished = False
        self.failures_by_machine: dict[str, int] = {}  # since a task last succeeded
        self.retry_at = ZERO
        self.first_open_page = 0  # all tasks of the pages before it are done

    @property
    def page_count(self) -> int:
        """Number of pages, stored or not."""
        return -(-self.spec.tasks // self.page_size)

    def page(self, index: int) -> Page:
        """The page with this index, created on first use."""
        page = self.pages.get(index)
        if page is None:
            page = self.pages[index] = Page(self, index)
        return page

    def page_of(self, task: int) -> Page:
        """The page of a task."""
        return self.page(task // self.page_size)

    def add_page(self, index: int, record: PageRecord, version: int) -> None:
        """Add a page other than the first from its record; `version` is that of its key."""
        page = self.page(index)
        load_page(page, record, version)
        self.done += page.done.bit_count()

    def placements(self) -> Iterator[Placement]:
        """Every attempt that counts as on a machine."""
        for page in self.pages.values():
            yield from page.placements.values()

    def placement_count(self) -> int:
        """Number of attempts that count as on a machine."""
        return sum(len(page.placements) for page in self.pages.values())

    def running(self) -> int:
        """Number of tasks that have not completed and count as on a machine."""
        return sum(len(page.placements) - page.superfluous for page in self.pages.values())

    def waiting(self) -> int:
        """Number of tasks to be started."""
        return self.spec.tasks - self.done - self.running()

    def next_attempt(self) -> int:
        """An attempt number that no task of the job has had."""
        return max((page.attempt for page in self.pages.values()), default=1)

    def pages_with_free_tasks(self) -> Iterator[Page]:
        """Pages that may hold tasks to be started, in order."""
        while self.first_open_page < self.page_count - 1:
            page = self.pages.get(self.first_open_page)
            if page is None or page.done.bit_count() < page.count:
                break
            self.first_open_page += 1
        for index in range(self.first_open_page, self.page_count):
            yield self.page(index)

    def complete(self) -> bool:
        """Whether every task has completed; never true of a service."""
        return self.spec.form is not Form.SERVICE and self.done >= self.spec.tasks

    def state(self) -> Outcome:
        """State as users see it."""
        if self.cancelled:
            return Outcome.CANCELLED
        return Outcome.RUNNING if self.placement_count() else Outcome.QUEUED

    def adopt_head(self, record: JobRecord) -> None:
        """Take over which values the head is stored in; another controller may have written it,
        see `cancelled_head`."""
        self.stored_spec.adopt(record)
        head = self.page(0)
        head.parts = max(head.parts, record.page.parts)

    def head_record(self, page: PageRecord | None = None) -> JobRecord:
        """Stored form of the head, including the record of its page."""
        at_ms = round(self.accepted_at.timestamp() * 1000)
        released_ms = None
        if self.spec.needs and not self.unmet_dependencies:
            released_ms = round(self.released_at.timestamp() * 1000)
        return JobRecord(
            self.stored_spec.in_head,
            at_ms,
            self.page_size,
            page or page_record(self.page(0)),
            self.cancelled,
            self.done,
            self.running(),
            released_ms,
            self.stored_spec.part_count,
        )

    def ended_record(self) -> EndedRecord:
        """Stored form of the finished job."""
        state = Outcome.CANCELLED if self.cancelled else Outcome.DONE
        at_ms = None if self.ended_at is None else round(self.ended_at.timestamp() * 1000)
        return EndedRecord(state, self.spec.tasks, at_ms)
