"""Algorithm 2 (SIR): distributes the remaining tasks of a bag over machines of a single kind, some
of them newly rented."""

from bisect import bisect_right
from collections.abc import Sequence
from datetime import timedelta
from heapq import heapify, heappop, heappush, heapreplace
from typing import NamedTuple

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.capacity import Row
from dappledrum.scheduling.plan_builder import PlanBuilder
from dappledrum.scheduling.timeline import (
    SIGNIFICANT_OVERRUN,
    FetchTimes,
    Gap,
    InstanceKind,
    MachineTimeline,
    Offer,
)
from dappledrum.timing.clock import ZERO

# tasks of one bag that one plan distributes; the others wait for the next plan
MAX_TASKS_PER_BAG = 160
BOUNDS_BATCH = 16  # machines whose bounds are computed together

#: Order of the machines; the last item is unique, so nothing behind it is compared.
_Score = tuple[int, float, float, bool, int]
_Candidate = tuple[_Score, MachineTimeline, Gap | None]  # without a gap the score is a bound
#: What kinds are compared by: tasks left over, worst overrun, added cost, order of kinds.
_Outcome = tuple[int, timedelta, float, int]


class ScaleOut:
    """Decides which machines the remaining tasks of a draft wait for, and which are rented."""

    def __init__(self, builder: PlanBuilder) -> None:
        self.builder = builder

    def rent(self, bag: Bag, count: int) -> None:
        """Choose the kind of machine with the least worst overrun, then the least added cost."""
        tried = min(count, MAX_TASKS_PER_BAG)
        trial = self._best_trial(bag, tried)
        if trial is None:
            if not bag.best_effort:
                self.builder.plan.late[bag.id] = count
            return
        late = trial.late() + tried - trial.placed
        if late and not bag.best_effort:
            self.builder.plan.late[bag.id] = late
        self._order(trial.rented)
        self._place(bag, trial)

    def _best_trial(self, bag: Bag, tried: int) -> "KindTrial | None":
        offers = self.builder.offers
        kinds = sorted(
            {kind for kind in self.builder.capacity_index.by_kind if bag.allowed(kind)}
            | {offer.kind for offer in offers if bag.allowed(offer.kind)}
        )
        rates = {offer.kind: offer.hourly / max(offer.capacity.cpus, 1e-3) for offer in offers}
        best: _Outcome | None = None
        result: KindTrial | None = None
        # The cheap ones first, as their outcome is the bound at which the others are given up.
        for kind in sorted(kinds, key=lambda kind: rates.get(kind, 0.0)):
            trial = KindTrial(self.builder, bag, kind, kinds.index(kind), best)
            if not trial.run(tried) or trial.placed == 0:
                continue
            outcome = trial.outcome(tried - trial.placed)
            if best is None or outcome < best:
                best, result = outcome, trial
        return result

    def _order(self, rented: Sequence[MachineTimeline]) -> None:
        """Add machines that a trial has rented to the plan."""
        rentals = self.builder.plan.rentals
        for timeline in rented:
            self.builder.add_rented(timeline)
            rentals[timeline.kind] = rentals.get(timeline.kind, 0) + 1
        if rented:
            offer = self.builder.offer_of(rented[0].kind)
            assert offer is not None
            offer.max_count -= len(rented)

    def _place(self, bag: Bag, trial: "KindTrial") -> None:
        """Apply the steps of a trial; tasks on machines that it rents are reserved already."""
        for step in trial.steps:
            if step.rented:
                self.builder.take_zone_capacity(bag, step.timeline.kind.zone, step.tasks)
            else:
                self.builder.commit(bag, step.timeline, step.gap, step.tasks)


class Step(NamedTuple):
    """Some tasks of a bag in one gap of a machine."""

    timeline: MachineTimeline
    gap: Gap
    tasks: int
    rented: bool  # the machine is rented in the same trial


class _Choice(NamedTuple):
    """The machine that a trial uses next."""

    timeline: MachineTimeline  # the trial's own copy
    target: MachineTimeline  # the machine of the draft; the same for one rented in the trial
    gap: Gap
    position: int  # of the machine among the candidates
    rented: bool


class KindTrial:
    """The tasks of one bag distributed over machines of one kind, without changing the draft."""

    def __init__(
        self, builder: PlanBuilder, bag: Bag, kind: InstanceKind, order: int, best: _Outcome | None
    ) -> None:
        self.builder = builder
        self.bag = bag
        self.kind = kind
        self.order = order
        self.best = best  # outcome of the best kind so far
        self.steps: list[Step] = []
        self.rented: list[MachineTimeline] = []
        self.placed = 0
        self._cost = 0.0
        self._overrun = timedelta(days=-10_000)
        self._heap: list[_Candidate] = []
        self._copies: dict[int, MachineTimeline] = {}
        self._rows: Sequence[Row] = ()
        self._next_row = 0
        self._fetch = FetchTimes(bag.image_gb)
        # machines rented in this trial come after all others
        self._following = len(builder.timelines)
        self._offer: Offer | None = None
        self._rentable = 0
        self._blank_gap: Gap | None = None  # room on a machine rented now
        self._blank_score: _Score | None = None

    def run(self, count: int) -> bool:
        """Place tasks one gap at a time: on the cheapest machine that meets the deadline, else
        where they finish earliest.

        Returns False as soon as the trial can't beat the best kind so far; overrun and cost only
        grow.
        """
        if self.best is not None and self.outcome(0) > self.best:
            return False
        self._list_candidate_machines()
        self._evaluate_offer()
        capacity = self.builder.zone_limit(self.bag, self.kind.zone, count)
        while self.placed < capacity:
            self._push_competitive_machines()
            if self._renting_is_best():
                choice = self._rent_one()
            elif self._heap:
                first = self._first_choice()
                if first is None:
                    continue  # its bound is replaced by its room
                choice = first
            else:
                break
            self._place(choice, min(choice.gap.tasks, capacity - self.placed))
            if self.best is not None and self.outcome(0) > self.best:
                return False
            self._replace_first(choice.timeline, choice.target, choice.position)
        return True

    def outcome(self, left_over: int) -> _Outcome:
        """Tasks left over, worst overrun (rounded to differences that matter), added cost, and the
        position of the kind."""
        overrun = SIGNIFICANT_OVERRUN * round(max(self._overrun, ZERO) / SIGNIFICANT_OVERRUN)
        return left_over, overrun, self._cost, self.order

    def late(self) -> int:
        """How many of the placed tasks will probably finish after their deadline."""
        return sum(
            step.tasks
            for step in self.steps
            if self.builder.likely_finish(self.bag, step.timeline, step.gap) > self.bag.due
        )

    def _list_candidate_machines(self) -> None:
        """Among machines that meet the deadline any may be the cheapest; of the others the first
        with free capacity comes first."""
        self._rows = self.builder.capacity_index.order(self.kind, self.bag.size)
        self._next_row = bisect_right(self._rows, self.bag.due - self.bag.run, key=_first_free)
        self._heap = self._bounds(self._rows[: self._next_row])
        heapify(self._heap)

    def _evaluate_offer(self) -> None:
        """Work out the score of a machine that is rented now."""
        bag, kind = self.bag, self.kind
        if bag.cheapest_kind_only and not kind.spot and bag.allowed(kind._replace(spot=True)):
            return
        self._offer = self.builder.offer_of(kind)
        if self._offer is None:
            return
        self._rentable = self._offer.max_count
        new_machine = self.builder.new_machine(self._offer)
        self._blank_gap = new_machine.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        if self._blank_gap is not None:
            self._blank_score = self._score(
                new_machine, self._blank_gap, self._following, unrented=True
            )

    def _push_competitive_machines(self) -> None:
        """Add the machines to the heap that may be better than the best candidate."""
        heap, rows = self._heap, self._rows
        while self._next_row < len(rows):
            finish = rows[self._next_row][0] + self.bag.run
            if heap and heap[0][0] < (1, finish.total_seconds(), 0.0, False, -1):
                break
            for candidate in self._bounds(rows[self._next_row : self._next_row + BOUNDS_BATCH]):
                heappush(heap, candidate)
            self._next_row += BOUNDS_BATCH

    def _renting_is_best(self) -> bool:
        if self._rentable <= 0 or self._blank_score is None:
            return False
        return not self._heap or self._blank_score < self._heap[0][0]

    def _rent_one(self) -> _Choice:
        """Rent one more machine of the offer, which is the best candidate."""
        assert self._offer is not None
        assert self._blank_gap is not None
        assert self._blank_score is not None
        timeline, gap = self.builder.new_machine(self._offer), self._blank_gap
        index = self._following + len(self.rented)
        self.rented.append(timeline)
        self._copies[index] = timeline
        self._rentable -= 1
        self._cost += timeline.added_cost(gap.finish, fresh=True)
        heappush(self._heap, (self._blank_score, timeline, gap))
        return _Choice(timeline, timeline, gap, index, True)

    def _first_choice(self) -> _Choice | None:
        """The best candidate. None if only its bound was known; its real gap then replaces the
        bound."""
        score, target, gap = self._heap[0]
        index = score[-1]
        rented = index >= self._following
        timeline = self._copies.get(index, target)
        if gap is None:
            self._replace_first(timeline, target, index)
            return None
        if not rented and index not in self._copies:
            timeline = self._copies[index] = target.copy()
        self._cost += timeline.added_cost(gap.finish, fresh=False)
        return _Choice(timeline, target, gap, index, rented)

    def _place(self, choice: _Choice, number: int) -> None:
        """Reserve a gap for some tasks, and add them to the outcome."""
        timeline, gap, bag = choice.timeline, choice.gap, self.bag
        overrun = self.builder.likely_finish(bag, timeline, gap) - bag.due
        self._overrun = max(self._overrun, overrun)
        self.steps.append(Step(choice.target, gap, number, choice.rented))
        self.placed += number
        timeline.reserve(gap.start, gap.finish, bag.size, number)
        timeline.expect_image(bag.image, bag.image_gb, gap.start)
        timeline.planned += number

    def _bounds(self, rows: Sequence[Row]) -> list[_Candidate]:
        """Machines with a bound on their score, computed from a start and a finish that no task of
        this size can beat there.

        Inlined by hand: a plan does this for every machine of a kind and every remaining bag, and
        a leader of hundreds of machines spent nine tenths of its time here.
        """
        bag, now, fetch = self.bag, self.builder.now, self._fetch
        run, due, image, waited = bag.run, bag.due, bag.image, bag.waited
        timelines = self.builder.timelines
        rate, fetching = -1.0, ZERO
        result: list[_Candidate] = []
        for start, index in rows:
            timeline = timelines[index]
            there = timeline.images.get(image)
            if there is None:
                if timeline.fetch_gb_per_s != rate:
                    rate = timeline.fetch_gb_per_s
                    fetching = fetch.time(rate)
                finish = start + run + fetching
            else:
                finish = run + (start if there <= start else there)  # noqa: FURB136 - inlined
            cost = (
                timeline.added_cost(finish, fresh=False)
                if finish > timeline.billed_until()
                else 0.0
            )
            likely = finish if start <= now or timeline.booting else finish + waited
            score: _Score
            if likely <= due:
                score = (0, cost, timeline.rented_s, False, index)
            else:
                score = (1, likely.total_seconds(), cost, False, index)
            result.append((score, timeline, None))
        return result

    def _replace_first(
        self, timeline: MachineTimeline, target: MachineTimeline, index: int
    ) -> None:
        """Replace the machine on top of the heap by its next gap."""
        bag = self.bag
        gap = timeline.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        self.builder.examined_machines += 1
        if gap is None:
            heappop(self._heap)
        else:
            heapreplace(self._heap, (self._score(timeline, gap, index), target, gap))

    def _score(
        self, timeline: MachineTimeline, gap: Gap, index: int, unrented: bool = False
    ) -> _Score:
        """Order of a gap among the candidates: if the deadline is met, by cost, then age of the
        rental; if not, by finish, then cost.

        A later finish never gives a better score, so a bound on the finish gives a bound on the
        score.
        """
        cost = timeline.added_cost(gap.finish, fresh=unrented)
        likely = self.builder.likely_finish(self.bag, timeline, gap)
        if likely <= self.bag.due:
            return 0, cost, timeline.rented_s, unrented, index
        return 1, likely.total_seconds(), cost, unrented, index


def _first_free(row: Row) -> timedelta:
    return row[0]
