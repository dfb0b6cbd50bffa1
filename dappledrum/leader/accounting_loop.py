"""Books the cost of machines, and logs the costs and served jobs of a term once a minute."""

import asyncio
import logging

from dappledrum.accounting.ledger import BOOKING_INTERVAL
from dappledrum.dispatch.dispatcher import Dispatcher
from dappledrum.leader.context import TermState

log = logging.getLogger(__name__)


class AccountingLoop:
    """Keeps the ledger of one term up to date."""

    def __init__(self, state: TermState, dispatcher: Dispatcher) -> None:
        self.state = state
        self.ledger = state.ledger
        self.dispatcher = dispatcher

    async def run(self) -> None:
        """Book until cancelled at the end of the term, then log what has not been logged yet."""
        try:
            while True:
                await asyncio.sleep(BOOKING_INTERVAL.total_seconds())
                self.ledger.book_elapsed(
                    self.dispatcher.autoscaler.types,
                    self.dispatcher.work.demands(),
                    self.dispatcher.machines.available(),
                )
                self._log_totals()
        finally:
            self._log_totals(at_once=True)

    def _log_totals(self, at_once: bool = False) -> None:
        if self.ledger.log_totals(at_once):
            log.info(
                "served in this term: %s", self.state.served.summary(self.state.jobs.values())
            )
