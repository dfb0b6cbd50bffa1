"""Ready tasks as input of the planner: bags with their deadlines, order and limits."""

import logging
import math
from collections.abc import Callable, Hashable
from datetime import timedelta

from dappledrum.accounting.entries import Demand
from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.fleet.messages import MachineType
from dappledrum.gangs.all_or_nothing import is_gang
from dappledrum.jobs.api import allowed
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Form, Priority
from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.deadlines import closing_deadlines, next_deadline, stage_deadlines
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.stages import Link, Stage, stages
from dappledrum.scheduling.timeline import InstanceKind, Size, fetch_time
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.failure_attribution import suspected

log = logging.getLogger(__name__)

MAX_READY = 2_000  # tasks of one job that a plan looks at
NO_LIMIT = 1e18
SMALL = 4  # tasks of a job that may share a bag with others
ALIKE = 1.3  # factor up to which run times count as alike
#: A job of which nothing has begun for so long gets its first task before all others. Users count
#: on the start of every job within four minutes, and this leaves as much again for room to come.
BEGIN_BY = timedelta(seconds=120)
#: A job of which nothing has begun for so long uses room that is there, though that costs another
#: billed interval: operators count on no job being left waiting for 90 s while there is room.
FREE_CAPACITY_BY = timedelta(seconds=60)
OPTIMISM = 0.8  # a deadline counts as missed only if tasks of 0.8 times the estimate miss it


class PendingWork:
    """The tasks that wait to be placed, and their order."""

    def __init__(
        self,
        jobs: dict[str, Job],
        estimates: Estimates,
        autoscaler: Autoscaler,
        params: Params,
        clock: Clock,
        tuning: Tuning,
    ) -> None:
        self.jobs = jobs
        self.estimates = estimates
        self.autoscaler = autoscaler
        self.params = params
        self.clock = clock
        self.tuning = tuning
        self.stages: dict[str, Stage] = {}  # of jobs in chains
        self.ring: set[str] = set()  # jobs that wait for each other in a cycle
        self.members: dict[str, list[Job]] = {}  # jobs of bags that combine several
        self.guaranteed: set[str] = set()  # jobs within their teams' guarantees
        self._idle_cpus = 0.0  # that idle jobs may take in one plan

    def refresh(self) -> None:
        """Compute what all bags of one plan have in common."""
        self._chain()
        self.guaranteed = self._guaranteed()

    def yielding(self) -> set[str]:
        """Jobs that lose no work when they are stopped."""
        return {
            job.id
            for job in self.jobs.values()
            if job.spec.checkpoint_s > 0 and self._is_idle(job)
        }

    def task_time(self, job: Job) -> timedelta:
        """The estimate Q of a task without the fetch of its image."""
        if job.spec.form is Form.SERVICE:
            return self.tuning.interval * 10
        return self.estimates.task_time(job.id, job.spec.job_class, job.spec.estimate)

    def _in_order(self) -> list[Job]:
        return sorted(self.jobs.values(), key=lambda job: (job.accepted_at, job.id))

    def _chain(self) -> None:
        """What follows for each job from the jobs that wait for it, directly or indirectly."""
        waiting = [job for job in self.jobs.values() if job.unmet_dependencies]
        links = {}
        for name in dict.fromkeys(
            name for job in waiting for name in (job.id, *job.unmet_dependencies)
        ):
            job = self.jobs.get(name)
            if job is None or job.cancelled or job.finished:
                continue
            links[name] = Link(
                job.unmet_dependencies,
                job.depth,
                self.task_time(job) + self._fetch(job),
                self._closing(job),
                PRIORITY_RANKS[job.spec.priority],
                job.spec.tasks - job.done,
                0 if job.unmet_dependencies else job.waiting(),
            )
        self.stages, ring = stages(links, OPTIMISM)
        if ring - self.ring:
            log.error("these wait for each other, and stay pending: %s", ", ".join(sorted(ring)))
        self.ring = ring
        for job in self.jobs.values():
            stage = self.stages.get(job.id)
            job.effective_rank = PRIORITY_RANKS[job.spec.priority] if stage is None else stage.rank

    def _fetch(self, job: Job) -> timedelta:
        """How long the fetch of a missing image takes on the machines with the highest rate."""
        rates = [m.fetch_gb_per_s for m in self.autoscaler.types.values() if allowed(job.spec, m)]
        return fetch_time(job.spec.image_gb, max(rates, default=1.0))

    def wants(self) -> list[Demand]:
        """What waits for capacity, for the accounts; similar jobs are listed once."""
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
            likeness = (size, types, spec.zone, spec.spot, spec.team)
            if likeness not in result:
                left = capacity.get(spec.team)
                has = left is None or left.times(Size(spec.cpus, spec.gpus, 0.0)) >= 1
                result[likeness] = Demand(size, self._allowed(job, set()), has)
        return list(result.values())

    def _closing(self, job: Job) -> list[timedelta]:
        """The owner's deadlines, from now on. For the last job of a chain also the later ones that
        the objectives name; single jobs did no better with those (docs/limits.md)."""
        own = None if job.spec.deadline_s is None else timedelta(seconds=job.spec.deadline_s)
        objectives = self.params.objectives if job.spec.needs else ()
        age = max(self.clock.today() - job.accepted_at, ZERO) + self.params.workers.report
        return [limit - age for limit in closing_deadlines(objectives, job.spec.job_class, own)]

    def bags(self, now: timedelta, idle_cpus: float) -> list[Bag]:
        """The ready tasks; very small jobs that are similar are combined in one bag.

        A plan looks at all machines for each bag, so hundreds of jobs of one task each took
        seconds, though in the terms of the paper they are one bag of tasks.
        """
        self.members = {}
        self._idle_cpus = idle_cpus
        result: list[Bag] = []
        groups: dict[tuple[Hashable, ...], Bag] = {}
        for job in self._in_order():
            bag = self._bag(job, now)
            if bag is None:
                continue
            spec = job.spec
            if (
                spec.tasks > SMALL
                or bag.gang
                or bag.held
                or bag.unready
                or spec.one_zone
                or spec.spread
            ):
                result.append(bag)
                continue
            likeness = (
                *(spec.team, spec.priority, spec.image, spec.spot, spec.zone, spec.form),
                *(None if spec.types is None else tuple(spec.types), bag.size, *bag.rank[:3]),
                round(math.log(max(bag.run.total_seconds(), 0.1), ALIKE)),
                int(bag.due / max(bag.run * (ALIKE - 1), timedelta(seconds=5))),
            )
            first = groups.setdefault(likeness, bag)
            self.members.setdefault(first.id, []).append(job)
            if first is bag:
                result.append(bag)
                continue
            first.ready += bag.ready
            first.total += bag.total
            first.run = max(first.run, bag.run)
            first.due = min(first.due, bag.due)
            first.rank = min(first.rank, bag.rank)
            first.waited = max(first.waited, bag.waited)
            first.use_free_capacity |= bag.use_free_capacity
        return result

    def _bag(self, job: Job, now: timedelta) -> Bag | None:
        spec = job.spec
        gang = is_gang(job)
        ready = job.waiting() if gang else min(job.waiting(), MAX_READY)
        if gang and job.placement_count():
            return None  # complete on machines, or being stopped
        if (
            ready <= 0
            or job.cancelled
            or job.finished
            or now < job.retry_at
            or job.unmet_dependencies
        ):
            return None
        held = suspected(job)
        if held and any(not p.lost for p in job.placements()):
            return None  # what runs already will tell
        run = self.task_time(job)
        today = self.clock.today()
        waited = max(today - job.released_at, ZERO)
        age = waited + self.params.workers.report
        expected = stage_deadlines(self.params.objectives, spec.job_class, run)
        limits = sorted([limit - age for limit in expected] + self._closing(job))
        stage = self.stages.get(job.id)
        if stage is not None and stage.due is not None:
            limits = sorted([*limits, stage.due])
        idle = self._is_idle(job)
        if idle:
            ready = min(ready, int(self._idle_cpus / max(spec.cpus, 0.1)))
            if ready <= 0:
                return None
            self._idle_cpus -= ready * spec.cpus
        if not limits:
            time_limit = (
                run + timedelta(seconds=30)
                if spec.form is Form.SERVICE
                else run * 4 + self.tuning.interval
            )
            limits = [time_limit - age]
        limit = next_deadline(limits, run * OPTIMISM)
        if idle:
            limit = ZERO  # as soon as there is room, however long it has waited
        # Too late for everything: what can still be in time goes first, and nothing dear is rented
        # for it.
        missed = limit is None or idle
        due = now + (limits[-1] if limit is None else limit)
        # In order of deadlines what is late already waits for all that can still be in time, and
        # in a flood it waited for ever.
        unbegun = not held and job.done == 0 and not job.placement_count()
        overdue = waited > BEGIN_BY and unbegun and not idle
        if overdue:
            missed, due = False, now + run
            ready = ready if gang else 1
        zones = {p.zone for p in job.placements()} if spec.one_zone or spec.spread else set()
        return Bag(
            id=job.id,
            size=job.size,
            ready=1 if held and not gang else ready,
            unready=0 if stage is None else stage.tasks - stage.ready,
            ready_siblings=0 if stage is None else max(0, stage.ready - job.waiting()),
            total=spec.tasks if stage is None else stage.tasks,
            run=run,
            due=due,
            image=spec.image,
            image_gb=spec.image_gb,
            allowed=self._allowed(
                job,
                zones if spec.one_zone else set(),
                idle and spec.spot and spec.checkpoint_s <= 0,
            ),
            rank=self._rank(job, 2 if held or idle else -1 if overdue else int(missed), due - run),
            one_zone=spec.one_zone and not zones,
            zone_capacity=self._zone_capacity(job) if spec.spread else None,
            team=spec.team,
            held=held,
            waited=waited,
            cheap_only=missed,
            idle=idle,
            gang=gang,
            use_free_capacity=waited > FREE_CAPACITY_BY and unbegun,
        )

    def _rank(self, job: Job, missed: int, latest_start: timedelta) -> tuple[float, ...]:
        """What decides before the order of the paper: guarantees, then jobs that can still meet
        their deadline, then high urgency (which could preempt the rest anyway), then the least
        slack."""
        urgency = job.effective_rank
        guaranteed = job.id in self.guaranteed
        return (
            not guaranteed,
            missed,
            min(urgency, PRIORITY_RANKS[Priority.NORMAL]),
            latest_start.total_seconds(),
            urgency,
        )

    def _is_idle(self, job: Job) -> bool:
        """Whether a job has no deadline of any sort: low urgency, no deadline, no objective."""
        spec = job.spec
        return (
            job.effective_rank == PRIORITY_RANKS[Priority.LOW]
            and spec.form is Form.ARRAY
            and spec.deadline_s is None
            and (job.id not in self.stages or self.stages[job.id].due is None)
            and not stage_deadlines(self.params.objectives, spec.job_class, ZERO)
        )

    def _allowed(
        self, job: Job, zones: set[str], spot_only: bool = False
    ) -> Callable[[InstanceKind], bool]:
        spec = job.spec
        types: dict[str, MachineType] = self.autoscaler.types
        fits = {name for name, model in types.items() if allowed(spec, model)}

        def check(kind: InstanceKind) -> bool:
            if kind.type not in fits or (not kind.spot if spot_only else kind.spot > spec.spot):
                return False
            if spec.zone is not None and kind.zone != spec.zone:
                return False
            return not zones or zones == {kind.zone}

        return check

    def _zone_capacity(self, job: Job) -> dict[str, int]:
        most = -(-job.spec.tasks // 2)
        capacity = {zone: most for model in self.autoscaler.types.values() for zone in model.zones}
        for placement in job.placements():
            capacity[placement.zone] = capacity.get(placement.zone, most) - 1
        return capacity

    def team_capacity(self) -> dict[str, Size | None]:
        """What the limit of each team leaves; None: it has no limit."""
        used: dict[str, list[float]] = {}
        for job in self.jobs.values():
            count = job.placement_count()
            total = used.setdefault(job.spec.team, [0.0, 0.0])
            total[0] += job.spec.cpus * count
            total[1] += job.spec.gpus * count
        capacity: dict[str, Size | None] = {}
        for team in self.params.teams:
            cpus, gpus = used.get(team.name, [0.0, 0.0])
            if team.cpus_max <= 0 and team.gpus_max <= 0:
                capacity[team.name] = None
                continue
            capacity[team.name] = Size(
                team.cpus_max - cpus if team.cpus_max > 0 else NO_LIMIT,
                team.gpus_max - gpus if team.gpus_max > 0 else NO_LIMIT,
                NO_LIMIT,
            )
        return capacity

    def _guaranteed(self) -> set[str]:
        """Jobs that fit into the guarantee of their team together with its earlier unfinished
        jobs."""
        result: set[str] = set()
        for team in self.params.teams:
            if team.cpus <= 0 and team.gpus <= 0:
                continue
            cpus = gpus = 0.0
            for job in self._in_order():
                if (
                    job.spec.team != team.name
                    or job.cancelled
                    or job.finished
                    or job.unmet_dependencies
                ):
                    continue
                left = job.spec.tasks - job.done
                cpus += job.spec.cpus * left
                gpus += job.spec.gpus * left
                if cpus <= team.cpus + 1e-9 and gpus <= team.gpus + 1e-9:
                    result.add(job.id)
        return result
