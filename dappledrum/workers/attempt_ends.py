"""What the end of an attempt means: success, failure, refusal or loss."""

import logging
from datetime import timedelta

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.job import Job
from dappledrum.jobs.page import Page
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.estimates import Estimates
from dappledrum.workers.cost_recorder import CostRecorder
from dappledrum.workers.failure_attribution import (
    Verdict,
    is_suspected,
    judge,
    record_failure,
)
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import Cause, TaskStatus
from dappledrum.workers.reconciliation_context import (
    ReconciliationContext,
    ReconciliationObserver,
)

log = logging.getLogger(__name__)

#: How long a machine or job is left out after a refusal, and the first pause after failures.
RETRY_PAUSE = timedelta(seconds=2)
#: How long a machine is left out while the tasks that failed there are tried elsewhere.
DOUBTFUL_PAUSE = timedelta(seconds=5)
MAX_RETRY_PAUSE = timedelta(seconds=60)
#: The pause of a job that fails everywhere doubles after so many failures, so often at most.
FAILURES_PER_DOUBLING = 3
MAX_DOUBLINGS = 6


class AttemptEnds:
    """Carries the ends of attempts over to jobs, machines, estimates and accounts."""

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

        `placement` is None if the records don't name this attempt; its success counts all the
        same.
        """
        job = page.job
        now = self.context.clock.now()
        if status.cause == Cause.DONE and not page.is_done(task):
            page.finish(task)
            self._record_success(machine, job, now)
            if placement is not None and placement.running_since is not None:
                took = now - placement.running_since
                self.estimates.record_task_time(
                    job.id, job.spec.job_class, job.spec.estimate, took
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
        """Give up a placement that is proven to be off its machine without an end.

        `category` is the line of the accounts that its time is booked on.
        """
        log.info(
            "%s/%d on %s is lost: %s", placement.page.job.id, placement.task, machine.name, reason
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
                log.warning("%s refused %s: %s", machine.name, status.task, status.cause)
                machine.blocked_until = now + RETRY_PAUSE
            case Cause.UNKNOWN | Cause.PEERS | Cause.ALONE:
                job.retry_at = now + RETRY_PAUSE

    def _record_success(self, machine: Machine, job: Job, now: timedelta) -> None:
        """A task has completed, which clears both, and puts the blame on the machines where only
        its job had failed so far."""
        machine.errors.clear()
        if not job.failures_by_machine:
            return
        if is_suspected(job):
            log.warning("%s no longer fails everywhere", job.id)
        registry = self.context.registry
        elsewhere = [
            m for name in job.failures_by_machine if (m := registry.get(name)) is not None
        ]
        job.failures_by_machine.clear()
        for other in elsewhere:
            if other is not machine:
                self._check_machine(other, now)

    def _record_failure(self, machine: Machine, job: Job, now: timedelta) -> None:
        """A task failed: either the machine is faulty, or the job fails everywhere."""
        suspected_before = is_suspected(job)
        record_failure(job, machine)
        if not is_suspected(job):
            self._check_machine(machine, now)
            return
        # Other jobs succeed on these machines, so it is the job. Try again, ever more rarely.
        failures = sum(job.failures_by_machine.values())
        doublings = min(failures // FAILURES_PER_DOUBLING, MAX_DOUBLINGS)
        job.retry_at = now + min(RETRY_PAUSE * 2**doublings, MAX_RETRY_PAUSE)
        if not suspected_before:
            log.warning(
                "%s fails on %d machines, tried rarely from now on",
                job.id,
                len(job.failures_by_machine),
            )

    def _check_machine(self, machine: Machine, now: timedelta) -> None:
        verdict = judge(machine, self.context.jobs)
        if verdict is Verdict.FAULTY and not machine.draining:
            machine.draining = True
            log.warning("%s fails again and again, draining it", machine.name)
        elif verdict is Verdict.DOUBTFUL:
            # Elsewhere the same tasks will show whether it is the machine or the job.
            machine.blocked_until = max(machine.blocked_until, now + DOUBTFUL_PAUSE)


def _category_of_end(job: Job, status: TaskStatus) -> CostCategory:
    """The line of the accounts for an attempt that has ended: whether its time was kept."""
    if status.cause == Cause.DONE or status.saved:
        return CostCategory.KEPT
    if job.cancelled:
        return CostCategory.LOST_CANCELLED
    return CostCategory.LOST_ERROR if status.cause == Cause.ERROR else CostCategory.LOST_STOPPED
