"""Adds new jobs to the live ones of a term, cancels them, and removes the finished ones."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

from dappledrum.accounting.served_counts import describe_finished_job, describe_job
from dappledrum.jobs.job import Job
from dappledrum.leader.context import TermContext, TermState
from dappledrum.leader.job_records import JobRecords

log = logging.getLogger(__name__)

#: Finished jobs of this term that are remembered, since a watch may still show their head records.
MAX_FINISHED_IDS = 10_000


class LiveJobs:
    """Adds, cancels and removes live jobs. Once the records are read, nothing else changes
    `TermState.jobs`, except that `JobLoader` removes quarantined jobs."""

    def __init__(
        self,
        context: TermContext,
        state: TermState,
        records: JobRecords,
        on_finished: Callable[[Job], None],
    ) -> None:
        """Create it for one term; `on_finished` is called with each job whose end is stored."""
        self.objectives = context.params.objectives
        self.state = state
        self.records = records
        self.on_finished = on_finished
        self._finished_ids: OrderedDict[str, None] = OrderedDict()

    def add(self, job: Job) -> None:
        """Add a new job that a user has submitted."""
        self.state.jobs[job.id] = job
        spec = job.spec
        log.info("new job %s: %s", job.id, describe_job(spec.tasks, spec.job_class, spec.team))
        self.records.graph.add(job)

    def is_finished(self, job_id: str) -> bool:
        """Whether a job has finished in this term, among the last `MAX_FINISHED_IDS`."""
        return job_id in self._finished_ids

    def cancel(self, job: Job, source: str) -> None:
        """Apply a stored or confirmed cancellation, also to the jobs that depend on this one.

        `source` is logged; it says how the cancellation became known.
        """
        if not job.cancelled:
            job.cancelled = job.cancel_stored = True
            log.info("%s is cancelled, %s", job.id, source)
            self.records.graph.cancelled(job)

    def apply_confirmed_cancellations(self, job_ids: Iterable[str]) -> None:
        """Cancel jobs whose cancellation other controllers have confirmed to users.

        The cancellations are already stored, and final. The jobs' tasks are stopped from now on,
        also while the term rests on lease grants alone. A record that was written without the
        cancellation is rejected because of its version, and read again.
        """
        for job_id in job_ids:
            job = self.state.jobs.get(job_id)
            if job is not None and not job.cancelled:
                self.cancel(job, "as another controller has confirmed")
                self.records.writer.mark_dirty(job.page(0))
                self.state.plan_trigger.request("job cancelled")

    def finish(self, job: Job) -> None:
        """Remove a job whose end is stored."""
        log.info("%s", describe_finished_job(job, self.objectives))
        self.state.jobs.pop(job.id, None)
        self.records.graph.ended(job)
        self.state.estimates.forget(job.id)
        self._finished_ids[job.id] = None
        while len(self._finished_ids) > MAX_FINISHED_IDS:
            self._finished_ids.popitem(last=False)
        for placement in list(job.placements()):
            machine = self.state.registry.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
        self.state.served.count_finished(job)
        self.on_finished(job)
