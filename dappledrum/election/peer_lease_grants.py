"""Lease grants of peers, by which a leader keeps its term valid while the store does not answer.

With their grants the peers report which cancellations they have confirmed to users. If their
reports are complete, the leader knows all cancellations without the store.
"""

import logging
from datetime import timedelta

from dappledrum.election.confirmed_cancellations import CancellationWindow
from dappledrum.election.context import ElectionContext
from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.quorum import PeerAnswers, majority
from dappledrum.election.terms import Term
from dappledrum.election.voter import LEASE_GRANT_DURATION
from dappledrum.timing.clock import ZERO, shortest_local_span
from dappledrum.timing.fault_log import FaultLog

log = logging.getLogger(__name__)

#: A leader stops this long before its lease, or a lease grant, can end.
LEASE_SAFETY_MARGIN = timedelta(milliseconds=100)
#: Added to the time for which peers are asked for confirmed cancellations, which begins when all
#: were last known; it covers the time that the answers take.
CONFIRMED_WINDOW_MARGIN = timedelta(seconds=2)


class PeerLeaseGrants:
    """Requests lease grants for the terms of this controller."""

    def __init__(self, context: ElectionContext) -> None:
        self.context = context
        self.clock = context.clock
        self.limits = context.limits
        self.incomplete_confirmations = FaultLog(
            log, context.clock, "not every controller reports its confirmed cancellations"
        )

    def is_valid(self, term: Term) -> bool:
        """Whether workers' leases may at least be renewed under this term at this moment."""
        if term.ended.is_set():
            return False
        valid_until = min(
            max(term.lease_valid_until, term.grants_valid_until),
            term.answers_allowed_until(self.limits.max_cancellations_age),
        )
        return self.clock.now() < valid_until

    async def request(self, term: Term) -> None:
        """Ask all peers for lease grants, and extend the term by those that they give."""
        sent = self.clock.now()
        answers = await self.context.peers.request_lease_grants(
            self._request(term, sent), self.limits.ttl / 4
        )
        # Checked again after the answers: a lapsed term is never resumed by a lease grant.
        if not self.is_valid(term):
            return
        if self._apply_confirmed(term, sent, answers.confirmed):
            self.incomplete_confirmations.recovered()
        elif majority(answers.agreed, answers.asked):
            self.incomplete_confirmations.failed(
                f"complete for the last {answers.confirmed.span.total_seconds():.0f} s"
            )
        self._extend(term, sent, answers)

    def _request(self, term: Term, now: timedelta) -> LeaseGrantRequest:
        known_at = term.cancellations_known_at
        span = ZERO if known_at is None else now - known_at + CONFIRMED_WINDOW_MARGIN
        return LeaseGrantRequest(
            self.context.member,
            term.epoch,
            int(LEASE_GRANT_DURATION.total_seconds() * 1000),
            int(span.total_seconds() * 1000),
        )

    def _extend(self, term: Term, sent: timedelta, answers: PeerAnswers) -> None:
        """Extend the term by grants of all peers, or for a limited time by those of a majority."""
        until = sent + shortest_local_span(LEASE_GRANT_DURATION) - LEASE_SAFETY_MARGIN
        if answers.agreed == answers.asked:
            term.grants_valid_until = until
        elif majority(answers.strong, answers.asked) and self.context.host.all_peers_pre_vote():
            limit = term.renewed_at + shortest_local_span(self.limits.max_time_on_majority_grants)
            term.grants_valid_until = max(term.grants_valid_until, min(until, limit))

    def _apply_confirmed(self, term: Term, asked: timedelta, by_peers: CancellationWindow) -> bool:
        """Apply the cancellations that all controllers have confirmed to users, if the answers are
        complete since the moment until which all are known; returns whether they were applied.

        A peer that does not answer, has restarted since then or is of an older version may have
        confirmed any cancellation.
        """
        now = self.clock.now()
        known_at = term.cancellations_known_at
        if known_at is None:
            return False
        own = self.context.confirmed.within(now - known_at + CONFIRMED_WINDOW_MARGIN, now)
        complete = own.covers(known_at, now) and by_peers.covers(known_at, now)
        cancelled = own.cancelled | by_peers.cancelled
        if not (complete and self.context.host.apply_confirmed_cancellations(cancelled)):
            return False
        term.record_cancellations_known(asked)
        return True
