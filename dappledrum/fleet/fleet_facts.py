"""Passes the machines that are still booting on to the next leader.

The cloud's list lags behind, so a new leader would not see the machines that its predecessor has
just rented, and would rent them again. The record is advisory: without it, a new leader learns of
the machines from the list or their heartbeats.
"""

from datetime import UTC, datetime, timedelta

from dappledrum.fleet.messages import BootingRecord, FleetRecord
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.store.value_size import encoded_size
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.machine_registry import MachineRegistry

FLEET = "fleet"
MAX_BOOT_AGE = timedelta(minutes=10)  # machines that boot for longer are left out
BYTES_PER_MACHINE = 32  # of the value, to keep it within the size limit of the store
WRITE_INTERVAL = timedelta(seconds=1)


class FleetFacts:
    """Reads and writes the record of booting machines during one term."""

    def __init__(
        self, advisory_record: AdvisoryRecord[FleetRecord], registry: MachineRegistry, clock: Clock
    ) -> None:
        self.advisory_record = advisory_record
        self.registry = registry
        self.clock = clock
        self.max_machines = advisory_record.max_bytes // BYTES_PER_MACHINE

    def _record(self) -> FleetRecord:
        utc_now = self.clock.utc_now()
        now = self.clock.now()
        written_times = {
            name: row.at_ms
            for row in (
                self.advisory_record.last_written.booting
                if self.advisory_record.last_written is not None
                else ()
            )
            for name in row.names
        }
        groups: dict[tuple[InstanceKind, int], list[str]] = {}
        for machine in self.registry:
            age = now - machine.rented_at
            excluded = machine.up or machine.returning or machine.unconfirmed
            if excluded or machine.kind is None or age > MAX_BOOT_AGE:
                continue
            # A time that was written once is kept, in whole seconds, so that only changes of the
            # machines cause a write and the drift of clocks does not.
            at = written_times.get(machine.name, int((utc_now - age).timestamp()) * 1000)
            groups.setdefault((machine.kind, at), []).append(machine.name)
        rows = [BootingRecord(names, *kind, at) for (kind, at), names in groups.items()]
        while sum(len(row.names) for row in rows) > self.max_machines:
            rows.pop(0)
        while rows and encoded_size(FleetRecord(rows)) > self.advisory_record.max_bytes:
            rows.pop(0)  # long names
        return FleetRecord(rows)

    async def run(self) -> None:
        """Write the record periodically if it has changed."""
        await self.advisory_record.write_periodically(self._record, WRITE_INTERVAL)

    async def load_previous(self) -> None:
        """Register the machines that were booting under a predecessor."""
        record = await self.advisory_record.read()
        if record is None:
            return
        now = self.clock.now()
        for row in record.booting:
            age = max(self.clock.utc_now() - datetime.fromtimestamp(row.at_ms / 1000, UTC), ZERO)
            for name in row.names if age < MAX_BOOT_AGE else ():
                if self.registry.get(name) is None:
                    machine = self.registry.ensure(
                        name, InstanceKind(row.type, row.zone, row.spot), now
                    )
                    machine.rented_at = now - age
