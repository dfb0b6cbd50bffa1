"""The paper's DDS (Algorithm 3) on the machines at hand and those that could be rented.

A plan is made afresh at each wake from what is known then: Algorithm 1 (BDS) puts tasks into room
that is paid for anyway, Algorithm 2 (SIR) spreads the rest over machines of a single type, rented
anew where that is cheapest in time. What starts now is started; the rest only shows which machines
are needed.
"""

from collections.abc import Collection, Iterator, Sequence
from datetime import timedelta

from dappledrum.scheduling.bags import Bag, TeamRoom
from dappledrum.scheduling.draft import Draft, Plan
from dappledrum.scheduling.gang_placement import GangPlacement
from dappledrum.scheduling.lanes import Lanes, Offer
from dappledrum.scheduling.paid_time import PaidTime
from dappledrum.scheduling.renting import Renting


class Planner:
    """One round of planning."""

    def __init__(
        self,
        now: timedelta,
        lanes: Sequence[Lanes],
        offers: Sequence[Offer],
        ready_share: float,
        team_room: TeamRoom,
    ) -> None:
        self.draft = Draft(now, lanes, offers)
        self.plan = self.draft.plan
        self.ready_share = ready_share
        self.team_room = team_room
        self.left: list[tuple[Bag, int]] = []  # bags for which nothing was found yet, how many
        self._gangs = GangPlacement(self.draft)
        self._paid_time = PaidTime(self.draft)
        self._renting = Renting(self.draft)

    @property
    def examined(self) -> int:
        """Machines looked at closely: what a plan costs."""
        return self.draft.examined

    def run(self, bags: Sequence[Bag]) -> Plan:
        """Algorithm 3, at one go."""
        for _ in self.steps(bags):
            pass
        return self.plan

    def steps(self, bags: Sequence[Bag]) -> Iterator[None]:
        """Algorithm 3, bag by bag, so that whoever runs it can see to other things in between."""
        yield from self.fill(bags)
        yield from self.rent()

    def fill(self, bags: Sequence[Bag]) -> Iterator[None]:
        """The first half: room that is paid for anyway; what finds none stays in `left`."""
        for bag in sorted(bags, key=lambda b: (b.rank, -b.run, b.id)):
            count = self.team_room.count(bag)
            if count <= 0:
                continue
            # also for what only waits: nobody else may count on it
            self.team_room.take(bag, count)
            zones = self._zones(bag, count)
            if bag.gang:
                self._gangs.place(bag, count)
                yield
                continue
            # Room that is paid for costs nothing more on paper; by the second, what an ordinary
            # machine does not do lets it go back. So spot room goes first while it is in time.
            placed = self._paid_time.fill(bag, count, zones, cheap=True)
            if placed < count:
                placed += self._paid_time.fill(bag, count - placed, zones)
            if placed < count and self._passes(bag) and not bag.held:
                self.left.append((bag, count - placed))
            yield

    def rent(self, first: Collection[str] = ()) -> Iterator[None]:
        """The second half: machines that could be rented for what is left; `first`: bags that
        come before all others. It may be given up after any step."""
        self.left.sort(
            key=lambda item: (item[0].id not in first, item[0].rank, -(item[0].run * item[1]))
        )
        while self.left:
            self._renting.rent(*self.left.pop(0))
            yield

    def _passes(self, bag: Bag) -> bool:
        """The delay rule: rent once enough of the stage is ready, or all that is left of it."""
        ready = bag.ready + bag.beside
        return bag.unready == 0 or ready / max(1, bag.total) > self.ready_share

    def _zones(self, bag: Bag, count: int) -> set[str] | None:
        """Zones that the bag may use; None: any."""
        if not bag.one_zone:
            return None
        # Nothing of the job is on a machine yet (else `allowed` fixes the zone): take the zone
        # with the most room.
        room = self._room_by_zone(bag)
        if not room:
            return set()
        best = max(sorted(room), key=lambda zone: min(room[zone], count))
        allowed = bag.allowed
        bag.allowed = lambda kind: kind.zone == best and allowed(kind)
        return {best}

    def _room_by_zone(self, bag: Bag) -> dict[str, int]:
        """How many tasks of a bag each zone could run, on machines at hand and rented ones."""
        room: dict[str, int] = {}
        for lanes in self.draft.lanes:
            if bag.allowed(lanes.kind):
                free = lanes.free[-1].times(bag.size)
                room[lanes.kind.zone] = room.get(lanes.kind.zone, 0) + free
        for offer in self.draft.offers:
            if bag.allowed(offer.kind):
                more = offer.capacity.times(bag.size) * offer.most
                room[offer.kind.zone] = room.get(offer.kind.zone, 0) + more
        return room
