"""Finds out by pre-votes of the peers whether former leaders have stopped answering workers."""

import asyncio
import logging
from datetime import timedelta

from dappledrum.election.context import ElectionContext
from dappledrum.election.messages import PreVote
from dappledrum.election.quorum import majority
from dappledrum.election.terms import Term
from dappledrum.election.voter import LEASE_GRANT_DURATION, Voter
from dappledrum.timing.clock import longest_local_span

log = logging.getLogger(__name__)

#: How long a candidate waits for the pre-votes of a majority.
PRE_VOTE_TIMEOUT = timedelta(milliseconds=400)
#: Pause between two rounds of pre-votes while a leader has no majority of them.
PRE_VOTE_RETRY_INTERVAL = timedelta(milliseconds=500)


class FormerLeaderCheck:
    """Finds out from which moment on no former leader can go on by lease grants."""

    def __init__(self, context: ElectionContext, voter: Voter) -> None:
        self.context = context
        self.clock = context.clock
        self.voter = voter

    async def ask_peers(self, epoch: int) -> timedelta | None:
        """Return the moment from which no leader of a lower epoch can go on by lease grants, as
        confirmed by a majority; None if there is no majority.

        If a peer does not support pre-votes, a leader needs the lease grants of *all* peers, and
        no grant of this controller is still valid; so the answer of that peer is enough.
        """
        if not self.voter.pre_vote(epoch, self.clock.now(), False).free:
            return None
        request = PreVote(self.context.member, epoch)
        answers = await self.context.peers.pre_vote(request, PRE_VOTE_TIMEOUT)
        if answers.unsupported or majority(answers.agreed, answers.asked):
            return self.clock.now()
        return None

    async def run(self, term: Term) -> None:
        """Ask until `term.others_stopped_at` is known, at the latest when every lease grant must
        have expired anyway."""
        max_grants = self.context.limits.max_time_on_majority_grants + LEASE_GRANT_DURATION
        expired_at = term.started_at + longest_local_span(max_grants)
        while term.others_stopped_at is None:
            if self.clock.now() >= expired_at:
                term.others_stopped_at = expired_at
                return
            await asyncio.sleep(PRE_VOTE_RETRY_INTERVAL.total_seconds())
            term.others_stopped_at = await self.ask_peers(term.epoch)
            if term.others_stopped_at is not None:
                log.info("a majority confirms that former leaders have stopped answering workers")
