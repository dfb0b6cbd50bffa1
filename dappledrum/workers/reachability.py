"""Whether this controller's answers reach a machine, as far as its heartbeats show it.

A link may deliver heartbeats but lose all answers. Such a machine looks alive: it sends heartbeats
and lists its tasks, but carries out no commands. Its session ends once per lease, with all tasks
that were placed there. It is detected by the absence of effects that only an answer can have:

- A start that was sent in an answer is shown by the next heartbeat, at least as `fetching`. A
  worker that did not get the answer does not show it. After `MAX_MISSED_ANSWERS` heartbeats in a
  row the machine counts as unreachable.
- A session ends only when no answer has arrived for a lease. If its heartbeats were answered
  throughout, the machine is unreachable. This does not hold if the heartbeats had stopped: the
  machine then hung, or was cut off in both directions, and delayed heartbeats may arrive together
  afterwards.
- The heartbeat after the first answer of this term carries its token.

The machine counts as reachable again once a heartbeat shows one of these: the start that was sent,
the token, or a session that is older than a lease, which is impossible without answers. All of
this relies on a worker sending one heartbeat at a time: it sends the next one when the answer to
the previous one has been carried out or lost.
"""

from datetime import timedelta

from dappledrum.timing.clock import longest_local_span

#: Heartbeats in a row without the effects of the answers before them. A single one may follow an
#: answer that was lost, or that came after the worker's timeout.
MAX_MISSED_ANSWERS = 2
#: Longest pause between heartbeats that still count as answered throughout, as a share of a lease.
#: A worker that gets no answer tries the controllers in turn, 5 s apart; one that was cut off in
#: both directions until its session ended has sent no heartbeat for nearly a lease.
MAX_ANSWER_GAP_SHARE = 0.75
LEASE_EXPIRY_MARGIN = timedelta(milliseconds=500)


class Reachability:
    """Whether answers reach one machine in one term, as shown by its heartbeats."""

    __slots__ = (
        "answered_at",
        "missed_answers",
        "session_at",
        "steady_at",
        "token_shown",
        "unreachable",
    )

    def __init__(self) -> None:
        self.unreachable = False
        self.session_at: timedelta | None = None  # when its current session was first seen
        self.answered_at: timedelta | None = None  # last answer to a heartbeat in order
        self.steady_at: timedelta | None = None  # since when answers had no long pause
        self.token_shown = False  # a heartbeat has carried this term's token
        self.missed_answers = 0

    def answered(self, now: timedelta, lease: timedelta) -> None:
        """Record that a heartbeat was answered with this term's token."""
        if self.answered_at is None or now - self.answered_at > lease * MAX_ANSWER_GAP_SHARE:
            self.steady_at = now
        self.answered_at = now

    def record_missed_answer(self) -> bool:
        """Record a heartbeat without the effect of an earlier answer.

        Returns True if the machine counts as unreachable from now on.
        """
        self.missed_answers += 1
        if self.unreachable or self.missed_answers < MAX_MISSED_ANSWERS:
            return False
        self.unreachable = True
        return True

    def confirm_reachable(self) -> bool:
        """Record a heartbeat that shows an effect of an answer.

        Returns True if the machine counted as unreachable until now.
        """
        was_unreachable = self.unreachable
        self.unreachable = False
        self.missed_answers = 0
        return was_unreachable

    def new_session(self, now: timedelta, lease: timedelta, running_since: timedelta) -> bool:
        """Record that the machine has begun a new session, so that the former one has ended.

        Returns True if the heartbeats of the former session were answered, so that the machine
        counts as unreachable from now on. Time during which this controller was paused does not
        count, since its answers may have come too late.
        """
        answered, steady = self.answered_at, self.steady_at
        self.session_at = now
        if answered is None or steady is None or self.unreachable:
            return False
        if (
            now - answered > lease * MAX_ANSWER_GAP_SHARE
            or answered - max(steady, running_since) < lease * MAX_ANSWER_GAP_SHARE
        ):
            return False
        self.unreachable = True
        return True

    def outlasts_lease(self, now: timedelta, lease: timedelta) -> bool:
        """Whether the session is too old to have got no answer since it was first seen."""
        return (
            self.session_at is not None
            and now > self.session_at + longest_local_span(lease) + LEASE_EXPIRY_MARGIN
        )
