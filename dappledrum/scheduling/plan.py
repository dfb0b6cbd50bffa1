"""The paper's DDS (Algorithm 3) on the machines at hand and those that could be rented.

A plan is made afresh at each wake from what is known then: Algorithm 1 (BDS) puts tasks into room
that is paid for anyway, Algorithm 2 (SIR) spreads the rest over machines of a single type, rented
anew where that is cheapest in time. What starts now is started; the rest only shows which machines
are needed.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from dappledrum.clock import ZERO
from dappledrum.scheduling.lanes import Gap, Kind, Lanes, Size

# tasks of one bag that one plan spreads over rented machines; the others wait for the next wake
TRIED = 160
SLACK = timedelta(milliseconds=500)  # overruns that differ by less are taken for equal


@dataclass
class Bag:
    """The ready tasks of one stage of a pipeline: identical, and independent of each other."""

    id: str
    size: Size
    ready: int
    unready: int
    total: int
    run: timedelta
    due: timedelta
    image: str
    image_gb: float
    allowed: Callable[[Kind], bool]
    rank: tuple[
        float, ...
    ] = ()  # exceptions that come before the paper's order; smaller goes first
    one_zone: bool = False
    zone_room: dict[str, int] | None = None  # spread: how many more tasks each zone may take
    team: str = ""
    held: bool = False  # placed only, nothing is rented for it
    thrifty: bool = False  # too late anyway: only the cheaper kind of machine is rented for it


@dataclass
class Offer:
    """A kind of machine that can be rented now."""

    kind: Kind
    capacity: Size
    hourly: float
    boot: timedelta
    fetch_gb_per_s: float
    interval: timedelta
    most: int


@dataclass
class Plan:
    """What follows from a round of planning."""

    starts: list[tuple[str, str, int]] = field(
        default_factory=list
    )  # bag, machine, number of tasks
    rentals: dict[Kind, int] = field(default_factory=dict)
    needed: set[str] = field(default_factory=set)  # machines with work to come
    late: dict[str, int] = field(
        default_factory=dict
    )  # tasks of each bag that are planned too late, or not at all


class TeamRoom:
    """How much more each team may use at this moment; None: no limit."""

    def __init__(self, room: dict[str, Size | None]) -> None:
        self.room = room

    def count(self, bag: Bag) -> int:
        """Tasks of the bag that may still start."""
        left = self.room.get(bag.team)
        return (
            bag.ready
            if left is None
            else min(bag.ready, left.times(Size(bag.size.cpus, bag.size.gpus, 0.0)))
        )

    def take(self, bag: Bag, count: int) -> None:
        """Some tasks of the bag will start."""
        left = self.room.get(bag.team)
        if left is not None:
            self.room[bag.team] = left.minus(Size(bag.size.cpus, bag.size.gpus, 0.0), count)


class Planner:
    """One round of planning."""

    def __init__(
        self,
        now: timedelta,
        lanes: Sequence[Lanes],
        offers: Sequence[Offer],
        ready_share: float,
        team_room: TeamRoom,
    ) -> None:
        self.now = now
        self.lanes = list(lanes)
        self.offers = list(offers)
        self.ready_share = ready_share
        self.team_room = team_room
        self.plan = Plan()
        self.fresh = 0

    def run(self, bags: Sequence[Bag]) -> Plan:
        """Algorithm 3."""
        left: list[tuple[Bag, int]] = []
        for bag in sorted(bags, key=lambda b: (b.rank, -b.run, b.id)):
            count = self.team_room.count(bag)
            if count <= 0:
                continue
            self.team_room.take(
                bag, count
            )  # also for what only waits: nobody else may count on it
            zones = self._zones(bag, count)
            placed = self._fill(bag, count, zones)
            if placed < count and self._passes(bag) and not bag.held:
                left.append((bag, count - placed))
        left.sort(key=lambda item: (item[0].rank, -(item[0].run * item[1])))
        for bag, count in left:
            self._rent(bag, count)
        return self.plan

    def _passes(self, bag: Bag) -> bool:
        """The delay rule: rent once enough of the stage is ready, or all that is left of it."""
        return bag.unready == 0 or bag.ready / max(1, bag.total) > self.ready_share

    def _zones(self, bag: Bag, count: int) -> set[str] | None:
        """Zones that the bag may use; None: any."""
        if not bag.one_zone:
            return None
        # Nothing of the job is on a machine yet (else `allowed` fixes the zone): take the zone
        # with the most room.
        room: dict[str, int] = {}
        for lanes in self.lanes:
            if bag.allowed(lanes.kind):
                room[lanes.kind.zone] = room.get(lanes.kind.zone, 0) + lanes.free[-1].times(
                    bag.size
                )
        for offer in self.offers:
            if bag.allowed(offer.kind):
                more = offer.capacity.times(bag.size) * offer.most
                room[offer.kind.zone] = room.get(offer.kind.zone, 0) + more
        if not room:
            return set()
        best = max(sorted(room), key=lambda zone: min(room[zone], count))
        allowed = bag.allowed
        bag.allowed = lambda kind: kind.zone == best and allowed(kind)
        return {best}

    def _cap(self, bag: Bag, zone: str, count: int) -> int:
        return count if bag.zone_room is None else min(count, bag.zone_room.get(zone, 0))

    def _use(self, bag: Bag, lanes: Lanes, gap: Gap, count: int) -> None:
        """Give a gap to some tasks of a bag."""
        lanes.reserve(gap.start, gap.finish, bag.size, count)
        lanes.expect(bag.image, bag.image_gb, gap.start)
        lanes.planned += count
        if bag.zone_room is not None:
            bag.zone_room[lanes.kind.zone] = bag.zone_room.get(lanes.kind.zone, 0) - count

    def _commit(self, bag: Bag, lanes: Lanes, gap: Gap, count: int) -> None:
        self._use(bag, lanes, gap, count)
        self.plan.needed.add(lanes.machine)
        if gap.start <= self.now and not lanes.booting:
            self.plan.starts.append((bag.id, lanes.machine, count))

    def _fill(self, bag: Bag, count: int, zones: set[str] | None) -> int:
        """Algorithm 1: the earliest finish among lanes whose billed intervals stay the same."""
        gaps: dict[int, Gap] = {}
        usable = [
            lanes
            for lanes in self.lanes
            if bag.allowed(lanes.kind) and (zones is None or lanes.kind.zone in zones)
        ]
        for index, lanes in enumerate(usable):
            self._refresh(gaps, index, lanes, bag)
        placed = 0
        while placed < count and gaps:
            # Equal finishes are common, as free lanes start at once: take the cheaper machine,
            # then the one that is committed for longest, so that the others fall idle and can be
            # returned.
            index = min(
                gaps, key=lambda i: (gaps[i].finish, usable[i].hourly_cpu, -usable[i].committed, i)
            )
            lanes, gap = usable[index], gaps[index]
            take = self._cap(bag, lanes.kind.zone, min(gap.count, count - placed))
            if take <= 0:
                del gaps[index]
                continue
            self._commit(bag, lanes, gap, take)
            placed += take
            self._refresh(gaps, index, lanes, bag)
        return placed

    def _refresh(self, gaps: dict[int, Gap], index: int, lanes: Lanes, bag: Bag) -> None:
        gap = lanes.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        # The paper's rule has no eye on deadlines, and would queue a task on a paid lane until
        # long after its own: a task that would both wait and be late is left to Algorithm 2, which
        # can rent.
        in_time = gap is not None and (gap.start <= self.now or gap.finish <= bag.due)
        if gap is not None and in_time and gap.finish <= lanes.billed_until():
            gaps[index] = gap
        else:
            gaps.pop(index, None)

    def _rent(self, bag: Bag, count: int) -> None:
        """Algorithm 2: the single type with the least worst overrun, then the least added cost."""
        kinds = sorted(
            {x.kind for x in self.lanes if bag.allowed(x.kind)}
            | {o.kind for o in self.offers if bag.allowed(o.kind)}
        )
        best: tuple[tuple[int, timedelta, float], _Trial] | None = None
        tried = min(count, TRIED)
        for kind in kinds:
            trial = self._try(bag, kind, tried)
            if trial.placed == 0:
                continue
            late = max(trial.overrun, ZERO)
            score = (tried - trial.placed, SLACK * round(late / SLACK), trial.cost)
            if best is None or score < best[0]:
                best = (score, trial)
        if best is None:
            self.plan.late[bag.id] = count
            return
        trial = best[1]
        late = (
            sum(number for _, gap, number, _ in trial.steps if gap.finish > bag.due)
            + tried
            - trial.placed
        )
        if late:
            self.plan.late[bag.id] = late
        for lanes in trial.new:
            lanes.machine = f"+{self.fresh}"
            self.fresh += 1
            self.lanes.append(lanes)
            self.plan.rentals[lanes.kind] = self.plan.rentals.get(lanes.kind, 0) + 1
        if trial.new:
            offer = next(o for o in self.offers if o.kind == trial.new[0].kind)
            offer.most -= len(trial.new)
        for lanes, gap, number, fresh in trial.steps:
            if fresh:
                if bag.zone_room is not None:
                    bag.zone_room[lanes.kind.zone] = bag.zone_room.get(lanes.kind.zone, 0) - number
            else:
                self._commit(bag, lanes, gap, number)

    def _try(self, bag: Bag, kind: Kind, count: int) -> "_Trial":
        """Spread the tasks over machines of one kind: the cheapest lane in time, else the earliest
        finish."""
        trial = _Trial()
        offer = next((o for o in self.offers if o.kind == kind), None)
        if bag.thrifty and not kind.spot and bag.allowed(kind._replace(spot=True)):
            offer = None
        own: list[tuple[Lanes, Lanes, bool]] = [
            (x, x.copy(), False) for x in self.lanes if x.kind == kind
        ]
        gaps: list[Gap | None] = [
            x[1].earliest(bag.size, bag.run, bag.image, bag.image_gb) for x in own
        ]
        room = self._cap(bag, kind.zone, count)
        more = offer.most if offer is not None else 0
        blank = self._blank(offer) if offer is not None else None
        fresh_gap = (
            blank.earliest(bag.size, bag.run, bag.image, bag.image_gb)
            if blank is not None
            else None
        )
        while trial.placed < room:
            best: tuple[tuple[int, float, float, int, int], int] | None = None
            for index, gap in enumerate(gaps):
                if gap is not None:
                    score = self._score(bag, own[index][1], gap, own[index][2], False, index)
                    if best is None or score < best[0]:
                        best = (score, index)
            if blank is not None and offer is not None and fresh_gap is not None and more > 0:
                score = self._score(bag, blank, fresh_gap, True, True, len(own))
                if best is None or score < best[0]:
                    lanes = self._blank(offer)
                    own.append((lanes, lanes, True))
                    gaps.append(fresh_gap)
                    trial.new.append(lanes)
                    more -= 1
                    best = (score, len(own) - 1)
            if best is None:
                break
            index = best[1]
            target, lanes, fresh = own[index]
            gap = gaps[index]
            assert gap is not None
            number = min(gap.count, room - trial.placed)
            blank_now = fresh and lanes.planned == 0
            trial.cost += lanes.added_cost(gap.finish, fresh=blank_now)
            trial.overrun = max(trial.overrun, gap.finish - bag.due)
            trial.steps.append((target, gap, number, fresh))
            trial.placed += number
            lanes.reserve(gap.start, gap.finish, bag.size, number)
            lanes.expect(bag.image, bag.image_gb, gap.start)
            lanes.planned += number
            gaps[index] = lanes.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        return trial

    def _score(
        self, bag: Bag, lanes: Lanes, gap: Gap, fresh: bool, unrented: bool, index: int
    ) -> tuple[int, float, float, int, int]:
        """In time: by cost, then age of the rental.

        Too late: by finish, then cost.
        """
        cost = lanes.added_cost(gap.finish, fresh=unrented or (fresh and lanes.planned == 0))
        if gap.finish <= bag.due:
            return 0, cost, lanes.rented_at.total_seconds(), unrented, index
        return 1, gap.finish.total_seconds(), cost, unrented, index

    def _blank(self, offer: Offer) -> Lanes:
        """A machine that would be rented now.

        Its boot is paid for, so its intervals count from now.
        """
        return Lanes(
            "",
            offer.kind,
            offer.capacity,
            self.now + offer.boot,
            self.now,
            offer.hourly,
            offer.fetch_gb_per_s,
            offer.interval,
            booting=True,
        )


class _Trial:
    """One kind's outcome in Algorithm 2."""

    def __init__(self) -> None:
        self.steps: list[tuple[Lanes, Gap, int, bool]] = []
        self.new: list[Lanes] = []
        self.placed = 0
        self.cost = 0.0
        self.overrun = timedelta(days=-10_000)
