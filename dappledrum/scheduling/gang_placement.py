"""Places gangs in a plan: all tasks now, all tasks at one later moment, or none."""

from dappledrum.scheduling.bags import Bag
from dappledrum.scheduling.gang_search import Gang, GangSearch, GangSlot
from dappledrum.scheduling.plan_builder import PlanBuilder
from dappledrum.scheduling.timeline import Gap, InstanceKind

MAX_FULL_GANG_SEARCHES = 4  # per plan; further gangs are only placed on what is free now


class GangPlacement:
    """Finds capacity for the gangs of a plan."""

    def __init__(self, builder: PlanBuilder) -> None:
        self.builder = builder
        self._searches = 0  # gangs that this plan has searched for

    def place(self, bag: Bag, count: int) -> None:
        """Place all tasks of a gang at one moment, or reserve capacity for all of them at a later
        one, or do nothing."""
        if count < bag.ready:
            return  # the team's limit does not allow all tasks yet; what it allows stays free
        slot = self._search(bag, count)
        if slot is None or slot.finish > bag.due:
            self.builder.plan.late[bag.id] = count
        if slot is None:
            return
        for index, number in slot.shares:
            gap = Gap(slot.start, number, slot.finish)
            self.builder.commit(bag, self.builder.timelines[index], gap, number)
        for kind, (machines, tasks) in slot.rented.items():
            self._rent(bag, slot, kind, machines, tasks)

    def _search(self, bag: Bag, count: int) -> GangSlot | None:
        gang = Gang(
            *(bag.size, count, bag.run, bag.due, bag.image, bag.image_gb, bag.allowed),
            bag.zone_capacity,
        )
        search = GangSearch(gang, self.builder.timelines, self.builder.offers, self.builder.now)
        self._searches += 1
        search_fully = self._searches <= MAX_FULL_GANG_SEARCHES
        return (
            search.best(rent=not bag.free_capacity_only) if search_fully else search.starting_now()
        )

    def _rent(
        self, bag: Bag, slot: GangSlot, kind: InstanceKind, machines: int, tasks: int
    ) -> None:
        """Rent machines of one kind, and reserve capacity on them for some tasks of the gang."""
        offer = self.builder.offer_of(kind)
        assert offer is not None
        offer.max_count -= machines
        rentals = self.builder.plan.rentals
        rentals[kind] = rentals.get(kind, 0) + machines
        tasks_per_machine = offer.capacity.fit_count(bag.size)
        for _ in range(machines):
            timeline = self.builder.new_machine(offer)
            self.builder.add_rented(timeline)
            tasks_here = min(tasks_per_machine, tasks)
            tasks -= tasks_here
            self.builder.reserve(
                bag, timeline, Gap(slot.start, tasks_here, slot.finish), tasks_here
            )
