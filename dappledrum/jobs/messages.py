"""Submissions and answers as users see them, and records as the store keeps them."""

from collections.abc import Iterator
from datetime import timedelta
from enum import StrEnum
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from dappledrum.timing.clock import seconds

MAX_TASKS = 100_000

# `$` would let a line break follow, which no key of the store may hold.
JobId = Annotated[str, Meta(pattern=r"^j-[0-9]{1,30}\Z")]
Label = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class Form(StrEnum):
    """Form of a job: independent tasks, a service, or tasks that run together."""

    ARRAY = "batch"
    SERVICE = "service"
    GANG = "ensemble"  # known from version 0.4.0 on


class Priority(StrEnum):
    """Priority of a job."""

    PRODUCTION = "prod"
    HIGH = "high"
    NORMAL = "standard"
    LOW = "best_effort"


#: Lower ranks are scheduled first.
PRIORITY_RANKS = {Priority.PRODUCTION: 0, Priority.HIGH: 1, Priority.NORMAL: 2, Priority.LOW: 3}


class Outcome(StrEnum):
    """State of a job as users see it."""

    QUEUED = "pending"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


class Spec(
    msgspec.Struct,
    frozen=True,
    omit_defaults=True,
    rename={
        "job_class": "pattern",
        "team": "crew",
        "priority": "urgency",
        "tasks": "beats",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "memGb",
        "image": "skin",
        "image_gb": "pullGb",
        "types": "builds",
        "zone": "hall",
        "one_zone": "oneZone",
        "spot": "loaners",
        "estimate_s": "expectedS",
        "checkpoint_s": "markEveryS",
        "save_s": "markTakeS",
        "deadline_s": "dueS",
        "needs": "waitsOn",
    },
):
    """A submission."""

    id: JobId
    job_class: Label
    team: Label
    form: Form
    priority: Priority
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)]
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    image: Label
    image_gb: Amount
    one_zone: bool
    spread: bool
    spot: bool
    estimate_s: Amount
    checkpoint_s: Amount
    save_s: Amount
    types: Annotated[list[Label], Meta(max_length=64)] | None = None
    zone: Label | None = None
    deadline_s: Amount | None = None
    needs: list[JobId] | None = None  # jobs that have to be done before any task starts

    @property
    def estimate(self) -> timedelta:
        """The owner's estimate of a task's run time."""
        return seconds(self.estimate_s)

    @property
    def save(self) -> timedelta:
        """Time a task needs to save when it is stopped."""
        return seconds(self.save_s)


class SubmissionId(msgspec.Struct):
    """ID in a malformed submission, which shows whether its job was accepted before."""

    id: JobId


class StatusResponse(msgspec.Struct, rename={"state": "stance"}, omit_defaults=True):
    """Body of a successful answer to a user."""

    id: str
    state: Outcome
    done: int | None = None
    running: int | None = None


class TaskFigures(NamedTuple):
    """Stored figures of a placement, without its machine."""

    offset: int  # of the task from the start of the page
    attempt: int
    placed_s: int  # seconds since the job was accepted


FIGURES_PER_TASK = len(TaskFigures._fields)


class MachineRow(NamedTuple):
    """The placements of a page on one machine, in the order of their numbers in the record."""

    machine_suffix: str  # name without the prefix that all machines of the record share
    session: int
    zone_index: int
    figures: list[int]  # `TaskFigures` of all tasks, concatenated

    def tasks(self) -> Iterator[TaskFigures]:
        """The figures of each task."""
        for start in range(0, len(self.figures), FIGURES_PER_TASK):
            yield TaskFigures(*self.figures[start : start + FIGURES_PER_TASK])


class TaskRow(NamedTuple):
    """A stored placement: the figures of the task, and its machine."""

    machine: str
    session: int
    zone: str
    figures: TaskFigures


#: Row of a machine in records of versions up to 0.1.0: name, session, zone, figures of each task.
LegacyRow = tuple[str, int, str, list[tuple[int, int, int]]]


class PageRecord(msgspec.Struct, array_like=True):
    """Progress of a range of tasks: next attempt, bitmap of done tasks in hex, and placements.

    The order of the fields is that of the stored array. Rows are kept short because each task of
    a page may be on a different machine, and the size of a value is limited.
    """

    attempt: int = 1
    done: str = "0"
    # Written by versions up to 0.1.0 instead of `rows`; still read so that jobs survive upgrades.
    legacy_rows: list[LegacyRow] = []
    prefix: str = ""
    zones: list[str] = []
    rows: list[MachineRow] = []
    parts: int = 0  # number of additional values with rows; unknown to versions up to 0.2.0


class RowsRecord(msgspec.Struct, array_like=True):
    """Value of `rows/<id>/<page>/<n>`: rows that do not fit into the page's own value."""

    prefix: str
    zones: list[str]
    rows: list[MachineRow]


class SpecPart(msgspec.Struct, omit_defaults=True):
    """Value of `spec/<id>/<n>`: list items of a specification that is too long for the head, or
    a piece of a name."""

    types: list[str] = []
    needs: list[str] = []
    image: str = ""  # unknown to versions up to 0.7.1, which would take the head's placeholder
    job_class: str = ""


class JobRecord(msgspec.Struct, omit_defaults=True, rename={"released_ms": "begun_ms"}):
    """Value of `job/<id>`: the submission, its time, and the progress of the first page."""

    spec: Spec
    at_ms: int
    size: int  # tasks in a page
    page: PageRecord
    cancelled: bool = False
    done: int = 0  # tasks done in all pages
    running: int = 0  # tasks on machines in all pages, without those that have completed
    # When all its dependencies were done. Versions up to 0.2.0 drop it when they rewrite a record,
    # but only jobs with dependencies have it, which are accepted once no such version is running.
    released_ms: int | None = None
    spec_parts: int = 0  # number of additional values that hold lists and names of it


class EndedRecord(msgspec.Struct, omit_defaults=True):
    """Value of `ended/<id>`: the final state of a finished job."""

    state: Outcome
    tasks: int
    at_ms: int | None = None  # when it ended; not written by versions up to 0.2.0
