"""Submissions and answers as users see them, and records as the store keeps them."""

from datetime import timedelta
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.timing.clock import seconds

MAX_TASKS = 100_000

# `$` would let a line break follow, which no key of the store may hold.
JobId = Annotated[str, Meta(pattern=r"^j-[0-9]{1,30}\Z")]
Label = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0, le=1e9)]


class Form(StrEnum):
    """What kind of job it is."""

    ARRAY = "batch"
    SERVICE = "service"
    GANG = "ensemble"  # known from version 0.4.0 on


class Priority(StrEnum):
    """Priority of a job."""

    PRODUCTION = "prod"
    HIGH = "high"
    NORMAL = "standard"
    LOW = "best_effort"


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


class Named(msgspec.Struct):
    """What has to be readable of a malformed submission to tell whether its job was accepted."""

    id: JobId


class Answer(msgspec.Struct, rename={"state": "stance"}, omit_defaults=True):
    """Answer to a user."""

    id: str
    state: Outcome
    done: int | None = None
    running: int | None = None


Row = tuple[str, int, int, list[int]]


class PageRecord(msgspec.Struct, array_like=True):
    """Progress of a range of tasks: next attempt, bitmap of done tasks in hex, and placements.

    A row is one machine: `[name without the common prefix, session, index of its zone, [task,
    attempt, seconds since acceptance, task, ...]]`, with tasks counted from the start of the page.
    Short, since all tasks of a page may be on machines of their own, and a value has a limit.
    """

    attempt: int = 1
    done: str = "0"
    # What versions up to 0.1.0 wrote instead of the rows; read, so that jobs outlive an upgrade.
    places: list[tuple[str, int, str, list[tuple[int, int, int]]]] = []
    prefix: str = ""
    zones: list[str] = []
    rows: list[Row] = []
    parts: int = 0  # further values with rows; versions up to 0.2.0 know none and write none


class RowsRecord(msgspec.Struct, array_like=True):
    """Value of `rows/<id>/<page>/<n>`: rows that do not fit into the page's own value."""

    prefix: str
    zones: list[str]
    rows: list[Row]


class SpecPart(msgspec.Struct, omit_defaults=True):
    """Value of `spec/<id>/<n>`: names of a specification that is too long for the head."""

    types: list[str] = []
    needs: list[str] = []


class JobRecord(msgspec.Struct, omit_defaults=True):
    """Value of `job/<id>`: what was submitted, when, and the progress of the first page."""

    spec: Spec
    at_ms: int
    size: int  # tasks in a page
    page: PageRecord
    cancelled: bool = False
    done: int = 0  # tasks done in all pages
    running: int = 0  # tasks on machines in all pages, without those that have completed
    # When all that it needs was done. Versions up to 0.2.0 drop it when they write a record again;
    # only jobs that need others have it, and those come when no such version serves any more.
    begun_ms: int | None = None
    spec_parts: int = 0  # further values that hold the specification's lists


class EndedRecord(msgspec.Struct, omit_defaults=True):
    """Value of `ended/<id>`: all that must be kept of a job that is over."""

    state: Outcome
    tasks: int
    at_ms: int | None = None  # when; versions up to 0.2.0 do not say
