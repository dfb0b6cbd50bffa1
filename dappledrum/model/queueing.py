"""Detects jobs that are left waiting although a machine has capacity for them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import Any

MAX_WAIT_S = 90.0  # without a start of one of the job's tasks, once all faults are over
CHECK_INTERVAL_S = 1.0
ROUNDING = 1e-6


@dataclass(frozen=True)
class Amount:
    """Resources that a task takes, or that a machine or team has left."""

    cpus: float
    gpus: float
    memory_gb: float

    def holds(self, other: "Amount") -> bool:
        """Whether the other amount fits into this one."""
        return (
            other.cpus <= self.cpus + ROUNDING
            and other.gpus <= self.gpus + ROUNDING
            and other.memory_gb <= self.memory_gb + ROUNDING
        )

    def less(self, other: "Amount") -> "Amount":
        """What is left after the other amount is taken."""
        return Amount(
            self.cpus - other.cpus, self.gpus - other.gpus, self.memory_gb - other.memory_gb
        )


@dataclass(frozen=True)
class FreeMachine:
    """A healthy machine and its free resources."""

    machine: str
    kind: tuple[str, str, bool]  # type, zone, spot
    free: Amount


@dataclass(frozen=True)
class WaitingJob:
    """A job with tasks that are neither done nor placed on a machine."""

    spec: dict[str, Any]
    missing: int
    zones: tuple[str, ...]  # of its placed tasks
    team_left: Amount


@dataclass
class WaitTracker:
    """Tracks since when each job could have started more tasks, and has started none."""

    since: dict[str, float] = field(default_factory=dict)
    checked_at: float = float("-inf")

    def due(self, at: float) -> bool:
        """Whether the next check is due."""
        return at - self.checked_at >= CHECK_INTERVAL_S

    def started(self, job: str) -> None:
        """A task of the job has started, so the job is not left waiting."""
        self.since.pop(job, None)

    def check(
        self, at: float, jobs: Iterable[WaitingJob], free_machines: list[FreeMachine]
    ) -> list[str]:
        """Descriptions of the jobs that have waited for too long, with a machine that has capacity
        for each."""
        self.checked_at = at
        waiting, overdue = set(), []
        for job in jobs:
            machine = _machine_for(job, free_machines)
            if machine is None:
                continue
            name = job.spec["id"]
            waiting.add(name)
            if at - self.since.setdefault(name, at) > MAX_WAIT_S:
                overdue.append(f"{name} since {self.since[name]:.1f}, though {machine} has room")
        self.since = {name: since for name, since in self.since.items() if name in waiting}
        return overdue


def _machine_for(job: WaitingJob, free_machines: list[FreeMachine]) -> str | None:
    """A machine on which a task of the job could start now, or None. All missing tasks of a gang
    must fit."""
    spec = job.spec
    task = Amount(spec["vcpus"], spec["accelerators"], spec["memGb"])
    concurrent_tasks = job.missing if spec["form"] == "ensemble" else 1
    zones = (
        sorted({free_machine.kind[1] for free_machine in free_machines})
        if spec["oneZone"]
        else [None]
    )
    for zone in zones:
        machine = _place(
            job,
            task,
            concurrent_tasks,
            [m for m in free_machines if zone in (None, m.kind[1])],
        )
        if machine is not None:
            return machine
    return None


def _place(
    job: WaitingJob, task: Amount, concurrent_tasks: int, free_machines: list[FreeMachine]
) -> str | None:
    zones, remaining, last = list(job.zones), job.team_left, None
    free_machines = list(free_machines)
    for _ in range(concurrent_tasks):
        if not remaining.holds(task):
            return None
        for index, free_machine in enumerate(free_machines):
            if free_machine.free.holds(task) and _allowed(job.spec, free_machine.kind, zones):
                free_machines[index] = replace(free_machine, free=free_machine.free.less(task))
                zones.append(free_machine.kind[1])
                remaining, last = remaining.less(task), free_machine.machine
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
