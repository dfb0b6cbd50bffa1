"""Exhaustive model of a team limit that is divided between regions without a common store.

Within a region the limit is shared by allotments (`model/allotments.py`). Between regions a mover,
either an operator or a slow control loop, lowers the limit of one region and raises that of
another, each by a transaction in the region's own store. Transactions are executed at once or
late, responses get lost, and a transaction without a response is sent again. The mover may restart
without memory: units that it had taken and not given are then lost to all regions, which violates
nothing. The search visits every reachable state; `without` drops one of the conditions that the
safety argument relies on.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from dappledrum.model.allotments import with_change


class Condition(StrEnum):
    """A condition that the safety argument relies on."""

    CHANGES_NAME_THE_VERSION = "every change of a limit names the version that was read"
    RAISES_USE_TAKEN_UNITS = "a limit is raised only by what was taken from another"
    TAKEN_COUNTS_WHEN_CONFIRMED = "what was taken counts when the answer has come"
    TAKEN_IS_REDUCED_BEFORE_RAISING = (
        "what is in hand is counted off before a limit is raised by it"
    )


@dataclass(frozen=True)
class Move:
    """A transaction in flight that changes the limit of a region by one."""

    region: int
    by: int
    version_matches: bool = True  # the limit has not changed since it was read


@dataclass(frozen=True)
class Regions:
    """State of the model: the stored limits, what the mover has taken and not yet given, and the
    transactions in flight."""

    limits: tuple[int, ...]
    taken: int = 0
    in_flight: tuple[Move, ...] = ()


class LimitMoveModel:
    """Enumerates the steps that are possible in a state."""

    def __init__(self, max_in_flight: int, without: Condition | None = None) -> None:
        self.max_in_flight = max_in_flight
        self.without = without

    def _has(self, condition: Condition) -> bool:
        return condition is not self.without

    def steps(self, regions: Regions) -> Iterator[Regions]:
        """All possible next states."""
        yield replace(regions, taken=0)  # the mover restarts
        for index in range(len(regions.in_flight)):
            yield from self._deliver(regions, index)
        if len(regions.in_flight) == self.max_in_flight:
            return
        for move in set(regions.in_flight):
            yield self._send(regions, move)  # again, since no response has arrived
        for region, limit in enumerate(regions.limits):
            if limit > 0:
                counts_at_once = not self._has(Condition.TAKEN_COUNTS_WHEN_CONFIRMED)
                taking = self._send(regions, Move(region, -1))
                yield replace(taking, taken=regions.taken + counts_at_once)
            if regions.taken > 0 or not self._has(Condition.RAISES_USE_TAKEN_UNITS):
                counted_off = (
                    self._has(Condition.TAKEN_IS_REDUCED_BEFORE_RAISING) and regions.taken > 0
                )
                giving = self._send(regions, Move(region, 1))
                yield replace(giving, taken=regions.taken - counted_off)

    def _deliver(self, regions: Regions, index: int) -> Iterator[Regions]:
        """A transaction is executed or refused; its response arrives or is lost."""
        move = regions.in_flight[index]
        remaining = regions.in_flight[:index] + regions.in_flight[index + 1 :]
        if (not move.version_matches and self._has(Condition.CHANGES_NAME_THE_VERSION)) or (
            regions.limits[move.region] + move.by < 0
        ):
            yield replace(regions, in_flight=remaining)
            return
        updated = (
            replace(other, version_matches=False) if other.region == move.region else other
            for other in remaining
        )
        limits = with_change(regions.limits, move.region, move.by)
        done = replace(regions, limits=limits, in_flight=tuple(sorted(updated, key=repr)))
        yield done
        if move.by < 0 and self._has(Condition.TAKEN_COUNTS_WHEN_CONFIRMED):
            yield replace(done, taken=regions.taken + 1)
        elif (
            move.by > 0
            and not self._has(Condition.TAKEN_IS_REDUCED_BEFORE_RAISING)
            and regions.taken > 0
        ):
            yield replace(done, taken=regions.taken - 1)

    @staticmethod
    def _send(regions: Regions, move: Move) -> Regions:
        return replace(regions, in_flight=tuple(sorted((*regions.in_flight, move), key=repr)))


def search(
    limits: tuple[int, ...], max_in_flight: int, without: Condition | None = None
) -> set[int]:
    """The sums of the limits in all reachable states, up to the first above the initial sum."""
    model = LimitMoveModel(max_in_flight, without)
    first = Regions(limits)
    visited = {first}
    queue = deque(visited)
    sums = set()
    while queue:
        regions = queue.popleft()
        sums.add(sum(regions.limits))
        if sum(regions.limits) > sum(limits):
            break
        for following in model.steps(regions):
            if following not in visited:
                visited.add(following)
                queue.append(following)
    return sums
