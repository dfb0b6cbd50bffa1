"""Algorithm 2 (SIR): distributes the remaining tasks of a bag over machines of a single kind, some
of them newly rented."""

from bisect import bisect_right
from collections.abc import Sequence
from datetime import timedelta
from heapq import heapify, heappop, heappush, heapreplace
from typing import NamedTuple

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.capacity import FirstFreeRow
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

MAX_TASKS_PER_BAG = 160  # per plan; the other tasks wait for the next one
BOUNDS_BATCH = 16  # machines whose bounds are computed at a time

#: Sort key of a machine; its last item, the index, is unique, so that no timelines are compared.
_Score = tuple[int, float, float, bool, int]
_Candidate = tuple[_Score, MachineTimeline, Gap | None]  # without a gap: lower bound
#: What kinds are compared by: tasks without a place, worst overrun, added cost, position of the
#: kind.
_Outcome = tuple[int, timedelta, float, int]


class ScaleOut:
    """Decides which machines the remaining tasks of a plan wait for, and which are rented."""

    def __init__(self, builder: PlanBuilder) -> None:
        self.builder = builder

    def rent(self, bag: Bag, count: int) -> None:
        """Place up to `count` tasks on the kind of machine with the smallest worst overrun, then
        the least added cost."""
        task_count = min(count, MAX_TASKS_PER_BAG)
        trial = self._best_trial(bag, task_count)
        if trial is None:
            if not bag.best_effort:
                self.builder.plan.late[bag.id] = count
            return
        late_count = trial.late_count() + task_count - trial.placed
        if late_count and not bag.best_effort:
            self.builder.plan.late[bag.id] = late_count
        self._record_rentals(trial.rented)
        self._apply(bag, trial)

    def _best_trial(self, bag: Bag, task_count: int) -> "KindTrial | None":
        offers = self.builder.offers
        kinds = sorted(
            {kind for kind in self.builder.capacity_index.by_kind if bag.allowed(kind)}
            | {offer.kind for offer in offers if bag.allowed(offer.kind)}
        )
        prices_per_cpu = {
            offer.kind: offer.hourly_price / max(offer.capacity.cpus, 1e-3) for offer in offers
        }
        best: _Outcome | None = None
        result: KindTrial | None = None
        # The cheapest first: a trial of another kind is abandoned once its outcome is worse.
        for kind in sorted(kinds, key=lambda kind: prices_per_cpu.get(kind, 0.0)):
            trial = KindTrial(self.builder, bag, kind, kinds.index(kind), best)
            if not trial.run(task_count) or trial.placed == 0:
                continue
            outcome = trial.outcome(task_count - trial.placed)
            if best is None or outcome < best:
                best, result = outcome, trial
        return result

    def _record_rentals(self, rented: Sequence[MachineTimeline]) -> None:
        """Add the machines that a trial rents to the plan."""
        rentals = self.builder.plan.rentals
        for timeline in rented:
            self.builder.add_rented(timeline)
            rentals[timeline.kind] = rentals.get(timeline.kind, 0) + 1
        if rented:
            offer = self.builder.offer_of(rented[0].kind)
            assert offer is not None
            offer.max_count -= len(rented)

    def _apply(self, bag: Bag, trial: "KindTrial") -> None:
        """Apply the steps of a trial; tasks on machines that it rents are already reserved."""
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
    target: MachineTimeline  # the machine of the plan; the same for one rented in the trial
    gap: Gap
    machine_index: int  # as in its score
    rented: bool


class KindTrial:
    """Distributes the tasks of one bag over machines of one kind, without changing the plan."""

    def __init__(
        self,
        builder: PlanBuilder,
        bag: Bag,
        kind: InstanceKind,
        position: int,
        best_outcome: _Outcome | None,
    ) -> None:
        self.builder = builder
        self.bag = bag
        self.kind = kind
        self.position = position
        self.best_outcome = best_outcome  # outcome of the best kind so far
        self.steps: list[Step] = []
        self.rented: list[MachineTimeline] = []
        self.placed = 0
        self._cost = 0.0
        self._overrun = timedelta(days=-10_000)
        self._heap: list[_Candidate] = []
        self._copies: dict[int, MachineTimeline] = {}
        self._rows: Sequence[FirstFreeRow] = ()
        self._next_row = 0
        self._fetch = FetchTimes(bag.image_gb)
        # Machines rented in this trial have indexes after all others.
        self._first_new_index = len(builder.timelines)
        self._offer: Offer | None = None
        self._rentable = 0
        self._new_machine_gap: Gap | None = None  # first gap of a machine rented now
        self._new_machine_score: _Score | None = None

    def run(self, count: int) -> bool:
        """Place tasks one gap at a time: on the cheapest machine that meets the deadline, else
        where they finish earliest.

        Returns False as soon as the trial can't beat the best kind so far, since overrun and cost
        only grow.
        """
        if self.best_outcome is not None and self.outcome(0) > self.best_outcome:
            return False
        self._list_candidate_machines()
        self._evaluate_offer()
        capacity = self.builder.zone_limit(self.bag, self.kind.zone, count)
        while self.placed < capacity:
            self._push_competitive_machines()
            if self._renting_is_best():
                choice = self._rent_one()
            elif self._heap:
                known_choice = self._first_choice()
                if known_choice is None:
                    continue  # its gap was computed and has replaced the bound
                choice = known_choice
            else:
                break
            self._place(choice, min(choice.gap.tasks, capacity - self.placed))
            if self.best_outcome is not None and self.outcome(0) > self.best_outcome:
                return False
            self._replace_first(choice.timeline, choice.target, choice.machine_index)
        return True

    def outcome(self, left_over: int) -> _Outcome:
        """Tasks without a place, worst overrun (rounded to significant differences), added cost,
        and the position of the kind."""
        overrun = SIGNIFICANT_OVERRUN * round(max(self._overrun, ZERO) / SIGNIFICANT_OVERRUN)
        return left_over, overrun, self._cost, self.position

    def late_count(self) -> int:
        """How many of the placed tasks will probably finish after their deadline."""
        return sum(
            step.tasks
            for step in self.steps
            if self.builder.likely_finish(self.bag, step.timeline, step.gap) > self.bag.due
        )

    def _list_candidate_machines(self) -> None:
        """Put all machines that may meet the deadline on the heap, since any of them may be the
        cheapest. The others follow in the order in which they have free capacity."""
        self._rows = self.builder.capacity_index.ordered_machines(self.kind, self.bag.size)
        self._next_row = bisect_right(self._rows, self.bag.due - self.bag.run, key=_first_free)
        self._heap = self._bounds(self._rows[: self._next_row])
        heapify(self._heap)

    def _evaluate_offer(self) -> None:
        """Compute the score of a machine that is rented now."""
        bag, kind = self.bag, self.kind
        if bag.cheapest_kind_only and not kind.spot and bag.allowed(kind._replace(spot=True)):
            return
        self._offer = self.builder.offer_of(kind)
        if self._offer is None:
            return
        self._rentable = self._offer.max_count
        new_machine = self.builder.new_machine(self._offer)
        self._new_machine_gap = new_machine.earliest(bag.size, bag.run, bag.image, bag.image_gb)
        if self._new_machine_gap is not None:
            self._new_machine_score = self._score(
                new_machine, self._new_machine_gap, self._first_new_index, unrented=True
            )

    def _push_competitive_machines(self) -> None:
        """Add the machines that may be better than the best candidate to the heap."""
        heap, rows = self._heap, self._rows
        while self._next_row < len(rows):
            finish = rows[self._next_row][0] + self.bag.run
            if heap and heap[0][0] < (1, finish.total_seconds(), 0.0, False, -1):
                break
            for candidate in self._bounds(rows[self._next_row : self._next_row + BOUNDS_BATCH]):
                heappush(heap, candidate)
            self._next_row += BOUNDS_BATCH

    def _renting_is_best(self) -> bool:
        if self._rentable <= 0 or self._new_machine_score is None:
            return False
        return not self._heap or self._new_machine_score < self._heap[0][0]

    def _rent_one(self) -> _Choice:
        """Rent one more machine of the offer."""
        assert self._offer is not None
        assert self._new_machine_gap is not None
        assert self._new_machine_score is not None
        timeline, gap = self.builder.new_machine(self._offer), self._new_machine_gap
        index = self._first_new_index + len(self.rented)
        self.rented.append(timeline)
        self._copies[index] = timeline
        self._rentable -= 1
        self._cost += timeline.added_cost(gap.finish, newly_rented=True)
        heappush(self._heap, (self._new_machine_score, timeline, gap))
        return _Choice(timeline, timeline, gap, index, True)

    def _first_choice(self) -> _Choice | None:
        """The best candidate; None if only its bound was known, which its gap then replaces."""
        score, target, gap = self._heap[0]
        index = score[-1]
        rented = index >= self._first_new_index
        timeline = self._copies.get(index, target)
        if gap is None:
            self._replace_first(timeline, target, index)
            return None
        if not rented and index not in self._copies:
            timeline = self._copies[index] = target.copy()
        self._cost += timeline.added_cost(gap.finish, newly_rented=False)
        return _Choice(timeline, target, gap, index, rented)

    def _place(self, choice: _Choice, count: int) -> None:
        """Reserve a gap for some tasks, and include them in the outcome."""
        timeline, gap, bag = choice.timeline, choice.gap, self.bag
        overrun = self.builder.likely_finish(bag, timeline, gap) - bag.due
        self._overrun = max(self._overrun, overrun)
        self.steps.append(Step(choice.target, gap, count, choice.rented))
        self.placed += count
        timeline.reserve(gap.start, gap.finish, bag.size, count)
        timeline.expect_image(bag.image, bag.image_gb, gap.start)
        timeline.planned += count

    def _bounds(self, rows: Sequence[FirstFreeRow]) -> list[_Candidate]:
        """Machines with a lower bound on their score, from the earliest start and finish that a
        task of this size could have there.

        Inlined by hand: a plan does this for every machine of a kind and every remaining bag, and
        a leader of hundreds of machines spent nine tenths of its time here.
        """
        bag, now, fetch = self.bag, self.builder.now, self._fetch
        run, due, image, waited = bag.run, bag.due, bag.image, bag.waited
        timelines = self.builder.timelines
        rate, fetch_duration = -1.0, ZERO
        result: list[_Candidate] = []
        for start, index in rows:
            timeline = timelines[index]
            image_at = timeline.images.get(image)
            if image_at is None:
                if timeline.fetch_gb_per_s != rate:
                    rate = timeline.fetch_gb_per_s
                    fetch_duration = fetch.time(rate)
                finish = start + run + fetch_duration
            else:
                finish = run + (start if image_at <= start else image_at)  # noqa: FURB136 - inlined
            cost = (
                timeline.added_cost(finish, newly_rented=False)
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
        """Replace the top of the heap by the next gap of the same machine."""
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
        """Sort key of a gap: if the deadline is met, by cost, then by the time of the rental, the
        oldest first; if not, by finish, then cost.

        A later finish never gives a better score, so a bound on the finish gives a bound on the
        score.
        """
        cost = timeline.added_cost(gap.finish, newly_rented=unrented)
        likely = self.builder.likely_finish(self.bag, timeline, gap)
        if likely <= self.bag.due:
            return 0, cost, timeline.rented_s, unrented, index
        return 1, likely.total_seconds(), cost, unrented, index


def _first_free(row: FirstFreeRow) -> timedelta:
    return row[0]
