"""Searches for the moment and the machines at which all tasks of a gang can run together.

The bags of the paper consist of independent tasks, so Algorithms 1 and 2 place one task after the
other, each as early or as cheaply as possible by itself. A gang needs capacity for all its tasks
at one moment. The search takes the earliest moment at which the rented machines have it; or, as in
Algorithm 2, it rents machines of one kind in addition, with the least overrun and then the least
added cost. Capacity found at a later moment is reserved in the plan: bags that come later in the
order can use it only until then, and two gangs never each hold half of what the other needs.
"""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.timeline import (
    SIGNIFICANT_OVERRUN,
    InstanceKind,
    MachineTimeline,
    Offer,
    Size,
    fetch_time,
)
from dappledrum.timing.clock import ZERO

MAX_PROBED_MOMENTS = 24  # in the first pass; a fleet has thousands of moments
MAX_REFINEMENT_STEPS = 5


class Gang(NamedTuple):
    """Tasks that have to run together."""

    size: Size
    tasks: int
    run: timedelta
    due: timedelta
    image: str
    image_gb: float
    allowed: Callable[[InstanceKind], bool]
    zone_capacity: dict[str, int] | None = None  # spread: tasks that each zone may take


class GangSlot(NamedTuple):
    """A time span, the tasks on each rented machine, and the machines to rent."""

    start: timedelta
    finish: timedelta
    shares: list[tuple[int, int]]  # index of the machine, number of tasks
    rented: dict[InstanceKind, tuple[int, int]]  # number of machines, tasks on them
    cost: float


def capacity_at(timeline: MachineTimeline, size: Size, start: timedelta, finish: timedelta) -> int:
    """How many tasks a machine can run from one moment to another."""
    times, free = timeline.times, timeline.free
    if start < times[0] or (
        timeline.available_until is not None and finish > timeline.available_until
    ):
        return 0
    count = 0
    for step in range(len(times) - 1, -1, -1):
        if times[step] >= finish:
            continue
        fit = free[step].fit_count(size)
        count = fit if count == 0 else min(count, fit)
        if fit == 0 or times[step] <= start:
            return min(count, fit)
    return count


class GangSearch:
    """Search for one gang on the machines of one plan."""

    def __init__(
        self,
        gang: Gang,
        timelines: Sequence[MachineTimeline],
        offers: Sequence[Offer],
        now: timedelta,
    ) -> None:
        self.gang = gang
        self.now = now
        self.timelines = [timeline for timeline in timelines if gang.allowed(timeline.kind)]
        # The cheapest first, then those that are committed for longest, so that the others fall
        # idle.
        self.timelines.sort(
            key=lambda timeline: (
                timeline.hourly_price_per_cpu,
                -timeline.committed,
                timeline.index,
            )
        )
        self.offers = [offer for offer in offers if gang.allowed(offer.kind)]
        rates = [
            timeline.fetch_gb_per_s
            for timeline in self.timelines
            if gang.image not in timeline.images
        ]
        rates += [offer.fetch_gb_per_s for offer in self.offers]
        # The gang begins once the slowest fetch is done, so all machines are held until then.
        fetch = fetch_time(gang.image_gb, min(rates)) if rates else ZERO
        self.span = gang.run + fetch

    def shares(self, start: timedelta) -> tuple[list[tuple[int, int]], dict[str, int] | None, int]:
        """Tasks on the rented machines at one moment, what each zone may still take, and the
        number of tasks without a place."""
        unplaced = self.gang.tasks
        zones = None if self.gang.zone_capacity is None else dict(self.gang.zone_capacity)
        result = []
        for timeline in self.timelines:
            if unplaced <= 0:
                break
            max_tasks = (
                unplaced if zones is None else min(unplaced, zones.get(timeline.kind.zone, 0))
            )
            tasks_here = min(
                max_tasks, capacity_at(timeline, self.gang.size, start, start + self.span)
            )
            if tasks_here > 0:
                result.append((timeline.index, tasks_here))
                unplaced -= tasks_here
                if zones is not None:
                    zones[timeline.kind.zone] -= tasks_here
        return result, zones, unplaced

    def starting_now(self) -> GangSlot | None:
        """Capacity for all tasks now, on the rented machines."""
        shares, _, unplaced = self.shares(self.now)
        return self._slot(self.now, shares) if unplaced <= 0 else None

    def without_renting(self) -> GangSlot | None:
        """The earliest moment found with capacity on the rented machines. At first only some of
        the moments are probed; the one found is then refined."""
        if (slot := self.starting_now()) is not None:
            return slot
        moments = sorted(
            {time for timeline in self.timelines for time in timeline.times if time > self.now}
        )
        step = max(1, -(-len(moments) // MAX_PROBED_MOMENTS))
        probes = [*range(0, len(moments), step)]
        if moments and probes[-1] != len(moments) - 1:
            probes.append(len(moments) - 1)
        last_without, found = -1, None
        for index in probes:
            shares, _, unplaced = self.shares(moments[index])
            if unplaced <= 0:
                found = index, shares
                break
            last_without = index
        if found is None:
            return None
        index, shares = found
        for _ in range(MAX_REFINEMENT_STEPS):
            middle = (last_without + index) // 2
            if middle in (last_without, index):
                break
            middle_shares, _, unplaced = self.shares(moments[middle])
            if unplaced <= 0:
                index, shares = middle, middle_shares
            else:
                last_without = middle
        return self._slot(moments[index], shares)

    def with_renting(self, offers: Sequence[Offer]) -> GangSlot | None:
        """Capacity for all tasks once the slowest of the offered kinds has booted. As few machines
        as needed are rented, from the first offers first."""
        start = self.now + max(offer.boot for offer in offers)
        shares, zones, unplaced = self.shares(start)
        rented: dict[InstanceKind, tuple[int, int]] = {}
        cost = 0.0
        for offer in offers:
            tasks_per_machine = offer.capacity.fit_count(self.gang.size)
            max_tasks = unplaced if zones is None else min(unplaced, zones.get(offer.kind.zone, 0))
            machines = (
                min(offer.max_count, -(-max_tasks // tasks_per_machine))
                if tasks_per_machine
                else 0
            )
            if machines <= 0:
                continue
            tasks = min(max_tasks, machines * tasks_per_machine)
            rented[offer.kind] = machines, tasks
            unplaced -= tasks
            if zones is not None:
                zones[offer.kind.zone] -= tasks
            billed = -(-(start + self.span - self.now) // offer.interval) * offer.interval
            cost += machines * offer.hourly_price * (billed / timedelta(hours=1))
        return self._slot(start, shares, rented, cost) if unplaced <= 0 else None

    def best(self, rent: bool) -> GangSlot | None:
        """The slot with the least overrun, then the least added cost, then the earliest start.

        With `rent`, machines may be rented, of several kinds only if no single kind suffices.
        """
        options = [self.without_renting()]
        if rent and (options[0] is None or options[0].start > self.now):
            by_price = sorted(
                self.offers, key=lambda offer: offer.hourly_price / max(offer.capacity.cpus, 1)
            )
            options += [self.with_renting([offer]) for offer in by_price]
            if not any(options) and by_price:
                options.append(self.with_renting(by_price))
        slots = [slot for slot in options if slot is not None]
        return min(slots, key=self._preference, default=None)

    def _preference(self, slot: GangSlot) -> tuple[int, float, timedelta]:
        return (
            round(max(slot.finish - self.gang.due, ZERO) / SIGNIFICANT_OVERRUN),
            slot.cost,
            slot.start,
        )

    def _slot(
        self,
        start: timedelta,
        shares: list[tuple[int, int]],
        rented: dict[InstanceKind, tuple[int, int]] | None = None,
        cost: float = 0.0,
    ) -> GangSlot:
        finish = start + self.span
        by_index = {timeline.index: timeline for timeline in self.timelines}
        cost += sum(by_index[index].added_cost(finish, newly_rented=False) for index, _ in shares)
        return GangSlot(start, finish, shares, rented or {}, cost)
