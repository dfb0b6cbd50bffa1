"""The record of booting machines, for the next leader."""

from types import SimpleNamespace

from dappledrum.fleet.fleet_facts import FleetFacts
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.store.value_size import encoded_size
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry


async def test_machines_with_long_names_leave_the_newest_in_the_record():
    """Guards against a record that is too large for the store, and never written, so that the next
    leader rents all booting machines again."""
    clock, registry = Clock(), MachineRegistry()
    advisory_record = SimpleNamespace(max_bytes=2048, last_written=None)
    for number in range(30):
        kind = InstanceKind("small", f"zone-{number}", True)
        registry.ensure(f"host-{number:0100d}", kind, clock.now()).unconfirmed = False
    record = FleetFacts(advisory_record, registry, clock)._record()
    assert encoded_size(record) <= 2048
    assert record.booting[-1].names == [f"host-{29:0100d}"]
    assert len(record.booting) > 10
