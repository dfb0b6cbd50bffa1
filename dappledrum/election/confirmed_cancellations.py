"""Which cancellations this process has told users of.

A leader that the store does not serve can't read them. It asks all controllers instead,
and may rely on their words only where those cover, without a gap, the time since it last knew all
(docs/design.md, "Known cancellations"). So an answer says for how long back it is
complete: not beyond the beginning of this process, nor beyond what has been dropped.

No I/O and no clock of its own: the model in `model/election.py` runs this very code.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from dappledrum.timing.clock import shortest_local_span

KEPT = 1_000  # names; whoever tells more at once attests a shorter time


class CancellationWindow(NamedTuple):
    """What one controller has told, or several together have, and for how long back that is all
    that they have told."""

    cancelled: frozenset[str]
    span: timedelta

    def covers(self, since: timedelta, now: timedelta) -> bool:
        """Whether it is complete since then, heard at this moment or before it.

        Its span ends when it was said, which was no later than now, so this errs on the safe side
        by the time that the answer took.
        """
        return now - shortest_local_span(self.span) <= since


class ConfirmedCancellations:
    """The memory of one process, lost with it."""

    def __init__(self, now: timedelta) -> None:
        self.complete_since = now
        self._first: OrderedDict[str, timedelta] = OrderedDict()  # when each was told first

    def note(self, job: str, now: timedelta) -> None:
        """A user is told now that this job is cancelled; before the answer is given."""
        if job in self._first:
            return
        self._first[job] = now
        while len(self._first) > KEPT:
            _, self.complete_since = self._first.popitem(last=False)

    def within(self, span: timedelta, now: timedelta) -> CancellationWindow:
        """All that was told first within this span, as far back as it is known."""
        names: set[str] = set()
        for job, at in reversed(self._first.items()):
            if at < now - span:
                break
            names.add(job)
        # What was dropped was told at `complete_since` or before it.
        return CancellationWindow(
            frozenset(names), min(span, max(now - self.complete_since, timedelta(0)))
        )


def merge_windows(windows: list[CancellationWindow]) -> CancellationWindow:
    """What all of them have told; complete for as long back as the least of them is."""
    names = frozenset[str]().union(*(one.cancelled for one in windows))
    return CancellationWindow(names, min(one.span for one in windows))
