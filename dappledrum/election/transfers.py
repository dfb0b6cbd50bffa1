"""Transfers of leadership to a named successor, and the limit on how often it moves."""

import asyncio
import logging
from collections.abc import Iterable
from datetime import timedelta

from dappledrum.election.context import ElectionContext
from dappledrum.election.messages import TransferLeadership
from dappledrum.election.terms import Term
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

#: How long a former leader waits until its successor leads, before it closes its own lease.
TRANSFER_TIMEOUT = timedelta(seconds=1.5)
#: Leadership is not transferred in the first moments of a term, and no more than `MAX_TRANSFERS`
#: times in `TRANSFER_WINDOW`, whatever the links do.
MIN_TERM_AGE = timedelta(seconds=10)
MAX_TRANSFERS = 3
TRANSFER_WINDOW = timedelta(seconds=60)


class TransferLimit:
    """When leadership was given up or transferred, as far as this controller is aware."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._moments: list[timedelta] = []

    def record(self) -> None:
        """Record that leadership is given up now."""
        self._moments.append(self.clock.now())

    def allows(self, started_at: timedelta) -> bool:
        """Whether a term that started then may be transferred now."""
        now = self.clock.now()
        self._moments = [at for at in self._moments if now - at < TRANSFER_WINDOW]
        return now - started_at >= MIN_TERM_AGE and len(self._moments) < MAX_TRANSFERS

    def ages_ms(self) -> list[int]:
        """Milliseconds since each of the transfers, for the successor."""
        now = self.clock.now()
        return [int((now - at).total_seconds() * 1e3) for at in self._moments]

    def adopt(self, ages_ms: Iterable[int]) -> None:
        """Count the transfers that the former leader has reported, in place of our own."""
        now = self.clock.now()
        self._moments = [now - timedelta(milliseconds=age) for age in ages_ms]


class PendingTransfer:
    """A transfer from a leader that has stopped, until its outcome is known."""

    def __init__(self, request: TransferLeadership) -> None:
        self.request = request
        self.leads: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, leads: bool) -> None:
        """Report to the former leader whether this controller leads now."""
        if not self.leads.done():
            self.leads.set_result(leads)


class TransferInbox:
    """The one transfer to this controller that may be pending."""

    def __init__(self) -> None:
        self.pending: PendingTransfer | None = None
        self.arrived = asyncio.Event()

    async def accept(self, request: TransferLeadership) -> bool:
        """Wait until this controller leads by this transfer; returns whether it does."""
        if self.pending is not None:
            return False
        transfer = self.pending = PendingTransfer(request)
        self.arrived.set()
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT.total_seconds()):
                return await transfer.leads
        except TimeoutError:
            return False
        finally:
            if self.pending is transfer:
                self.pending = None
                self.arrived.clear()


async def offer_leadership(
    context: ElectionContext, limit: TransferLimit, term: Term, successor: str
) -> None:
    """Offer the key of a term that has ended to a successor, until it leads or refuses."""
    request = TransferLeadership(
        context.member,
        term.epoch,
        term.version,
        [*limit.ages_ms(), 0],
        term.others_stopped_at is not None,
    )
    leads = await context.peers.transfer_leadership(successor, request, TRANSFER_TIMEOUT)
    outcome = "succeeded" if leads else "failed, the lease is closed for an election"
    log.info("leadership transfer to %s %s", successor, outcome)
