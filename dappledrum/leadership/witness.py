"""What one controller has promised to others about leadership, and what it has told candidates.

Two rounds meet here. A leader that the state service does not serve asks its peers to promise, and
goes on renewing workers' leases while a majority (itself included) or all of them do. A candidate
asks its peers whether they hold to a promise, and takes silence for no proof of anything until a
majority says that it does not. Each two majorities share a controller, so what one round was told
there the other one meets: a promise that stands, or the bar that "free" leaves behind.

No I/O and no clock of its own: the model in `model/promises.py` runs this very code.
"""

from datetime import timedelta

from dappledrum.leadership.messages import PromiseReply, PromiseRequest, StandingReply
from dappledrum.timing.clock import longer

PROMISE = timedelta(seconds=2)
PROMISE_MOST = timedelta(seconds=60)


class Witness:
    """The memory of one process, lost with it."""

    def __init__(self, now: timedelta) -> None:
        #: A process of this member before it may have promised something that this one does not
        #: know of, or may have told a candidate that it was free.
        self.forgot_until = now + longer(PROMISE)
        #: The same for standing: shortened when nobody can rely on such a promise any more.
        self.unknown_until = self.forgot_until
        self.stand_after = now  # what this process has promised
        self.tried: int | None = None  # the epoch against which it has stood
        self.barred = 0  # no promise to a leader of a lower epoch than this

    def free_at(self) -> timedelta:
        """The moment from which nothing that was promised is in the way of standing."""
        return max(self.stand_after, self.unknown_until)

    def promise(
        self, request: PromiseRequest, now: timedelta, leads: bool, epoch: int
    ) -> PromiseReply:
        """Answer a leader that can't reach the state service, and which this controller can't
        reach either.

        `epoch` is the highest that it knows of. Refused when it leads itself, and when it has
        stood against this epoch (its transaction may still be applied). Weak when it has told a
        candidate that it was free, and when it may have done so and forgotten.
        """
        if leads:
            return PromiseReply(False, "leading")
        if self.tried is not None and self.tried >= request.epoch:
            return PromiseReply(False, "stood already")
        if epoch > request.epoch:
            return PromiseReply(False, "newer leader known")
        until = now + longer(min(timedelta(milliseconds=request.for_ms), PROMISE_MOST))
        self.stand_after = max(self.stand_after, until)
        return PromiseReply(True, "", self.barred > request.epoch or now < self.forgot_until)

    def standing(self, epoch: int, now: timedelta, holds: bool) -> StandingReply:
        """Answer a candidate for this epoch: free only if nobody can rely on this controller, and
        nobody of a lower epoch will from now on."""
        if holds or now < self.free_at():
            return StandingReply(False)
        self.barred = max(self.barred, epoch)
        return StandingReply(True)
