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

LEASE_GRANT = timedelta(seconds=2)
MAX_LEASE_GRANT = timedelta(seconds=60)


class Voter:
    """The promises and pre-votes of one process; they are lost with it."""

    def __init__(self, now: timedelta) -> None:
        #: A process of this member before it may have promised something that this one does not
        #: know of, or may have told a candidate that it was free.
        self.unremembered_until = now + longer(LEASE_GRANT)
        #: The same for standing: shortened when nobody can rely on such a promise any more.
        self.unknown_until = self.unremembered_until
        self.no_candidacy_until = now  # what this process has promised
        self.tried: int | None = None  # the epoch against which it has stood
        self.least_epoch = 0  # no promise to a leader of a lower epoch than this

    def free_at(self) -> timedelta:
        """The moment from which no promise prevents this controller from standing for leader."""
        return max(self.no_candidacy_until, self.unknown_until)

    def promise(
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
        if self.tried is not None and self.tried >= request.epoch:
            return LeaseGrantReply(False, "stood already")
        if epoch > request.epoch:
            return LeaseGrantReply(False, "newer leader known")
        until = now + longer(min(timedelta(milliseconds=request.for_ms), MAX_LEASE_GRANT))
        self.no_candidacy_until = max(self.no_candidacy_until, until)
        return LeaseGrantReply(
            True, "", self.least_epoch > request.epoch or now < self.unremembered_until
        )

    def pre_vote(self, epoch: int, now: timedelta, holds: bool) -> PreVoteReply:
        """Answer the pre-vote of a candidate for this epoch: free only if no leader can rely on a
        promise of this controller, which will promise nothing to a lower epoch from now on."""
        if holds or now < self.free_at():
            return PreVoteReply(False)
        self.least_epoch = max(self.least_epoch, epoch)
        return PreVoteReply(True)
