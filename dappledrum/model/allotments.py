"""A team's limit that partitions of a fleet share by allotments; all interleavings, exhaustively.

The design is in docs/design.md ("At ten thousand workers"); no partition is built yet, so this is
a model alone. Each partition has a leader of its own, whose writes name its key, and an allotment
in the store, under one version for all partitions of a team. A leader starts tasks only within its
allotment, takes more from what nobody has, and gives back what it does not need.

Transactions are carried out at once or late, also when their sender has ended, and their answers
may be lost. A leader may be replaced at any moment. Tasks end on their machines at any time, and
their leader learns of it later. Every state that can be reached with a few units and a few
transactions on their way is visited; `without` leaves out one of the conditions that the argument
needs, to see that it does.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

PARTITIONS = 2


class Condition(StrEnum):
    """What the argument rests on."""

    VERSION = "every change of an allotment names the version of all allotments"
    LEADER_KEY = "every write names the key of the leader that sends it"
    SUM = "the sum of the allotments stays within the limit"
    LESS_FIRST = "a leader counts on less before it gives back"
    PROVEN_GONE = "a task counts until it is proven gone"
    RECORDS = "a new leader counts what is recorded"
    STARTS = "a start counts before its record is confirmed"
    READING = "a reading alone raises no allotment"
    LIMIT = "the limit is lowered only by what nobody has"


class Change(StrEnum):
    """What a transaction does in its partition, by one unit."""

    TAKE = "take"  # into the allotment
    GIVE = "give"  # out of the allotment
    PLACE = "place"  # record a task before its start


@dataclass(frozen=True)
class Transaction:
    """On its way to the store, maybe without anybody that waits for the answer."""

    change: Change
    partition: int
    current: bool = True  # its sender still leads
    fresh: bool = True  # no allotment has changed since its sender read them


@dataclass(frozen=True)
class Leader:
    """What the leader of a partition believes."""

    allotment: int = 0
    used: int = 0


@dataclass(frozen=True)
class Region:
    """The store, the leaders, and what is on the machines."""

    limit: int
    allotted: tuple[int, ...] = (0,) * PARTITIONS
    recorded: tuple[int, ...] = (0,) * PARTITIONS
    on_machines: tuple[int, ...] = (0,) * PARTITIONS
    leaders: tuple[Leader, ...] = (Leader(),) * PARTITIONS
    sent: tuple[Transaction, ...] = ()

    def broken(self) -> str | None:
        """The invariant that does not hold, if any."""
        if sum(self.on_machines) > self.limit:
            return f"{sum(self.on_machines)} on machines, the limit is {self.limit}"
        if sum(self.allotted) > self.limit:
            return f"{sum(self.allotted)} allotted, the limit is {self.limit}"
        for on_machines, allotted in zip(self.on_machines, self.allotted, strict=True):
            if on_machines > allotted:
                return f"{on_machines} on machines, {allotted} allotted there"
        return None


def changed(values: tuple[int, ...], partition: int, by: int) -> tuple[int, ...]:
    """The values with one of them changed."""
    return (*values[:partition], values[partition] + by, *values[partition + 1 :])


class Allotments:
    """All steps that can be taken from a state."""

    def __init__(self, most_sent: int, without: Condition | None = None) -> None:
        self.most_sent = most_sent
        self.without = without

    def _has(self, condition: Condition) -> bool:
        return condition is not self.without

    def steps(self, region: Region) -> Iterator[Region]:
        """Every state that may come next."""
        for partition in range(PARTITIONS):
            yield from self._tasks(region, partition)
            yield from self._leader_acts(region, partition)
            yield self._replace_leader(region, partition)
        for index in range(len(region.sent)):
            yield from self._arrives(region, index)
        if region.limit > 0:
            unused = region.limit - sum(region.allotted)
            if unused > 0 or not self._has(Condition.LIMIT):
                yield self._outdate(replace(region, limit=region.limit - 1))

    def _tasks(self, region: Region, partition: int) -> Iterator[Region]:
        """A task ends on its machine, or the leader finds one gone."""
        if region.on_machines[partition] > 0:
            yield replace(region, on_machines=changed(region.on_machines, partition, -1))
        leader = region.leaders[partition]
        gone = region.recorded[partition] > region.on_machines[partition]
        if region.recorded[partition] > 0 and (gone or not self._has(Condition.PROVEN_GONE)):
            found = replace(region, recorded=changed(region.recorded, partition, -1))
            yield self._believes(found, partition, used=max(0, leader.used - 1))

    def _leader_acts(self, region: Region, partition: int) -> Iterator[Region]:
        """The leader of a partition sends a transaction, or reads."""
        leader = region.leaders[partition]
        if not self._has(Condition.READING):
            yield self._believes(region, partition, allotment=region.allotted[partition])
        if len(region.sent) == self.most_sent:
            return
        if sum(region.allotted) < region.limit or not self._has(Condition.SUM):
            yield self._send(region, Transaction(Change.TAKE, partition))
        if leader.used < leader.allotment:
            counted = region
            if self._has(Condition.STARTS):
                counted = self._believes(region, partition, used=leader.used + 1)
            yield self._send(counted, Transaction(Change.PLACE, partition))
            less = region
            if self._has(Condition.LESS_FIRST):
                less = self._believes(region, partition, allotment=leader.allotment - 1)
            yield self._send(less, Transaction(Change.GIVE, partition))

    def _replace_leader(self, region: Region, partition: int) -> Region:
        """Another controller leads: it reads, and what its predecessor sent is not current."""
        used = region.recorded[partition] if self._has(Condition.RECORDS) else 0
        sent = tuple(
            replace(one, current=False) if one.partition == partition else one
            for one in region.sent
        )
        new = replace(region, sent=tuple(sorted(sent, key=repr)))
        return self._believes(new, partition, region.allotted[partition], used)

    def _arrives(self, region: Region, index: int) -> Iterator[Region]:
        """A transaction is carried out or refused; its answer arrives or is lost."""
        one = region.sent[index]
        left = replace(region, sent=region.sent[:index] + region.sent[index + 1 :])
        refused = not one.current and self._has(Condition.LEADER_KEY)
        if one.change is not Change.PLACE:
            refused |= not one.fresh and self._has(Condition.VERSION)
        if refused:
            yield left
            return
        done = self._carry_out(left, one)
        yield done
        if one.current:
            yield self._answered(done, one)

    def _carry_out(self, region: Region, one: Transaction) -> Region:
        if one.change is Change.PLACE:  # a start may be sent as soon as it is recorded
            return replace(
                region,
                recorded=changed(region.recorded, one.partition, 1),
                on_machines=changed(region.on_machines, one.partition, 1),
            )
        by = 1 if one.change is Change.TAKE else -1
        allotted = changed(region.allotted, one.partition, by)
        return self._outdate(replace(region, allotted=allotted))

    @staticmethod
    def _outdate(region: Region) -> Region:
        """The limit or an allotment has changed: the version is another."""
        sent = tuple(
            one if one.change is Change.PLACE else replace(one, fresh=False) for one in region.sent
        )
        return replace(region, sent=tuple(sorted(sent, key=repr)))

    def _answered(self, region: Region, one: Transaction) -> Region:
        leader = region.leaders[one.partition]
        if one.change is Change.TAKE:
            return self._believes(region, one.partition, allotment=leader.allotment + 1)
        if one.change is Change.GIVE and not self._has(Condition.LESS_FIRST):
            return self._believes(region, one.partition, allotment=leader.allotment - 1)
        if one.change is Change.PLACE and not self._has(Condition.STARTS):
            return self._believes(region, one.partition, used=leader.used + 1)
        return region

    @staticmethod
    def _send(region: Region, one: Transaction) -> Region:
        return replace(region, sent=tuple(sorted((*region.sent, one), key=repr)))

    @staticmethod
    def _believes(
        region: Region, partition: int, allotment: int | None = None, used: int | None = None
    ) -> Region:
        before = region.leaders[partition]
        after = Leader(
            before.allotment if allotment is None else allotment,
            before.used if used is None else used,
        )
        leaders = (*region.leaders[:partition], after, *region.leaders[partition + 1 :])
        return replace(region, leaders=leaders)


@dataclass(frozen=True)
class Search:
    """What a search has found."""

    states: int
    broken: str | None
    most_on_machines: int  # at once, over all partitions


def search(limit: int, most_sent: int, without: Condition | None = None) -> Search:
    """Visit all states that can be reached, or those up to the first in which an invariant does
    not hold."""
    model = Allotments(most_sent, without)
    first = Region(limit)
    seen = {first}
    waiting = deque(seen)
    most = 0
    while waiting:
        region = waiting.popleft()
        broken = region.broken()
        if broken is not None:
            return Search(len(seen), broken, most)
        most = max(most, sum(region.on_machines))
        for following in model.steps(region):
            if following not in seen:
                seen.add(following)
                waiting.append(following)
    return Search(len(seen), None, most)
