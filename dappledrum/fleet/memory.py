"""Hands the machines that are still booting from one leader to the next.

The cloud's list lags behind, so a new leader would not see what its predecessor has just rented,
and rent it again. The record is only a hint: without it, machines turn up in the list or through
their reports.
"""

import asyncio
import logging
from datetime import UTC, datetime, timedelta

import msgspec

from dappledrum.clock import ZERO, Clock
from dappledrum.fleet.messages import BootingRecord, FleetRecord
from dappledrum.leadership.elector import Term
from dappledrum.scheduling.lanes import Kind
from dappledrum.state.budget import Rank
from dappledrum.state.client import State, StateError, raw
from dappledrum.state.messages import Put
from dappledrum.workers.roster import Roster

log = logging.getLogger(__name__)

FLEET = "fleet"
KEPT = timedelta(minutes=10)
NAME_BYTES = 32  # of the value for each machine, so that it stays within what the service takes
PAUSE = timedelta(seconds=1)


class FleetMemory:
    """Writes the record when it has changed, for one term."""

    def __init__(
        self, state: State, term: Term, roster: Roster, clock: Clock, value_bytes: int
    ) -> None:
        self.state = state
        self.term = term
        self.roster = roster
        self.clock = clock
        self.most = value_bytes // NAME_BYTES
        self.stored: FleetRecord | None = None

    def _record(self) -> FleetRecord:
        today = self.clock.today()
        now = self.clock.now()
        known = {
            name: row.at_ms
            for row in (self.stored.booting if self.stored is not None else ())
            for name in row.names
        }
        groups: dict[tuple[Kind, int], list[str]] = {}
        for machine in self.roster:
            age = now - machine.rented_at
            if machine.up or machine.returning or machine.kind is None or age > KEPT:
                continue
            # Whole seconds, and only changes of the machines matter: clocks wander by less.
            at = known.get(machine.name, int((today - age).timestamp()) * 1000)
            groups.setdefault((machine.kind, at), []).append(machine.name)
        rows = [BootingRecord(names, *kind, at) for (kind, at), names in groups.items()]
        while sum(len(row.names) for row in rows) > self.most:
            rows.pop(0)
        return FleetRecord(rows)

    async def run(self) -> None:
        """Keep the record current; it is not worth a retry of its own."""
        while True:
            await asyncio.sleep(PAUSE.total_seconds())
            record = self._record()
            if record == self.stored:
                continue
            try:
                await self.state.commit(
                    [self.term.guard()], [Put(FLEET, raw(record))], Rank.RECORD
                )
                self.stored = record
            except StateError as error:
                log.info("fleet record not written: %s", error)

    async def recall(self) -> None:
        """Take over what a predecessor has rented."""
        try:
            entry = await self.state.get(FLEET, Rank.RECORD)
            rows = (
                msgspec.json.decode(entry.value, type=FleetRecord).booting
                if entry is not None
                else []
            )
        except (StateError, msgspec.DecodeError) as error:
            log.info("fleet record not read: %s", error)
            return
        now = self.clock.now()
        for row in rows:
            age = max(self.clock.today() - datetime.fromtimestamp(row.at_ms / 1000, UTC), ZERO)
            for name in row.names if age < KEPT else ():
                if self.roster.get(name) is None:
                    machine = self.roster.ensure(name, Kind(row.type, row.zone, row.spot), now)
                    machine.rented_at = now - age
