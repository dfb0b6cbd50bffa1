"""Counts the accepted, started, done and cancelled jobs of each team, and describes jobs in log
lines.

The quality of service is measured by the smallest share of any team or class; `shares.py` computes
the shares from the logs of all controllers.
"""

from collections import Counter
from collections.abc import Iterable, Sequence
from datetime import timedelta

from dappledrum.jobs.job import Job
from dappledrum.scheduling.deadlines import stage_deadlines
from dappledrum.settings import Objective


def describe_job(tasks: int, job_class: str, team: str) -> str:
    """A job's class, team and size, in the wording that `shares.py` parses."""
    return f"{tasks} tasks of {job_class} for {team}"


def describe_finished_job(job: Job, objectives: Sequence[Objective]) -> str:
    """A log line for a finished job, in the wording that `shares.py` parses.

    It contains the time since acceptance, and the time allowed: the owner's deadline, or else the
    earliest deadline of the job's class among the `objectives`.
    """
    record = job.ended_record()
    result = f"{job.id} is {record.state}: " + describe_job(
        job.spec.tasks, job.spec.job_class, job.spec.team
    )
    if job.ended_at is None:
        return result
    result += f", {(job.ended_at - job.accepted_at).total_seconds():.1f} s after it came"
    due = job.spec.deadline_s
    if due is None:
        finished = [o for o in objectives if o.kind == "finished"]
        deadlines = stage_deadlines(finished, job.spec.job_class, timedelta(0))
        due = deadlines[0].total_seconds() if deadlines else None
    return result if due is None else f"{result}, due after {due:.1f} s"


class ServedCounts:
    """Job counts of one term by team, including jobs that were live at its beginning."""

    def __init__(self) -> None:
        self.done: Counter[str] = Counter()
        self.cancelled: Counter[str] = Counter()

    def count_finished(self, job: Job) -> None:
        """Count a job whose final state is stored."""
        (self.cancelled if job.cancelled else self.done)[job.spec.team] += 1

    def summary(self, live: Iterable[Job]) -> str:
        """The counts as text, ordered by team name; `live` are the live jobs."""
        waiting: Counter[str] = Counter()
        started: Counter[str] = Counter()
        for job in live:
            has_started = job.done > 0 or any(
                p.running_since is not None for p in job.placements()
            )
            (started if has_started else waiting)[job.spec.team] += 1
        teams = sorted(waiting.keys() | started.keys() | self.done.keys() | self.cancelled.keys())
        return "; ".join(
            f"{team}: {sum(c[team] for c in (waiting, started, self.done, self.cancelled))}"
            f" accepted, {started[team] + self.done[team]} started, {self.done[team]} done,"
            f" {self.cancelled[team]} cancelled"
            for team in teams
        )
