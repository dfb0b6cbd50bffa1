"""Algorithm 1 (BDS): places tasks in machine time that is paid for anyway."""

from collections.abc import Sequence
from datetime import timedelta
from heapq import heapify, heappop, heappush, heapreplace

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.capacity import Row
from dappledrum.scheduling.plan_builder import PlanBuilder
from dappledrum.scheduling.timeline import FetchTimes, Gap, MachineTimeline
from dappledrum.timing.clock import ZERO

#: Order of the candidates: finish, price, committed time (negated), index, gap. Without a gap it
#: is a bound: of one machine, or (index below 0) of all the rest of its kind.
_Candidate = tuple[timedelta, float, timedelta, int, Gap | None]


class Backfill:
    """Places tasks on the machines of a draft without adding billed intervals."""

    def __init__(self, builder: PlanBuilder) -> None:
        self.builder = builder

    def fill(self, bag: Bag, count: int, zones: set[str] | None, cheap: bool = False) -> int:
        """Place up to `count` tasks, each where it finishes earliest without adding a billed
        interval; returns how many were placed.

        A plan for hundreds of machines can't compare all of them for each placement. Machines are
        added to the heap in the order in which they have free capacity, with a bound on the
        finish, and examined closely only when no other can be better. With `cheap`, only spot
        machines are used, and only if the task starts now and meets its deadline.
        """
        fetch = FetchTimes(bag.image_gb)
        rest = self._rows(bag, zones, cheap)
        heap: list[_Candidate] = [(ZERO, -1.0, ZERO, -1 - at, None) for at in range(len(rest))]
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
                at = self._push_candidates(bag, rows, at, cheap, heap, fetch)
                if at < len(rows):
                    rest[-1 - index] = (rows, at)
                    heappush(heap, (rows[at][0] + bag.run, -1.0, ZERO, index, None))
                continue
            timeline = self.builder.timelines[index]
            if gap is not None:
                most = min(gap.tasks, count - placed)
                take = self.builder.zone_limit(bag, timeline.kind.zone, most)
                if take <= 0:
                    heappop(heap)
                    continue
                self.builder.commit(bag, timeline, gap, take)
                placed += take
            gap = timeline.earliest(bag.size, bag.run, bag.image, bag.image_gb)
            self.builder.examined_machines += 1
            if gap is not None and self._fits(bag, timeline, gap, cheap):
                heapreplace(
                    heap, (gap.finish, timeline.hourly_cpu, -timeline.committed, index, gap)
                )
            else:
                heappop(heap)
        return placed

    def _rows(
        self, bag: Bag, zones: set[str] | None, cheap: bool
    ) -> list[tuple[Sequence[Row], int]]:
        """The machines of each kind that the bag may use, and the index of the first one to look
        at."""
        capacity_index = self.builder.capacity_index
        return [
            (tuple(capacity_index.order(kind, bag.size)), 0)
            for kind in capacity_index.by_kind
            if (kind.spot or not cheap)
            and bag.allowed(kind)
            and (zones is None or kind.zone in zones)
        ]

    def _push_candidates(  # noqa: C901 - inlined by hand, see below
        self,
        bag: Bag,
        rows: Sequence[Row],
        at: int,
        cheap: bool,
        heap: list[_Candidate],
        fetch: FetchTimes,
    ) -> int:
        """Add machines of one kind to the heap, from row `at` on, until another candidate may be
        better. Returns the next row, or the number of rows when no other machine of the kind is
        usable.

        Inlined by hand like `KindTrial._bounds`: most machines that it looks at are not usable.
        """
        now, run, due, image = self.builder.now, bag.run, bag.due, bag.image
        waited = ZERO if cheap else bag.waited
        timelines = self.builder.timelines
        last = now if cheap else max(now, due - run)  # what starts later is late
        first = heap[0][0] if heap else None
        rate, fetching = -1.0, ZERO
        for index in range(at, len(rows)):
            start, number = rows[index]
            if start > last:
                return len(rows)
            if first is not None and first < start + run:
                return index
            timeline = timelines[number]
            there = timeline.images.get(image)
            if there is None:
                if timeline.fetch_gb_per_s != rate:
                    rate = timeline.fetch_gb_per_s
                    fetching = fetch.time(rate)
                finish = start + run + fetching
            else:
                finish = run + (start if there <= start else there)  # noqa: FURB136 - inlined
            if finish > timeline.billed_until() and not (bag.uses_free_capacity and start <= now):
                continue
            if cheap:
                if finish > due:
                    continue
            elif start > now and (finish if timeline.booting else finish + waited) > due:
                continue
            heappush(heap, (finish, timeline.hourly_cpu, -timeline.committed, number, None))
            if first is None or finish < first:
                first = finish
        return len(rows)

    def _fits(self, bag: Bag, timeline: MachineTimeline, gap: Gap, cheap: bool) -> bool:
        """Whether Algorithm 1 may use this gap.

        The rule of the paper ignores deadlines and would queue a task on a paid machine until long
        after its own deadline. A task that would both wait and be late is left to Algorithm 2,
        which can rent a machine.
        """
        now = self.builder.now
        if cheap and (gap.start > now or gap.finish > bag.due):
            return False
        if bag.uses_free_capacity and gap.start <= now:
            return True
        likely = self.builder.likely_finish(bag, timeline, gap)
        in_time = gap.start <= now or likely <= bag.due
        return in_time and gap.finish <= timeline.billed_until()
