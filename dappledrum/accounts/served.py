"""What was accepted, started and done of each team, said with the account of money.

A day is judged by the least share of any."""

from collections import Counter
from collections.abc import Iterable

from dappledrum.jobs.record import Job


class Served:
    """Jobs of one term, those that were live when it began included."""

    def __init__(self) -> None:
        self.done: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()

    def ended(self, job: Job) -> None:
        """A job's end is stored."""
        (self.cancelled if job.cancelled else self.done)[job.spec.team] += 1

    def shown(self, live: Iterable[Job]) -> str:
        """One phrase a team, in the order of their names."""
        waiting: Counter[str] = Counter()
        started: Counter[str] = Counter()
        for job in live:
            begun = job.done > 0 or any(p.running_at is not None for p in job.placements())
            (started if begun else waiting)[job.spec.team] += 1
        teams = sorted(waiting.keys() | started.keys() | self.done.keys() | self.cancelled.keys())
        return "; ".join(
            f"{team}: {sum(c[team] for c in (waiting, started, self.done, self.cancelled))}"
            f" accepted, {started[team] + self.done[team]} started, {self.done[team]} done,"
            f" {self.cancelled[team]} cancelled"
            for team in teams
        )
