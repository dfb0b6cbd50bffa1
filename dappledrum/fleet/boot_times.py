"""Estimates how long machines take to boot, from the boots observed so far.

The design assumes steady boot times. Where they vary, the catalog's boot time is only a prior.
Completed boots are weighted by age and by how similar their type, zone and pricing (spot or
on-demand) are; a boot in progress counts as one that takes at least its present age. The same data
decide whether a boot is given up: if machines that were requested later are up already, a
replacement is expected sooner. While no machine comes up, all boots are slow and a replacement
would be slow too, so one machine at a time is replaced as a probe.
"""

import math
from collections import deque
from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import ZERO

PRIOR_WEIGHT = 2.0  # number of boots that weigh as much as the catalog's figure
HALF_LIFE = timedelta(minutes=1)  # age at which an observed boot has half its weight
MAX_REMEMBERED_BOOTS = 64
ESTIMATE_MARGIN = 1.25  # more than one deviation: boots take 0.6 to 1.5 times the nominal time
MAX_USUAL_RATIO = 1.5  # a boot up to this ratio does not count as slow
MIN_BOOT_TIME = timedelta(seconds=1)
OVERTAKEN_FACTOR = 2.0  # times the slowest later boot, after which an overtaken boot is given up
PROBE_FACTOR = 4.0  # times the expected boot, after which one is given up while none comes up
REPORTING_DELAY = timedelta(seconds=20)  # heartbeats and lists show a machine only after a delay


class BootTime(NamedTuple):
    """A completed boot."""

    kind: InstanceKind
    ratio: float  # of its duration to the catalog's boot time
    requested_at: timedelta
    up_at: timedelta


class PendingBoot(NamedTuple):
    """A boot in progress."""

    kind: InstanceKind
    requested_at: timedelta


def similarity(one: InstanceKind, other: InstanceKind) -> float:
    """Weight of an observed boot of one kind when estimating boots of the other kind."""
    same = sum(a == b for a, b in zip(one, other, strict=True))
    return (0.25, 0.35, 0.6, 1.0)[same]


class BootTimes:
    """Boot statistics of a leader."""

    def __init__(self) -> None:
        self.nominal: dict[str, timedelta] = {}  # by type, from the catalog
        self.completed: deque[BootTime] = deque(maxlen=MAX_REMEMBERED_BOOTS)
        self.last_given_up_at: timedelta | None = None
        self._ratios: dict[InstanceKind, float] = {}
        self._pending: list[PendingBoot] = []
        self._refreshed_at: timedelta | None = None

    def _nominal(self, kind: InstanceKind) -> timedelta:
        return max(self.nominal.get(kind.type, timedelta(seconds=60)), MIN_BOOT_TIME)

    def record_completed(
        self, kind: InstanceKind, requested_at: timedelta, up_at: timedelta
    ) -> None:
        """Record the boot of a machine that is up."""
        took = max(up_at - requested_at, MIN_BOOT_TIME)
        self.completed.append(BootTime(kind, took / self._nominal(kind), requested_at, up_at))
        self._ratios.clear()

    def add_completed(self, boots: Iterable[BootTime]) -> None:
        """Add completed boots from the previous leader's record."""
        self.completed.extend(boots)
        self._ratios.clear()

    def set_pending(self, pending: Iterable[PendingBoot], now: timedelta) -> None:
        """Replace the boots in progress and the time that estimates refer to."""
        self._pending = list(pending)
        self._refreshed_at = now
        self._ratios.clear()

    def ratio(self, kind: InstanceKind) -> float:
        """Expected boot time as a multiple of the catalog's figure.

        It is a geometric mean, so that a few machines that never come up do not dominate.
        """
        known = self._ratios.get(kind)
        if known is None:
            known = self._ratios[kind] = self._ratio(kind)
        return known

    def _weighted_log_ratios(self, kind: InstanceKind) -> tuple[float, float]:
        """Weighted sum of the logarithms of completed boots' ratios, and the sum of weights."""
        now = self._refreshed_at
        total, weight = 0.0, PRIOR_WEIGHT
        for boot in self.completed:
            age = ZERO if now is None else max(now - boot.up_at, ZERO)
            boot_weight = similarity(kind, boot.kind) * 0.5 ** (age / HALF_LIFE)
            total += boot_weight * math.log(boot.ratio)
            weight += boot_weight
        return total, weight

    def _ratio(self, kind: InstanceKind) -> float:
        total, weight = self._weighted_log_ratios(kind)
        # A boot in progress counts only beyond the estimate from completed boots. After a period
        # of quick boots it is the strongest sign of slow ones.
        expected = min(math.exp(total / weight) * ESTIMATE_MARGIN, MAX_USUAL_RATIO)
        for pending in self._pending:
            age = ZERO if self._refreshed_at is None else self._refreshed_at - pending.requested_at
            ratio = age / self._nominal(pending.kind)
            if ratio > expected:
                boot_weight = similarity(kind, pending.kind)
                total += boot_weight * math.log(ratio)
                weight += boot_weight
        return math.exp(total / weight)

    def expected(self, kind: InstanceKind) -> timedelta:
        """Expected boot time of a machine requested now, with a margin."""
        return max(self._nominal(kind) * self.ratio(kind) * ESTIMATE_MARGIN, MIN_BOOT_TIME)

    def remaining(self, kind: InstanceKind, requested_at: timedelta, now: timedelta) -> timedelta:
        """Expected remaining time of a boot in progress.

        Once the boot exceeds the expected time, the estimate grows with its age.
        """
        expected = self.expected(kind)
        late = now - requested_at - expected
        return -late if late < ZERO else expected * 0.3 + late * 0.5

    def should_replace(self, kind: InstanceKind, requested_at: timedelta, now: timedelta) -> bool:
        """Whether a replacement is expected to be up sooner than this machine."""
        nominal = self._nominal(kind)
        age = now - requested_at
        if age <= nominal * MAX_USUAL_RATIO + REPORTING_DELAY:
            return False
        if self._later_boots(kind, requested_at):
            return self.is_overtaken(kind, requested_at, now)
        total, weight = self._weighted_log_ratios(kind)
        if age <= nominal * max(math.exp(total / weight), 1.0) * PROBE_FACTOR:
            return False
        return self.last_given_up_at is None or now - self.last_given_up_at > self.expected(kind)

    def _later_boots(self, kind: InstanceKind, requested_at: timedelta) -> list[BootTime]:
        """Completed boots of the same type and zone requested at the same time or later."""
        return [
            b for b in self.completed if b.requested_at >= requested_at and b.kind[:2] == kind[:2]
        ]

    def is_overtaken(self, kind: InstanceKind, requested_at: timedelta, now: timedelta) -> bool:
        """Whether machines requested later are up, and `OVERTAKEN_FACTOR` times the boot time of
        the slowest of them has passed."""
        later = self._later_boots(kind, requested_at)
        if not later:
            return False
        nominal = self._nominal(kind)
        slowest = max(max(boot.ratio for boot in later), MAX_USUAL_RATIO)
        return now - requested_at > max(
            nominal * slowest * OVERTAKEN_FACTOR, nominal + REPORTING_DELAY
        )

    def record_given_up(self, now: timedelta) -> None:
        """Record that a boot was given up, so that the next probe waits for its replacement."""
        self.last_given_up_at = now
