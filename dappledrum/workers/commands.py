"""The commands that a worker gets in the answer to a heartbeat.

A start is sent only after the record that names the attempt is stored, and the command to forget
an ended attempt only after its end is stored.
"""

from dappledrum.jobs.job import Job
from dappledrum.jobs.placement import Placement
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import (
    Command,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
    job_and_number,
)
from dappledrum.workers.reconciliation_context import ReconciliationContext

#: Keeps each line of an answer below 64 KiB.
MAX_COMMANDS = 400
#: Saving a checkpoint may take this many times as long as the owner stated.
SAVE_TIME_FACTOR = 1.5


def should_run(placement: Placement) -> bool:
    """Whether an attempt should start, or continue to run."""
    job = placement.page.job
    return not (
        job.finished or job.cancelled or placement.lost or placement.page.is_done(placement.task)
    )


def has_unstored_start(machine: Machine) -> bool:
    """Whether a start that an answer to this machine could carry waits for its record."""
    return any(
        not placement.observed
        and placement.offered_sequence < 0
        and placement.page.stored_revision < placement.revision
        and placement.session == machine.session
        for placement in machine.placements.values()
    )


class WorkerCommands:
    """Derives commands from the records and a heartbeat."""

    def __init__(self, context: ReconciliationContext) -> None:
        self.context = context
        self.jobs = context.jobs
        self.clock = context.clock

    def may_start(self, machine: Machine, heartbeat: WorkerHeartbeat) -> bool:
        """Whether the answer to a heartbeat may carry starts: if it is the newest of the newest
        known worker process, or no answer to the machine has carried a token of this term yet."""
        if self.context.gives(heartbeat.token):
            return heartbeat.token == machine.incarnation
        return machine.up and machine.tokens_given == 0

    def of_cancellations(self, machine: Machine, heartbeat: WorkerHeartbeat) -> list[Command]:
        """Commands from a leader whose term depends on lease grants alone: stop the tasks of
        cancelled jobs. A cancellation is final, so any later leader would do the same. Ended
        attempts get no command until the records can be written."""
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
        """Commands that follow from the records, from a leader whose lease is valid."""
        result: list[Command] = []
        active: set[tuple[str, int]] = set()
        for item in heartbeat.tasks:
            command = self._for_item(machine, item) if len(result) < MAX_COMMANDS else None
            if command is not None:
                result.append(command)
            active.add((item.task, item.attempt))
        if not self.may_start(machine, heartbeat):
            return result
        for placement in machine.placements.values():
            started = (placement.name, placement.attempt) in active
            if started or placement.session != heartbeat.session:
                continue
            if len(result) >= MAX_COMMANDS:
                break  # the rest is sent in the next answer
            # Write ahead: a start is sent only after its record is stored.
            if should_run(placement) and placement.page.stored_revision >= placement.revision:
                placement.offered_sequence = max(placement.offered_sequence, heartbeat.sequence)
                placement.renewed_at = self.clock.now()
                result.append(Command("start", placement.name, placement.attempt))
        return result

    def _for_item(self, machine: Machine, item: TaskStatus) -> Command | None:
        """The command for one task in a heartbeat: stop it if it should not run, forget it if
        its end is stored, or none."""
        name, number = job_and_number(item.task)
        job = self.jobs.get(name)
        placement = None if number is None else machine.placements.get((name, number))
        if placement is not None and placement.attempt != item.attempt:
            placement = None
        if item.state == TaskState.ENDED:
            if placement is not None or self._unsaved(job, number):
                return None  # the end is not stored yet
            return Command("forget", item.task, item.attempt)
        if placement is not None and should_run(placement):
            return None
        if placement is None or job is None or job.cancelled:
            return Command("stop", item.task, item.attempt, 0.0)
        if item.state == TaskState.SAVING:
            return None
        return Command("stop", item.task, item.attempt, self._grace_s(machine, job))

    @staticmethod
    def _unsaved(job: Job | None, number: int | None) -> bool:
        """Whether the page of this task has changes that are not stored yet."""
        if job is None or number is None or number >= job.spec.tasks:
            return False
        return job.page_of(number).dirty

    def _grace_s(self, machine: Machine, job: Job) -> float:
        """Seconds that a task gets to save its progress when it is stopped."""
        if job.spec.checkpoint_s <= 0:
            return 0.0
        grace = job.spec.save_s * SAVE_TIME_FACTOR + 1
        if machine.reclaim_at is None:
            return grace
        left = (machine.reclaim_at - self.clock.now()).total_seconds()
        return min(grace, left) if left > 0 else grace
