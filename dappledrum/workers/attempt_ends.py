"""Processes the ends of attempts: success, failure, refusal or loss."""

import logging
from datetime import timedelta

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.job import Job
from dappledrum.jobs.page import Page
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.estimates import Estimates
from dappledrum.workers.cost_recorder import CostRecorder
from dappledrum.workers.failure_attribution import (
    MachineHealth,
    assess_machine,
    is_suspected,
    record_failure,
)
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import Cause, TaskStatus
from dappledrum.workers.reconciliation_context import (
    ReconciliationContext,
    ReconciliationObserver,
)

log = logging.getLogger(__name__)

#: Pause of a machine or job after a refusal, and first pause of a job that fails everywhere.
MIN_RETRY_PAUSE = timedelta(seconds=2)
#: Pause of a machine while the tasks that failed there are tried elsewhere.
SUSPECT_MACHINE_PAUSE = timedelta(seconds=5)
MAX_RETRY_PAUSE = timedelta(seconds=60)
#: Failures after which the pause of a job that fails everywhere doubles.
FAILURES_PER_DOUBLING = 3
MAX_DOUBLINGS = 6


class AttemptEnds:
    """Records the ends of attempts in jobs, machines, estimates and accounts."""

    def __init__(
        self,
        context: ReconciliationContext,
        estimates: Estimates,
        cost_recorder: CostRecorder,
        observer: ReconciliationObserver,
    ) -> None:
        self.context = context
        self.estimates = estimates
        self.cost_recorder = cost_recorder
        self.observer = observer

    def end(
        self,
        machine: Machine,
        page: Page,
        task: int,
        placement: Placement | None,
        status: TaskStatus,
    ) -> None:
        """Process an attempt that a heartbeat shows as ended.

        `placement` is None if the records don't name this attempt; its success counts even then.
        """
        job = page.job
        now = self.context.clock.now()
        if status.cause == Cause.DONE and not page.is_done(task):
            page.finish(task)
            self._record_success(machine, job, now)
            if placement is not None and placement.running_since is not None:
                run_time = now - placement.running_since
                self.estimates.record_task_time(
                    job.id, job.spec.job_class, job.spec.estimate, run_time
                )
            self.observer.planning_needed("task done")
        elif placement is not None:
            self._process_unsuccessful(machine, job, status, now)
        if placement is not None:
            self.cost_recorder.settle(placement, _category_of_end(job, status))
            self._remove(machine, placement)
            self.observer.planning_needed("task ended")
        self.observer.page_changed(page)

    def lose(
        self, machine: Machine, placement: Placement, reason: str, category: CostCategory
    ) -> None:
        """Remove a placement that is proven not to be on its machine any more, without an end.

        `category` is the cost category that its time is assigned to.
        """
        log.info(
            "%s/%d on %s was lost: %s", placement.page.job.id, placement.task, machine.name, reason
        )
        self.cost_recorder.settle(placement, category)
        self._remove(machine, placement)
        self.observer.placement_lost(reason)
        self.observer.planning_needed("task lost")

    def _remove(self, machine: Machine, placement: Placement) -> None:
        machine.placements.pop((placement.page.job.id, placement.task), None)
        page = placement.page
        if page.placements.get(placement.task) is placement:
            page.remove(placement.task)
            self.observer.page_changed(page)

    def _process_unsuccessful(
        self, machine: Machine, job: Job, status: TaskStatus, now: timedelta
    ) -> None:
        match status.cause:
            case Cause.ERROR:
                self._record_failure(machine, job, now)
            case Cause.FULL | Cause.BUSY:
                log.warning("%s refused %s: cause=%s", machine.name, status.task, status.cause)
                machine.blocked_until = now + MIN_RETRY_PAUSE
            case Cause.UNKNOWN | Cause.PEERS | Cause.ALONE:
                job.retry_at = now + MIN_RETRY_PAUSE

    def _record_success(self, machine: Machine, job: Job, now: timedelta) -> None:
        """Clear the failures of the job and of the machine after a success, and check the machines
        where the job had failed: those failures now count against them."""
        machine.failures_by_job.clear()
        if not job.failures_by_machine:
            return
        if is_suspected(job):
            log.warning("%s succeeded: no longer suspected of failing on all machines", job.id)
        registry = self.context.registry
        failed_on = [
            m for name in job.failures_by_machine if (m := registry.get(name)) is not None
        ]
        job.failures_by_machine.clear()
        for other in failed_on:
            if other is not machine:
                self._check_machine(other, now)

    def _record_failure(self, machine: Machine, job: Job, now: timedelta) -> None:
        """Record that a task failed, and decide whether the machine or the job is at fault."""
        suspected_before = is_suspected(job)
        record_failure(job, machine)
        if not is_suspected(job):
            self._check_machine(machine, now)
            return
        # The job fails on several machines, so the job is at fault: retry it less and less often.
        failures = sum(job.failures_by_machine.values())
        doublings = min(failures // FAILURES_PER_DOUBLING, MAX_DOUBLINGS)
        job.retry_at = now + min(MIN_RETRY_PAUSE * 2**doublings, MAX_RETRY_PAUSE)
        if not suspected_before:
            log.warning(
                "%s fails on all machines tried, retrying it less often: machines=%d",
                job.id,
                len(job.failures_by_machine),
            )

    def _check_machine(self, machine: Machine, now: timedelta) -> None:
        health = assess_machine(machine, self.context.jobs)
        if health is MachineHealth.FAULTY and not machine.draining:
            machine.draining = True
            log.warning("%s is draining: tasks fail on it repeatedly", machine.name)
        elif health is MachineHealth.SUSPECT:
            # Running the same tasks elsewhere shows whether the machine or the job is at fault.
            machine.blocked_until = max(machine.blocked_until, now + SUSPECT_MACHINE_PAUSE)


def _category_of_end(job: Job, status: TaskStatus) -> CostCategory:
    """The cost category of an attempt that has ended."""
    if status.cause == Cause.DONE or status.saved:
        return CostCategory.KEPT
    if job.cancelled:
        return CostCategory.LOST_CANCELLED
    return CostCategory.LOST_ERROR if status.cause == Cause.ERROR else CostCategory.LOST_STOPPED
