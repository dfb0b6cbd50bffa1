"""Input of the planner: the bags of ready tasks, and the values that decide their order."""

import logging
from collections.abc import Hashable
from datetime import timedelta

from dappledrum.accounting.idle_categories import Demand
from dappledrum.dispatch.bag_builder import OPTIMISTIC_RUN_TIME_SHARE, BagBuilder
from dappledrum.dispatch.bag_combination import may_be_combined, merge, similarity_key
from dappledrum.dispatch.context import DispatchContext
from dappledrum.dispatch.job_deadlines import JobDeadlines
from dappledrum.dispatch.placement_constraints import allowed_kinds
from dappledrum.dispatch.team_quotas import guaranteed_jobs, team_capacity
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.stages import Stage, WorkflowJob, stages
from dappledrum.scheduling.timeline import Size, fetch_time
from dappledrum.user_api.feasibility import fits_machine_type

log = logging.getLogger(__name__)


class PendingWork:
    """The tasks that wait to be placed."""

    def __init__(self, context: DispatchContext) -> None:
        self.jobs = context.jobs
        self.autoscaler = context.autoscaler
        self.params = context.params
        self.clock = context.clock
        self.deadlines = JobDeadlines(
            context.estimates, context.params, context.clock, context.tuning
        )
        self.stages: dict[str, Stage] = {}  # by job, for jobs in workflows
        self.cycle: set[str] = set()  # jobs that a cycle of dependencies blocks
        self.combined_jobs: dict[str, list[Job]] = {}  # by bag, for bags that combine several jobs
        self.guaranteed: set[str] = set()  # jobs within their teams' guarantees
        self._bag_builder = BagBuilder(self.deadlines, context.clock)

    def refresh(self) -> None:
        """Compute the values that all bags of one plan share."""
        self._compute_stages()
        self.guaranteed = guaranteed_jobs(self._by_acceptance(), self.params.teams)

    def preemptible(self) -> set[str]:
        """Jobs that lose no work when they are stopped."""
        return {
            job.id
            for job in self.jobs.values()
            if job.spec.checkpoint_s > 0 and self.deadlines.is_best_effort(job, self.stages)
        }

    def bags(self, now: timedelta, best_effort_cpus: float) -> list[Bag]:
        """The bags of ready tasks; very small similar jobs share a bag.

        `best_effort_cpus` limits the CPUs of all best-effort jobs together in this plan.
        """
        self.combined_jobs = {}
        self._bag_builder.begin(
            self.autoscaler.types, self.stages, self.guaranteed, best_effort_cpus
        )
        result: list[Bag] = []
        groups: dict[Hashable, Bag] = {}
        for job in self._by_acceptance():
            bag = self._bag_builder.build(job, now)
            if bag is None:
                continue
            if not may_be_combined(job, bag):
                result.append(bag)
                continue
            combined = groups.setdefault(similarity_key(job, bag), bag)
            self.combined_jobs.setdefault(combined.id, []).append(job)
            if combined is bag:
                result.append(bag)
            else:
                merge(combined, bag)
        return result

    def team_capacity(self) -> dict[str, Size | None]:
        """What the limit of each team leaves; None: no limit."""
        return team_capacity(self.jobs.values(), self.params.teams)

    def demands(self) -> list[Demand]:
        """Work that waits for capacity, for the accounting; similar jobs are listed once."""
        capacity = self.team_capacity()
        now = self.clock.now()
        result: dict[Hashable, Demand] = {}
        for job in self.jobs.values():
            spec = job.spec
            if (
                job.cancelled
                or job.finished
                or job.unmet_dependencies
                or now < job.retry_at
                or job.waiting() <= 0
            ):
                continue
            types = None if spec.types is None else tuple(spec.types)
            size = Size(spec.cpus, spec.gpus, spec.memory_gb)
            key = (size, types, spec.zone, spec.spot, spec.team)
            if key not in result:
                remaining = capacity.get(spec.team)
                within_limit = (
                    remaining is None or remaining.fit_count(Size(spec.cpus, spec.gpus, 0.0)) >= 1
                )
                result[key] = Demand(
                    size, allowed_kinds(job, self.autoscaler.types, set()), within_limit
                )
        return list(result.values())

    def _by_acceptance(self) -> list[Job]:
        return sorted(self.jobs.values(), key=lambda job: (job.accepted_at, job.id))

    def _compute_stages(self) -> None:
        """Compute the stage and rank of each job, given the jobs that depend on it."""
        self.stages, cycle = stages(self._workflow_jobs(), OPTIMISTIC_RUN_TIME_SHARE)
        if cycle - self.cycle:
            log.error("dependency cycle; these jobs stay pending: %s", ", ".join(sorted(cycle)))
        self.cycle = cycle
        for job in self.jobs.values():
            stage = self.stages.get(job.id)
            job.effective_rank = PRIORITY_RANKS[job.spec.priority] if stage is None else stage.rank

    def _workflow_jobs(self) -> dict[str, WorkflowJob]:
        """Live jobs that wait for others, or that others wait for."""
        waiting = [job for job in self.jobs.values() if job.unmet_dependencies]
        result: dict[str, WorkflowJob] = {}
        for name in dict.fromkeys(
            name for job in waiting for name in (job.id, *job.unmet_dependencies)
        ):
            job = self.jobs.get(name)
            if job is None or job.cancelled or job.finished:
                continue
            result[name] = WorkflowJob(
                job.unmet_dependencies,
                job.depth,
                self.deadlines.task_time(job) + self._fetch_time(job),
                self.deadlines.of_owner(job),
                PRIORITY_RANKS[job.spec.priority],
                job.spec.tasks - job.done,
                0 if job.unmet_dependencies else job.waiting(),
            )
        return result

    def _fetch_time(self, job: Job) -> timedelta:
        """Time to fetch a job's image on the machine type with the highest transfer rate."""
        rates = [
            machine_type.fetch_gb_per_s
            for machine_type in self.autoscaler.types.values()
            if fits_machine_type(job.spec, machine_type)
        ]
        return fetch_time(job.spec.image_gb, max(rates, default=1.0))
