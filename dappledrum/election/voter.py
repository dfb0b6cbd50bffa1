"""Votes of one controller: lease grants to leaders, and answers to pre-votes of candidates.

A leader that does not reach the store requests lease grants: its peers undertake not to campaign,
and it goes on answering workers while a majority (itself included) or all of them grant. A
candidate asks its peers in a pre-vote whether they are free of lease grants; until a majority says
so, it does not assume that a silent leader has stopped. Any two majorities share a controller, and
that one can't serve both: while its lease grant is valid it is not free, and once it has answered
a pre-vote that it is free, it gives no strong grant to lower epochs.

This module does no I/O and reads no clock; the model in `model/election.py` runs the same code.
"""

from datetime import timedelta

from dappledrum.election.messages import LeaseGrantReply, LeaseGrantRequest, PreVoteReply
from dappledrum.timing.clock import longest_local_span

LEASE_GRANT_DURATION = timedelta(seconds=2)
MAX_LEASE_GRANT_DURATION = timedelta(seconds=60)


class Voter:
    """The lease grants and pre-votes of one process, lost when it exits.

    Moments are in the controller's steady time.
    """

    def __init__(self, now: timedelta) -> None:
        #: Until then lease grants are weak: a previous process of this controller may have
        #: answered a pre-vote that this one does not know of.
        self.weak_grants_until = now + longest_local_span(LEASE_GRANT_DURATION)
        #: Until then this process does not campaign, since a previous one may have granted a
        #: lease. Set to an earlier moment once no leader can rely on such a grant.
        self.restart_wait_until = self.weak_grants_until
        self.own_grants_until = now  # when the last lease grant of this process ends
        #: The stored epoch when this process last campaigned; None: it has not campaigned.
        self.campaigned_against_epoch: int | None = None
        self.min_grant_epoch = 0  # leaders of lower epochs get no strong lease grant

    def campaign_allowed_at(self) -> timedelta:
        """The moment from which on no lease grant keeps this controller from campaigning."""
        return max(self.own_grants_until, self.restart_wait_until)

    def grant_lease(
        self, request: LeaseGrantRequest, now: timedelta, leads: bool, epoch: int
    ) -> LeaseGrantReply:
        """Answer a leader that does not reach the store; this controller does not reach it either.

        `epoch` is the highest that this controller knows. The grant is refused if this controller
        leads, knows a newer leader, or has campaigned against this epoch or a higher one (its
        transaction may still be executed). It is weak if this controller has answered a pre-vote
        of a higher epoch that it is free of lease grants, or may have done so in a previous
        process.
        """
        if leads:
            return LeaseGrantReply(False, "leading")
        if (
            self.campaigned_against_epoch is not None
            and self.campaigned_against_epoch >= request.epoch
        ):
            return LeaseGrantReply(False, "stood already")
        if epoch > request.epoch:
            return LeaseGrantReply(False, "newer leader known")
        duration = min(timedelta(milliseconds=request.grant_ms), MAX_LEASE_GRANT_DURATION)
        self.own_grants_until = max(self.own_grants_until, now + longest_local_span(duration))
        weak = self.min_grant_epoch > request.epoch or now < self.weak_grants_until
        return LeaseGrantReply(True, "", weak)

    def pre_vote(self, epoch: int, now: timedelta, leads: bool) -> PreVoteReply:
        """Answer the pre-vote of a candidate for this epoch.

        The controller is free only if no leader can rely on a lease grant of it. Once it has
        answered so, it gives no strong grant to a lower epoch.
        """
        if leads or now < self.campaign_allowed_at():
            return PreVoteReply(False)
        self.min_grant_epoch = max(self.min_grant_epoch, epoch)
        return PreVoteReply(True)
