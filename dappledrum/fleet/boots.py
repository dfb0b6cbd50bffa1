"""How long machines take to come up, learned from what is seen.

DESIGN assumes steady boots. Where they are not, the catalog's figure is only the start: what boots
took is remembered by type, zone and kind, those like the one in question weighing most and old
ones fading, and a boot that is not over counts as one of at least its present age. Whether a boot
is given up follows from the same: when others that were asked for later are up already, a new
machine is expected sooner than this one. While none comes up, all are slow, and giving one up
would only begin another slow boot; then one at a time is exchanged, as a probe.
"""

import math
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.lanes import Kind
from dappledrum.timing.clock import ZERO

PRIOR_WEIGHT = 2.0  # boots that weigh as much as the catalog's figure
HALF_LIFE = timedelta(minutes=1)  # after which a boot that was seen weighs half
KEPT = 64
MARGIN = 1.25  # one deviation and more: boots take 0.6 to 1.5 times the nominal time
USUAL_MOST = 1.5  # so a boot up to this long says nothing bad
SHORTEST = timedelta(seconds=1)
OVERTAKEN = 2.0  # times the slowest recent boot, after which one that others have overtaken goes
ALONE = 4.0  # times the expected boot, after which one goes while none comes up
FLOOR = timedelta(seconds=20)  # reports and lists take their time, too


class Boot(NamedTuple):
    """A boot that is over."""

    kind: Kind
    ratio: float  # to the catalog's figure
    asked_at: timedelta
    up_at: timedelta


class Waiting(NamedTuple):
    """A boot that is not over."""

    kind: Kind
    asked_at: timedelta


def likeness(one: Kind, other: Kind) -> float:
    """How much a boot of the one kind says about the other."""
    same = sum(a == b for a, b in zip(one, other, strict=True))
    return (0.25, 0.35, 0.6, 1.0)[same]


class Boots:
    """What a leader has seen of boots."""

    def __init__(self) -> None:
        self.nominal: dict[str, timedelta] = {}  # by type, from the catalog
        self.seen: deque[Boot] = deque(maxlen=KEPT)
        self.exchanged_at: timedelta | None = None
        self._ratios: dict[Kind, float] = {}
        self._unfinished: list[Waiting] = []
        self._refreshed_at: timedelta | None = None

    def _nominal(self, kind: Kind) -> timedelta:
        return max(self.nominal.get(kind.type, timedelta(seconds=60)), SHORTEST)

    def finished(self, kind: Kind, asked_at: timedelta, up_at: timedelta) -> None:
        """A machine has come up."""
        took = max(up_at - asked_at, SHORTEST)
        self.seen.append(Boot(kind, took / self._nominal(kind), asked_at, up_at))
        self._ratios.clear()

    def remember(self, boots: Iterable[Boot]) -> None:
        """Boots that a predecessor has seen."""
        self.seen.extend(boots)
        self._ratios.clear()

    def refresh(self, unfinished: Iterable[Waiting], now: timedelta) -> None:
        """Note which boots are not over; estimates hold until the next time."""
        self._unfinished = list(unfinished)
        self._refreshed_at = now
        self._ratios.clear()

    def ratio(self, kind: Kind) -> float:
        """Expected boot as a multiple of the catalog's figure: a geometric mean, so that the few
        that never come up don't outweigh all others."""
        known = self._ratios.get(kind)
        if known is None:
            known = self._ratios[kind] = self._ratio(kind)
        return known

    def _over(self, kind: Kind) -> tuple[float, float]:
        """Weighted sum of the logarithms of what boots took, and the sum of the weights."""
        now = self._refreshed_at
        total, weight = 0.0, PRIOR_WEIGHT
        for boot in self.seen:
            age = ZERO if now is None else max(now - boot.up_at, ZERO)
            share = likeness(kind, boot.kind) * 0.5 ** (age / HALF_LIFE)
            total += share * math.log(boot.ratio)
            weight += share
        return total, weight

    def _ratio(self, kind: Kind) -> float:
        total, weight = self._over(kind)
        # Beyond what was seen so far; after a time of quick boots that says most.
        expected = min(math.exp(total / weight) * MARGIN, USUAL_MOST)
        for one in self._unfinished:
            age = ZERO if self._refreshed_at is None else self._refreshed_at - one.asked_at
            ratio = age / self._nominal(one.kind)
            if ratio > expected:
                share = likeness(kind, one.kind)
                total += share * math.log(ratio)
                weight += share
        return math.exp(total / weight)

    def expected(self, kind: Kind) -> timedelta:
        """How long a machine asked for now will take, with some to spare."""
        return max(self._nominal(kind) * self.ratio(kind) * MARGIN, SHORTEST)

    def left(self, kind: Kind, asked_at: timedelta, now: timedelta) -> timedelta:
        """How much longer a boot will take that has not ended yet: past what was expected, the
        longer it has taken, the longer it will."""
        expected = self.expected(kind)
        late = now - asked_at - expected
        return -late if late < ZERO else expected * 0.3 + late * 0.5

    def hopeless(self, kind: Kind, asked_at: timedelta, now: timedelta) -> bool:
        """Whether a new machine is expected sooner than this one."""
        nominal = self._nominal(kind)
        age = now - asked_at
        if age <= nominal * USUAL_MOST + FLOOR:
            return False
        if self._later(kind, asked_at):
            return self.overtaken(kind, asked_at, now)
        total, weight = self._over(kind)
        if age <= nominal * max(math.exp(total / weight), 1.0) * ALONE:
            return False
        return self.exchanged_at is None or now - self.exchanged_at > self.expected(kind)

    def _later(self, kind: Kind, asked_at: timedelta) -> list[Boot]:
        """Boots of the type and zone that are over, though asked for no earlier."""
        return [b for b in self.seen if b.asked_at >= asked_at and b.kind[:2] == kind[:2]]

    def overtaken(self, kind: Kind, asked_at: timedelta, now: timedelta) -> bool:
        """Others that were asked for later are up, and twice the slowest of them has passed."""
        later = self._later(kind, asked_at)
        if not later:
            return False
        nominal = self._nominal(kind)
        slowest = max(max(boot.ratio for boot in later), USUAL_MOST)
        return now - asked_at > max(nominal * slowest * OVERTAKEN, nominal + FLOOR)

    def given_up(self, now: timedelta) -> None:
        """One was given up, so that the next waits for what comes of it."""
        self.exchanged_at = now
