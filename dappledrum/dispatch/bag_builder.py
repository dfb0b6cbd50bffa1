"""Builds the planner's bag from the ready tasks of one job."""

from collections.abc import Mapping
from datetime import timedelta
from enum import IntEnum
from typing import NamedTuple

from dappledrum.dispatch.job_deadlines import JobDeadlines
from dappledrum.dispatch.placement_constraints import allowed_kinds, spread_capacity
from dappledrum.fleet.messages import MachineType
from dappledrum.gangs.all_or_nothing import is_gang
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Priority
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.deadlines import next_deadline
from dappledrum.scheduling.stages import Stage
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.failure_attribution import is_suspected

MAX_READY_TASKS = 2_000  # tasks of one job that a plan considers
#: A job of which nothing has begun for so long gets its first task before all others. Users expect
#: every job to start within four minutes; two of them are left for capacity to become free.
MAX_WAIT_UNSTARTED = timedelta(seconds=120)
#: A job of which nothing has begun for so long uses free capacity even if that adds a billed
#: interval: operators expect that no job waits for 90 s while there is free capacity.
MAX_WAIT_FOR_PAID_CAPACITY = timedelta(seconds=60)
#: A deadline counts as missed only if tasks that take this share of their estimate miss it.
OPTIMISTIC_RUN_TIME_SHARE = 0.8


class Urgency(IntEnum):
    """Decides the order of bags after their team's guarantee; smaller goes first."""

    OVERDUE = -1  # nothing of the job has begun for too long
    IN_TIME = 0  # a deadline can still be met
    MISSED = 1  # no deadline can be met any more
    UNCRITICAL = 2  # best effort, or suspected of failing on every machine


class _Target(NamedTuple):
    """The deadline that a plan aims for with one bag."""

    due: timedelta  # moment on the clock
    missed: bool  # no deadline can be met, so only the cheapest kind is rented


class BagBuilder:
    """Builds the bags of one plan after another; `begin` sets what the bags of a plan share."""

    def __init__(self, deadlines: JobDeadlines, clock: Clock) -> None:
        self.deadlines = deadlines
        self.clock = clock
        self.types: Mapping[str, MachineType] = {}
        self.stages: Mapping[str, Stage] = {}
        self.guaranteed: set[str] = set()
        self._best_effort_cpus = 0.0

    def begin(
        self,
        types: Mapping[str, MachineType],
        stages: Mapping[str, Stage],
        guaranteed: set[str],
        best_effort_cpus: float,
    ) -> None:
        """Begin a plan: `guaranteed` names the jobs within their teams' guarantees, and
        `best_effort_cpus` limits the CPUs of all best-effort jobs together."""
        self.types = types
        self.stages = stages
        self.guaranteed = guaranteed
        self._best_effort_cpus = best_effort_cpus

    def build(self, job: Job, now: timedelta) -> Bag | None:
        """The ready tasks of a job; None if none of them may be placed now."""
        suspected = is_suspected(job)
        if not self._may_start(job, now, suspected):
            return None
        best_effort = self.deadlines.is_best_effort(job, self.stages)
        ready = self._ready_tasks(job, best_effort)
        if ready <= 0:
            return None
        gang = is_gang(job)
        stage = self.stages.get(job.id)
        run = self.deadlines.task_time(job)
        waited = max(self.clock.utc_now() - job.released_at, ZERO)
        target = self._target(job, stage, run, waited, now, best_effort)
        # By deadline alone, late work comes after all work that can still be in time, so under
        # overload it never started.
        unstarted = not suspected and job.done == 0 and not job.placement_count()
        overdue = waited > MAX_WAIT_UNSTARTED and unstarted and not best_effort
        if overdue:
            target = _Target(now + run, False)
        if (overdue or suspected) and not gang:
            ready = 1
        spec = job.spec
        zones = {p.zone for p in job.placements()} if spec.one_zone or spec.spread else set()
        return Bag(
            id=job.id,
            size=job.size,
            ready=ready,
            unready=0 if stage is None else stage.tasks - stage.ready,
            ready_siblings=0 if stage is None else max(0, stage.ready - job.waiting()),
            total=spec.tasks if stage is None else stage.tasks,
            run=run,
            due=target.due,
            image=spec.image,
            image_gb=spec.image_gb,
            allowed=allowed_kinds(
                job,
                self.types,
                zones if spec.one_zone else set(),
                best_effort and spec.spot and spec.checkpoint_s <= 0,
            ),
            rank=self._rank(
                job,
                _urgency(suspected or best_effort, overdue, target.missed),
                target.due - run,
            ),
            one_zone=spec.one_zone and not zones,
            zone_capacity=spread_capacity(job, self.types) if spec.spread else None,
            team=spec.team,
            free_capacity_only=suspected,
            waited=waited,
            cheapest_kind_only=target.missed,
            best_effort=best_effort,
            gang=gang,
            uses_free_capacity=waited > MAX_WAIT_FOR_PAID_CAPACITY and unstarted,
        )

    @staticmethod
    def _may_start(job: Job, now: timedelta, suspected: bool) -> bool:
        if (
            job.waiting() <= 0
            or job.cancelled
            or job.finished
            or now < job.retry_at
            or job.unmet_dependencies
        ):
            return False
        if is_gang(job) and job.placement_count():
            return False  # all of it is placed, or it is being stopped
        # A job suspected of failing on every machine is tried with one task at a time.
        return not (suspected and any(not p.lost for p in job.placements()))

    def _ready_tasks(self, job: Job, best_effort: bool) -> int:
        """How many tasks a plan considers; those of best-effort jobs are deducted from the CPUs
        that remain for such jobs."""
        ready = job.waiting() if is_gang(job) else min(job.waiting(), MAX_READY_TASKS)
        if best_effort:
            ready = min(ready, int(self._best_effort_cpus / max(job.spec.cpus, 0.1)))
            self._best_effort_cpus -= max(ready, 0) * job.spec.cpus
        return ready

    def _target(
        self,
        job: Job,
        stage: Stage | None,
        run: timedelta,
        waited: timedelta,
        now: timedelta,
        best_effort: bool,
    ) -> _Target:
        if best_effort:
            return _Target(now, True)  # as soon as there is capacity, regardless of the wait
        job_deadlines = self.deadlines.of_job(job, stage, run, waited)
        deadline = next_deadline(job_deadlines, run * OPTIMISTIC_RUN_TIME_SHARE)
        return _Target(
            now + (job_deadlines[-1] if deadline is None else deadline), deadline is None
        )

    def _rank(self, job: Job, urgency: Urgency, latest_start: timedelta) -> tuple[float, ...]:
        """Sort key that precedes the order of the paper: guarantees, then the order of `Urgency`,
        then high priority (which could preempt the rest anyway), then the least slack."""
        return (
            job.id not in self.guaranteed,
            urgency,
            min(job.effective_rank, PRIORITY_RANKS[Priority.NORMAL]),
            latest_start.total_seconds(),
            job.effective_rank,
        )


def _urgency(uncritical: bool, overdue: bool, missed: bool) -> Urgency:
    if uncritical:
        return Urgency.UNCRITICAL
    if overdue:
        return Urgency.OVERDUE
    return Urgency.MISSED if missed else Urgency.IN_TIME
