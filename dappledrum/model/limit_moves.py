"""A team's limit divided between regions that share no store; all interleavings.

Within a region the limit is shared by allotments (`model/allotments.py`). Between regions a mover,
a person or a slow loop, lowers the limit of one region and raises that of another, each by a
transaction in the region's own store. Transactions are carried out at once or late,
answers are lost, a transaction without an answer is sent again, and the mover may begin anew
without memory: then what it had in hand is lost to all regions, which breaks nothing. Every state
that can be reached is visited; `without` leaves one condition out.
"""

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import StrEnum

from dappledrum.model.allotments import changed


class Condition(StrEnum):
    """What the argument rests on."""

    VERSION = "every change of a limit names the version that was read"
    IN_HAND = "a limit is raised only by what was taken from another"
    ANSWERED = "what was taken counts when the answer has come"
    LESS_FIRST = "what is in hand is counted off before a limit is raised by it"


@dataclass(frozen=True)
class Move:
    """A transaction on its way that changes the limit of a region by one."""

    region: int
    by: int
    fresh: bool = True  # the limit has not changed since it was read


@dataclass(frozen=True)
class Regions:
    """The limits that are stored, and what the mover has taken and not given yet."""

    limits: tuple[int, ...]
    in_hand: int = 0
    sent: tuple[Move, ...] = ()


class LimitMoves:
    """All steps that can be taken from a state."""

    def __init__(self, most_sent: int, without: Condition | None = None) -> None:
        self.most_sent = most_sent
        self.without = without

    def _has(self, condition: Condition) -> bool:
        return condition is not self.without

    def steps(self, regions: Regions) -> Iterator[Regions]:
        """Every state that may come next."""
        yield replace(regions, in_hand=0)  # the mover begins anew
        for index in range(len(regions.sent)):
            yield from self._arrives(regions, index)
        if len(regions.sent) == self.most_sent:
            return
        for move in set(regions.sent):
            yield self._send(regions, move)  # again, as its answer has not come
        for region, limit in enumerate(regions.limits):
            if limit > 0:
                took = not self._has(Condition.ANSWERED)
                taking = self._send(regions, Move(region, -1))
                yield replace(taking, in_hand=regions.in_hand + took)
            if regions.in_hand > 0 or not self._has(Condition.IN_HAND):
                gave = self._has(Condition.LESS_FIRST) and regions.in_hand > 0
                giving = self._send(regions, Move(region, 1))
                yield replace(giving, in_hand=regions.in_hand - gave)

    def _arrives(self, regions: Regions, index: int) -> Iterator[Regions]:
        """A transaction is carried out or refused; its answer arrives or is lost."""
        move = regions.sent[index]
        left = regions.sent[:index] + regions.sent[index + 1 :]
        if (not move.fresh and self._has(Condition.VERSION)) or (
            regions.limits[move.region] + move.by < 0
        ):
            yield replace(regions, sent=left)
            return
        outdated = (
            replace(one, fresh=False) if one.region == move.region else one for one in left
        )
        limits = changed(regions.limits, move.region, move.by)
        done = replace(regions, limits=limits, sent=tuple(sorted(outdated, key=repr)))
        yield done
        if move.by < 0 and self._has(Condition.ANSWERED):
            yield replace(done, in_hand=regions.in_hand + 1)
        elif move.by > 0 and not self._has(Condition.LESS_FIRST) and regions.in_hand > 0:
            yield replace(done, in_hand=regions.in_hand - 1)

    @staticmethod
    def _send(regions: Regions, move: Move) -> Regions:
        return replace(regions, sent=tuple(sorted((*regions.sent, move), key=repr)))


def search(limits: tuple[int, ...], most_sent: int, without: Condition | None = None) -> set[int]:
    """The sums of the limits in all states that can be reached; stops at the first that is larger
    than at the beginning."""
    model = LimitMoves(most_sent, without)
    first = Regions(limits)
    seen = {first}
    waiting = deque(seen)
    sums = set()
    while waiting:
        regions = waiting.popleft()
        sums.add(sum(regions.limits))
        if sum(regions.limits) > sum(limits):
            break
        for following in model.steps(regions):
            if following not in seen:
                seen.add(following)
                waiting.append(following)
    return sums
