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

#: How long a former leader waits for its successor to lead before it closes its own lease.
TRANSFER_TIMEOUT = timedelta(seconds=1.5)
#: Leadership is transferred at most `MAX_TRANSFERS` times in `TRANSFER_WINDOW`, and not before a
#: term has this age, even if links keep failing.
MIN_TERM_AGE = timedelta(seconds=10)
MAX_TRANSFERS = 3
TRANSFER_WINDOW = timedelta(seconds=60)


class TransferLimit:
    """Limits how often leadership moves, by the transfers and resignations that this controller
    knows of."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._transferred_at: list[timedelta] = []

    def record(self) -> None:
        """Record that leadership is given up now."""
        self._transferred_at.append(self.clock.now())

    def allows(self, started_at: timedelta) -> bool:
        """Whether a term that started at `started_at` may be transferred now."""
        now = self.clock.now()
        self._transferred_at = [at for at in self._transferred_at if now - at < TRANSFER_WINDOW]
        return now - started_at >= MIN_TERM_AGE and len(self._transferred_at) < MAX_TRANSFERS

    def ages_ms(self) -> list[int]:
        """Milliseconds since each recent transfer, to be sent to the successor."""
        now = self.clock.now()
        return [int((now - at).total_seconds() * 1e3) for at in self._transferred_at]

    def adopt(self, ages_ms: Iterable[int]) -> None:
        """Replace the known transfers by those that the former leader has reported."""
        now = self.clock.now()
        self._transferred_at = [now - timedelta(milliseconds=age) for age in ages_ms]


class PendingTransfer:
    """A transfer to this controller from a leader that has stopped, with its future outcome."""

    def __init__(self, request: TransferLeadership) -> None:
        self.request = request
        self.leads: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, leads: bool) -> None:
        """Set whether this controller leads now, which answers the former leader."""
        if not self.leads.done():
            self.leads.set_result(leads)


class TransferInbox:
    """Holds the transfer to this controller that is pending; there is at most one."""

    def __init__(self) -> None:
        self.pending: PendingTransfer | None = None
        self.arrived = asyncio.Event()

    async def accept(self, request: TransferLeadership) -> bool:
        """Wait until this controller leads by this transfer; returns whether it does.

        Returns False at once if another transfer is pending, or after `TRANSFER_TIMEOUT`.
        """
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
    """Offer leadership after an ended term to a successor; wait until it leads or refuses."""
    request = TransferLeadership(
        context.member,
        term.last_token,
        term.version,
        [*limit.ages_ms(), 0],
        term.others_stopped_at is not None,
    )
    leads = await context.peers.transfer_leadership(successor, request, TRANSFER_TIMEOUT)
    outcome = "succeeded" if leads else "failed, closing the lease so that a campaign can start"
    log.info("leadership transfer to %s %s", successor, outcome)
