"""Passes learned run and boot times on to the next leader.

Without the record, each new leader starts from the owners' estimates and the catalog's boot times,
which is costly if the leader changes every minute. The record is advisory: it is written with the
lowest priority and every `WRITE_INTERVAL` at most, and if it is lost or damaged only the learned
values are lost.
"""

import logging
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta

from dappledrum.fleet.boot_times import MIN_BOOT_TIME, BootTime, BootTimes
from dappledrum.learning.messages import BootRow, ClassRow, LearnedRecord
from dappledrum.scheduling.estimates import Estimates, RunningStatistics
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.store.value_size import encoded_size
from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

WRITE_INTERVAL = timedelta(seconds=10)
MAX_BOOT_AGE = timedelta(minutes=5)  # older boots no longer predict new ones
MAX_CLASSES = 50
MAX_BOOTS = 24
MAX_ROW_BYTES = 100  # of a row with a name of usual length


class LearnedEstimates:
    """Reads and writes the record of learned values during one term."""

    def __init__(
        self,
        advisory_record: AdvisoryRecord[LearnedRecord],
        estimates: Estimates,
        boots: BootTimes,
        clock: Clock,
    ) -> None:
        self.advisory_record = advisory_record
        self.estimates = estimates
        self.boots = boots
        self.clock = clock

    def record(self) -> LearnedRecord:
        """The record of the current values, rounded so that small changes cause no write."""
        now, utc_now = self.clock.now(), self.clock.utc_now()
        capacity = max(1, self.advisory_record.max_bytes // MAX_ROW_BYTES)
        classes = sorted(self.estimates.classes.items(), key=lambda row: -row[1].count)
        rows = [
            ClassRow(name, round(ratios.count), round(ratios.mean, 2), round(ratios.square, 1))
            for name, ratios in classes[: min(MAX_CLASSES, capacity // 2)]
        ]
        boots = [
            BootRow(
                *(*boot.kind, round((boot.up_at - boot.requested_at).total_seconds(), 1) or 0.1),
                int((utc_now - (now - boot.up_at)).timestamp()) * 1000,
            )
            for boot in list(self.boots.completed)[-min(MAX_BOOTS, capacity // 2) :]
            if now - boot.up_at < MAX_BOOT_AGE
        ]
        max_bytes = self.advisory_record.max_bytes
        while rows and encoded_size(LearnedRecord(rows, boots)) > max_bytes:
            rows.pop()  # the class with the fewest values; its name or another one is long
        return LearnedRecord(sorted(rows, key=lambda row: row.job_class), boots)

    async def run(self) -> None:
        """Write the record periodically if it has changed."""
        await self.advisory_record.write_periodically(self.record, WRITE_INTERVAL)

    async def load_previous(self, nominal: Mapping[str, timedelta]) -> None:
        """Read the values learned by a predecessor.

        `nominal`: the catalog's boot times, by machine type. They are needed because boots are
        kept as multiples of them. When the record was read before the catalog was known, with one
        minute as a substitute, normal boots of 15 s counted as four times quicker than usual.
        """
        record = await self.advisory_record.read()
        if record is None:
            return
        for class_row in record.classes[:MAX_CLASSES]:
            ratios = self.estimates.classes.setdefault(class_row.job_class, RunningStatistics())
            ratios.count, ratios.mean, ratios.square = (
                class_row.count,
                class_row.mean,
                class_row.square,
            )
        now, utc_now = self.clock.now(), self.clock.utc_now()
        boots = []
        for row in record.boots[:MAX_BOOTS]:
            age = max(utc_now - datetime.fromtimestamp(row.up_at_ms / 1000, UTC), ZERO)
            if age < MAX_BOOT_AGE and row.type in nominal:
                kind = InstanceKind(row.type, row.zone, row.spot)
                took = max(timedelta(seconds=row.took_s), MIN_BOOT_TIME)
                ratio = took / max(nominal[row.type], MIN_BOOT_TIME)
                boots.append(BootTime(kind, ratio, now - age - took, now - age))
        self.boots.add_completed(boots)
        log.info(
            "learned estimates read: classes=%d boots=%d", len(record.classes), len(record.boots)
        )
