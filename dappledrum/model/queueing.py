"""Jobs that are left waiting though a machine has room for them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

WAITING_S = 90.0  # after the last trouble, and without a start of one of its tasks
LOOK_EVERY_S = 1.0
ROUNDING = 1e-6


@dataclass(frozen=True)
class Amount:
    """What a task takes, or a machine or team has left."""

    cpus: float
    gpus: float
    memory_gb: float

    def holds(self, other: "Amount") -> bool:
        """Whether the other one fits into it."""
        return (
            other.cpus <= self.cpus + ROUNDING
            and other.gpus <= self.gpus + ROUNDING
            and other.memory_gb <= self.memory_gb + ROUNDING
        )

    def less(self, other: "Amount") -> "Amount":
        """What is left of it."""
        return Amount(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )


@dataclass(frozen=True)
class FreeMachine:
    """A machine that is up and well, and what is free on it."""

    machine: str
    kind: tuple[str, str, bool]  # type, zone, spot
    free: Amount


@dataclass(frozen=True)
class WaitingJob:
    """A job with tasks that are neither done nor on a machine."""

    spec: dict[str, Any]
    missing: int
    zones: tuple[str, ...]  # of its tasks that are on machines
    team_left: Amount


@dataclass
class Waiting:
    """Since when each job could have had more tasks on machines, and had none started."""

    since: dict[str, float] = field(default_factory=dict)
    looked_at: float = float("-inf")

    def due(self, at: float) -> bool:
        """Whether it is time to look again."""
        return at - self.looked_at >= LOOK_EVERY_S

    def started(self, job: str) -> None:
        """One of its tasks starts: it is not left waiting."""
        self.since.pop(job, None)

    def look(
        self, at: float, jobs: Iterable[WaitingJob], free_machines: list[FreeMachine]
    ) -> list[str]:
        """The jobs that have waited for too long, with the machines that had room for them."""
        self.looked_at = at
        waiting, left = set(), []
        for job in jobs:
            machine = _machine_for(job, free_machines)
            if machine is None:
                continue
            name = job.spec["id"]
            waiting.add(name)
            if at - self.since.setdefault(name, at) > WAITING_S:
                left.append(f"{name} since {self.since[name]:.1f}, though {machine} has room")
        self.since = {name: since for name, since in self.since.items() if name in waiting}
        return left


def _machine_for(job: WaitingJob, free_machines: list[FreeMachine]) -> str | None:
    """A machine on which a task of the job could start now; of a gang, all that are missing."""
    spec = job.spec
    task = Amount(spec["vcpus"], spec["accelerators"], spec["memGb"])
    at_once = job.missing if spec["form"] == "ensemble" else 1
    zones = (
        sorted({free_machine.kind[1] for free_machine in free_machines})
        if spec["oneZone"]
        else [None]
    )
    for zone in zones:
        machine = _place(
            job, task, at_once, [r for r in free_machines if zone in (None, r.kind[1])]
        )
        if machine is not None:
            return machine
    return None


def _place(
    job: WaitingJob, task: Amount, at_once: int, free_machines: list[FreeMachine]
) -> str | None:
    zones, left, last = list(job.zones), job.team_left, None
    free_machines = list(free_machines)
    for _ in range(at_once):
        if not left.holds(task):
            return None
        for index, free_machine in enumerate(free_machines):
            if free_machine.free.holds(task) and _allowed(job.spec, free_machine.kind, zones):
                free_machines[index] = replace(free_machine, free=free_machine.free.less(task))
                zones.append(free_machine.kind[1])
                left, last = left.less(task), free_machine.machine
                break
        else:
            return None
    return last


def _allowed(spec: dict[str, Any], kind: tuple[str, str, bool], zones: list[str]) -> bool:
    name, zone, spot = kind
    if spec.get("builds") is not None and name not in spec["builds"]:
        return False
    if spec.get("hall") is not None and zone != spec["hall"]:
        return False
    if spot and not spec["loaners"]:
        return False
    if spec["oneZone"] and any(other != zone for other in zones):
        return False
    return not spec["spread"] or zones.count(zone) < -(-spec["beats"] // 2)
