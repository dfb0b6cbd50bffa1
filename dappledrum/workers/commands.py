"""The commands that a worker gets in the answer to a heartbeat.

A start is sent only when the record that names the attempt is stored, and an end is forgotten only
when it is stored.
"""

from dappledrum.jobs.job import Job
from dappledrum.jobs.placement import Placement
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import (
    Command,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
    job_and_number,
)

#: No line of an answer may be longer than 64 KiB.
MAX_COMMANDS = 400
#: Saving may take this much longer than the owner has said.
SAVE_MARGIN = 1.5


def wanted(placement: Placement) -> bool:
    """Whether an attempt should go on, or begin."""
    job = placement.page.job
    return not (
        job.finished or job.cancelled or placement.lost or placement.page.is_done(placement.task)
    )


def pending(machine: Machine) -> bool:
    """Whether something is about to be stored that an answer to this machine could carry."""
    return any(
        not placement.observed
        and placement.offered_sequence < 0
        and placement.page.stored_revision < placement.revision
        and placement.session == machine.session
        for placement in machine.placements.values()
    )


class WorkerCommands:
    """Works out commands from the records and a heartbeat."""

    def __init__(self, jobs: dict[str, Job], clock: Clock) -> None:
        self.jobs = jobs
        self.clock = clock

    def of_cancellations(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command]:
        """All that a leader commands whose term rests on lease grants alone: tasks of cancelled
        jobs are stopped. Whoever leads next would do the same, as a cancellation is final; what an
        end means for the records is left until they can be written."""
        result: list[Command] = []
        for item in heartbeat.tasks:
            job = self.jobs.get(item.task.rpartition("/")[0])
            if job is None or not job.cancelled or item.state == TaskState.ENDED:
                continue
            command = self._for_item(machine, item)
            if command is not None and len(result) < MAX_COMMANDS:
                result.append(command)
        return result

    def of_records(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command]:
        """Commands that follow from the records, for a leader whose lease is valid."""
        result: list[Command] = []
        active: set[tuple[str, int]] = set()
        for item in heartbeat.tasks:
            command = self._for_item(machine, item) if len(result) < MAX_COMMANDS else None
            if command is not None:
                result.append(command)
            active.add((item.task, item.attempt))
        for placement in machine.placements.values():
            started = (placement.name, placement.attempt) in active
            if started or placement.session != heartbeat.session:
                continue
            if len(result) >= MAX_COMMANDS:
                break  # no line of an answer may be longer than 64 KiB; the rest comes next time
            # Write ahead: the worker gets a start only when its record is stored.
            if wanted(placement) and placement.page.stored_revision >= placement.revision:
                placement.offered_sequence = max(placement.offered_sequence, heartbeat.sequence)
                result.append(Command("start", placement.name, placement.attempt))
        return result

    def _for_item(self, machine: Machine, item: TaskStatus) -> Command | None:
        """Stop what is not wanted, forget ends that are stored."""
        name, number = job_and_number(item.task)
        job = self.jobs.get(name)
        placement = None if number is None else machine.placements.get((name, number))
        if placement is not None and placement.attempt != item.attempt:
            placement = None
        if item.state == TaskState.ENDED:
            if placement is not None or self._unsaved(job, number):
                return None  # the end is not stored yet
            return Command("forget", item.task, item.attempt)
        if placement is not None and wanted(placement):
            return None
        if placement is None or job is None or job.cancelled:
            return Command("stop", item.task, item.attempt, 0.0)
        if item.state == TaskState.SAVING:
            return None
        return Command("stop", item.task, item.attempt, self._grace_s(machine, job))

    @staticmethod
    def _unsaved(job: Job | None, number: int | None) -> bool:
        """Whether something about this task, or one near it, is not stored yet."""
        if job is None or number is None or number >= job.spec.tasks:
            return False
        return job.page_of(number).dirty

    def _grace_s(self, machine: Machine, job: Job) -> float:
        """Seconds that a task gets to save its progress before it is stopped."""
        if job.spec.checkpoint_s <= 0:
            return 0.0
        grace = job.spec.save_s * SAVE_MARGIN + 1
        if machine.recall_at is None:
            return grace
        left = (machine.recall_at - self.clock.now()).total_seconds()
        return min(grace, left) if left > 0 else grace
