"""Keeps a term valid: renews its lease, or requests lease grants of peers during a store outage.

In both cases a leader answers workers only for a limited time after it had read every cancellation
that any controller had confirmed to a user (`Term.cancellations_known_at`): an answer renews a
worker's lease, and cancelled tasks must have ended in time.
"""

import asyncio
import logging
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

from dappledrum.election.context import ElectionContext
from dappledrum.election.peer_lease_grants import LEASE_SAFETY_MARGIN, PeerLeaseGrants
from dappledrum.election.terms import Term
from dappledrum.store.errors import LeaseLostError, StoreError
from dappledrum.timing.clock import shortest_local_span

log = logging.getLogger(__name__)


class LeaseKeeper:
    """Renews the lease of a term until the term ends."""

    def __init__(self, context: ElectionContext) -> None:
        self.store = context.store
        self.clock = context.clock
        self.rng = context.rng
        self.limits = context.limits
        self.grants = PeerLeaseGrants(context)

    def is_valid(self, term: Term) -> bool:
        """Whether workers' leases may at least be renewed under this term at this moment."""
        return self.grants.is_valid(term)

    async def renew(self, term: Term) -> None:
        """Renew the lease of a term in the store once.

        The lease is counted from the moment the request was sent, and shortened by the clock drift
        that the protocol allows.

        Raises:
            LeaseLostError: the lease has expired.
            StoreError: the store has not answered.
        """
        sent = self.clock.now()
        await self.store.renew_lease(term.lease, self.limits.ttl / 3)
        valid_until = sent + shortest_local_span(self.limits.ttl) - LEASE_SAFETY_MARGIN
        term.lease_valid_until = max(term.lease_valid_until, valid_until)
        term.renewed_at = max(term.renewed_at, sent)
        self.grants.incomplete_confirmations.recovered()

    async def keep(self, term: Term) -> None:
        """Renew until the term ends or is no longer valid.

        While the store does not answer, request lease grants of all peers instead.
        """
        while not term.ended.is_set():
            try:
                if not await self._run_unless_ended(term, self.renew(term)):
                    return
                pause = self.limits.ttl / 4
            except LeaseLostError:
                return
            except StoreError as error:
                log.debug("lease renewal failed: %s", error)
                await self.grants.request(term)
                pause = self.limits.ttl / 12
            if not self.is_valid(term):
                self._log_unknown_cancellations(term)
                return
            await self._wait_for_end(term, pause * self.rng.uniform(0.9, 1.1))

    @staticmethod
    async def _wait_for_end(term: Term, timeout: timedelta) -> None:
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await term.ended.wait()
        except TimeoutError:
            pass

    def _log_unknown_cancellations(self, term: Term) -> None:
        now = self.clock.now()
        if now >= term.answers_allowed_until(self.limits.max_cancellations_age):
            log.warning(
                "answering no workers: confirmed cancellations of the last %.0f s are not known",
                (now - (term.cancellations_known_at or term.started_at)).total_seconds(),
            )

    @staticmethod
    async def _run_unless_ended(term: Term, coroutine: Coroutine[Any, Any, None]) -> bool:
        """Run a coroutine unless the term ends first; returns whether it has finished.

        Without this, a renewal that hangs would delay a transfer of leadership until the lease has
        expired.
        """
        task = asyncio.ensure_future(coroutine)
        ended = asyncio.ensure_future(term.ended.wait())
        try:
            await asyncio.wait((task, ended), return_when=asyncio.FIRST_COMPLETED)
            if ended.done():
                return False
            await task
            return True
        finally:
            ended.cancel()
            task.cancel()
