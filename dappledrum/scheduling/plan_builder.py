"""A plan under construction: the machines, with the tasks that are planned on them so far."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.capacity import CapacityIndex
from dappledrum.scheduling.timeline import Gap, InstanceKind, MachineTimeline, Offer


@dataclass
class Plan:
    """The result of one round of planning."""

    #: Tasks to start now: bag, machine, number of tasks.
    starts: list[tuple[str, str, int]] = field(default_factory=list)
    rentals: dict[InstanceKind, int] = field(default_factory=dict)
    needed: set[str] = field(default_factory=set)  # machines with planned work, except best effort
    #: Number of tasks of each bag that miss their deadline or have no place in the plan.
    late: dict[str, int] = field(default_factory=dict)


class PlanBuilder:
    """The plan so far, with the machines and offers that remain for the rest of it."""

    def __init__(
        self, now: timedelta, timelines: Iterable[MachineTimeline], offers: Sequence[Offer]
    ) -> None:
        self.now = now
        self.capacity_index = CapacityIndex(timelines)
        self.timelines = self.capacity_index.timelines
        self.offers = list(offers)
        self.plan = Plan()
        self.examined_machines = 0  # searches of a machine's gaps, the main cost of a plan
        self._rented_count = 0

    def offer_of(self, kind: InstanceKind) -> Offer | None:
        """The offer of a kind of machine, if it can be rented."""
        return next((offer for offer in self.offers if offer.kind == kind), None)

    def zone_limit(self, bag: Bag, zone: str, count: int) -> int:
        """How many of `count` tasks of a bag may be placed in a zone."""
        return count if bag.zone_capacity is None else min(count, bag.zone_capacity.get(zone, 0))

    def take_zone_capacity(self, bag: Bag, zone: str, count: int) -> None:
        """Count tasks of a bag against what a zone may take of it."""
        if bag.zone_capacity is not None:
            bag.zone_capacity[zone] = bag.zone_capacity.get(zone, 0) - count

    def reserve(self, bag: Bag, timeline: MachineTimeline, gap: Gap, count: int) -> None:
        """Reserve a gap on a machine for some tasks of a bag."""
        self.capacity_index.reserve(timeline, gap, bag.size, count)
        timeline.expect_image(bag.image, bag.image_gb, gap.start)
        timeline.planned += count
        self.take_zone_capacity(bag, timeline.kind.zone, count)

    def commit(self, bag: Bag, timeline: MachineTimeline, gap: Gap, count: int) -> None:
        """Reserve a gap on a rented machine for some tasks; they start if the gap begins now."""
        self.reserve(bag, timeline, gap, count)
        if not bag.best_effort:
            self.plan.needed.add(timeline.machine)
        if gap.start <= self.now and not timeline.booting:
            self.plan.starts.append((bag.id, timeline.machine, count))

    def likely_finish(self, bag: Bag, timeline: MachineTimeline, gap: Gap) -> timedelta:
        """When a task that is planned in a gap will probably finish.

        In the paper a task keeps its place in the queue of a machine. Here more urgent tasks that
        arrive later take capacity that becomes free. A task that was postponed again and again
        therefore always saw capacity that seemed to be free soon, and nothing was rented for it.
        So a task that has waited for some time is expected to wait as long again, unless the gap
        begins now or the machine is still booting.
        """
        if gap.start <= self.now or timeline.booting:
            return gap.finish
        return gap.finish + bag.waited

    def new_machine(self, offer: Offer) -> MachineTimeline:
        """A machine that would be rented now; its billed intervals include the boot."""
        return MachineTimeline(
            "",
            offer.kind,
            offer.capacity,
            self.now + offer.boot,
            self.now,
            offer.hourly_price,
            offer.fetch_gb_per_s,
            offer.interval,
            booting=True,
        )

    def add_rented(self, timeline: MachineTimeline) -> None:
        """Add a machine that is to be rented, under a name that is unique in this plan."""
        timeline.machine = f"+{self._rented_count}"
        self._rented_count += 1
        self.capacity_index.add(timeline)
