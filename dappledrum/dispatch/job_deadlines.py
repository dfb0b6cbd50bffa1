"""Run time estimates and deadlines of jobs, relative to now."""

from collections.abc import Mapping
from datetime import timedelta

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Form, Priority
from dappledrum.scheduling.deadlines import owner_deadlines, stage_deadlines
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.stages import Stage
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import ZERO, Clock

SERVICE_INTERVALS = 10  # expected run time of a service, in billed intervals
SERVICE_START_LIMIT = timedelta(seconds=30)  # for services without an objective
DEFAULT_DEADLINE_RUN_TIMES = 4  # deadline of a job that has none, in run times


class JobDeadlines:
    """Deadlines of jobs, from their owners, the objectives and their workflows."""

    def __init__(self, estimates: Estimates, params: Params, clock: Clock, tuning: Tuning) -> None:
        self.estimates = estimates
        self.params = params
        self.clock = clock
        self.tuning = tuning

    def task_time(self, job: Job) -> timedelta:
        """The estimate Q of a task, without the fetch of its image."""
        if job.spec.form is Form.SERVICE:
            return self.tuning.interval * SERVICE_INTERVALS
        return self.estimates.task_time(job.id, job.spec.job_class, job.spec.estimate)

    def of_owner(self, job: Job) -> list[timedelta]:
        """The owner's deadline; for jobs with dependencies, also the later ones that the
        objectives name. Single jobs did no better with those (docs/limits.md)."""
        own_deadline = (
            None if job.spec.deadline_s is None else timedelta(seconds=job.spec.deadline_s)
        )
        objectives = self.params.objectives if job.spec.needs else ()
        age = (
            max(self.clock.utc_now() - job.accepted_at, ZERO)
            + self.params.workers.heartbeat_interval
        )
        return [
            deadline - age
            for deadline in owner_deadlines(objectives, job.spec.job_class, own_deadline)
        ]

    def of_job(
        self, job: Job, stage: Stage | None, run: timedelta, waited: timedelta
    ) -> list[timedelta]:
        """All deadlines of a job, the earliest first; always at least one.

        `run` is the estimate of a task, `waited` the time since the job could start.
        """
        age = waited + self.params.workers.heartbeat_interval
        from_objectives = stage_deadlines(self.params.objectives, job.spec.job_class, run)
        deadlines = [deadline - age for deadline in from_objectives] + self.of_owner(job)
        if stage is not None and stage.due is not None:
            deadlines.append(stage.due)
        if deadlines:
            return sorted(deadlines)
        if job.spec.form is Form.SERVICE:
            return [run + SERVICE_START_LIMIT - age]
        return [run * DEFAULT_DEADLINE_RUN_TIMES + self.tuning.interval - age]

    def is_best_effort(self, job: Job, stages: Mapping[str, Stage]) -> bool:
        """Whether a job is an array of low priority without a deadline of any sort: neither its
        own, nor from its workflow or an objective."""
        spec = job.spec
        return (
            job.effective_rank == PRIORITY_RANKS[Priority.LOW]
            and spec.form is Form.ARRAY
            and spec.deadline_s is None
            and (job.id not in stages or stages[job.id].due is None)
            and not stage_deadlines(self.params.objectives, spec.job_class, ZERO)
        )
