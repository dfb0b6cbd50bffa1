"""The advisory records that a leader leaves to its successor: booting machines and learned
estimates."""

from collections.abc import Mapping
from datetime import timedelta

from dappledrum.fleet.boot_times import BootTimes
from dappledrum.fleet.fleet_facts import FLEET, FleetFacts
from dappledrum.fleet.messages import FleetRecord
from dappledrum.leader.context import TermContext, TermState
from dappledrum.learning.learned_estimates import LearnedEstimates
from dappledrum.learning.messages import LearnedRecord
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.store.rate_limiter import RequestPriority

#: Key of the record of learned estimates.
LEARNED = "learned"


class AdvisoryRecords:
    """Reads the predecessor's advisory records, and keeps those of this term up to date."""

    def __init__(self, context: TermContext, state: TermState, boot_times: BootTimes) -> None:
        store, guard, clock = context.store, context.term.guard(), context.clock
        max_bytes = context.params.state.value_bytes
        self.fleet = FleetFacts(
            AdvisoryRecord(store, guard, FLEET, FleetRecord, max_bytes, RequestPriority.RECORD),
            state.registry,
            clock,
        )
        self.estimates = LearnedEstimates(
            AdvisoryRecord(store, guard, LEARNED, LearnedRecord, max_bytes, RequestPriority.POLL),
            state.estimates,
            boot_times,
            clock,
        )

    async def load_previous(self, catalog_boot_times: Mapping[str, timedelta]) -> None:
        """Read the predecessor's records; `catalog_boot_times` is by name of the machine type."""
        await self.fleet.load_previous()
        await self.estimates.load_previous(catalog_boot_times)
