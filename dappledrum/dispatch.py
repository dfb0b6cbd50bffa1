"""Between the records and the planner: what the planner sees, and what its plan changes."""

import asyncio
import logging
import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass
from datetime import timedelta

from dappledrum.accounts.entries import Want
from dappledrum.clock import ZERO, Clock
from dappledrum.fleet.keeper import RENT_MOST, Keeper
from dappledrum.fleet.messages import MachineType
from dappledrum.gangs.whole import give_up, is_gang
from dappledrum.jobs.intake import allowed
from dappledrum.jobs.messages import RANKS, Form, Priority
from dappledrum.jobs.record import Job, Page, Placement
from dappledrum.scheduling.chains import Link, Stage, stages
from dappledrum.scheduling.deadlines import closing_deadlines, next_deadline, stage_deadlines
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.lanes import Kind, Lanes, Offer, Size, fetch_time
from dappledrum.scheduling.plan import Bag, Plan, Planner, TeamRoom
from dappledrum.scheduling.preempt import Host, Victim, choose
from dappledrum.settings import Params
from dappledrum.workers.failures import suspected
from dappledrum.workers.roster import Machine, Roster

log = logging.getLogger(__name__)

LONG = timedelta(days=1)  # services run until they are cancelled
MOST_READY = 2_000  # tasks of one job that a plan looks at
TURN = timedelta(milliseconds=15)  # of planning, before others get theirs
NO_LIMIT = 1e18
HEADROOM = 0.1  # share of the spot machines that stays free when ordinary ones are let go
SWAPPED = 0.1  # share of the fleet for which cheaper machines are rented at a time
MOST_STOPPED = 16  # tasks of one job that one plan makes room for
SMALL = 4  # tasks of a job that may share a bag with others
ALIKE = 1.3  # factor up to which run times count as alike
RECORDS_AHEAD = 1.0  # seconds' worth of changes that starts of low urgency may queue up
IDLE_EVERY = timedelta(seconds=3)
IDLE_SPARED = 0.25  # share of the spot machines that idle work leaves free
IDLE_RENTED = 0.05  # share of the fleet that may be rented for it by one plan in calm times
OPTIMISM = 0.8  # a deadline is given up only when even tasks shorter than estimated would miss it


@dataclass(frozen=True)
class Tuning:
    """The operator's own settings: the paper's open parameters, and what is enabled."""

    interval: timedelta = timedelta(seconds=60)
    ready_share: float = 0.3
    reach: bool = True  # what is known of links is told, heard and acted upon


class Dispatcher:
    """Plans, and places what the plan starts."""

    def __init__(
        self,
        jobs: dict[str, Job],
        roster: Roster,
        estimates: Estimates,
        keeper: Keeper,
        params: Params,
        clock: Clock,
        tuning: Tuning,
        mark: Callable[[Page], None],
        backlog: Callable[[], int] = lambda: 0,
        page_bytes: int | None = None,
    ) -> None:
        self.jobs = jobs
        self.roster = roster
        self.estimates = estimates
        self.keeper = keeper
        self.params = params
        self.clock = clock
        self.tuning = tuning
        self.mark = mark
        self.backlog = backlog
        self.page_bytes = page_bytes or params.state.value_bytes
        self.stages: dict[str, Stage] = {}  # of jobs that wait for others or are waited for
        self.sizes: set[Size] = set()  # of the tasks of live jobs
        self.ring: set[str] = set()  # jobs that wait for each other, for ever
        self.members: dict[str, list[Job]] = {}  # jobs of a bag that stands for several
        self.awake_since = ZERO
        self.idle_at = -IDLE_EVERY
        self.idle_cpus = 0.0  # that work which nobody expects may take in one plan
        self.calm = False  # the newest plan had nothing late and rented nothing
        self.yielding: set[str] = set()  # jobs that lose nothing when they are stopped
        self.guaranteed: set[str] = set()
        self.moments: dict[str, tuple[timedelta, timedelta]] = {}  # for one plan

    async def run(self) -> Plan:
        """One wake of the rule.

        A plan for hundreds of machines takes a good part of a second, so the event loop gets its
        turn in between, and what starts is placed as soon as it is decided.
        """
        self.awake_since = self.keeper.awake_since()
        now = self.clock.now()
        self._chain()
        self.sizes = {
            Size(job.spec.cpus, job.spec.gpus, job.spec.memory_gb) for job in self.jobs.values()
        }
        self.guaranteed = self._guaranteed()
        self.moments = {}
        lanes = [
            view for machine in self.roster if (view := self._lanes(machine, now)) is not None
        ]
        # Not with every plan: looking for room for thousands of idle tasks costs as much as all
        # others together.
        due = now - self.idle_at >= IDLE_EVERY
        self.idle_cpus = self._idle_room(lanes) if due else 0.0
        self.idle_at = now if due else self.idle_at
        bags = self._bags(now)
        planner = Planner(
            now, lanes, self._offers(), self.tuning.ready_share, TeamRoom(self._team_room())
        )
        plan = planner.plan
        turn = now
        placed = 0
        for _ in planner.steps(bags):
            self._start(plan.starts[placed:])
            placed = len(plan.starts)
            if self.clock.now() - turn > TURN:
                await asyncio.sleep(0)
                turn = self.clock.now()
        self.yielding = {
            job.id
            for job in self.jobs.values()
            if job.spec.checkpoint_s > 0 and self._is_idle(job)
        }
        for bag in bags:
            if bag.id in plan.late and not bag.held and not bag.thrifty and bag.id in self.jobs:
                self._preempt(self.jobs[bag.id], bag, plan.late[bag.id], now)
        self.calm = not plan.late and not plan.rentals
        self._release_from_idle(plan, now)
        if self.keeper.listed:
            self._cheapen(plan, lanes)
        # Before the first list nobody knows what a predecessor has rented.
        self.keeper.order(plan.rentals if self.keeper.listed else {}, plan.needed, now)
        return plan

    def _in_order(self) -> list[Job]:
        return sorted(self.jobs.values(), key=lambda job: (job.accepted_at, job.id))

    # what the planner sees

    def task_time(self, job: Job) -> timedelta:
        """The estimate Q without the image."""
        if job.spec.form is Form.SERVICE:
            return self.tuning.interval * 10
        return self.estimates.task_time(job.id, job.spec.job_class, job.spec.estimate)

    def _chain(self) -> None:
        """What follows for each job from those that need it, directly or not."""
        waiting = [job for job in self.jobs.values() if job.unmet]
        links = {}
        for name in dict.fromkeys(name for job in waiting for name in (job.id, *job.unmet)):
            job = self.jobs.get(name)
            if job is None or job.cancelled or job.over:
                continue
            links[name] = Link(
                job.unmet,
                job.depth,
                self.task_time(job) + self._fetch(job),
                self._closing(job),
                RANKS[job.spec.priority],
                job.spec.tasks - job.done,
                0 if job.unmet else job.waiting(),
            )
        self.stages, ring = stages(links, OPTIMISM)
        if ring - self.ring:
            log.error("these wait for each other, and stay pending: %s", ", ".join(sorted(ring)))
        self.ring = ring
        for job in self.jobs.values():
            stage = self.stages.get(job.id)
            job.rank = RANKS[job.spec.priority] if stage is None else stage.rank

    def _fetch(self, job: Job) -> timedelta:
        """What an image that is missing adds, on the machines that fetch it fastest."""
        rates = [m.fetch_gb_per_s for m in self.keeper.types.values() if allowed(job.spec, m)]
        return fetch_time(job.spec.image_gb, max(rates, default=1.0))

    def may_wait(self, machine: Machine, span: timedelta) -> bool:
        """Whether a busy machine has room for more, and none of its tasks is expected to end in
        this time: the report of an end would wait for the answer to the report before."""
        model = self.keeper.types.get(machine.kind.type) if machine.kind is not None else None
        if model is None or not machine.usable or machine.recall_at is not None:
            return False
        now = self.clock.now()
        free = Size(model.cpus, model.gpus, model.memory_gb)
        for placement in machine.placements.values():
            job = placement.page.job
            if placement.running_at is None or placement.lost or job.cancelled:
                return False
            if (
                job.spec.form is not Form.SERVICE
                and now + span > placement.running_at + self._mean(job)
            ):
                return False
            free = free.minus(Size(job.spec.cpus, job.spec.gpus, job.spec.memory_gb))
        return any(free.times(size) for size in self.sizes)

    def wants(self) -> list[Want]:
        """What waits for room, for the account; alike jobs once."""
        room = self._team_room()
        now = self.clock.now()
        result: dict[Hashable, Want] = {}
        for job in self.jobs.values():
            spec = job.spec
            if job.cancelled or job.over or job.unmet or now < job.retry_at or job.waiting() <= 0:
                continue
            types = None if spec.types is None else tuple(spec.types)
            size = Size(spec.cpus, spec.gpus, spec.memory_gb)
            likeness = (size, types, spec.zone, spec.spot, spec.team)
            if likeness not in result:
                left = room.get(spec.team)
                has = left is None or left.times(Size(spec.cpus, spec.gpus, 0.0)) >= 1
                result[likeness] = Want(size, self._allowed(job, set()), has)
        return list(result.values())

    def available(self) -> list[str]:
        """Machines that new work may use at this moment, for the account."""
        now = self.clock.now()
        return [m.name for m in self.roster if m.up and self._takes_work(m, now)]

    def _takes_work(self, machine: Machine, now: timedelta) -> bool:
        """Whether something new may be put on a machine, now or when it is up."""
        if not machine.usable:
            return False
        report = self.params.workers.report
        return not machine.up or not (
            machine.silent(now, report, self.awake_since) or now < machine.blocked_until
        )

    def _mean(self, job: Job) -> timedelta:
        return self.estimates.moments(job.id, job.spec.job_class, job.spec.estimate)[0]

    def _closing(self, job: Job) -> list[timedelta]:
        """The owner's deadlines, from now on; of a chain's last job also the later ones that the
        objectives name. Jobs alone did no better with those (docs/limits.md)."""
        own = None if job.spec.deadline_s is None else timedelta(seconds=job.spec.deadline_s)
        objectives = self.params.objectives if job.spec.needs else ()
        age = max(self.clock.today() - job.accepted_at, ZERO) + self.params.workers.report
        return [limit - age for limit in closing_deadlines(objectives, job.spec.job_class, own)]

    def _lanes(self, machine: Machine, now: timedelta) -> Lanes | None:
        kind = machine.kind
        model = self.keeper.types.get(kind.type) if kind is not None else None
        if kind is None or model is None or not self._takes_work(machine, now):
            return None
        if not machine.up and machine.placements and not machine.expected_back:
            return None
        ready_at = now if machine.up else self.keeper.ready_at(machine)
        until = None if machine.recall_at is None else machine.recall_at - timedelta(seconds=1)
        lanes = Lanes(
            machine.name,
            kind,
            Size(model.cpus, model.gpus, model.memory_gb),
            ready_at,
            machine.rented_at,
            model.hourly(kind.spot),
            model.fetch_gb_per_s,
            self.keeper.interval(kind),
            until,
            booting=not machine.up,
        )
        for image in machine.images:
            lanes.images[image] = ready_at
        for placement in machine.placements.values():
            spec = placement.page.job.spec
            lanes.reserve(
                ready_at,
                max(ready_at, self._finish(placement, lanes, now)),
                Size(spec.cpus, spec.gpus, spec.memory_gb),
            )
            lanes.expect(spec.image, spec.image_gb, now)
        return lanes

    def _finish(self, placement: Placement, lanes: Lanes, now: timedelta) -> timedelta:
        """When a task that is on a machine is expected to be off it."""
        job = placement.page.job
        if placement.lost or job.cancelled:
            return now + self.params.workers.report * 2
        if job.spec.form is Form.SERVICE:
            return now + LONG
        known = self.moments.get(job.id)
        if known is None:
            known = self.moments[job.id] = self.estimates.moments(
                job.id, job.spec.job_class, job.spec.estimate
            )
        mean, deviation = known
        if placement.running_at is None:
            return now + lanes.duration(mean + deviation, job.spec.image, job.spec.image_gb, now)
        left = mean + deviation - (now - placement.running_at)
        return now + max(left, deviation / 2, timedelta(seconds=1))

    def _bags(self, now: timedelta) -> list[Bag]:
        """Ready work; very small jobs that are alike make one bag.

        A plan looks at all machines for each bag, so hundreds of jobs of one task each took
        seconds, though to the paper they are one bag of tasks.
        """
        self.members = {}
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
        return result

    def _bag(self, job: Job, now: timedelta) -> Bag | None:
        spec = job.spec
        gang = is_gang(job)
        ready = job.waiting() if gang else min(job.waiting(), MOST_READY)
        if gang and job.on_machines():
            return None  # whole on machines, or what is left of it is on its way off
        if ready <= 0 or job.cancelled or job.over or now < job.retry_at or job.unmet:
            return None
        held = suspected(job)
        if held and any(not p.lost for p in job.placements()):
            return None  # what runs already will tell
        run = self.task_time(job)
        today = self.clock.today()
        waited = max(today - job.begun_at, ZERO)
        age = waited + self.params.workers.report
        expected = stage_deadlines(self.params.objectives, spec.job_class, run)
        limits = sorted([limit - age for limit in expected] + self._closing(job))
        stage = self.stages.get(job.id)
        if stage is not None and stage.due is not None:
            limits = sorted([*limits, stage.due])
        idle = self._is_idle(job)
        if idle:
            ready = min(ready, int(self.idle_cpus / max(spec.cpus, 0.1)))
            if ready <= 0:
                return None
            self.idle_cpus -= ready * spec.cpus
        if not limits:
            patience = (
                run + timedelta(seconds=30)
                if spec.form is Form.SERVICE
                else run * 4 + self.tuning.interval
            )
            limits = [patience - age]
        limit = next_deadline(limits, run * OPTIMISM)
        if idle:
            limit = ZERO  # as soon as there is room, however long it has waited
        # Too late for everything: what can still be in time goes first, and nothing dear is rented
        # for it.
        missed = limit is None or idle
        due = now + (limits[-1] if limit is None else limit)
        zones = {p.zone for p in job.placements()} if spec.one_zone or spec.spread else set()
        return Bag(
            id=job.id,
            size=Size(spec.cpus, spec.gpus, spec.memory_gb),
            ready=1 if held and not gang else ready,
            unready=0 if stage is None else stage.tasks - stage.ready,
            beside=0 if stage is None else max(0, stage.ready - job.waiting()),
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
            rank=self._rank(job, 2 if held or idle else int(missed), due - run),
            one_zone=spec.one_zone and not zones,
            zone_room=self._zone_room(job) if spec.spread else None,
            team=spec.team,
            held=held,
            waited=waited,
            thrifty=missed,
            idle=idle,
            gang=gang,
        )

    def _rank(self, job: Job, missed: int, latest_start: timedelta) -> tuple[float, ...]:
        """What comes before the paper's order: guarantees, then what can still be in time, then
        high urgency, which could preempt the rest anyway, then the least slack."""
        urgency = job.rank
        guaranteed = job.id in self.guaranteed
        return (
            not guaranteed,
            missed,
            min(urgency, RANKS[Priority.NORMAL]),
            latest_start.total_seconds(),
            urgency,
        )

    def _is_idle(self, job: Job) -> bool:
        """Nobody expects the job by any time: low urgency, no deadline, no objective."""
        spec = job.spec
        return (
            job.rank == RANKS[Priority.LOW]
            and spec.form is Form.ARRAY
            and spec.deadline_s is None
            and (job.id not in self.stages or self.stages[job.id].due is None)
            and not stage_deadlines(self.params.objectives, spec.job_class, ZERO)
        )

    def _idle_room(self, lanes: list[Lanes]) -> float:
        """CPUs that work may take in this plan which nobody expects by any time: what is free on
        machines that are paid for anyway, less some for what comes unexpected; and in calm times a
        few machines more. It runs for minutes, so it would fit into no billed interval, and
        planned afresh with a far deadline it would be put off for ever."""
        up = [view for view in lanes if not view.booting]
        total = free = 0.0
        for view in up:
            total += view.capacity
            free += max(0.0, view.free[0].cpus)
        more = 0.0
        if self.calm:
            largest = max((model.cpus for model in self.keeper.types.values()), default=0.0)
            more = max(IDLE_RENTED * sum(view.capacity for view in lanes), largest)
        return max(0.0, free - IDLE_SPARED * total) + more

    def _allowed(
        self, job: Job, zones: set[str], spot_only: bool = False
    ) -> Callable[[Kind], bool]:
        spec = job.spec
        types: dict[str, MachineType] = self.keeper.types
        fits = {name for name, model in types.items() if allowed(spec, model)}

        def check(kind: Kind) -> bool:
            if kind.type not in fits or (not kind.spot if spot_only else kind.spot > spec.spot):
                return False
            if spec.zone is not None and kind.zone != spec.zone:
                return False
            return not zones or zones == {kind.zone}

        return check

    def _zone_room(self, job: Job) -> dict[str, int]:
        most = -(-job.spec.tasks // 2)
        room = {zone: most for model in self.keeper.types.values() for zone in model.zones}
        for placement in job.placements():
            room[placement.zone] = room.get(placement.zone, most) - 1
        return room

    def _offers(self) -> list[Offer]:
        result = []
        for model in self.keeper.types.values():
            for zone in model.zones:
                for spot in (True, False):
                    kind = Kind(model.name, zone, spot)
                    if (spot and model.spot_price is None) or not self.keeper.offered(kind):
                        continue
                    capacity = Size(model.cpus, model.gpus, model.memory_gb)
                    boot = self.keeper.boots.expected(kind)
                    result.append(
                        Offer(
                            kind,
                            capacity,
                            model.hourly(spot),
                            boot,
                            model.fetch_gb_per_s,
                            self.keeper.interval(kind),
                            RENT_MOST,
                        )
                    )
        return result

    def _team_room(self) -> dict[str, Size | None]:
        used: dict[str, list[float]] = {}
        for job in self.jobs.values():
            count = job.on_machines()
            total = used.setdefault(job.spec.team, [0.0, 0.0])
            total[0] += job.spec.cpus * count
            total[1] += job.spec.gpus * count
        room: dict[str, Size | None] = {}
        for team in self.params.teams:
            cpus, gpus = used.get(team.name, [0.0, 0.0])
            if team.cpus_max <= 0 and team.gpus_max <= 0:
                room[team.name] = None
                continue
            room[team.name] = Size(
                team.cpus_max - cpus if team.cpus_max > 0 else NO_LIMIT,
                team.gpus_max - gpus if team.gpus_max > 0 else NO_LIMIT,
                NO_LIMIT,
            )
        return room

    def _guaranteed(self) -> set[str]:
        """Jobs that, with the earlier unfinished jobs of their team, fit into the team's
        guarantee."""
        result: set[str] = set()
        for team in self.params.teams:
            if team.cpus <= 0 and team.gpus <= 0:
                continue
            cpus = gpus = 0.0
            for job in self._in_order():
                if job.spec.team != team.name or job.cancelled or job.over or job.unmet:
                    continue
                left = job.spec.tasks - job.done
                cpus += job.spec.cpus * left
                gpus += job.spec.gpus * left
                if cpus <= team.cpus + 1e-9 and gpus <= team.gpus + 1e-9:
                    result.add(job.id)
        return result

    # what the plan changes

    def _cheapen(self, plan: Plan, lanes: list[Lanes]) -> None:
        """Let spot machines carry what ordinary ones do, as far as they have room to spare.

        A large machine is never idle at the end of an interval while small tasks come and go, and
        what has an image finishes first there, so the ordinary machines of one bad moment stayed
        for the day while spot machines beside them fell idle and went back. So an ordinary machine
        gets no new work once spot machines have as much room free, after all that the plan counts
        on, and some to spare; whether something is late does not matter then, as it could start in
        that room. In calm times spot machines are rented beside them, too. Without spare room,
        and with anything late, all machines are used.
        """
        retiring = [machine for machine in self.roster if machine.retiring]
        spare = self._spare(lanes) - sum(self._used(machine) for machine in retiring)
        bound = any(not job.spec.spot for job in self.jobs.values())
        if bound or (plan.late and spare <= 0):
            for machine in retiring:
                machine.retiring = False
            return
        ordinary = [
            (view, machine)
            for view in lanes
            if not view.kind.spot
            and not view.booting
            and (machine := self.roster.get(view.machine)) is not None
            and self._has_spot(self.keeper.types.get(view.kind.type))
            and all(p.page.job.spec.form is not Form.SERVICE for p in machine.placements.values())
        ]
        ordinary.sort(key=lambda pair: (-pair[0].hourly_cpu, len(pair[1].placements)))
        left = 0.0
        for _, machine in ordinary:
            used = self._used(machine)
            if used < spare:
                log.info("%s gets no new work: spot machines have room for it", machine.name)
                machine.retiring = True
                spare -= used
            else:
                left += used
        # What would go back is worth more as room for what ordinary machines still do.
        self.keeper.keep_spot = bool(ordinary)
        if left > 0 and not plan.late and not plan.rentals:
            plan.rentals.update(self._swap(left - spare, lanes))

    def _swap(self, cpus: float, lanes: list[Lanes]) -> dict[Kind, int]:
        """Spot machines to rent for work that now runs on ordinary ones: the cheapest on which all
        that is live fits, a tenth of the fleet at a time."""
        coming = sum(view.capacity for view in lanes if view.booting and view.kind.spot)
        cpus = min(cpus, SWAPPED * sum(view.capacity for view in lanes)) - coming
        result: dict[Kind, int] = {}
        models = [m for m in self.keeper.types.values() if m.cpus > 0 and self._has_spot(m)]
        for model in sorted(models, key=lambda m: m.hourly(True) / m.cpus):
            whole = Size(model.cpus, model.gpus, model.memory_gb)
            if any(whole.times(size) < 1 for size in self.sizes):
                continue
            for zone in model.zones:
                kind = Kind(model.name, zone, True)
                count = min(math.ceil(cpus / model.cpus), RENT_MOST)
                if count > 0 and self.keeper.offered(kind):
                    result[kind] = count
                    cpus -= count * model.cpus
        return result

    @staticmethod
    def _used(machine: Machine) -> float:
        """CPUs that tasks hold on a machine."""
        return sum(p.page.job.spec.cpus for p in machine.placements.values())

    @staticmethod
    def _has_spot(model: MachineType | None) -> bool:
        """Whether a machine of the type would cost less as a spot machine."""
        return (
            model is not None and model.spot_price is not None and model.spot_price < model.price
        )

    def _spare(self, lanes: list[Lanes]) -> float:
        """CPUs on spot machines that are up and that the plan has no use for, in room for the
        largest tasks, less a share that stays free."""
        spot = [view for view in lanes if view.kind.spot and not view.booting]
        free = 0.0
        for view in spot:
            model = self.keeper.types[view.kind.type]
            whole = Size(model.cpus, model.gpus, model.memory_gb)
            fitting = [size for size in self.sizes if whole.times(size) >= 1]
            size = max(fitting, key=lambda one: one.cpus, default=whole)
            free += view.free[0].times(size) * size.cpus
        return free - HEADROOM * sum(view.capacity for view in spot)

    def _release_from_idle(self, plan: Plan, now: timedelta) -> None:
        """An ordinary machine on which only idle work is left goes back like an idle one.

        Only work that keeps its progress is placed there, and it is stopped in time to save.
        """
        report = self.params.workers.report
        for machine in self.roster:
            if machine.kind is None or machine.kind.spot or machine.name in plan.needed:
                continue
            jobs = [p.page.job for p in machine.placements.values()]
            if not jobs or machine.retiring or any(j.id not in self.yielding for j in jobs):
                continue
            interval = self.keeper.interval(machine.kind)
            left = interval - (now - machine.rented_at) % interval
            if left <= report * 3 + max(j.spec.save for j in jobs) * 1.5 + timedelta(seconds=1):
                log.info("%s gets no new work: only idle work is left on it", machine.name)
                machine.retiring = True
                for placement in machine.placements.values():
                    placement.lost = True

    def _preempt(self, job: Job, bag: Bag, late: int, now: timedelta) -> None:
        """Make room for what would be late: a team's guarantee against borrowers, `prod`
        against lower urgency."""
        guaranteed = self.guaranteed
        # High urgency may stop lower work, too, but what it gained the stopped work lost twice;
        # unless the work keeps its progress, and nobody waits for it.
        gentle = job.id not in guaranteed and job.rank != RANKS[Priority.PRODUCTION]
        if gentle and not self.yielding:
            return
        # Stopping takes a report to be told, and one to be seen.
        if now + self.params.workers.report * 2 + bag.run > bag.due and job.id not in guaranteed:
            return
        hosts = []
        for machine in self.roster:
            model = self.keeper.types.get(machine.kind.type) if machine.kind is not None else None
            if (
                model is None
                or machine.kind is None
                or not machine.up
                or not bag.allowed(machine.kind)
            ):
                continue
            if machine.returning or machine.draining or machine.recall_at is not None:
                continue
            free = Size(model.cpus, model.gpus, model.memory_gb)
            victims = []
            for placement in machine.placements.values():
                other = placement.page.job
                size = Size(other.spec.cpus, other.spec.gpus, other.spec.memory_gb)
                free = free.minus(size)
                if placement.lost or (gentle and other.id not in self.yielding):
                    continue
                if self._yields(other, job, guaranteed):
                    ran = ZERO if placement.running_at is None else now - placement.running_at
                    if other.spec.checkpoint_s > 0:
                        ran = min(ran, other.spec.save)
                    # A gang goes whole, so each of its tasks costs all of them.
                    ran *= other.on_machines() if is_gang(other) else 1
                    victims.append(Victim(placement, size, ran))
            hosts.append(Host(machine.name, free, victims))
        most = late if bag.gang else min(late, MOST_STOPPED)
        for victim in choose(bag.size, most, hosts, whole=bag.gang):
            assert isinstance(victim, Placement)
            log.info("stopping %s/%d for %s", victim.page.job.id, victim.task, job.id)
            victim.lost = True
            if is_gang(victim.page.job):
                give_up(victim.page.job)

    @staticmethod
    def _yields(other: Job, job: Job, guaranteed: set[str]) -> bool:
        """Whether the protocol lets a task of the one job be stopped for the other."""
        if other.id in guaranteed and job.id not in guaranteed:
            return False
        if other.rank > job.rank:
            return True
        return (
            job.id in guaranteed
            and other.id not in guaranteed
            and other.spec.team != job.spec.team
        )

    def _start(self, starts: list[tuple[str, str, int]]) -> None:
        """Place what one step of the plan starts."""
        gangs: dict[str, list[tuple[str, int]]] = {}
        for bag, name, count in starts:
            job = self.jobs.get(bag)
            if job is not None and is_gang(job):
                gangs.setdefault(bag, []).append((name, count))
            else:
                self._place_some(bag, name, count)
        for bag, shares in gangs.items():
            self._place_whole(self.jobs[bag], shares)

    def _place_whole(self, job: Job, shares: list[tuple[str, int]]) -> None:
        """Place all tasks of a gang, or none: nothing of it is written before this is over, as
        nobody else gets a turn meanwhile."""
        if job.on_machines() or sum(count for _, count in shares) < job.waiting():
            return
        # Workers run a gang once all of one attempt are there, so its members share the number.
        attempt = job.next_attempt()
        placed = sum(self._place(job.id, name, count, attempt) for name, count in shares)
        if job.waiting() == 0 or placed == 0:
            return
        log.info("%s is not placed: room for %d of %d tasks", job.id, placed, job.spec.tasks)
        for placement in list(job.placements()):
            machine = self.roster.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
            placement.page.remove(placement.task)

    def _place_some(self, bag: str, name: str, count: int) -> None:
        """Place tasks of a bag, which may be those of several jobs."""
        members = self.members.get(bag)
        if members is None:
            self._place(bag, name, count)
            return
        while members and count > 0:
            count -= self._place(members[0].id, name, count)
            if count > 0 or members[0].waiting() <= 0:
                members.pop(0)

    def _place(self, job_id: str, name: str, count: int, attempt: int | None = None) -> int:
        """Count tasks as on a machine, if both are still as they were when the plan began;
        returns how many."""
        job = self.jobs.get(job_id)
        machine = self.roster.get(name)
        if machine is None or machine.kind is None or not machine.usable:
            return 0
        if job is None or job.cancelled or job.over or job.unmet:
            return 0
        if job.rank >= RANKS[Priority.LOW] and self._records_late():
            return 0  # room held for a start that can't be recorded yet is room lost
        asked = count
        today = self.clock.today()
        limit = self.page_bytes
        for page in job.free_tasks():
            bound, row = page.size_bound(name, today), page.row_bound(today)
            for task in page.free():
                if count <= 0 or bound > limit:
                    break
                placement = page.place(
                    task, name, machine.session, machine.kind.zone, today, attempt
                )
                machine.placements[(job.id, task)] = placement
                machine.given.set()
                count -= 1
                bound += row
            self.mark(page)
            if count <= 0:
                break
        return asked - count

    def _records_late(self) -> bool:
        """More starts wait for their records than the rate of changes takes in a moment."""
        return self.backlog() > max(8.0, self.params.state.write_rps * RECORDS_AHEAD)
