"""Whether former leaders have stopped answering workers, by pre-votes of the peers."""

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
#: Pause between two rounds of pre-votes of a leader that has not got a majority yet.
PRE_VOTE_RETRY_INTERVAL = timedelta(milliseconds=500)


class FormerLeaderCheck:
    """Finds out from when no former leader can go on by lease grants."""

    def __init__(self, context: ElectionContext, voter: Voter) -> None:
        self.context = context
        self.clock = context.clock
        self.voter = voter

    async def ask_peers(self, epoch: int) -> timedelta | None:
        """The moment from which no leader of an epoch below this one can go on by lease grants, as
        confirmed by a majority; None when there is no majority.

        A peer that does not support pre-votes shows that only grants of *all* peers count, and
        this controller has given none that is still valid.
        """
        if not self.voter.pre_vote(epoch, self.clock.now(), False).free:
            return None
        question = PreVote(self.context.member, epoch)
        answers = await self.context.peers.pre_vote(question, PRE_VOTE_TIMEOUT)
        if answers.unsupported or majority(answers.agreed, answers.asked):
            return self.clock.now()
        return None

    async def run(self, term: Term) -> None:
        """Ask repeatedly until it is known for this term, or until every lease grant must have
        expired anyway."""
        max_grants = self.context.limits.max_time_on_majority_grants + LEASE_GRANT_DURATION
        expired_at = term.started_at + longest_local_span(max_grants)
        while term.others_stopped_at is None:
            if self.clock.now() >= expired_at:
                term.others_stopped_at = expired_at
                return
            await asyncio.sleep(PRE_VOTE_RETRY_INTERVAL.total_seconds())
            term.others_stopped_at = await self.ask_peers(term.epoch)
            if term.others_stopped_at is not None:
                log.info("former leaders have stopped answering, as confirmed by a majority")
