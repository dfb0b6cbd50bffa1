"""Hands learned run and boot times from one leader to the next.

A takeover every minute or so once began each time with the owners' estimates and the catalog's
boot times, though the controllers had seen hundreds of tasks end. The record is a hint: written
at most every few seconds, behind everything that somebody waits for, and a lost or damaged one
costs only the learning.
"""

import logging
from collections.abc import Mapping
from datetime import UTC, datetime, timedelta

from dappledrum.fleet.boots import SHORTEST, Boot, Boots
from dappledrum.learning.messages import BootRow, ClassRow, LearnedRecord
from dappledrum.scheduling.estimates import Estimates, Sample
from dappledrum.scheduling.lanes import Kind
from dappledrum.state.hint import Hint
from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

PAUSE = timedelta(seconds=10)
KEPT = timedelta(minutes=5)  # boots older than this say nothing any more
CLASSES = 50
BOOTS = 24
ROW_BYTES = 100  # of the value for each row, at most


class LearnedMemory:
    """Writes the record while it changes, for one term."""

    def __init__(
        self, hint: Hint[LearnedRecord], estimates: Estimates, boots: Boots, clock: Clock
    ) -> None:
        self.hint = hint
        self.estimates = estimates
        self.boots = boots
        self.clock = clock

    def record(self) -> LearnedRecord:
        """What is worth handing on, rounded, so that little changes are none."""
        now, today = self.clock.now(), self.clock.today()
        room = max(1, self.hint.value_bytes // ROW_BYTES)
        classes = sorted(self.estimates.classes.items(), key=lambda row: -row[1].count)
        rows = [
            ClassRow(name, round(seen.count), round(seen.mean, 2), round(seen.square, 1))
            for name, seen in classes[: min(CLASSES, room // 2)]
        ]
        boots = [
            BootRow(
                *(*boot.kind, round((boot.up_at - boot.asked_at).total_seconds(), 1) or 0.1),
                int((today - (now - boot.up_at)).timestamp()) * 1000,
            )
            for boot in list(self.boots.seen)[-min(BOOTS, room // 2) :]
            if now - boot.up_at < KEPT
        ]
        return LearnedRecord(sorted(rows, key=lambda row: row.job_class), boots)

    async def run(self) -> None:
        """Keep the record current."""
        await self.hint.follow(self.record, PAUSE)

    async def recall(self, nominal: Mapping[str, timedelta]) -> None:
        """Take over what a predecessor has learned; `nominal`: the catalog's boot times, by type.

        A boot counts as a multiple of the catalog's figure, so without one it says nothing. Taken
        over before the catalog was looked at, against a stand-in of a minute, boots of 15 s were
        expected to be four times quicker than any.
        """
        record = await self.hint.recall()
        if record is None:
            return
        for seen in record.classes[:CLASSES]:
            sample = self.estimates.classes.setdefault(seen.job_class, Sample())
            sample.count, sample.mean, sample.square = seen.count, seen.mean, seen.square
        now, today = self.clock.now(), self.clock.today()
        boots = []
        for row in record.boots[:BOOTS]:
            age = max(today - datetime.fromtimestamp(row.up_at_ms / 1000, UTC), ZERO)
            if age < KEPT and row.type in nominal:
                kind = Kind(row.type, row.zone, row.spot)
                took = max(timedelta(seconds=row.took_s), SHORTEST)
                ratio = took / max(nominal[row.type], SHORTEST)
                boots.append(Boot(kind, ratio, now - age - took, now - age))
        self.boots.remember(boots)
        log.info("learned before: %d classes, %d boots", len(record.classes), len(record.boots))
