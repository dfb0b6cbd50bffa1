"""Heartbeats of workers and the answers to them."""

from enum import StrEnum
from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.settings import Address

Count = Annotated[int, Meta(ge=0)]  # msgspec bounds no integer by more than 63 bits
Text = Annotated[str, Meta(min_length=1, max_length=300)]


class TaskState(StrEnum):
    """State of a task on a machine."""

    FETCHING = "fetching"
    WAITING = "gathering"
    RUNNING = "running"
    SAVING = "flushing"
    ENDED = "ended"


class Cause(StrEnum):
    """Why a task ended."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    FULL = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"
    PEERS = "peers"  # of a gang: another member was lost
    ALONE = "alone"  # of a gang: the others did not come in time


#: Jobs have 100,000 tasks at the most; a longer number is not worth converting.
MAX_TASK_DIGITS = 7
#: Names of tasks that are kept split up: some for each task that runs on a large fleet.
MAX_CACHED_TASK_NAMES = 8_000


@lru_cache(maxsize=MAX_CACHED_TASK_NAMES)
def job_and_number(task: str) -> tuple[str, int | None]:
    """The name of a task's job, and the task's number: None if it is none that a job can have.

    Cached, since each heartbeat repeats the names of all tasks on its machine.
    """
    name, _, number = task.rpartition("/")
    if not (number.isascii() and number.isdigit()) or len(number) > MAX_TASK_DIGITS:
        return name, None
    return name, int(number)


class TaskStatus(
    msgspec.Struct,
    rename={"task": "beat", "attempt": "take", "state": "stance", "saved": "stored"},
):
    """One task in a heartbeat.

    States and causes stay plain text: an unknown one must not spoil the heartbeat.
    """

    task: Text
    attempt: Count
    state: Text
    cause: str | None = None
    saved: bool | None = None


class WorkerHeartbeat(
    msgspec.Struct,
    rename={
        "machine": "drum",
        "address": "endpoint",
        "type": "build",
        "zone": "hall",
        "spot": "loaners",
        "session": "set",
        "sequence": "tick",
        "token": "baton",
        "notice_s": "recallS",
        "tasks": "beats",
    },
):
    """POST /hello."""

    machine: Text
    address: Address
    type: Text
    zone: Text
    spot: bool
    session: Count
    sequence: Count
    token: Count
    notice_s: Annotated[float, Meta(ge=0, le=1e9)] | None = None
    tasks: list[TaskStatus] = []


class Command(
    msgspec.Struct,
    omit_defaults=True,
    rename={"op": "call", "task": "beat", "attempt": "take", "grace_s": "fadeS"},
):
    """A command to a worker."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class Commands(msgspec.Struct, rename={"token": "baton", "commands": "calls"}):
    """Answer to a heartbeat."""

    token: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"report_to": "conductor"}):
    """Body of a 421: the controller to send heartbeats to; without one the worker tries the
    next."""

    report_to: str | None = None
