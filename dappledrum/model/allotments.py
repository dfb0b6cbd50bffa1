"""Exhaustive model of a team limit that the partitions of a fleet share by allotments.

The design is in docs/design.md ("At ten thousand workers"). Partitions are not implemented yet;
only this model exists. Each partition has its own leader, whose writes are guarded by its leader
key, and an allotment in the store. One version covers the allotments of all partitions of a team.
A leader starts tasks only within its allotment, takes more from what is not allotted, and gives
back what it does not need.

Transactions are executed at once or late, even after their sender has ended, and their responses
may be lost. A leader may be replaced at any moment. Tasks end on their machines at any time, and
their leader learns of it later. The search visits every state that is reachable with a few units
and a few transactions in flight. `without` drops one of the conditions that the safety argument
relies on, which shows that the condition is necessary.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

PARTITIONS = 2


class Condition(StrEnum):
    """A condition that the safety argument relies on."""

    ALLOTMENTS_ARE_VERSIONED = "every change of an allotment names the version of all allotments"
    WRITES_NAME_THE_LEADER_KEY = "every write names the key of the leader that sends it"
    SUM_STAYS_WITHIN_LIMIT = "the sum of the allotments stays within the limit"
    LEADERS_COUNT_LESS_BEFORE_GIVING = "a leader counts on less before it gives back"
    TASKS_COUNT_UNTIL_PROVEN_TERMINATED = "a task counts until it is proven gone"
    NEW_LEADERS_COUNT_RECORDS = "a new leader counts what is recorded"
    STARTS_COUNT_BEFORE_CONFIRMATION = "a start counts before its record is confirmed"
    READS_RAISE_NO_ALLOTMENT = "a reading alone raises no allotment"
    LIMIT_IS_LOWERED_BY_UNALLOTTED = "the limit is lowered only by what nobody has"


class Change(StrEnum):
    """What a transaction changes in its partition, by one unit."""

    TAKE = "take"  # from the unallotted rest into the allotment
    GIVE = "give"  # from the allotment back to the unallotted rest
    PLACE = "place"  # record a placement before the task starts


@dataclass(frozen=True)
class Transaction:
    """A transaction in flight to the store; its sender may no longer wait for the response."""

    change: Change
    partition: int
    sender_leads: bool = True
    version_matches: bool = True  # no allotment has changed since its sender read them


@dataclass(frozen=True)
class Leader:
    """What the leader of a partition counts, which may differ from the store."""

    allotment: int = 0
    used: int = 0


@dataclass(frozen=True)
class Region:
    """State of the model: the store, the leaders, and the tasks on machines."""

    limit: int
    allotted: tuple[int, ...] = (0,) * PARTITIONS
    recorded: tuple[int, ...] = (0,) * PARTITIONS
    on_machines: tuple[int, ...] = (0,) * PARTITIONS
    leaders: tuple[Leader, ...] = (Leader(),) * PARTITIONS
    in_flight: tuple[Transaction, ...] = ()

    def violation(self) -> str | None:
        """Description of the invariant that is violated, or None."""
        if sum(self.on_machines) > self.limit:
            return f"{sum(self.on_machines)} on machines, the limit is {self.limit}"
        if sum(self.allotted) > self.limit:
            return f"{sum(self.allotted)} allotted, the limit is {self.limit}"
        for on_machines, allotted in zip(self.on_machines, self.allotted, strict=True):
            if on_machines > allotted:
                return f"{on_machines} on machines, {allotted} allotted there"
        return None


def with_change(values: tuple[int, ...], partition: int, by: int) -> tuple[int, ...]:
    """A copy of the values, with the one of `partition` changed by `by`."""
    return (*values[:partition], values[partition] + by, *values[partition + 1 :])


class AllotmentModel:
    """Enumerates the steps that are possible in a state."""

    def __init__(self, max_in_flight: int, without: Condition | None = None) -> None:
        self.max_in_flight = max_in_flight
        self.without = without

    def _has(self, condition: Condition) -> bool:
        return condition is not self.without

    def steps(self, region: Region) -> Iterator[Region]:
        """All possible next states."""
        for partition in range(PARTITIONS):
            yield from self._task_steps(region, partition)
            yield from self._leader_steps(region, partition)
            yield self._replace_leader(region, partition)
        for index in range(len(region.in_flight)):
            yield from self._deliver(region, index)
        if region.limit > 0:
            unused = region.limit - sum(region.allotted)
            if unused > 0 or not self._has(Condition.LIMIT_IS_LOWERED_BY_UNALLOTTED):
                yield self._change_version(replace(region, limit=region.limit - 1))

    def _task_steps(self, region: Region, partition: int) -> Iterator[Region]:
        """A task ends on its machine, or the leader finds that one has terminated."""
        if region.on_machines[partition] > 0:
            yield replace(region, on_machines=with_change(region.on_machines, partition, -1))
        leader = region.leaders[partition]
        terminated = region.recorded[partition] > region.on_machines[partition]
        if region.recorded[partition] > 0 and (
            terminated or not self._has(Condition.TASKS_COUNT_UNTIL_PROVEN_TERMINATED)
        ):
            found = replace(region, recorded=with_change(region.recorded, partition, -1))
            yield self._with_leader(found, partition, used=max(0, leader.used - 1))

    def _leader_steps(self, region: Region, partition: int) -> Iterator[Region]:
        """The leader of a partition sends a transaction, or reads its allotment."""
        leader = region.leaders[partition]
        if not self._has(Condition.READS_RAISE_NO_ALLOTMENT):
            yield self._with_leader(region, partition, allotment=region.allotted[partition])
        if len(region.in_flight) == self.max_in_flight:
            return
        if sum(region.allotted) < region.limit or not self._has(Condition.SUM_STAYS_WITHIN_LIMIT):
            yield self._send(region, Transaction(Change.TAKE, partition))
        if leader.used < leader.allotment:
            counted = region
            if self._has(Condition.STARTS_COUNT_BEFORE_CONFIRMATION):
                counted = self._with_leader(region, partition, used=leader.used + 1)
            yield self._send(counted, Transaction(Change.PLACE, partition))
            reduced = region
            if self._has(Condition.LEADERS_COUNT_LESS_BEFORE_GIVING):
                reduced = self._with_leader(region, partition, allotment=leader.allotment - 1)
            yield self._send(reduced, Transaction(Change.GIVE, partition))

    def _replace_leader(self, region: Region, partition: int) -> Region:
        """Another controller becomes leader and reads the store; the predecessor's transactions no
        longer come from the leader."""
        used = region.recorded[partition] if self._has(Condition.NEW_LEADERS_COUNT_RECORDS) else 0
        in_flight = tuple(
            replace(transaction, sender_leads=False)
            if transaction.partition == partition
            else transaction
            for transaction in region.in_flight
        )
        new = replace(region, in_flight=tuple(sorted(in_flight, key=repr)))
        return self._with_leader(new, partition, region.allotted[partition], used)

    def _deliver(self, region: Region, index: int) -> Iterator[Region]:
        """A transaction is executed or refused; its response arrives or is lost."""
        transaction = region.in_flight[index]
        remaining = replace(
            region, in_flight=region.in_flight[:index] + region.in_flight[index + 1 :]
        )
        refused = not transaction.sender_leads and self._has(Condition.WRITES_NAME_THE_LEADER_KEY)
        if transaction.change is not Change.PLACE:
            refused |= not transaction.version_matches and self._has(
                Condition.ALLOTMENTS_ARE_VERSIONED
            )
        if refused:
            yield remaining
            return
        done = self._execute(remaining, transaction)
        yield done
        if transaction.sender_leads:
            yield self._receive_response(done, transaction)

    def _execute(self, region: Region, transaction: Transaction) -> Region:
        if transaction.change is Change.PLACE:  # a recorded task may start at once
            return replace(
                region,
                recorded=with_change(region.recorded, transaction.partition, 1),
                on_machines=with_change(region.on_machines, transaction.partition, 1),
            )
        by = 1 if transaction.change is Change.TAKE else -1
        allotted = with_change(region.allotted, transaction.partition, by)
        return self._change_version(replace(region, allotted=allotted))

    @staticmethod
    def _change_version(region: Region) -> Region:
        """The limit or an allotment has changed, and with it the version."""
        in_flight = tuple(
            transaction
            if transaction.change is Change.PLACE
            else replace(transaction, version_matches=False)
            for transaction in region.in_flight
        )
        return replace(region, in_flight=tuple(sorted(in_flight, key=repr)))

    def _receive_response(self, region: Region, transaction: Transaction) -> Region:
        leader = region.leaders[transaction.partition]
        if transaction.change is Change.TAKE:
            return self._with_leader(region, transaction.partition, allotment=leader.allotment + 1)
        if transaction.change is Change.GIVE and not self._has(
            Condition.LEADERS_COUNT_LESS_BEFORE_GIVING
        ):
            return self._with_leader(region, transaction.partition, allotment=leader.allotment - 1)
        if transaction.change is Change.PLACE and not self._has(
            Condition.STARTS_COUNT_BEFORE_CONFIRMATION
        ):
            return self._with_leader(region, transaction.partition, used=leader.used + 1)
        return region

    @staticmethod
    def _send(region: Region, transaction: Transaction) -> Region:
        return replace(region, in_flight=tuple(sorted((*region.in_flight, transaction), key=repr)))

    @staticmethod
    def _with_leader(
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
class SearchResult:
    """Result of a search."""

    states: int
    violation: str | None
    max_on_machines: int  # at the same time, over all partitions


def search(limit: int, max_in_flight: int, without: Condition | None = None) -> SearchResult:
    """Visit all reachable states, or stop at the first one that violates an invariant."""
    model = AllotmentModel(max_in_flight, without)
    first = Region(limit)
    visited = {first}
    queue = deque(visited)
    max_on_machines = 0
    while queue:
        region = queue.popleft()
        violation = region.violation()
        if violation is not None:
            return SearchResult(len(visited), violation, max_on_machines)
        max_on_machines = max(max_on_machines, sum(region.on_machines))
        for following in model.steps(region):
            if following not in visited:
                visited.add(following)
                queue.append(following)
    return SearchResult(len(visited), None, max_on_machines)
