"""Keeping a term: by renewing its lease, and by promises of peers while the store is away.

However a term is held, it answers workers only up to a bound from the last moment at which the
leader knew of every cancellation that any controller had confirmed to a user
(`Term.cancellations_known_at`): an answer renews a worker's lease, and what runs there must have
ended in time.
"""

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.quorum import Asker, majority
from dappledrum.election.terms import Term
from dappledrum.election.voter import LEASE_GRANT_DURATION
from dappledrum.jobs.confirmed_cancellations import CancellationWindow
from dappledrum.store.client import LeaseLostError, StoreClient, StoreError
from dappledrum.timing.clock import ZERO, Clock, shorter
from dappledrum.timing.fault_log import FaultLog

log = logging.getLogger(__name__)

#: A leader stops this long before its lease, or a promise, can end.
LEASE_SAFETY_MARGIN = timedelta(milliseconds=100)
#: An answer of a peer covers this much more than the time since all was known: what it takes.
CONFIRMED_WINDOW_MARGIN = timedelta(seconds=2)


class LeaseKeeper:
    """Renews the lease of a term, asks peers for promises, and tells how long the term lasts."""

    def __init__(
        self,
        member: str,
        store: StoreClient,
        clock: Clock,
        rng: random.Random,
        life: timedelta,
        ask_peers: Asker,
        max_time_on_majority_grants: timedelta,
        max_cancellations_age: timedelta,
    ) -> None:
        self.member = member
        self.store = store
        self.clock = clock
        self.rng = rng
        self.lease_ttl = life
        self.ask_peers = ask_peers
        #: How long a leader goes on, from its newest renewal, when a majority promises but not
        #: all: somebody may be served meanwhile, and tell a user that a job is cancelled.
        self.max_time_on_majority_grants = max_time_on_majority_grants
        #: How long after it has known of all cancellations a leader may answer workers.
        self.max_cancellations_age = max_cancellations_age
        #: The cancellations that this process has confirmed to users itself, in a span until now.
        self.confirmed: Callable[[timedelta], CancellationWindow] = lambda span: (
            CancellationWindow(frozenset(), ZERO)
        )
        #: Takes on what all controllers have confirmed; whether it could.
        self.on_confirmed: Callable[[frozenset[str]], bool] = lambda cancelled: False
        #: Whether all peers are known to ask before they stand; else all have to promise.
        self.all_ask: Callable[[], bool] = lambda: False
        self.incomplete_confirmations = FaultLog(
            log, clock, "not every controller tells what users were told is cancelled"
        )

    def holds(self, term: Term) -> bool:
        """Whether workers' leases may at least be renewed under this term at this moment."""
        if term.ended.is_set():
            return False
        until = min(
            max(term.lease_valid_until, term.grants_valid_until), self.answers_allowed_until(term)
        )
        return self.clock.now() < until

    def answers_allowed_until(self, term: Term) -> timedelta:
        """Until when workers may be answered, for what is known of cancellations. One that has not
        read them by then answers nobody, and lets another try."""
        known = (
            term.started_at if term.cancellations_known_at is None else term.cancellations_known_at
        )
        return known + shorter(self.max_cancellations_age)

    async def renew(self, term: Term) -> None:
        sent = self.clock.now()
        await self.store.renew_lease(term.lease, self.lease_ttl / 3)
        term.lease_valid_until = max(
            term.lease_valid_until, sent + shorter(self.lease_ttl) - LEASE_SAFETY_MARGIN
        )
        term.renewed_at = max(term.renewed_at, sent)
        self.incomplete_confirmations.over()

    async def keep(self, term: Term) -> None:
        """Renew until the lease is lost.

        While the store is away, ask all peers to keep still.
        """
        while not term.ended.is_set():
            try:
                if not await self._unless_over(term, self.renew(term)):
                    return
                pause = self.lease_ttl / 4
            except LeaseLostError:
                return
            except StoreError as error:
                log.debug("renewal failed: %s", error)
                await self.request_lease_grants(term)
                pause = self.lease_ttl / 12
            if not self.holds(term):
                self._log_why(term)
                return
            with_jitter = pause * self.rng.uniform(0.9, 1.1)
            try:
                async with asyncio.timeout(with_jitter.total_seconds()):
                    await term.ended.wait()
            except TimeoutError:
                pass

    def _log_why(self, term: Term) -> None:
        now = self.clock.now()
        if now >= self.answers_allowed_until(term):
            log.warning(
                "answering no worker any more: not known what users were told is cancelled in the"
                " last %.0f s",
                (now - (term.cancellations_known_at or term.started_at)).total_seconds(),
            )

    @staticmethod
    async def _unless_over(term: Term, doing: Coroutine[Any, Any, None]) -> bool:
        """Finish this, unless the term ends first: a renewal that hangs once kept a leader that
        was handing over waiting until its lease was over all the same."""
        task = asyncio.ensure_future(doing)
        over = asyncio.ensure_future(term.ended.wait())
        try:
            await asyncio.wait((task, over), return_when=asyncio.FIRST_COMPLETED)
            if over.done():
                return False
            await task
            return True
        finally:
            over.cancel()
            task.cancel()

    async def request_lease_grants(self, term: Term) -> None:
        sent = self.clock.now()
        back = (
            ZERO
            if term.cancellations_known_at is None
            else sent - term.cancellations_known_at + CONFIRMED_WINDOW_MARGIN
        )
        request = LeaseGrantRequest(
            self.member,
            term.epoch,
            int(LEASE_GRANT_DURATION.total_seconds() * 1000),
            int(back.total_seconds() * 1000),
        )
        answers = await self.ask_peers(request, self.lease_ttl / 4)
        # Still entitled when asking and when told: a lapsed term is never taken up again on a
        # promise.
        if not self.holds(term):
            return
        if self._apply_confirmed(term, sent, answers.confirmed):
            self.incomplete_confirmations.over()
        elif majority(answers.yes, answers.asked):
            self.incomplete_confirmations.seen(
                f"complete for {answers.confirmed.span.total_seconds():.0f} s"
            )
        until = sent + shorter(LEASE_GRANT_DURATION) - LEASE_SAFETY_MARGIN
        if answers.yes == answers.asked:
            term.grants_valid_until = until
        elif majority(answers.strong, answers.asked) and self.all_ask():
            until = min(until, term.renewed_at + shorter(self.max_time_on_majority_grants))
            term.grants_valid_until = max(term.grants_valid_until, until)

    def _apply_confirmed(self, term: Term, asked: timedelta, by_peers: CancellationWindow) -> bool:
        """Take on what all controllers have told users, if that is complete since all was known
        the last time. Only then: one that is silent, began since, or is of an older version may
        have told anything."""
        now = self.clock.now()
        if term.cancellations_known_at is None:
            return False
        own = self.confirmed(now - term.cancellations_known_at + CONFIRMED_WINDOW_MARGIN)
        whole = own.covers(term.cancellations_known_at, now) and by_peers.covers(
            term.cancellations_known_at, now
        )
        if not (whole and self.on_confirmed(own.cancelled | by_peers.cancelled)):
            return False
        term.record_cancellations_known(asked)
        return True
