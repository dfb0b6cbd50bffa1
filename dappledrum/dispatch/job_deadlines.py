"""Run time estimates and deadlines of jobs, counted from now."""

from collections.abc import Mapping
from datetime import timedelta

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Form, Priority
from dappledrum.scheduling.deadlines import owner_deadlines, stage_deadlines
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.stages import Stage
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import ZERO, Clock

SERVICE_INTERVALS = 10  # billed intervals for which a service is expected to run
SERVICE_START_LIMIT = timedelta(seconds=30)  # for services without any objective
UNBOUNDED_RUN_TIMES = 4  # run times after which a job without any deadline should have finished


class JobDeadlines:
    """Deadlines of jobs by their owners, their objectives and the workflow they belong to."""

    def __init__(self, estimates: Estimates, params: Params, clock: Clock, tuning: Tuning) -> None:
        self.estimates = estimates
        self.params = params
        self.clock = clock
        self.tuning = tuning

    def task_time(self, job: Job) -> timedelta:
        """The estimate Q of a task without the fetch of its image."""
        if job.spec.form is Form.SERVICE:
            return self.tuning.interval * SERVICE_INTERVALS
        return self.estimates.task_time(job.id, job.spec.job_class, job.spec.estimate)

    def of_owner(self, job: Job) -> list[timedelta]:
        """The owner's deadlines. For the last job of a workflow also the later ones that the
        objectives name; single jobs did no better with those (docs/limits.md)."""
        own = None if job.spec.deadline_s is None else timedelta(seconds=job.spec.deadline_s)
        objectives = self.params.objectives if job.spec.needs else ()
        age = (
            max(self.clock.utc_now() - job.accepted_at, ZERO)
            + self.params.workers.heartbeat_interval
        )
        return [limit - age for limit in owner_deadlines(objectives, job.spec.job_class, own)]

    def of_job(
        self, job: Job, stage: Stage | None, run: timedelta, waited: timedelta
    ) -> list[timedelta]:
        """All deadlines of a job, the earliest first; always at least one.

        `run` is the estimate of a task, `waited` the time since the job could start.
        """
        age = waited + self.params.workers.heartbeat_interval
        expected = stage_deadlines(self.params.objectives, job.spec.job_class, run)
        limits = [limit - age for limit in expected] + self.of_owner(job)
        if stage is not None and stage.due is not None:
            limits.append(stage.due)
        if limits:
            return sorted(limits)
        if job.spec.form is Form.SERVICE:
            return [run + SERVICE_START_LIMIT - age]
        return [run * UNBOUNDED_RUN_TIMES + self.tuning.interval - age]

    def is_best_effort(self, job: Job, stages: Mapping[str, Stage]) -> bool:
        """Whether a job has no deadline of any sort: low priority, no deadline, no objective."""
        spec = job.spec
        return (
            job.effective_rank == PRIORITY_RANKS[Priority.LOW]
            and spec.form is Form.ARRAY
            and spec.deadline_s is None
            and (job.id not in stages or stages[job.id].due is None)
            and not stage_deadlines(self.params.objectives, spec.job_class, ZERO)
        )
