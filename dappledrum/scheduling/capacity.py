"""Index of the machines of a plan, by kind and by the first moment with free capacity.

A plan covers hundreds of busy machines and dozens of bags, so it can't examine each machine for
each bag. A bag nearly always uses the machines whose capacity is free first; the index keeps the
machines in that order for each task size in use.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from datetime import timedelta

from dappledrum.scheduling.timeline import Gap, InstanceKind, MachineTimeline, Size

#: The first moment at which a machine has free capacity, and the machine's index.
FirstFreeRow = tuple[timedelta, int]


class CapacityIndex:
    """The machines of a plan, including those that the plan rents."""

    def __init__(self, timelines: Iterable[MachineTimeline]) -> None:
        self.timelines: list[MachineTimeline] = []
        self.by_kind: dict[InstanceKind, list[int]] = {}
        self._orders: dict[InstanceKind, dict[Size, list[FirstFreeRow]]] = {}
        for timeline in timelines:
            self.add(timeline)

    def add(self, timeline: MachineTimeline) -> None:
        """Add a machine."""
        timeline.index = len(self.timelines)
        self.timelines.append(timeline)
        self.by_kind.setdefault(timeline.kind, []).append(timeline.index)
        for size, rows in self._orders.get(timeline.kind, {}).items():
            insort(rows, (timeline.first_free(size), timeline.index))

    def ordered_machines(self, kind: InstanceKind, size: Size) -> Sequence[FirstFreeRow]:
        """Machines of a kind, ordered by the first moment at which a task of this size fits;
        `reserve` keeps the returned list up to date."""
        orders = self._orders.setdefault(kind, {})
        rows = orders.get(size)
        if rows is None:
            rows = orders[size] = sorted(
                (self.timelines[index].first_free(size), index)
                for index in self.by_kind.get(kind, ())
            )
        return rows

    def reserve(self, timeline: MachineTimeline, gap: Gap, size: Size, count: int) -> None:
        """Reserve a gap on a machine for some tasks, and update the order."""
        orders = self._orders.get(timeline.kind, {})
        previous = [timeline.first_free(indexed_size) for indexed_size in orders]
        timeline.reserve(gap.start, gap.finish, size, count)
        for (indexed_size, rows), old in zip(orders.items(), previous, strict=True):
            new = timeline.first_free(indexed_size)
            if new != old:
                del rows[bisect_left(rows, (old, timeline.index))]
                insort(rows, (new, timeline.index))
