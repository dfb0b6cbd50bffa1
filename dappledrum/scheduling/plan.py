"""The paper's DDS (Algorithm 3) on the machines at hand and those that could be rented.

A plan is made afresh at each wake from what is known then: Algorithm 1 (BDS) puts tasks into room
that is paid for anyway, Algorithm 2 (SIR) spreads the rest over machines of a single type, rented
anew where that is cheapest in time. What starts now is started; the rest only shows which machines
are needed.
"""

from bisect import bisect_right
from collections.abc import Callable, Collection, Iterator, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heapify, heappop, heappush, heapreplace

from dappledrum.gangs.together import Gang, Search
from dappledrum.scheduling.lanes import SLACK, Gap, Kind, Lanes, Offer, Size, fetch_time
from dappledrum.scheduling.rooms import Rooms, Row
from dappledrum.timing.clock import ZERO

# tasks of one bag that one plan spreads over rented machines; the others wait for the next wake
TRIED = 160
AHEAD = 16  # machines looked at together: more than needed, but none is taken up before its turn
GANGS_SOUGHT = 4  # gangs for which one plan looks beyond the room of the moment

#: Order of machines in Algorithm 2; the last item is unique, so nothing behind it is compared.
_Score = tuple[int, float, float, bool, int]
#: Order of rooms in Algorithm 1; without a gap a bound: of one machine, or (index below 0) of all
#: the rest of its kind.
_Room = tuple[timedelta, float, timedelta, int, Gap | None]
_Candidate = tuple[_Score, Lanes, Gap | None]  # without a gap the score is a bound
#: What Algorithm 2 compares kinds by: tasks left over, worst overrun, added cost, order of kinds.
_Outcome = tuple[int, timedelta, float, int]


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
    waited: timedelta = ZERO  # since its tasks could start
    beside: int = 0  # ready tasks of the other jobs of its stage
    thrifty: bool = False  # too late anyway: only the cheaper kind of machine is rented for it
    idle: bool = False  # nobody expects it by any time, so it is never late
    gang: bool = False  # its tasks run together or not at all
    #: It has waited for so long that room which is there now is used, whatever the machine's
    #: billed interval: queued behind other work it may wait for an interval's length.
    room_now: bool = False


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
        self.rooms = Rooms(lanes)
        self.lanes = self.rooms.lanes
        self.offers = list(offers)
        self.ready_share = ready_share
        self.team_room = team_room
        self.plan = Plan()
        self.left: list[tuple[Bag, int]] = []  # bags for which nothing was found yet, how many
        self.fresh = 0
        self.sought = 0  # gangs looked at closely
        self.examined = 0  # machines looked at closely: what a plan costs

    def run(self, bags: Sequence[Bag]) -> Plan:
        """Algorithm 3, at one go."""
        for _ in self.steps(bags):
            pass
        return self.plan

    def steps(self, bags: Sequence[Bag]) -> Iterator[None]:
        """Algorithm 3, bag by bag, so that whoever runs it can see to other things in between."""
        yield from self.fill(bags)
        yield from self.rent()

    def fill(self, bags: Sequence[Bag]) -> Iterator[None]:
        """The first half: room that is paid for anyway; what finds none stays in `left`."""
        for bag in sorted(bags, key=lambda b: (b.rank, -b.run, b.id)):
            count = self.team_room.count(bag)
            if count <= 0:
                continue
            self.team_room.take(
                bag, count
            )  # also for what only waits: nobody else may count on it
            zones = self._zones(bag, count)
            if bag.gang:
                self._gather(bag, count)
                yield
                continue
            # Room that is paid for costs nothing more on paper; by the second, what an ordinary
            # machine does not do lets it go back. So spot room goes first while it is in time.
            placed = self._fill(bag, count, zones, cheap=True)
            if placed < count:
                placed += self._fill(bag, count - placed, zones)
            if placed < count and self._passes(bag) and not bag.held:
                self.left.append((bag, count - placed))
            yield

    def rent(self, first: Collection[str] = ()) -> Iterator[None]:
        """The second half: machines that could be rented for what is left; `first`: bags that
        come before all others. It may be given up after any step."""
        self.left.sort(
            key=lambda item: (item[0].id not in first, item[0].rank, -(item[0].run * item[1]))
        )
        while self.left:
            self._rent(*self.left.pop(0))
            yield

    def _gather(self, bag: Bag, count: int) -> None:
        """Place a gang whole, or keep room for all of it at one later moment, or nothing."""
        if count < bag.ready:
            return  # the team's room grows until it suffices, as it counts as taken
        gang = Gang(
            *(bag.size, count, bag.run, bag.due, bag.image, bag.image_gb, bag.allowed),
            bag.zone_room,
        )
        search = Search(gang, self.lanes, self.offers, self.now)
        self.sought += 1
        closely = self.sought <= GANGS_SOUGHT
        room = search.best(rent=not bag.held) if closely else search.at_once()
        if room is None or room.finish > bag.due:
            self.plan.late[bag.id] = count
        if room is None:
            return
        for index, number in room.shares:
            lanes = self.lanes[index]
            self._commit(bag, lanes, Gap(room.start, number, room.finish), number)
        for kind, (number, tasks) in room.rented.items():
            offer = next(o for o in self.offers if o.kind == kind)
            offer.most -= number
            self.plan.rentals[kind] = self.plan.rentals.get(kind, 0) + number
            each = offer.capacity.times(bag.size)
            for _ in range(number):
                lanes = self._blank(offer)
                lanes.machine = f"+{self.fresh}"
                self.fresh += 1
                self.rooms.add(lanes)
                part = min(each, tasks)
                tasks -= part
                self._use(bag, lanes, Gap(room.start, part, room.finish), part)

    def _passes(self, bag: Bag) -> bool:
        """The delay rule: rent once enough of the stage is ready, or all that is left of it."""
        ready = bag.ready + bag.beside
        return bag.unready == 0 or ready / max(1, bag.total) > self.ready_share

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
        self.rooms.reserve(lanes, gap, bag.size, count)
        lanes.expect(bag.image, bag.image_gb, gap.start)
        lanes.planned += count
        if bag.zone_room is not None:
            bag.zone_room[lanes.kind.zone] = bag.zone_room.get(lanes.kind.zone, 0) - count

    def _commit(self, bag: Bag, lanes: Lanes, gap: Gap, count: int) -> None:
        self._use(bag, lanes, gap, count)
        if not bag.idle:
            self.plan.needed.add(lanes.machine)
        if gap.start <= self.now and not lanes.booting:
            self.plan.starts.append((bag.id, lanes.machine, count))

    def _fill(self, bag: Bag, count: int, zones: set[str] | None, cheap: bool = False) -> int:
        """Algorithm 1: the earliest finish among lanes whose billed intervals stay the same.

        Machines are taken up in the order in which they have room, and looked at closely only
        when no other can be better: a plan for hundreds of machines would otherwise compare each
        of them for each placement. `cheap`: on spot machines only, and only what is in time there.
        """
        fetch = _Fetch(bag.image_gb)
        heap: list[_Room] = []
        rest: list[tuple[Sequence[Row], int]] = []
        for kind in self.rooms.by_kind:
            if cheap and not kind.spot:
                continue
            if bag.allowed(kind) and (zones is None or kind.zone in zones):
                rest.append((tuple(self.rooms.order(kind, bag.size)), 0))
                heap.append((ZERO, -1.0, ZERO, -len(rest), None))
        heapify(heap)
        placed = 0
        while placed < count and heap:
            # Equal finishes are common, as free lanes start at once: take the cheaper machine,
            # then the one that is committed for longest, so that the others fall idle and can be
            # returned.
            _, _, _, index, gap = heap[0]
            if index < 0:
                heappop(heap)
                rows, at = rest[-1 - index]
                at = self._look(bag, rows, at, cheap, heap, fetch)
                if at < len(rows):
                    rest[-1 - index] = (rows, at)
                    heappush(heap, (rows[at][0] + bag.run, -1.0, ZERO, index, None))
                continue
            lanes = self.lanes[index]
            if gap is not None:
                take = self._cap(bag, lanes.kind.zone, min(gap.count, count - placed))
                if take <= 0:
                    heappop(heap)
                    continue
                self._commit(bag, lanes, gap, take)
                placed += take
            gap = lanes.earliest(bag.size, bag.run, bag.image, bag.image_gb)
            self.examined += 1
            if gap is not None and self._fits(bag, lanes, gap.start, gap.finish, cheap):
                heapreplace(heap, (gap.finish, lanes.hourly_cpu, -lanes.committed, index, gap))
            else:
                heappop(heap)
        return placed

    def _look(
        self,
        bag: Bag,
        rows: Sequence[Row],
        at: int,
        cheap: bool,
        heap: "list[_Room]",
        fetch: "_Fetch",
    ) -> int:
        """Take up machines of one kind from row `at` on, until another room in the heap may be
        the better one; returns the next row, or the number of rows when no other can do.

        Written out like `_scored`: most machines that it meets can't do.
        """
        now, run, due, image = self.now, bag.run, bag.due, bag.image
        waited = ZERO if cheap else bag.waited
        lanes_of = self.lanes
        last = now if cheap else max(now, due - run)  # what starts later is late
        first = heap[0][0] if heap else None
        rate, fetching = -1.0, ZERO
        for index in range(at, len(rows)):
            start, number = rows[index]
            if start > last:
                return len(rows)
            if first is not None and first < start + run:
                return index
            lanes = lanes_of[number]
            there = lanes.images.get(image)
            if there is None:
                if lanes.fetch_gb_per_s != rate:
                    rate = lanes.fetch_gb_per_s
                    fetching = fetch.time(rate)
                finish = start + run + fetching
            else:
                finish = run + (start if there <= start else there)
            if finish > lanes.billed_until() and not (bag.room_now and start <= now):
                continue
            if cheap:
                if finish > due:
                    continue
            elif start > now and (finish if lanes.booting else finish + waited) > due:
                continue
            heappush(heap, (finish, lanes.hourly_cpu, -lanes.committed, number, None))
            if first is None or finish < first:
                first = finish
        return len(rows)

    def _fits(
        self, bag: Bag, lanes: Lanes, start: timedelta, finish: timedelta, cheap: bool = False
    ) -> bool:
        """Whether Algorithm 1 may use this room.

        The paper's rule has no eye on deadlines, and would queue a task on a paid lane until long
        after its own: a task that would both wait and be late is left to Algorithm 2, which can
        rent.
        """
        if cheap and (start > self.now or finish > bag.due):
            return False
        if bag.room_now and start <= self.now:
            return True
        in_time = start <= self.now or self._likely(bag, lanes, start, finish) <= bag.due
        return in_time and finish <= lanes.billed_until()

    def _likely(self, bag: Bag, lanes: Lanes, start: timedelta, finish: timedelta) -> timedelta:
        """When a task will probably finish that is planned on a machine from then to then.

        In the paper a task keeps its place in a machine's queue. Here whatever comes later and is
        more urgent takes the room that becomes free, so a task that was put off again and again
        always saw room in a moment, and nothing was rented for it. What has waited for some time
        is expected to wait for that time again, unless the room is there now, or is on a machine
        that boots.
        """
        return finish if start <= self.now or lanes.booting else finish + bag.waited

    def _rent(self, bag: Bag, count: int) -> None:
        """Algorithm 2: the single type with the least worst overrun, then the least added cost."""
        kinds = sorted(
            {kind for kind in self.rooms.by_kind if bag.allowed(kind)}
            | {o.kind for o in self.offers if bag.allowed(o.kind)}
        )
        rates = {o.kind: o.hourly / max(o.capacity.cpus, 1e-3) for o in self.offers}
        best: tuple[_Outcome, _Trial] | None = None
        tried = min(count, TRIED)
        # The cheap ones first, as their outcome is the bound at which the others are given up.
        for kind in sorted(kinds, key=lambda k: rates.get(k, 0.0)):
            order = kinds.index(kind)
            trial = self._try(bag, kind, tried, order, None if best is None else best[0])
            if trial is None or trial.placed == 0:
                continue
            score = (tried - trial.placed, *trial.worth(), order)
            if best is None or score < best[0]:
                best = (score, trial)
        if best is None:
            if not bag.idle:
                self.plan.late[bag.id] = count
            return
        trial = best[1]
        late = (
            sum(
                number
                for lanes, gap, number, _ in trial.steps
                if self._likely(bag, lanes, gap.start, gap.finish) > bag.due
            )
            + tried
            - trial.placed
        )
        if late and not bag.idle:
            self.plan.late[bag.id] = late
        for lanes in trial.new:
            lanes.machine = f"+{self.fresh}"
            self.fresh += 1
            self.rooms.add(lanes)
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

    def _try(
        self, bag: Bag, kind: Kind, count: int, order: int, best: "_Outcome | None"
    ) -> "_Trial | None":
        """Spread the tasks over machines of one kind: the cheapest lane in time, else the earliest
        finish.

        None: it can't become better than the best so far, as overrun and cost only grow.
        """
        trial = _Trial()
        if best is not None and (0, *trial.worth(), order) > best:
            return None
        offer = next((o for o in self.offers if o.kind == kind), None)
        if bag.thrifty and not kind.spot and bag.allowed(kind._replace(spot=True)):
            offer = None
        fetch = _Fetch(bag.image_gb)
        rows = self.rooms.order(kind, bag.size)
        # In time, any machine may be the cheapest; too late, the first with room comes first.
        at = bisect_right(rows, bag.due - bag.run, key=_moment)
        heap = self._scored(bag, rows[:at], fetch)
        heapify(heap)
        copies: dict[int, Lanes] = {}
        room = self._cap(bag, kind.zone, count)
        more = offer.most if offer is not None else 0
        blank = self._blank(offer) if offer is not None else None
        fresh_gap = None
        fresh_score: _Score | None = None
        following = len(self.lanes)  # machines rented in this trial come after all others
        if blank is not None:
            fresh_gap = blank.earliest(bag.size, bag.run, bag.image, bag.image_gb)
            if fresh_gap is not None:
                fresh_score = self._score(
                    bag, blank, fresh_gap.start, fresh_gap.finish, following, unrented=True
                )
        while trial.placed < room:
            while at < len(rows):
                finish = rows[at][0] + bag.run
                if heap and heap[0][0] < (1, finish.total_seconds(), 0.0, False, -1):
                    break
                for candidate in self._scored(bag, rows[at : at + AHEAD], fetch):
                    heappush(heap, candidate)
                at += AHEAD
            if more > 0 and fresh_score is not None and (not heap or fresh_score < heap[0][0]):
                assert offer is not None and fresh_gap is not None
                lanes, gap = self._blank(offer), fresh_gap
                index = following + len(trial.new)
                trial.new.append(lanes)
                copies[index] = lanes
                more -= 1
                trial.cost += lanes.added_cost(gap.finish, fresh=True)
                heappush(heap, (fresh_score, lanes, gap))
                target, fresh = lanes, True
            elif heap:
                score, target, gap_or_none = heap[0]
                index = score[-1]
                fresh = index >= following
                lanes = copies.get(index, target)
                if gap_or_none is None:
                    self._next(heap, bag, lanes, target, index)
                    continue
                gap = gap_or_none
                if not fresh and index not in copies:
                    lanes = copies[index] = target.copy()
                trial.cost += lanes.added_cost(gap.finish, fresh=False)
            else:
                break
            number = min(gap.count, room - trial.placed)
            likely = self._likely(bag, lanes, gap.start, gap.finish)
            trial.overrun = max(trial.overrun, likely - bag.due)
            trial.steps.append((target, gap, number, fresh))
            trial.placed += number
            if best is not None and (0, *trial.worth(), order) > best:
                return None
            lanes.reserve(gap.start, gap.finish, bag.size, number)
            lanes.expect(bag.image, bag.image_gb, gap.start)
            lanes.planned += number
            self._next(heap, bag, lanes, target, index)
        return trial

    def _scored(self, bag: Bag, rows: Sequence[Row], fetch: "_Fetch") -> "list[_Candidate]":
        """Machines with what they could be worth at best: a bound, from a start and a finish that
        no task of this size can beat there.

        Written out, since a plan does this for every machine of a kind and every bag that is left
        over: nine tenths of what a leader of hundreds of machines works at.
        """
        now, run, due, image, waited = self.now, bag.run, bag.due, bag.image, bag.waited
        lanes_of = self.lanes
        rate, fetching = -1.0, ZERO
        result: list[_Candidate] = []
        for start, index in rows:
            lanes = lanes_of[index]
            there = lanes.images.get(image)
            if there is None:
                if lanes.fetch_gb_per_s != rate:
                    rate = lanes.fetch_gb_per_s
                    fetching = fetch.time(rate)
                finish = start + run + fetching
            else:
                finish = run + (start if there <= start else there)
            cost = lanes.added_cost(finish, fresh=False) if finish > lanes.billed_until() else 0.0
            likely = finish if start <= now or lanes.booting else finish + waited
            score: _Score
            if likely <= due:
                score = (0, cost, lanes.rented_s, False, index)
            else:
                score = (1, likely.total_seconds(), cost, False, index)
            result.append((score, lanes, None))
        return result

    def _next(
        self,
        heap: "list[_Candidate]",
        bag: Bag,
        lanes: Lanes,
        target: Lanes,
        index: int,
    ) -> None:
        """Replace the machine on top of the heap by its next room."""
        gap = lanes.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        self.examined += 1
        if gap is None:
            heappop(heap)
        else:
            score = self._score(bag, lanes, gap.start, gap.finish, index)
            heapreplace(heap, (score, target, gap))

    def _score(
        self,
        bag: Bag,
        lanes: Lanes,
        start: timedelta,
        finish: timedelta,
        index: int,
        unrented: bool = False,
    ) -> "_Score":
        """In time: by cost, then age of the rental.

        Too late: by finish, then cost. Never better for a later finish, so a bound on the finish
        gives a bound on the score.
        """
        cost = lanes.added_cost(finish, fresh=unrented)
        likely = self._likely(bag, lanes, start, finish)
        if likely <= bag.due:
            return 0, cost, lanes.rented_s, unrented, index
        return 1, likely.total_seconds(), cost, unrented, index

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


def _moment(row: Row) -> timedelta:
    return row[0]


class _Trial:
    """One kind's outcome in Algorithm 2."""

    def __init__(self) -> None:
        self.steps: list[tuple[Lanes, Gap, int, bool]] = []
        self.new: list[Lanes] = []
        self.placed = 0
        self.cost = 0.0
        self.overrun = timedelta(days=-10_000)

    def worth(self) -> tuple[timedelta, float]:
        """Worst overrun, in steps of what counts as a difference, and added cost."""
        return SLACK * round(max(self.overrun, ZERO) / SLACK), self.cost


class _Fetch:
    """How long the image of a bag takes at each rate."""

    def __init__(self, image_gb: float) -> None:
        self.image_gb = image_gb
        self.times: dict[float, timedelta] = {}

    def time(self, gb_per_s: float) -> timedelta:
        """The fetch at one rate."""
        found = self.times.get(gb_per_s)
        if found is None:
            found = self.times[gb_per_s] = fetch_time(self.image_gb, gb_per_s)
        return found
