"""A job in the leader's memory."""

from collections.abc import Iterator, Sequence
from datetime import UTC, datetime

import msgspec

from dappledrum.jobs.keys import spec_key
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
from dappledrum.jobs.value_parts import LONG_SPEC_DIVISOR, join_spec, split_spec
from dappledrum.scheduling.timeline import Size
from dappledrum.store.messages import Delete, Put
from dappledrum.timing.clock import ZERO

<<<<<<< HEAD
PAGE = 256  # tasks, at most
MIN_PAGE = 8
ROW = 30  # bytes that a task on a machine of its own usually takes
FRAME = 220  # bytes of a head besides its specification, its bitmap and its rows


def head_key(job: str) -> str:
    """Key of a live job."""
    return f"job/{job}"


def page_size(spec: Spec, value_bytes: int) -> int:
    """Tasks in a page of a new job: as many as fit into a value when each is on a machine of its
    own, beside the specification in the head, so that no task waits for room in a record."""
    capacity = value_bytes - len(msgspec.json.encode(spec)) - FRAME
    return min(PAGE, max(MIN_PAGE, capacity * 4 // (ROW * 4 + 1)))


def page_key(job: str, index: int) -> str:
    """Key of a further page of a live job."""
    return f"page/{job}/{index}"


def rows_key(job: str, index: int, part: int) -> str:
    """Key of rows that do not fit into a page's value."""
    return f"rows/{job}/{index}/{part}"


def spec_key(job: str, part: int) -> str:
    """Key of a part of a long specification."""
    return f"spec/{job}/{part}"


def ended_key(job: str) -> str:
    """Key of a job that is over."""
    return f"ended/{job}"


class Placement:
    """One attempt of one task on one machine in one session."""

    __slots__ = (
        "attempt",
        "offered_sequence",
        "placed_at",
        "revision",
        "running_since",
        "observed",
        "session",
        "task",
        "machine",
        "name",
        "zone",
        "page",
        "lost",
        "waiting_for_gang",
        "accrued_cost",
    )

    def __init__(
        self,
        page: "Page",
        task: int,
        attempt: int,
        machine: str,
        session: int,
        zone: str,
        placed_at: datetime,
    ) -> None:
        self.page = page
        self.task = task
        self.name = f"{page.job.id}/{task}"  # as heartbeats and commands say
        self.attempt = attempt
        self.machine = machine
        self.session = session
        self.zone = zone
        self.placed_at = placed_at
        self.revision = page.revision
        self.observed = False  # a heartbeat has shown it
        self.running_since: timedelta | None = None
        self.offered_sequence = -1  # tick of the newest heartbeat whose answer carried the start
        self.lost = False  # to be given up as soon as that is proven safe
        self.waiting_for_gang = False  # has its image and waits for the rest of its gang
        self.accrued_cost = 0.0  # money that its run time has cost so far, see `accounts`


class Page:
    """Progress of a range of tasks."""

    def __init__(self, job: "Job", index: int) -> None:
        self.job = job
        self.index = index
        self.first = index * job.page_size
        self.count = min(job.page_size, job.spec.tasks - self.first)
        self.attempt = 1
        self.done = 0
        self.placements: dict[int, Placement] = {}
        #: Placements of tasks that have completed in an earlier attempt, which was taken for lost.
        self.superfluous = 0
        self.revision = 0
        self.last_placement_revision = (
            0  # revision of the newest placement: its start waits until that is stored
        )
        self.stored_revision = 0
        self.stored_bytes = 0
        self.version = 0  # of the stored key; 0: not stored
        self.parts = 0  # further values of the stored form
        self.version_uncertain = (
            False  # the outcome of the last write is unknown: read before writing
        )
        self.delayed_write_possible = False  # a write without an answer may yet be carried out

    @property
    def key(self) -> str:
        """Key that the page is stored under; the first page is part of the job's head."""
        return head_key(self.job.id) if self.index == 0 else page_key(self.job.id, self.index)

    @property
    def dirty(self) -> bool:
        """Something is not stored yet."""
        return self.revision > self.stored_revision

    def bump_revision(self) -> int:
        """Note a change; returns the revision that has to be stored for it."""
        self.revision += 1
        return self.revision

    def placed(self) -> int:
        """Bitmap of the tasks that count as being on a machine."""
        result = 0
        for task in self.placements:
            result |= 1 << (task - self.first)
        return result

    def free_tasks(self) -> Iterator[int]:
        """Tasks that are neither done nor on a machine."""
        left = ~(self.done | self.placed()) & ((1 << self.count) - 1)
        while left:
            low = left & -left
            yield self.first + low.bit_length() - 1
            left ^= low

    def max_row_bytes(self, now: datetime) -> int:
        """The most that a placement made now takes in the stored form, besides its machine."""
        since = self._since(now)
        return len(f"{self.count},{self.attempt + self.count},{since},")

    def max_value_bytes(self, machine: str, now: datetime) -> int:
        """No stored form of the page with one placement more, on this machine, is longer than
        this; each further one there adds at most a row."""
        machines = {(p.machine, p.session) for p in self.placements.values()}
        names = [name for name, _ in machines] + [machine]
        prefix = len(commonprefix(names))
        heads = sum(len(name) - prefix + 12 for name in names)
        sessions = sum(len(str(session)) for _, session in machines)
        zones = sum(len(zone) + 3 for zone in {p.zone for p in self.placements.values()})
        spec = self.job.spec_bytes if self.index == 0 else 0
        rows = self.max_row_bytes(now) * (len(self.placements) + 1)
        return spec + FRAME + self.count // 4 + heads + sessions + zones + rows

    def place(
        self,
        task: int,
        machine: str,
        session: int,
        zone: str,
        now: datetime,
        attempt: int | None = None,
    ) -> Placement:
        """Count a task as on a machine, before its start may be sent; `attempt`: no less than the
        next one of the page."""
        attempt = self.attempt if attempt is None else attempt
        self.attempt = attempt + 1
        self.last_placement_revision = self.bump_revision()
        placement = Placement(self, task, attempt, machine, session, zone, now)
        self.placements[task] = placement
        return placement

    def remove(self, task: int) -> None:
        """The attempt is proven gone."""
        if self.placements.pop(task, None) is not None:
            self.superfluous -= self.is_done(task)
            self.bump_revision()

    def finish(self, task: int) -> None:
        """The task has completed."""
        bit = 1 << (task - self.first)
        if not self.done & bit:
            self.done |= bit
            self.superfluous += task in self.placements
            self.job.done += 1
            self.bump_revision()

    def is_done(self, task: int) -> bool:
        """Whether the task has completed."""
        return bool(self.done >> (task - self.first) & 1)

    def to_record(self) -> PageRecord:
        """The stored form, in one piece."""
        zones: dict[str, int] = {}
        grouped: dict[tuple[str, int, int], list[int]] = {}
        for placement in self.placements.values():
            zone = zones.setdefault(placement.zone, len(zones))
            row = grouped.setdefault((placement.machine, placement.session, zone), [])
            row += (
                placement.task - self.first,
                placement.attempt,
                self._since(placement.placed_at),
            )
        prefix = commonprefix([machine for machine, _, _ in grouped])
        rows = [
            (machine[len(prefix) :], session, zone, row)
            for (machine, session, zone), row in grouped.items()
        ]
        return PageRecord(self.attempt, f"{self.done:x}", [], prefix, list(zones), rows)

    def to_values(self, whole: int, part: int) -> list[Put | Delete]:
        """Changes that store the page: in one value of at most `whole` bytes, or else in several
        of at most `part`."""
        record = self.to_record()
        value = self._value(record)
        extra: list[RowsRecord] = []
        if len(value) > whole:
            if self.index == 0:
                self.job.detach(part)
            bare = msgspec.structs.replace(record, rows=[], parts=99)
            first = part - len(self._value(bare))
            rows, extra = split_rows(record.prefix, record.zones, record.rows, first, part)
            record = msgspec.structs.replace(record, rows=rows, parts=len(extra))
            value = self._value(record)
        changes: list[Put | Delete] = [Put(self.key, msgspec.Raw(value))]
        if self.index == 0:
            changes += self.job.spec_changes()
        for at, rows_record in enumerate(extra):
            value = msgspec.json.encode(rows_record)
            changes.append(Put(rows_key(self.job.id, self.index, at), msgspec.Raw(value)))
        for at in range(len(extra), self.parts):
            changes.append(Delete(rows_key(self.job.id, self.index, at)))
        return changes

    def _value(self, record: PageRecord) -> bytes:
        return msgspec.json.encode(self.job.head_record(record) if self.index == 0 else record)

    def _since(self, at: datetime) -> int:
        return int((at - self.job.accepted_at).total_seconds())

    def load(self, record: PageRecord, version: int) -> None:
        """Take over what a predecessor stored."""
        self.attempt = record.attempt
        self.done = int(record.done, 16) & ((1 << self.count) - 1)
        self.version = version
        self.parts = record.parts
        for machine, session, zone, old in record.places:
            for row in old:
                self._restore(machine, session, zone, *row)
        self.load_rows(record)

    def load_rows(self, record: PageRecord | RowsRecord) -> None:
        """Take over placements, those of a part included."""
        for suffix, session, index, numbers in record.rows:
            machine, zone = record.prefix + suffix, record.zones[index]
            for at in range(0, len(numbers), 3):
                self._restore(machine, session, zone, *numbers[at : at + 3])

    def _restore(
        self, machine: str, session: int, zone: str, offset: int, attempt: int, since: int
    ) -> None:
        task = self.first + offset
        at = self.job.accepted_at + timedelta(seconds=since)
        self.superfluous += self.is_done(task) and task not in self.placements
        self.placements[task] = Placement(self, task, attempt, machine, session, zone, at)

=======
>>>>>>> 7664a28 (Jobs: job.py split into keys, placement, page, its stored form, and the job)

class Job:
    """A live job."""

    def __init__(
        self, record: JobRecord, version: int, spec_parts: Sequence[SpecPart] = ()
    ) -> None:
        self.spec: Spec = join_spec(record.spec, spec_parts)
        self.size = Size(self.spec.cpus, self.spec.gpus, self.spec.memory_gb)
        self.stored_spec = record.spec
        self.spec_parts = len(spec_parts)
        self.unstored_spec_parts: list[SpecPart] = []  # to be written with the head
        self.id = record.spec.id
        self.page_size = record.size
        self.accepted_at = datetime.fromtimestamp(record.at_ms / 1000, UTC)
        # Jobs that are not stored as done yet: nothing of this one may start before.
        self.unmet_dependencies: set[str] = set()
        # From when its times count, its deadline apart: when its last dependency was done.
        self.released_at = self.accepted_at
        if record.released_ms is None:
            self.unmet_dependencies.update(self.spec.needs or ())
        else:
            self.released_at = datetime.fromtimestamp(record.released_ms / 1000, UTC)
        self.depth = 0  # length of the longest chain of jobs that it depends on
        # Of its own priority, or of that of a job that depends on it.
        self.effective_rank = PRIORITY_RANKS[record.spec.priority]
        self.ended_at: datetime | None = None  # when all was done or terminated, stored or not
        self.cancelled = record.cancelled
        self.cancel_stored = record.cancelled  # acknowledged to users already
        self.done = 0
        self.spec_bytes = len(msgspec.json.encode(self.stored_spec))
        self.pages: dict[int, Page] = {}
        load_page(self.page(0), record.page, version)
        self.done = self.pages[0].done.bit_count()
        # A task of it has run, as far as the records or this leader's heartbeats show.
        self.has_run = self.done > 0 or self.placement_count() > 0
        self.finished = False
        self.failures_by_machine: dict[str, int] = {}  # since the last success
        self.retry_at = ZERO
        self.first_open_page = 0  # all tasks of the pages before it are done

    @property
    def page_count(self) -> int:
        """Number of pages, stored or not."""
        return -(-self.spec.tasks // self.page_size)

    def page(self, index: int) -> Page:
        """The page with this index; pages are made when they are first needed."""
        page = self.pages.get(index)
        if page is None:
            page = self.pages[index] = Page(self, index)
        return page

    def page_of(self, task: int) -> Page:
        """The page of a task."""
        return self.page(task // self.page_size)

    def add_page(self, index: int, record: PageRecord, version: int) -> None:
        """Add a further page from its record; `version` is that of its key."""
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
        """Every task has completed; a service never does."""
        return self.spec.form is not Form.SERVICE and self.done >= self.spec.tasks

    def state(self) -> Outcome:
        """State as users see it."""
        if self.cancelled:
            return Outcome.CANCELLED
        return Outcome.RUNNING if self.placement_count() else Outcome.QUEUED

    def split_specification(self, max_part_bytes: int) -> None:
        """Store the lists of a long specification apart from the head."""
        if not self.spec_parts and self.spec_bytes > max_part_bytes // LONG_SPEC_DIVISOR:
            self.stored_spec, self.unstored_spec_parts = split_spec(self.spec, max_part_bytes)
            self.spec_parts = len(self.unstored_spec_parts)
            self.spec_bytes = len(msgspec.json.encode(self.stored_spec))

    def spec_changes(self) -> list[Put | Delete]:
        """Changes that have to be written with the head."""
        return [
            Put(spec_key(self.id, at), msgspec.Raw(msgspec.json.encode(part)))
            for at, part in enumerate(self.unstored_spec_parts)
        ]

    def head_record(self, page: PageRecord | None = None) -> JobRecord:
        """Stored form of the head, with that of its page."""
        at_ms = round(self.accepted_at.timestamp() * 1000)
        released_ms = None
        if self.spec.needs and not self.unmet_dependencies:
            released_ms = round(self.released_at.timestamp() * 1000)
        return JobRecord(
            self.stored_spec,
            at_ms,
            self.page_size,
            page or page_record(self.page(0)),
            self.cancelled,
            self.done,
            self.running(),
            released_ms,
            self.spec_parts,
        )

    def ended_record(self) -> EndedRecord:
        """Stored form of the finished job."""
        state = Outcome.CANCELLED if self.cancelled else Outcome.DONE
        at_ms = None if self.ended_at is None else round(self.ended_at.timestamp() * 1000)
        return EndedRecord(state, self.spec.tasks, at_ms)
