"""Whether a machine gets our answers, as far as its heartbeats show it.

A link may deliver heartbeats but lose all answers. Such a machine looks alive: it sends heartbeats
and shows its tasks, but carries out nothing. Its session ends every lease, with all tasks that
were placed there. It is recognised by what only an answer can have caused:

- A start that was sent in an answer is shown by the next heartbeat, at least as `fetching`. A
  worker that has lost the answer does not show it. After `MAX_MISSED_ANSWERS` heartbeats in a row
  the machine counts as unreachable.
- A session ends only when no answer has arrived for a lease. If its heartbeats were answered all
  along, the machine is unreachable. This does not hold if the heartbeats had stopped: then the
  machine hung, or was cut off in both directions, and held back heartbeats may arrive together
  afterwards.
- The heartbeat after the first answer of this term carries its token.

The machine counts as reachable again once a heartbeat shows one of these: what was sent, the
token, or a session that is older than a lease, which is impossible without answers. All of this
rests on the fact that only one heartbeat is under way at a time: the next one is sent when the
answer to the former has been carried out or lost.
"""

from datetime import timedelta

from dappledrum.timing.clock import longest_local_span

#: Heartbeats in a row that do not show what they must if the answers before them were heard. One
#: is an answer that was lost or took more than the worker's patience.
MAX_MISSED_ANSWERS = 2
#: Share of a lease in which heartbeats may pause and still count as answered all along. A worker
#: that gets no answer sends its heartbeats to one controller after the other, 5 s apart; one that
#: was cut off both ways for so long that its session ended has not been heard for nearly a lease.
MAX_ANSWER_GAP_SHARE = 0.75
LEASE_EXPIRY_MARGIN = timedelta(milliseconds=500)


class Reachability:
    """What heartbeats show about the answers to one machine in one term."""

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
        self.session_at: timedelta | None = None  # its present session was first heard of
        self.answered_at: timedelta | None = None  # the newest answer to a heartbeat in order
        self.steady_at: timedelta | None = None  # since then its heartbeats were answered in order
        self.token_shown = False  # a heartbeat has carried this term's token
        self.missed_answers = 0

    def answered(self, now: timedelta, lease: timedelta) -> None:
        """Record that a heartbeat was answered with this term's token."""
        if self.answered_at is None or now - self.answered_at > lease * MAX_ANSWER_GAP_SHARE:
            self.steady_at = now
        self.answered_at = now

    def record_missed_answer(self) -> bool:
        """Record a heartbeat that does not show what an earlier answer carried; True: the machine
        counts as unreachable from now on."""
        self.missed_answers += 1
        if self.unreachable or self.missed_answers < MAX_MISSED_ANSWERS:
            return False
        self.unreachable = True
        return True

    def confirm_reachable(self) -> bool:
        """Record a heartbeat that shows what only an answer can have caused; True: the machine
        counted as unreachable until now."""
        was = self.unreachable
        self.unreachable = False
        self.missed_answers = 0
        return was

    def new_session(self, now: timedelta, lease: timedelta, running_since: timedelta) -> bool:
        """Record that the machine's session has ended; True: although its heartbeats were
        answered, so it counts as unreachable from now on.

        Time in which this controller was paused does not count, since its answers may have come
        too late.
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
        """Whether the session is older than one can be that has got no answer since it began, or
        since it was first heard of."""
        return (
            self.session_at is not None
            and now > self.session_at + longest_local_span(lease) + LEASE_EXPIRY_MARGIN
        )
