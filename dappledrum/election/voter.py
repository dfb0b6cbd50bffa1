"""What one controller has granted to leaders, and what it has answered to candidates.

There are two kinds of voting. A leader that does not reach the store requests lease grants: its
peers undertake not to campaign, and it goes on answering workers while a majority (itself
included) or all of them grant. A candidate asks its peers in a pre-vote whether they are free of
lease grants; until a majority says so, it does not take a leader's silence as proof that it has
stopped. Any two majorities share a controller, which the one vote leaves with a valid lease grant
or the other with the lowest epoch that may still get one.

This module does no I/O and reads no clock; the model in `model/election.py` runs this very code.
"""

from datetime import timedelta

from dappledrum.election.messages import LeaseGrantReply, LeaseGrantRequest, PreVoteReply
from dappledrum.timing.clock import longest_local_span

LEASE_GRANT_DURATION = timedelta(seconds=2)
MAX_LEASE_GRANT_DURATION = timedelta(seconds=60)


class Voter:
    """The lease grants and pre-votes of one process; they are lost with it.

    Moments are those of the controller's steady clock.
    """

    def __init__(self, now: timedelta) -> None:
        #: A former process of this member may have answered a pre-vote that this one is not aware
        #: of, so until then its lease grants are weak.
        self.weak_grants_until = now + longest_local_span(LEASE_GRANT_DURATION)
        #: A former process may have granted a lease, so this one does not campaign until then.
        #: Shortened when no leader can rely on such a grant any more.
        self.restart_wait_until = self.weak_grants_until
        self.own_grants_until = now  # the end of the lease grants of this process
        self.campaigned_against_epoch: int | None = None
        self.min_grant_epoch = 0  # leaders of lower epochs get no strong lease grant

    def campaign_allowed_at(self) -> timedelta:
        """The moment from which no lease grant keeps this controller from campaigning."""
        return max(self.own_grants_until, self.restart_wait_until)

    def grant_lease(
        self, request: LeaseGrantRequest, now: timedelta, leads: bool, epoch: int
    ) -> LeaseGrantReply:
        """Answer a leader that does not reach the store, which this controller does not reach
        either.

        `epoch` is the highest that this controller is aware of. The grant is refused if this
        controller leads itself, or has campaigned against this epoch (its transaction may still be
        executed). It is weak if the controller has answered a pre-vote of a higher epoch that it
        was free, or may have done so in a former process.
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

        The answer is free only if no leader can rely on a lease grant of this controller. From
        then on it gives no strong grant to a lower epoch.
        """
        if leads or now < self.campaign_allowed_at():
            return PreVoteReply(False)
        self.min_grant_epoch = max(self.min_grant_epoch, epoch)
        return PreVoteReply(True)
