"""Passes the machines that are still booting on to the next leader.

The list of the cloud lags behind, so a new leader would not see what its predecessor has just
rented, and would rent it again. The record is advisory: without it, machines turn up in the list
or by their heartbeats.
"""

from datetime import UTC, datetime, timedelta

from dappledrum.fleet.messages import BootingRecord, FleetRecord
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.machine_registry import MachineRegistry

FLEET = "fleet"
KEPT = timedelta(minutes=10)
NAME_BYTES = 32  # of the value for each machine, so that it stays within what the service takes
PAUSE = timedelta(seconds=1)


class FleetFacts:
    """Writes the record when it has changed, during one term."""

    def __init__(
        self, hint: AdvisoryRecord[FleetRecord], registry: MachineRegistry, clock: Clock
    ) -> None:
        self.hint = hint
        self.registry = registry
        self.clock = clock
        self.most = hint.max_bytes // NAME_BYTES

    def _record(self) -> FleetRecord:
        utc_now = self.clock.utc_now()
        now = self.clock.now()
        known = {
            name: row.at_ms
            for row in (
                self.hint.last_written.booting if self.hint.last_written is not None else ()
            )
            for name in row.names
        }
        groups: dict[tuple[InstanceKind, int], list[str]] = {}
        for machine in self.registry:
            age = now - machine.rented_at
            settled = machine.up or machine.returning or machine.unconfirmed
            if settled or machine.kind is None or age > KEPT:
                continue
            # Whole seconds, and only changes of the machines matter: clocks wander by less.
            at = known.get(machine.name, int((utc_now - age).timestamp()) * 1000)
            groups.setdefault((machine.kind, at), []).append(machine.name)
        rows = [BootingRecord(names, *kind, at) for (kind, at), names in groups.items()]
        while sum(len(row.names) for row in rows) > self.most:
            rows.pop(0)
        return FleetRecord(rows)

    async def run(self) -> None:
        """Keep the record up to date."""
        await self.hint.write_periodically(self._record, PAUSE)

    async def recall(self) -> None:
        """Read what a predecessor has rented."""
        record = await self.hint.read()
        if record is None:
            return
        now = self.clock.now()
        for row in record.booting:
            age = max(self.clock.utc_now() - datetime.fromtimestamp(row.at_ms / 1000, UTC), ZERO)
            for name in row.names if age < KEPT else ():
                if self.registry.get(name) is None:
                    machine = self.registry.ensure(
                        name, InstanceKind(row.type, row.zone, row.spot), now
                    )
                    machine.rented_at = now - age
