"""Index of the machines of a plan, by kind and by the first moment with free capacity.

A plan covers hundreds of busy machines and dozens of bags, so it can't look at each machine for
each bag. A bag nearly always uses the machines whose capacity is free first; the index keeps them
in that order for each task size that was asked for.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from datetime import timedelta

from dappledrum.scheduling.timeline import Gap, InstanceKind, MachineTimeline, Size

Row = tuple[timedelta, int]  # first moment with free capacity, index of the machine


class CapacityIndex:
    """The machines of a plan, including those that the plan rents."""

    def __init__(self, timelines: Iterable[MachineTimeline]) -> None:
        self.timelines: list[MachineTimeline] = []
        self.by_kind: dict[InstanceKind, list[int]] = {}
        self._orders: dict[InstanceKind, dict[Size, list[Row]]] = {}
        for one in timelines:
            self.add(one)

    def add(self, timeline: MachineTimeline) -> None:
        """Add a machine."""
        timeline.index = len(self.timelines)
        self.timelines.append(timeline)
        self.by_kind.setdefault(timeline.kind, []).append(timeline.index)
        for size, rows in self._orders.get(timeline.kind, {}).items():
            insort(rows, (timeline.first(size), timeline.index))

    def order(self, kind: InstanceKind, size: Size) -> Sequence[Row]:
        """Machines of a kind, ordered by the first moment at which a task of this size fits;
        `reserve` keeps the returned list up to date."""
        orders = self._orders.setdefault(kind, {})
        rows = orders.get(size)
        if rows is None:
            rows = orders[size] = sorted(
                (self.timelines[index].first(size), index) for index in self.by_kind.get(kind, ())
            )
        return rows

    def reserve(self, timeline: MachineTimeline, gap: Gap, size: Size, count: int) -> None:
        """Reserve a gap of a machine for some tasks, and keep the order up to date."""
        orders = self._orders.get(timeline.kind, {})
        before = [timeline.first(asked) for asked in orders]
        timeline.reserve(gap.start, gap.finish, size, count)
        for (asked, rows), old in zip(orders.items(), before, strict=True):
            new = timeline.first(asked)
            if new != old:
                del rows[bisect_left(rows, (old, timeline.index))]
                insort(rows, (new, timeline.index))
