"""Heartbeats of workers and the answers to them."""

from enum import StrEnum
from functools import lru_cache
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.settings import Address

Count = Annotated[int, Meta(ge=0)]  # no upper bound: msgspec supports none above 63 bits
Text = Annotated[str, Meta(min_length=1, max_length=300)]


class TaskState(StrEnum):
    """State of a task attempt on a machine."""

    FETCHING = "fetching"
    WAITING = "gathering"
    RUNNING = "running"
    SAVING = "flushing"
    ENDED = "ended"


class Cause(StrEnum):
    """Why a task attempt ended."""

    DONE = "done"
    STOPPED = "stopped"
    ERROR = "error"
    FULL = "full"
    BUSY = "busy"
    UNKNOWN = "unknown"
    PEERS = "peers"  # another member of the gang was lost
    ALONE = "alone"  # the rest of the gang did not start in time


#: A job has at most 100,000 tasks; a longer number is not converted.
MAX_TASK_DIGITS = 7
#: Several times the number of tasks that run on a large fleet.
MAX_CACHED_TASK_NAMES = 8_000


@lru_cache(maxsize=MAX_CACHED_TASK_NAMES)
def job_and_number(task: str) -> tuple[str, int | None]:
    """Split a task name into the job name and the task number, which is None if not valid.

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

    `state` and `cause` are plain text, so that an unknown value doesn't invalidate the heartbeat.
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
    """Body of POST /hello: a worker's heartbeat.

    `notice_s`: seconds until the cloud reclaims the machine, if it has announced that.
    """

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
    """A command to a worker; `op` is `start`, `stop` or `forget`."""

    op: str
    task: str
    attempt: int
    grace_s: float | None = None


class Commands(msgspec.Struct, rename={"token": "baton", "commands": "calls"}):
    """Answer to a heartbeat."""

    token: int
    commands: list[Command]


class Redirect(msgspec.Struct, omit_defaults=True, rename={"report_to": "conductor"}):
    """Body of a 421 response: the controller to send heartbeats to; if None, the worker tries the
    next one."""

    report_to: str | None = None
