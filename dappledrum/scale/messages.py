"""Messages between the coordinator and the processes that it starts.

One JSON object a line: to a process on its standard input, from it on its standard output. Times
are readings of the machine's steady clock, which all processes share.
"""

from typing import Any

import msgspec


class Describe(msgspec.Struct, tag="describe"):
    """A job's specification, as a worker would fetch it before it runs a task."""

    spec: dict[str, Any]


class Boot(msgspec.Struct, tag="boot"):
    """A machine is up: its worker begins to report."""

    machine: str
    kind: tuple[str, str, bool]
    size: dict[str, float]


class Vanish(msgspec.Struct, tag="vanish"):
    """A machine is gone with all that is on it."""

    machine: str


class CutZone(msgspec.Struct, tag="cut_zone"):
    """Nothing passes between controllers and the workers of a zone for so many seconds."""

    zone: str
    for_s: float


class Report(msgspec.Struct, tag="report"):
    """Ask for the counters."""


Command = Describe | Boot | Vanish | CutZone | Report


class Started(msgspec.Struct, tag="started"):
    """A task has its image and starts on a machine."""

    at: float
    machine: str
    kind: tuple[str, str, bool]
    job: str
    task: int


class Ended(msgspec.Struct, tag="ended"):
    """A task is off a machine."""

    at: float
    machine: str
    job: str
    task: int
    completed: bool


class Traffic(msgspec.Struct):
    """What passed between a host's workers and the controllers since the process began."""

    reports: int = 0
    answered: int = 0
    bytes_sent: int = 0
    bytes_received: int = 0


class Counters(msgspec.Struct, tag="counters"):
    """Answer to `Report`, once a process is ready and each time it is asked."""

    workers: int = 0
    answered_workers: int = 0  # whose last report was answered within a lease
    running: int = 0
    sessions_ended: int = 0
    traffic: Traffic = msgspec.field(default_factory=Traffic)


Event = Started | Ended | Counters


class StateCounters(msgspec.Struct):
    """What the store has served since it began."""

    requests: int
    changes: int
    refused: int
    bytes_received: int
    bytes_sent: int
    keys: int


def encode_line(message: msgspec.Struct) -> bytes:
    """One message as a line."""
    return msgspec.json.encode(message) + b"\n"
