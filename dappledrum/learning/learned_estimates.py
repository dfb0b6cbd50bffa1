"""Passes learned run and boot times on to the next leader.

Without it, leaders that change every minute start again and again with the owners' estimates and
the boot times of the catalog. The record is advisory: it is written every few seconds at most,
with the lowest priority, and if it is lost or damaged only the learned values are lost.
"""

import logging
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta

from dappledrum.fleet.boot_times import SHORTEST, BootTime, BootTimes
from dappledrum.learning.messages import BootRow, ClassRow, LearnedRecord
from dappledrum.scheduling.estimates import Estimates, RunningStatistics
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

PAUSE = timedelta(seconds=10)
KEPT = timedelta(minutes=5)  # boots older than this say nothing any more
CLASSES = 50
BOOTS = 24
ROW_BYTES = 100  # of the value for each row, at most


class LearnedEstimates:
    """Writes the record when it has changed, during one term."""

    def __init__(
        self,
        hint: AdvisoryRecord[LearnedRecord],
        estimates: Estimates,
        boots: BootTimes,
        clock: Clock,
    ) -> None:
        self.hint = hint
        self.estimates = estimates
        self.boots = boots
        self.clock = clock

    def record(self) -> LearnedRecord:
        """The values worth keeping, rounded so that small changes cause no write."""
        now, utc_now = self.clock.now(), self.clock.utc_now()
        capacity = max(1, self.hint.max_bytes // ROW_BYTES)
        classes = sorted(self.estimates.classes.items(), key=lambda row: -row[1].count)
        rows = [
            ClassRow(name, round(seen.count), round(seen.mean, 2), round(seen.square, 1))
            for name, seen in classes[: min(CLASSES, capacity // 2)]
        ]
        boots = [
            BootRow(
                *(*boot.kind, round((boot.up_at - boot.asked_at).total_seconds(), 1) or 0.1),
                int((utc_now - (now - boot.up_at)).timestamp()) * 1000,
            )
            for boot in list(self.boots.seen)[-min(BOOTS, capacity // 2) :]
            if now - boot.up_at < KEPT
        ]
        return LearnedRecord(sorted(rows, key=lambda row: row.job_class), boots)

    async def run(self) -> None:
        """Keep the record up to date."""
        await self.hint.write_periodically(self.record, PAUSE)

    async def recall(self, nominal: Mapping[str, timedelta]) -> None:
        """Read what a predecessor has learned; `nominal`: the boot times of the catalog, by type.

        Boots are kept as multiples of the catalog's figure, so they need the catalog. When they
        were read before it was known, with one minute as a stand-in, boots of 15 s were expected
        to be four times quicker than usual.
        """
        record = await self.hint.read()
        if record is None:
            return
        for seen in record.classes[:CLASSES]:
            sample = self.estimates.classes.setdefault(seen.job_class, RunningStatistics())
            sample.count, sample.mean, sample.square = seen.count, seen.mean, seen.square
        now, utc_now = self.clock.now(), self.clock.utc_now()
        boots = []
        for row in record.boots[:BOOTS]:
            age = max(utc_now - datetime.fromtimestamp(row.up_at_ms / 1000, UTC), ZERO)
            if age < KEPT and row.type in nominal:
                kind = InstanceKind(row.type, row.zone, row.spot)
                took = max(timedelta(seconds=row.took_s), SHORTEST)
                ratio = took / max(nominal[row.type], SHORTEST)
                boots.append(BootTime(kind, ratio, now - age - took, now - age))
        self.boots.remember(boots)
        log.info("learned before: %d classes, %d boots", len(record.classes), len(record.boots))
