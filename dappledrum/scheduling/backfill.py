"""Algorithm 1 (BDS): places tasks in machine time that is paid for already."""

from collections.abc import Sequence
from datetime import timedelta
from heapq import heapify, heappop, heappush, heapreplace

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.capacity import FirstFreeRow
from dappledrum.scheduling.plan_builder import PlanBuilder
from dappledrum.scheduling.timeline import FetchTimes, Gap, MachineTimeline
from dappledrum.timing.clock import ZERO

#: Sort key and gap of a candidate: finish, price, committed time (negated), index of the machine,
#: gap. Without a gap the finish is a lower bound, for one machine or, if the index is negative,
#: for all remaining machines of a kind.
_Candidate = tuple[timedelta, float, timedelta, int, Gap | None]


class Backfill:
    """Places tasks on the machines of a plan without adding billed intervals."""

    def __init__(self, builder: PlanBuilder) -> None:
        self.builder = builder

    def fill(self, bag: Bag, count: int, zones: set[str] | None, spot_only: bool = False) -> int:
        """Place up to `count` tasks, each where it finishes earliest without adding a billed
        interval; returns how many were placed.

        A plan for hundreds of machines can't compare all of them for each placement. Machines are
        added to the heap in the order in which they have free capacity, with a lower bound on the
        finish, and their gaps are computed only when no other machine can be better. With
        `spot_only`, only spot machines are used, and only if the task starts now and meets its
        deadline.
        """
        fetch = FetchTimes(bag.image_gb)
        remaining = self._rows_by_kind(bag, zones, spot_only)
        heap: list[_Candidate] = [
            (ZERO, -1.0, ZERO, -1 - at, None) for at in range(len(remaining))
        ]
        heapify(heap)
        placed = 0
        while placed < count and heap:
            # Equal finishes are common, since tasks start at once wherever there is free capacity:
            # take the cheaper machine, then the one that is committed for longest, so that the
            # others fall idle and can be returned.
            _, _, _, index, gap = heap[0]
            if index < 0:
                heappop(heap)
                rows, at = remaining[-1 - index]
                at = self._push_candidates(bag, rows, at, spot_only, heap, fetch)
                if at < len(rows):
                    remaining[-1 - index] = (rows, at)
                    heappush(heap, (rows[at][0] + bag.run, -1.0, ZERO, index, None))
                continue
            timeline = self.builder.timelines[index]
            if gap is not None:
                max_tasks = min(gap.tasks, count - placed)
                tasks_here = self.builder.zone_limit(bag, timeline.kind.zone, max_tasks)
                if tasks_here <= 0:
                    heappop(heap)
                    continue
                self.builder.commit(bag, timeline, gap, tasks_here)
                placed += tasks_here
            gap = timeline.earliest(bag.size, bag.run, bag.image, bag.image_gb)
            self.builder.examined_machines += 1
            if gap is not None and self._fits(bag, timeline, gap, spot_only):
                heapreplace(
                    heap,
                    (
                        gap.finish,
                        timeline.hourly_price_per_cpu,
                        -timeline.committed,
                        index,
                        gap,
                    ),
                )
            else:
                heappop(heap)
        return placed

    def _rows_by_kind(
        self, bag: Bag, zones: set[str] | None, spot_only: bool
    ) -> list[tuple[Sequence[FirstFreeRow], int]]:
        """The machines of each kind that the bag may use, and the index of the next one to
        examine."""
        capacity_index = self.builder.capacity_index
        return [
            (tuple(capacity_index.ordered_machines(kind, bag.size)), 0)
            for kind in capacity_index.by_kind
            if (kind.spot or not spot_only)
            and bag.allowed(kind)
            and (zones is None or kind.zone in zones)
        ]

    def _push_candidates(  # noqa: C901 - inlined by hand, see below
        self,
        bag: Bag,
        rows: Sequence[FirstFreeRow],
        next_row: int,
        spot_only: bool,
        heap: list[_Candidate],
        fetch: FetchTimes,
    ) -> int:
        """Add machines of one kind to the heap, from `next_row` on, until another candidate may be
        better. Returns the next row, or the number of rows when no other machine of the kind is
        usable.

        Inlined by hand like `KindTrial._bounds`: most machines that it examines are not usable.
        """
        now, run, due, image = self.builder.now, bag.run, bag.due, bag.image
        waited = ZERO if spot_only else bag.waited
        timelines = self.builder.timelines
        # Later starts are not used: they miss the deadline or, with `spot_only`, are not now.
        latest_start = now if spot_only else max(now, due - run)
        earliest_finish = heap[0][0] if heap else None
        rate, fetch_duration = -1.0, ZERO
        for row in range(next_row, len(rows)):
            start, machine_index = rows[row]
            if start > latest_start:
                return len(rows)
            if earliest_finish is not None and earliest_finish < start + run:
                return row
            timeline = timelines[machine_index]
            image_at = timeline.images.get(image)
            if image_at is None:
                if timeline.fetch_gb_per_s != rate:
                    rate = timeline.fetch_gb_per_s
                    fetch_duration = fetch.time(rate)
                finish = start + run + fetch_duration
            else:
                finish = run + (start if image_at <= start else image_at)  # noqa: FURB136 - inlined
            if finish > timeline.billed_until() and not (bag.uses_free_capacity and start <= now):
                continue
            if spot_only:
                if finish > due:
                    continue
            elif start > now and (finish if timeline.booting else finish + waited) > due:
                continue
            heappush(
                heap,
                (
                    finish,
                    timeline.hourly_price_per_cpu,
                    -timeline.committed,
                    machine_index,
                    None,
                ),
            )
            if earliest_finish is None or finish < earliest_finish:
                earliest_finish = finish
        return len(rows)

    def _fits(self, bag: Bag, timeline: MachineTimeline, gap: Gap, spot_only: bool) -> bool:
        """Whether Algorithm 1 may use this gap.

        The rule of the paper ignores deadlines and would queue a task on a paid machine until long
        after its deadline. A task that would both wait and be late is left to Algorithm 2, which
        can rent a machine.
        """
        now = self.builder.now
        if spot_only and (gap.start > now or gap.finish > bag.due):
            return False
        if bag.uses_free_capacity and gap.start <= now:
            return True
        likely = self.builder.likely_finish(bag, timeline, gap)
        in_time = gap.start <= now or likely <= bag.due
        return in_time and gap.finish <= timeline.billed_until()
