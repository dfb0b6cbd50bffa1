"""Compares the tasks in a heartbeat with the recorded placements of its machine."""

import logging
from datetime import timedelta

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.job import Job
from dappledrum.jobs.placement import Placement
from dappledrum.workers.attempt_ends import AttemptEnds
from dappledrum.workers.commands import should_run
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import (
    Cause,
    TaskState,
    TaskStatus,
    WorkerHeartbeat,
    job_and_number,
)
from dappledrum.workers.reachability_updates import record_missed_answer, record_received_answer
from dappledrum.workers.reconciliation_context import ReconciliationContext

log = logging.getLogger(__name__)

#: Image cache, in GB, of a machine type that is not in the catalog: never full.
UNKNOWN_CACHE_GB = 1e9

#: Job, task and attempt.
AttemptKey = tuple[str, int, int]


class PlacementComparison:
    """Updates the placements on a machine from its heartbeats."""

    def __init__(self, context: ReconciliationContext, ends: AttemptEnds) -> None:
        self.context = context
        self.ends = ends
        self.cache_gb: dict[str, float] = {}  # size of the image cache, by machine type

    def apply(self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta) -> None:
        """Process the tasks that the newest heartbeat of the newest worker process shows, and the
        placements that it does not show."""
        shown = self._process_shown(machine, heartbeat, now)
        missed_start = False
        for placement in list(machine.placements.values()):
            missed_start |= _lacks_offered_start(placement, heartbeat)
            if placement.session != heartbeat.session:
                self.ends.lose(
                    machine, placement, "its session has ended", CostCategory.LOST_LEASE_EXPIRED
                )
            elif _attempt_key(placement) not in shown and self._proves_termination(
                placement, heartbeat
            ):
                self.ends.lose(machine, placement, "no longer there", CostCategory.LOST_STOPPED)
        if missed_start:
            record_missed_answer(machine, "does not start its tasks")
        # Only once the machine has shown this term's token. Without this condition old copies,
        # which show neither the token nor what a predecessor has started since, made the leader
        # stop running tasks.
        if machine.reachability.unreachable and machine.up:
            for placement in machine.placements.values():
                # Its start is not sent any more, so the next heartbeat without it proves that it
                # is not on the machine.
                placement.lost |= not placement.observed

    def record_successes(self, machine: Machine, heartbeat: WorkerHeartbeat) -> None:
        """Process the tasks that a heartbeat shows as done, which they remain.

        The machine may run a task again, so its placement is kept.
        """
        for status in heartbeat.tasks:
            job_id, number = job_and_number(status.task)
            job = self.context.jobs.get(job_id)
            if job is None or number is None or number >= job.spec.tasks:
                continue
            if status.state == TaskState.ENDED and status.cause == Cause.DONE:
                self.ends.end(machine, job.page_of(number), number, None, status)

    def _process_shown(
        self, machine: Machine, heartbeat: WorkerHeartbeat, now: timedelta
    ) -> set[AttemptKey]:
        shown: set[AttemptKey] = set()
        for status in heartbeat.tasks:
            job_id, number = job_and_number(status.task)
            if number is None:
                continue
            shown.add((job_id, number, status.attempt))
            job = self.context.jobs.get(job_id)
            if job is not None and number < job.spec.tasks:
                self._process_status(machine, job, number, status, now)
        return shown

    def _process_status(
        self, machine: Machine, job: Job, task: int, status: TaskStatus, now: timedelta
    ) -> None:
        placement = machine.placements.get((job.id, task))
        if placement is not None and placement.attempt != status.attempt:
            placement = None
        if status.state == TaskState.ENDED:
            self.ends.end(machine, job.page_of(task), task, placement, status)
        elif placement is not None:
            if not placement.observed and placement.offered_sequence >= 0:
                record_received_answer(machine)
            placement.observed = True
            placement.waiting_for_gang = status.state == TaskState.WAITING
            if status.state == TaskState.RUNNING and placement.running_since is None:
                self._record_run(machine, job, placement, now)

    def _record_run(
        self, machine: Machine, job: Job, placement: Placement, now: timedelta
    ) -> None:
        """Record that an attempt runs, so that its image is in the machine's cache."""
        placement.running_since = now
        if not job.has_run:
            job.has_run = True
            waited = (self.context.clock.utc_now() - job.accepted_at).total_seconds()
            log.info("%s began %.1f s after it came", job.id, waited)
        cache_gb = UNKNOWN_CACHE_GB
        if machine.kind is not None:
            cache_gb = self.cache_gb.get(machine.kind.type, UNKNOWN_CACHE_GB)
        machine.remember_image(job.spec.image, job.spec.image_gb, cache_gb)

    def _proves_termination(self, placement: Placement, heartbeat: WorkerHeartbeat) -> bool:
        """Whether the absence of an attempt from a heartbeat of its session proves that it is not
        on the machine: the worker has processed or dropped the answer that carried the start, and
        no other answer carries it."""
        return heartbeat.sequence > placement.offered_sequence and (
            placement.observed or placement.lost or not should_run(placement)
        )


def _attempt_key(placement: Placement) -> AttemptKey:
    return placement.page.job.id, placement.task, placement.attempt


def _lacks_offered_start(placement: Placement, heartbeat: WorkerHeartbeat) -> bool:
    """Whether the answer to an earlier heartbeat of this session carried the start of an attempt
    that no heartbeat has shown."""
    return (
        0 <= placement.offered_sequence < heartbeat.sequence
        and not placement.observed
        and not placement.lost
        and placement.session == heartbeat.session
    )
