"""Estimates how long machines take to boot, from the boots that were seen.

DESIGN assumes steady boot times. Where they are not steady, the figure of the catalog is only a
prior. Past boots are weighted by how similar their type, zone and kind are, and by age; a boot in
progress counts as one of at least its present age. The same data decide whether a boot is given
up: if machines that were requested later are up already, a new machine is expected sooner than
this one. While no machine comes up, all boots are slow and a replacement would be slow, too; then
one machine at a time is replaced as a probe.
"""

import math
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import ZERO

PRIOR_WEIGHT = 2.0  # number of boots that weigh as much as the catalog's figure
HALF_LIFE = timedelta(minutes=1)  # after which an observed boot has half its weight
KEPT = 64
MARGIN = 1.25  # one deviation and more: boots take 0.6 to 1.5 times the nominal time
MAX_USUAL_RATIO = 1.5  # a boot of up to this ratio is no sign of slow boots
SHORTEST = timedelta(seconds=1)
OVERTAKEN = 2.0  # times the slowest later boot, after which an overtaken machine is given up
ALONE = 4.0  # times the expected boot, after which one is given up while none comes up
FLOOR = timedelta(seconds=20)  # heartbeats and lists take their time, too


class BootTime(NamedTuple):
    """A completed boot."""

    kind: InstanceKind
    ratio: float  # to the catalog's figure
    asked_at: timedelta
    up_at: timedelta


class PendingBoot(NamedTuple):
    """A boot in progress."""

    kind: InstanceKind
    asked_at: timedelta


def likeness(one: InstanceKind, other: InstanceKind) -> float:
    """How much a boot of one kind says about another kind: the weight of its observation."""
    same = sum(a == b for a, b in zip(one, other, strict=True))
    return (0.25, 0.35, 0.6, 1.0)[same]


class BootTimes:
    """The boots that a leader has seen."""

    def __init__(self) -> None:
        self.nominal: dict[str, timedelta] = {}  # by type, from the catalog
        self.seen: deque[BootTime] = deque(maxlen=KEPT)
        self.exchanged_at: timedelta | None = None
        self._ratios: dict[InstanceKind, float] = {}
        self._unfinished: list[PendingBoot] = []
        self._refreshed_at: timedelta | None = None

    def _nominal(self, kind: InstanceKind) -> timedelta:
        return max(self.nominal.get(kind.type, timedelta(seconds=60)), SHORTEST)

    def finished(self, kind: InstanceKind, asked_at: timedelta, up_at: timedelta) -> None:
        """Record a machine that has come up."""
        took = max(up_at - asked_at, SHORTEST)
        self.seen.append(BootTime(kind, took / self._nominal(kind), asked_at, up_at))
        self._ratios.clear()

    def remember(self, boots: Iterable[BootTime]) -> None:
        """Add boots that the predecessor has seen."""
        self.seen.extend(boots)
        self._ratios.clear()

    def refresh(self, unfinished: Iterable[PendingBoot], now: timedelta) -> None:
        """Set which boots are in progress; estimates stay the same until the next call."""
        self._unfinished = list(unfinished)
        self._refreshed_at = now
        self._ratios.clear()

    def ratio(self, kind: InstanceKind) -> float:
        """Expected boot time as a multiple of the figure in the catalog. A geometric mean, so that
        the few machines that never come up do not outweigh all others."""
        known = self._ratios.get(kind)
        if known is None:
            known = self._ratios[kind] = self._ratio(kind)
        return known

    def _over(self, kind: InstanceKind) -> tuple[float, float]:
        """Weighted sum of the logarithms of the completed boots, and the sum of the weights."""
        now = self._refreshed_at
        total, weight = 0.0, PRIOR_WEIGHT
        for boot in self.seen:
            age = ZERO if now is None else max(now - boot.up_at, ZERO)
            share = likeness(kind, boot.kind) * 0.5 ** (age / HALF_LIFE)
            total += share * math.log(boot.ratio)
            weight += share
        return total, weight

    def _ratio(self, kind: InstanceKind) -> float:
        total, weight = self._over(kind)
        # Beyond what was seen so far; after a time of quick boots that says most.
        expected = min(math.exp(total / weight) * MARGIN, MAX_USUAL_RATIO)
        for one in self._unfinished:
            age = ZERO if self._refreshed_at is None else self._refreshed_at - one.asked_at
            ratio = age / self._nominal(one.kind)
            if ratio > expected:
                share = likeness(kind, one.kind)
                total += share * math.log(ratio)
                weight += share
        return math.exp(total / weight)

    def expected(self, kind: InstanceKind) -> timedelta:
        """How long a machine requested now will take, with a margin."""
        return max(self._nominal(kind) * self.ratio(kind) * MARGIN, SHORTEST)

    def left(self, kind: InstanceKind, asked_at: timedelta, now: timedelta) -> timedelta:
        """How much longer a boot in progress will take. Beyond the expected time the estimate
        grows with the age of the boot."""
        expected = self.expected(kind)
        late = now - asked_at - expected
        return -late if late < ZERO else expected * 0.3 + late * 0.5

    def hopeless(self, kind: InstanceKind, asked_at: timedelta, now: timedelta) -> bool:
        """Whether a new machine is expected sooner than this one."""
        nominal = self._nominal(kind)
        age = now - asked_at
        if age <= nominal * MAX_USUAL_RATIO + FLOOR:
            return False
        if self._later(kind, asked_at):
            return self.overtaken(kind, asked_at, now)
        total, weight = self._over(kind)
        if age <= nominal * max(math.exp(total / weight), 1.0) * ALONE:
            return False
        return self.exchanged_at is None or now - self.exchanged_at > self.expected(kind)

    def _later(self, kind: InstanceKind, asked_at: timedelta) -> list[BootTime]:
        """Completed boots of the type and zone that were requested at the same time or later."""
        return [b for b in self.seen if b.asked_at >= asked_at and b.kind[:2] == kind[:2]]

    def overtaken(self, kind: InstanceKind, asked_at: timedelta, now: timedelta) -> bool:
        """Whether machines requested later are up, and twice the time of the slowest of them has
        passed."""
        later = self._later(kind, asked_at)
        if not later:
            return False
        nominal = self._nominal(kind)
        slowest = max(max(boot.ratio for boot in later), MAX_USUAL_RATIO)
        return now - asked_at > max(nominal * slowest * OVERTAKEN, nominal + FLOOR)

    def given_up(self, now: timedelta) -> None:
        """Note that a machine was given up, so that the next probe waits for the outcome."""
        self.exchanged_at = now
