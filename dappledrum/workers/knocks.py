"""Which machines have tried to report to this controller, entitled or not.

A leader that no worker reaches, while they try elsewhere, is in the way: it keeps its lease, and
all tasks are killed by theirs. It finds out by asking its peers who knocked there.
"""

from collections import deque
from datetime import timedelta

from dappledrum.workers.roster import Roster

KEPT = timedelta(seconds=60)
MOST = 2_000


class Knocks:
    """Recent knocks, oldest first."""

    def __init__(self) -> None:
        self.recent: deque[tuple[timedelta, str]] = deque(maxlen=MOST)

    def note(self, machine: str, now: timedelta) -> None:
        """A report has come in."""
        self.recent.append((now, machine))
        while self.recent[0][0] < now - KEPT:
            self.recent.popleft()

    @property
    def last(self) -> timedelta | None:
        """When the newest came in."""
        return self.recent[-1][0] if self.recent else None

    def within(self, span: timedelta, now: timedelta) -> dict[str, int]:
        """Number of knocks by machine."""
        result: dict[str, int] = {}
        for at, machine in reversed(self.recent):
            if at < now - span:
                break
            result[machine] = result.get(machine, 0) + 1
        return result


def shunned(elsewhere: dict[str, int], roster: Roster) -> list[str]:
    """Machines that the leader should have heard of by now.

    One that has reported to this leader before, or came to the same peer twice: the first knock of
    a machine that has just come up is answered with the leader's name, and says nothing.
    """
    result = []
    for name, count in elsewhere.items():
        machine = roster.get(name)
        if count >= 2 or (machine is not None and machine.up):
            result.append(name)
    return result
