"""Whether a machine hears what it is told, as far as its own reports show it.

A link may carry reports one way and no answers the other. Such a machine looks alive: it reports,
its tasks are shown, and it obeys nothing; its session ends once a lease, with all that was put
there. It is told apart by what only an answer can have caused:

- a start that was offered in an answer is shown by the next report, `fetching` at the least. A
  worker that has dropped the answer shows nothing. After VAIN reports in a row the machine counts
  as deaf;
- a session ends only when no answer has come through for a lease. If its reports were answered
  all along, it is deaf. Not if they had stopped: that is a machine that hung, or a cut both ways,
  from which held back reports may come together at its end;
- this term's token is shown by the report after the first answer.

It is taken back once something shows that it hears: what was offered, the token, or a session that
is older than a lease, which it can't be without answers. The argument for each rests on one report
being on its way at a time: the next one is sent when the answer to the one before has been
executed or dropped.
"""

from datetime import timedelta

from dappledrum.timing.clock import longer

#: Reports in a row that do not show what they must if the answers before them were heard. One is
#: an answer that was lost or took more than the worker's patience.
VAIN = 2
#: Share of a lease in which reports may pause and still count as answered all along. A worker
#: that gets no answer reports to one controller after the other, 5 s apart; one that was cut off
#: both ways for so long that its session ended has not been heard for nearly a lease.
STEADY = 0.75
GONE_MARGIN = timedelta(milliseconds=500)


class Hearing:
    """What is known of one machine, in one term."""

    __slots__ = ("deaf", "session_at", "answered_at", "steady_at", "token_shown", "vain")

    def __init__(self) -> None:
        self.deaf = False
        self.session_at: timedelta | None = None  # its present session was first heard of
        self.answered_at: timedelta | None = None  # the newest answer to a report in order
        self.steady_at: timedelta | None = None  # since then its reports were answered in order
        self.token_shown = False  # a report has carried this term's token
        self.vain = 0

    def answered(self, now: timedelta, lease: timedelta) -> None:
        """A report was answered with this term's token."""
        if self.answered_at is None or now - self.answered_at > lease * STEADY:
            self.steady_at = now
        self.answered_at = now

    def in_vain(self) -> bool:
        """A report does not show what an answer before it carried; True: it counts as deaf from
        now on."""
        self.vain += 1
        if self.deaf or self.vain < VAIN:
            return False
        self.deaf = True
        return True

    def heard(self) -> bool:
        """A report shows something that only an answer can have caused; True: it was deaf."""
        was = self.deaf
        self.deaf = False
        self.vain = 0
        return was

    def new_session(self, now: timedelta, lease: timedelta, awake_since: timedelta) -> bool:
        """Its session has ended; True: in spite of our answers, so it is deaf from now on.

        What this controller has slept through may be answers that came too late.
        """
        answered, steady = self.answered_at, self.steady_at
        self.session_at = now
        if answered is None or steady is None or self.deaf:
            return False
        if now - answered > lease * STEADY or answered - max(steady, awake_since) < lease * STEADY:
            return False
        self.deaf = True
        return True

    def lasts(self, now: timedelta, lease: timedelta) -> bool:
        """Its session is older than one can be that no answer has reached since it began, or
        since it was first heard of."""
        return self.session_at is not None and now > self.session_at + longer(lease) + GONE_MARGIN
