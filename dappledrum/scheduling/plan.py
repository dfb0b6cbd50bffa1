"""DDS (paper, Algorithm 3) over the rented machines and those that could be rented.

Each planning round makes a new plan from the present state. Algorithm 1 (BDS) places tasks in
machine time that is paid for already; Algorithm 2 (SIR) distributes the rest over machines of a
single kind, some of them newly rented where that is best. Only the starts that the plan sets for
now are carried out; later ones only show which machines are needed.
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
        self.unplaced: list[tuple[Bag, int]] = []  # bags with tasks still to place, and how many
        self._gangs = GangPlacement(self.builder)
        self._backfill = Backfill(self.builder)
        self._scale_out = ScaleOut(self.builder)

    @property
    def examined_machines(self) -> int:
        """Number of times a machine's gaps were searched, the main cost of a plan."""
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
        """First half: place tasks in machine time that is paid for already; bags with remaining
        tasks go to `unplaced`."""
        for bag in sorted(bags, key=lambda b: (b.rank, -b.run, b.id)):
            count = self.team_capacity.max_startable(bag)
            if count <= 0:
                continue
            # Tasks that can't start yet count too, so that no other bag uses up the team's limit.
            self.team_capacity.take(bag, count)
            zones = self._zones(bag, count)
            if bag.gang:
                self._gangs.place(bag, count)
                yield
                continue
            # Spot machines first, as long as they meet the deadline: an on-demand machine without
            # new work falls idle and can be returned.
            placed = self._backfill.fill(bag, count, zones, spot_only=True)
            if placed < count:
                placed += self._backfill.fill(bag, count - placed, zones)
            if (
                placed < count
                and self._delay_rule_allows_renting(bag)
                and not bag.free_capacity_only
            ):
                self.unplaced.append((bag, count - placed))
            yield

    def rent(self, priority_bags: Collection[str] = ()) -> Iterator[None]:
        """Second half: rent machines for the bags in `unplaced`, those in `priority_bags` before
        all others. The caller may stop after any step."""
        self.unplaced.sort(
            key=lambda item: (
                item[0].id not in priority_bags,
                item[0].rank,
                -(item[0].run * item[1]),
            )
        )
        while self.unplaced:
            self._scale_out.rent(*self.unplaced.pop(0))
            yield

    def _delay_rule_allows_renting(self, bag: Bag) -> bool:
        """The delay rule: rent once enough of the stage is ready, or all that is left of it."""
        ready = bag.ready + bag.ready_siblings
        return bag.unready == 0 or ready / max(1, bag.total) > self.ready_share

    def _zones(self, bag: Bag, count: int) -> set[str] | None:
        """Zones that the bag may use; None: any. Restricts a `one_zone` bag to one zone."""
        if not bag.one_zone:
            return None
        # No task of the job is placed yet, else `allowed` would fix the zone: take the zone with
        # the most capacity.
        capacity = self._capacity_by_zone(bag)
        if not capacity:
            return set()
        best = max(sorted(capacity), key=lambda zone: min(capacity[zone], count))
        allowed = bag.allowed
        bag.allowed = lambda kind: kind.zone == best and allowed(kind)
        return {best}

    def _capacity_by_zone(self, bag: Bag) -> dict[str, int]:
        """How many tasks of a bag each zone could run, on rented machines and on new ones."""
        capacity: dict[str, int] = {}
        for timeline in self.builder.timelines:
            if bag.allowed(timeline.kind):
                free = timeline.free[-1].fit_count(bag.size)
                capacity[timeline.kind.zone] = capacity.get(timeline.kind.zone, 0) + free
        for offer in self.builder.offers:
            if bag.allowed(offer.kind):
                rentable = offer.capacity.fit_count(bag.size) * offer.max_count
                capacity[offer.kind.zone] = capacity.get(offer.kind.zone, 0) + rentable
        return capacity
