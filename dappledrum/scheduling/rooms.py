"""All machines of a plan, by kind and in the order in which they have room.

A plan for hundreds of busy machines and dozens of bags can't afford to look at each machine for
each bag. What a bag wants is nearly always among the machines that have room first, so those are
kept in order, for each size of task that is asked for.
"""

from bisect import bisect_left, insort
from collections.abc import Iterable, Sequence
from datetime import timedelta

from dappledrum.scheduling.lanes import Gap, Kind, Lanes, Size

Row = tuple[timedelta, int]  # first moment with room, and which machine


class Rooms:
    """The machines that a plan has, those included that it rents."""

    def __init__(self, lanes: Iterable[Lanes]) -> None:
        self.lanes: list[Lanes] = []
        self.by_kind: dict[Kind, list[int]] = {}
        self._orders: dict[Kind, dict[Size, list[Row]]] = {}
        for one in lanes:
            self.add(one)

    def add(self, lanes: Lanes) -> None:
        """One more machine."""
        lanes.index = len(self.lanes)
        self.lanes.append(lanes)
        self.by_kind.setdefault(lanes.kind, []).append(lanes.index)
        for size, rows in self._orders.get(lanes.kind, {}).items():
            insort(rows, (lanes.first(size), lanes.index))

    def order(self, kind: Kind, size: Size) -> Sequence[Row]:
        """Machines of a kind by their first room for a task of this size; changed by `reserve`."""
        orders = self._orders.setdefault(kind, {})
        rows = orders.get(size)
        if rows is None:
            rows = orders[size] = sorted(
                (self.lanes[index].first(size), index) for index in self.by_kind.get(kind, ())
            )
        return rows

    def reserve(self, lanes: Lanes, gap: Gap, size: Size, count: int) -> None:
        """Take room on a machine, and keep the order."""
        orders = self._orders.get(lanes.kind, {})
        before = [lanes.first(asked) for asked in orders]
        lanes.reserve(gap.start, gap.finish, size, count)
        for (asked, rows), old in zip(orders.items(), before, strict=True):
            new = lanes.first(asked)
            if new != old:
                del rows[bisect_left(rows, (old, lanes.index))]
                insort(rows, (new, lanes.index))
