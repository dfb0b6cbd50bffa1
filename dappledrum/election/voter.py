"""What one controller has promised to leaders, and what it has answered to candidates.

There are two kinds of voting. A leader that does not reach the store asks its peers to
promise not to stand for leader, and goes on answering workers while a majority (itself included)
or all of them do. A candidate asks its peers in a pre-vote whether they hold to a promise; until a
majority says that they do not, it takes no leader's silence as proof. Any two majorities share a
controller, so one round of voting meets what the other has left there: a promise that is still
valid, or the lowest epoch that may still get promises.

This module does no I/O and reads no clock; the model in `model/election.py` runs this very code.
"""

from datetime import timedelta

from dappledrum.election.messages import LeaseGrantReply, LeaseGrantRequest, PreVoteReply
from dappledrum.timing.clock import longer

LEASE_GRANT_DURATION = timedelta(seconds=2)
MAX_LEASE_GRANT_DURATION = timedelta(seconds=60)


class Voter:
    """The promises and pre-votes of one process; they are lost with it."""

    def __init__(self, now: timedelta) -> None:
        #: A process of this member before it may have promised something that this one does not
        #: know of, or may have told a candidate that it was free.
        self.weak_grants_until = now + longer(LEASE_GRANT_DURATION)
        #: The same for standing: shortened when nobody can rely on such a promise any more.
        self.restart_wait_until = self.weak_grants_until
        self.own_grants_until = now  # what this process has promised
        self.campaigned_against_epoch: int | None = None  # the epoch against which it has stood
        self.min_grant_epoch = 0  # no promise to a leader of a lower epoch than this

    def campaign_allowed_at(self) -> timedelta:
        """The moment from which no promise prevents this controller from standing for leader."""
        return max(self.own_grants_until, self.restart_wait_until)

    def grant_lease(
        self, request: LeaseGrantRequest, now: timedelta, leads: bool, epoch: int
    ) -> LeaseGrantReply:
        """Answer a leader that does not reach the store, which this controller does not
        reach either.

        `epoch` is the highest that this controller knows of. The promise is refused if this
        controller leads itself, or has stood for leader against this epoch (its transaction may
        still be executed). It is weak if the controller has told a candidate that it was free, or
        may have done so in a former process.
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
        until = now + longer(
            min(timedelta(milliseconds=request.grant_ms), MAX_LEASE_GRANT_DURATION)
        )
        self.own_grants_until = max(self.own_grants_until, until)
        return LeaseGrantReply(
            True, "", self.min_grant_epoch > request.epoch or now < self.weak_grants_until
        )

    def pre_vote(self, epoch: int, now: timedelta, holds: bool) -> PreVoteReply:
        """Answer the pre-vote of a candidate for this epoch: free only if no leader can rely on a
        promise of this controller, which will promise nothing to a lower epoch from now on."""
        if holds or now < self.campaign_allowed_at():
            return PreVoteReply(False)
        self.min_grant_epoch = max(self.min_grant_epoch, epoch)
        return PreVoteReply(True)
