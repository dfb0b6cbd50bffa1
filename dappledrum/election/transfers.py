"""Transfers of leadership to a named successor, and the bound on how often it moves."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from dappledrum.election.messages import TransferLeadership
from dappledrum.timing.clock import Clock

#: Leadership is not transferred in the first moments of a term, and at the most `MAX_TRANSFERS`
#: times in `TRANSFER_WINDOW`, whatever the links do.
MIN_TERM_AGE = timedelta(seconds=10)
MAX_TRANSFERS = 3
TRANSFER_WINDOW = timedelta(seconds=60)


class TransferLimit:
    """When leadership was given up or transferred, as far as this controller knows."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._moments: list[timedelta] = []

    def note(self) -> None:
        """Leadership is given up now."""
        self._moments.append(self.clock.now())

    def allow(self, began: timedelta) -> bool:
        """Whether a term that began then may be transferred now."""
        now = self.clock.now()
        self._moments = [at for at in self._moments if now - at < TRANSFER_WINDOW]
        return now - began >= MIN_TERM_AGE and len(self._moments) < MAX_TRANSFERS

    def ages_ms(self) -> list[int]:
        """Milliseconds since each of the transfers, for the successor."""
        now = self.clock.now()
        return [int((now - at).total_seconds() * 1e3) for at in self._moments]

    def take_over(self, ages_ms: Iterable[int]) -> None:
        """Count the transfers that the former leader has told of."""
        now = self.clock.now()
        self._moments = [now - timedelta(milliseconds=age) for age in ages_ms]


class PendingTransfer:
    """A transfer from a leader that has stopped, until its outcome is known."""

    def __init__(self, request: TransferLeadership) -> None:
        self.request = request
        self.leads: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    def resolve(self, leads: bool) -> None:
        """Tell the former leader whether this controller leads now."""
        if not self.leads.done():
            self.leads.set_result(leads)
