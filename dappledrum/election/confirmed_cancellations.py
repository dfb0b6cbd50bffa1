"""Remembers which cancellations this process has confirmed to users.

A leader that the store does not serve can't read cancellations there, so it asks all controllers.
It may rely on their answers only if those cover, without a gap, the time since it last knew all
cancellations (docs/design.md, "Known cancellations"). So an answer states how far back it is
complete: at most to the start of this process, and not past a cancellation that was dropped.

This module does no I/O and reads no clock; the model in `model/election.py` runs the same code.
"""

from collections import OrderedDict
from datetime import timedelta
from typing import NamedTuple

from dappledrum.timing.clock import shortest_local_span

#: Jobs that are remembered; a process that confirms more of them covers a shorter time.
MAX_REMEMBERED_JOBS = 1_000


class CancellationWindow(NamedTuple):
    """Jobs whose cancellation one or several controllers have confirmed to users, complete for the
    time `span` before the answer."""

    cancelled: frozenset[str]
    span: timedelta

    def covers(self, since: timedelta, now: timedelta) -> bool:
        """Whether the window, received by `now`, is complete since the moment `since`.

        The span ends when the answer was given. Counting it from `now` instead errs on the safe
        side, by the time that the answer took.
        """
        return now - shortest_local_span(self.span) <= since


class ConfirmedCancellations:
    """The cancellations that one process has confirmed; they are lost when it exits."""

    def __init__(self, now: timedelta) -> None:
        self.complete_since = now
        #: When each cancellation was first confirmed, by job, the oldest first.
        self._first_confirmed_at: OrderedDict[str, timedelta] = OrderedDict()

    def note(self, job: str, now: timedelta) -> None:
        """Record that a cancellation is confirmed; to be called before the user is answered."""
        if job in self._first_confirmed_at:
            return
        self._first_confirmed_at[job] = now
        while len(self._first_confirmed_at) > MAX_REMEMBERED_JOBS:
            _, self.complete_since = self._first_confirmed_at.popitem(last=False)

    def within(self, span: timedelta, now: timedelta) -> CancellationWindow:
        """Return what was first confirmed within `span` before `now`, as far back as known."""
        job_ids: set[str] = set()
        for job, at in reversed(self._first_confirmed_at.items()):
            if at < now - span:
                break
            job_ids.add(job)
        # Whatever was dropped was confirmed at `complete_since` or before it.
        return CancellationWindow(
            frozenset(job_ids), min(span, max(now - self.complete_since, timedelta(0)))
        )


def merge_windows(windows: list[CancellationWindow]) -> CancellationWindow:
    """Return the cancellations of all windows, complete for the shortest of their spans."""
    job_ids = frozenset[str]().union(*(window.cancelled for window in windows))
    return CancellationWindow(job_ids, min(window.span for window in windows))
