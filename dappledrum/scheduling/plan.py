"""DDS (paper, Algorithm 3) over the rented machines and those that could be rented.

Each planning round makes a new plan from the present state. Algorithm 1 (BDS) places tasks in time
that is paid for anyway; Algorithm 2 (SIR) distributes the rest over machines of a single kind,
rented anew where that is best. Tasks that the plan starts now are started; later starts only show
which machines are needed.
"""

from collections.abc import Collection, Iterator, Sequence
from datetime import timedelta

from dappledrum.scheduling.backfill import Backfill
from dappledrum.scheduling.bags import Bag, TeamCapacity
from dappledrum.scheduling.gang_placement import GangPlacement
from dappledrum.scheduling.plan_builder import Plan, PlanBuilder
from dappledrum.scheduling.scale_out import ScaleOut
from dappledrum.scheduling.timeline import MachineTimeline, Offer


class Planner:
    """One round of planning."""

    def __init__(
        self,
        now: timedelta,
        timelines: Sequence[MachineTimeline],
        offers: Sequence[Offer],
        ready_share: float,
        team_capacity: TeamCapacity,
    ) -> None:
        self.builder = PlanBuilder(now, timelines, offers)
        self.plan = self.builder.plan
        self.ready_share = ready_share
        self.team_capacity = team_capacity
        self.left: list[tuple[Bag, int]] = []  # bags for which nothing was found yet, how many
        self._gangs = GangPlacement(self.builder)
        self._backfill = Backfill(self.builder)
        self._scale_out = ScaleOut(self.builder)

    @property
    def examined_machines(self) -> int:
        """Machines looked at closely: what a plan costs."""
        return self.builder.examined_machines

    def run(self, bags: Sequence[Bag]) -> Plan:
        """Run Algorithm 3 to its end."""
        for _ in self.steps(bags):
            pass
        return self.plan

    def steps(self, bags: Sequence[Bag]) -> Iterator[None]:
        """Run Algorithm 3 one bag at a time, so that the caller can do other work in between."""
        yield from self.fill(bags)
        yield from self.rent()

    def fill(self, bags: Sequence[Bag]) -> Iterator[None]:
        """First half: place tasks in time that is paid for anyway; bags with tasks that remain go
        to `left`."""
        for bag in sorted(bags, key=lambda b: (b.rank, -b.run, b.id)):
            count = self.team_capacity.count(bag)
            if count <= 0:
                continue
            # Tasks that only wait are counted, too, so that no other bag uses their share.
            self.team_capacity.take(bag, count)
            zones = self._zones(bag, count)
            if bag.gang:
                self._gangs.place(bag, count)
                yield
                continue
            # Spot machines first, as long as they meet the deadline: work that an ordinary machine
            # does not get lets it go idle, so that it can be returned.
            placed = self._backfill.fill(bag, count, zones, cheap=True)
            if placed < count:
                placed += self._backfill.fill(bag, count - placed, zones)
            if (
                placed < count
                and self._delay_rule_allows_renting(bag)
                and not bag.free_capacity_only
            ):
                self.left.append((bag, count - placed))
            yield

    def rent(self, first: Collection[str] = ()) -> Iterator[None]:
        """Second half: rent machines for the bags in `left`, those in `first` before all others.
        The caller may stop after any step."""
        self.left.sort(
            key=lambda item: (item[0].id not in first, item[0].rank, -(item[0].run * item[1]))
        )
        while self.left:
            self._scale_out.rent(*self.left.pop(0))
            yield

    def _delay_rule_allows_renting(self, bag: Bag) -> bool:
        """The delay rule: rent once enough of the stage is ready, or all that remains of it."""
        ready = bag.ready + bag.ready_siblings
        return bag.unready == 0 or ready / max(1, bag.total) > self.ready_share

    def _zones(self, bag: Bag, count: int) -> set[str] | None:
        """Zones that the bag may use; None: any."""
        if not bag.one_zone:
            return None
        # Nothing of the job is on a machine yet (else `allowed` fixes the zone): take the zone
        # with the most room.
        capacity = self._capacity_by_zone(bag)
        if not capacity:
            return set()
        best = max(sorted(capacity), key=lambda zone: min(capacity[zone], count))
        allowed = bag.allowed
        bag.allowed = lambda kind: kind.zone == best and allowed(kind)
        return {best}

    def _capacity_by_zone(self, bag: Bag) -> dict[str, int]:
        """How many tasks of a bag each zone could run, on machines at hand and rented ones."""
        capacity: dict[str, int] = {}
        for timeline in self.builder.timelines:
            if bag.allowed(timeline.kind):
                free = timeline.free[-1].times(bag.size)
                capacity[timeline.kind.zone] = capacity.get(timeline.kind.zone, 0) + free
        for offer in self.builder.offers:
            if bag.allowed(offer.kind):
                more = offer.capacity.times(bag.size) * offer.max_count
                capacity[offer.kind.zone] = capacity.get(offer.kind.zone, 0) + more
        return capacity
