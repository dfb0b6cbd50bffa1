"""Searches for the moment and the machines at which all tasks of a gang can run together.

The bags of the paper consist of independent tasks, so Algorithms 1 and 2 place one task after the
other, each as early or as cheaply as possible by itself. A gang needs capacity for all its tasks
at one moment. The search takes the earliest moment at which the rented machines have it; or, as in
Algorithm 2, rents machines of one kind beside them, with the least overrun and then the least
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

MAX_PROBED_MOMENTS = 24  # moments tried at first; in a fleet there are thousands
MAX_REFINEMENT_STEPS = 5


class Gang(NamedTuple):
    """What has to run together."""

    size: Size
    tasks: int
    run: timedelta
    due: timedelta
    image: str
    image_gb: float
    allowed: Callable[[InstanceKind], bool]
    zone_capacity: dict[str, int] | None = None  # spread: how many tasks each zone may take


class GangSlot(NamedTuple):
    """A moment, the tasks on each rented machine, and the machines to rent."""

    start: timedelta
    finish: timedelta
    shares: list[tuple[int, int]]  # index of the machine, tasks
    rented: dict[InstanceKind, tuple[int, int]]  # machines, tasks on them
    cost: float


def capacity_at(timeline: MachineTimeline, size: Size, start: timedelta, finish: timedelta) -> int:
    """How many tasks a machine can run from one moment to another."""
    times, free = timeline.times, timeline.free
    if start < times[0] or (timeline.until is not None and finish > timeline.until):
        return 0
    count = 0
    for at in range(len(times) - 1, -1, -1):
        if times[at] >= finish:
            continue
        fit = free[at].times(size)
        count = fit if count == 0 else min(count, fit)
        if fit == 0 or times[at] <= start:
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
        self.timelines = [one for one in timelines if gang.allowed(one.kind)]
        # The cheapest first, then those that are committed for longest: the others fall idle.
        self.timelines.sort(key=lambda one: (one.hourly_cpu, -one.committed, one.index))
        self.offers = [one for one in offers if gang.allowed(one.kind)]
        rates = [one.fetch_gb_per_s for one in self.timelines if gang.image not in one.images]
        rates += [one.fetch_gb_per_s for one in self.offers]
        # The last image decides when the gang begins, so all are held for that long.
        fetch = fetch_time(gang.image_gb, min(rates)) if rates else ZERO
        self.span = gang.run + fetch

    def shares(self, start: timedelta) -> tuple[list[tuple[int, int]], dict[str, int] | None, int]:
        """Tasks on the rented machines at one moment, what each zone may still take, and how many
        tasks are left over."""
        left = self.gang.tasks
        zones = None if self.gang.zone_capacity is None else dict(self.gang.zone_capacity)
        result = []
        for one in self.timelines:
            if left <= 0:
                break
            most = left if zones is None else min(left, zones.get(one.kind.zone, 0))
            take = min(most, capacity_at(one, self.gang.size, start, start + self.span))
            if take > 0:
                result.append((one.index, take))
                left -= take
                if zones is not None:
                    zones[one.kind.zone] -= take
        return result, zones, left

    def starting_now(self) -> GangSlot | None:
        """Capacity for all tasks now, on the rented machines."""
        shares, _, left = self.shares(self.now)
        return self._slot(self.now, shares) if left <= 0 else None

    def without_renting(self) -> GangSlot | None:
        """The earliest moment found with capacity on the rented machines. At first only some of
        the moments are probed; the one found is then refined."""
        if (slot := self.starting_now()) is not None:
            return slot
        moments = sorted({t for one in self.timelines for t in one.times if t > self.now})
        step = max(1, -(-len(moments) // MAX_PROBED_MOMENTS))
        probes = [*range(0, len(moments), step)]
        if moments and probes[-1] != len(moments) - 1:
            probes.append(len(moments) - 1)
        before, found = -1, None
        for at in probes:
            shares, _, left = self.shares(moments[at])
            if left <= 0:
                found = at, shares
                break
            before = at
        if found is None:
            return None
        at, shares = found
        for _ in range(MAX_REFINEMENT_STEPS):
            middle = (before + at) // 2
            if middle in (before, at):
                break
            tried, _, left = self.shares(moments[middle])
            if left <= 0:
                at, shares = middle, tried
            else:
                before = middle
        return self._slot(moments[at], shares)

    def with_renting(self, offers: Sequence[Offer]) -> GangSlot | None:
        """Capacity for all tasks once the slowest of some kinds of machines has booted. Machines
        are rented as far as needed, of the first kinds first."""
        start = self.now + max(one.boot for one in offers)
        shares, zones, left = self.shares(start)
        rented: dict[InstanceKind, tuple[int, int]] = {}
        cost = 0.0
        for one in offers:
            each = one.capacity.times(self.gang.size)
            most = left if zones is None else min(left, zones.get(one.kind.zone, 0))
            number = min(one.max_count, -(-most // each)) if each else 0
            if number <= 0:
                continue
            tasks = min(most, number * each)
            rented[one.kind] = number, tasks
            left -= tasks
            if zones is not None:
                zones[one.kind.zone] -= tasks
            paid = -(-(start + self.span - self.now) // one.interval) * one.interval
            cost += number * one.hourly * (paid / timedelta(hours=1))
        return self._slot(start, shares, rented, cost) if left <= 0 else None

    def best(self, rent: bool) -> GangSlot | None:
        """The option with the least overrun, then the least added cost, then the earliest."""
        options = [self.without_renting()]
        if rent and (options[0] is None or options[0].start > self.now):
            by_price = sorted(self.offers, key=lambda one: one.hourly / max(one.capacity.cpus, 1))
            options += [self.with_renting([one]) for one in by_price]
            if not any(options) and by_price:
                options.append(self.with_renting(by_price))
        found = [one for one in options if one is not None]
        return min(found, key=self._worth, default=None)

    def _worth(self, slot: GangSlot) -> tuple[int, float, timedelta]:
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
        by_index = {one.index: one for one in self.timelines}
        cost += sum(by_index[index].added_cost(finish, fresh=False) for index, _ in shares)
        return GangSlot(start, finish, shares, rented or {}, cost)
