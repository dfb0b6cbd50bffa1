"""Messages between the coordinator, which is the main process of a run, and its child processes.

Each message is one line of JSON, sent to a child on its standard input or from it on its standard
output. Times are seconds of the machine's monotonic clock, which all processes share.
"""

from typing import Any

import msgspec


class Describe(msgspec.Struct, tag="describe"):
    """Announces a job to the workers, which need its specification to run its tasks."""

    spec: dict[str, Any]


class Boot(msgspec.Struct, tag="boot"):
    """A machine is up: its worker starts and sends heartbeats."""

    machine: str
    kind: tuple[str, str, bool]  # type, zone, whether it is spot
    size: dict[str, float]


class Vanish(msgspec.Struct, tag="vanish"):
    """A machine has terminated, with its worker and tasks."""

    machine: str


class CutZone(msgspec.Struct, tag="cut_zone"):
    """Requests of a zone's workers to the controllers get no answer for `for_s` seconds."""

    zone: str
    for_s: float


class CountersRequest(msgspec.Struct, tag="report"):
    """Requests the counters."""


Command = Describe | Boot | Vanish | CutZone | CountersRequest


class Started(msgspec.Struct, tag="started"):
    """A task has its image and starts to run on a machine."""

    at: float
    machine: str
    kind: tuple[str, str, bool]
    job: str
    task: int


class Ended(msgspec.Struct, tag="ended"):
    """A task no longer runs on a machine."""

    at: float
    machine: str
    job: str
    task: int
    completed: bool


class Traffic(msgspec.Struct):
    """Traffic between a host process's workers and the controllers since the process started."""

    reports: int = 0  # heartbeats sent
    answered: int = 0  # heartbeats answered with status 200
    bytes_sent: int = 0
    bytes_received: int = 0


class Counters(msgspec.Struct, tag="counters"):
    """Sent once when a process is ready, then in answer to each `CountersRequest`."""

    workers: int = 0
    answered_workers: int = 0  # with a heartbeat answered less than one lease ago
    running: int = 0  # tasks
    sessions_ended: int = 0  # worker sessions that ended because their lease expired
    traffic: Traffic = msgspec.field(default_factory=Traffic)


Event = Started | Ended | Counters


class StateCounters(msgspec.Struct):
    """Requests and traffic of the simulated store since it started."""

    requests: int
    changes: int
    refused: int  # requests above the rate limit
    bytes_received: int
    bytes_sent: int
    keys: int


def encode_line(message: msgspec.Struct) -> bytes:
    """Encode a message as one line of JSON."""
    return msgspec.json.encode(message) + b"\n"
