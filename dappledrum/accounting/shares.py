"""Reports how each class, each team and the largest jobs of each class were served, from the logs
of all controllers.

    python3 -m dappledrum.accounting.shares [--least 0.5] LOG [LOG ...]

The log lines are about single jobs, so any number of controllers, terms and restarts adds up, in
any order. A job is in time when it was done within its owner's deadline, or else within the
earliest deadline of its class; a job that never ended is not. Cancelled jobs do not count. The
exit status is 1 if a share is below the least.
"""

import argparse
import re
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path

CAME = re.compile(r"(?:accepted|new job) (j-\d+): (\d+) tasks of (.+) for (.+)$")
BEGAN = re.compile(r"(j-\d+) began (-?[\d.]+) s after it came$")
LARGEST = 10  # the largest tenth of the jobs of a class, by tasks, at least one
LATE_S = 240.0  # the largest should have begun by then
ENDED = re.compile(
    r"(j-\d+) is (done|cancelled): (\d+) tasks of (.+) for (.+?)"
    r"(?:, (-?[\d.]+) s after it came)?(?:, due after ([\d.]+) s)?$"
)


@dataclass
class Known:
    """What the logs say about one job."""

    job_class: str
    team: str
    tasks: int = 0
    state: str | None = None
    began_s: float | None = None  # after it came, as far as any leader saw
    took_s: float | None = None
    due_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether it was done within its deadline."""
        done = self.state == "done" and self.took_s is not None
        return done and (self.due_s is None or (self.took_s or 0.0) <= self.due_s)


@dataclass
class Share:
    """How the jobs of a class or team were served, without the cancelled ones."""

    of: str
    jobs: int
    done: int
    due: int  # of them, of classes of which something is expected
    in_time: int
    longest_s: float = 0.0  # from a job's coming until its first task ran, as far as logs tell
    largest: bool = False

    @property
    def least(self) -> float:
        """The smaller of the shares done and in time; for the largest jobs of a class only the
        share done, as there are few of them."""
        if self.largest:
            return self.done / self.jobs
        timely = self.in_time / self.due if self.due else 1.0
        return min(self.done / self.jobs, timely)


def read(lines: Iterable[str]) -> dict[str, Known]:
    """Jobs by their ids, from lines of any controller, in any order."""
    jobs: dict[str, Known] = {}
    for line in lines:
        if (came := CAME.search(line.rstrip())) is not None:
            job, tasks, job_class, team = came.groups()
            jobs.setdefault(job, Known(job_class, team, int(tasks)))
        elif (ended := ENDED.search(line.rstrip())) is not None:
            job, state, tasks, job_class, team, took, due = ended.groups()
            known = jobs.setdefault(job, Known(job_class, team, int(tasks)))
            known.state = state
            known.took_s = None if took is None else float(took)
            known.due_s = None if due is None else float(due)
        elif (began := BEGAN.search(line.rstrip())) is not None and began[1] in jobs:
            known = jobs[began[1]]
            waited = float(began[2])
            known.began_s = waited if known.began_s is None else min(known.began_s, waited)
    return jobs


def shares(jobs: Iterable[Known]) -> Iterator[Share]:
    """One row for each class, then one for each team, by name."""
    counted = [job for job in jobs if job.state != "cancelled"]
    expected = {job.job_class for job in counted if job.due_s is not None}
    for what, name in [("class", "job_class"), ("team", "team"), ("largest of", "job_class")]:
        for value in sorted({getattr(job, name) for job in counted}):
            own = [job for job in counted if getattr(job, name) == value]
            if what == "largest of":
                own.sort(key=lambda job: -job.tasks)
                own = own[: max(1, len(own) // LARGEST)]
            due = [job for job in own if job.job_class in expected]
            yield Share(
                f"{what} {value}",
                len(own),
                sum(job.state == "done" for job in own),
                len(due),
                sum(job.in_time for job in due),
                max((job.began_s for job in own if job.began_s is not None), default=0.0),
                what == "largest of",
            )


def main(argv: list[str] | None = None) -> int:
    """Print the table; the status tells whether a share is below the least."""
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.accounting.shares",
        description="What each class of jobs and each team was served, from controllers' logs.",
    )
    parser.add_argument("logs", nargs="+", type=Path, metavar="LOG", help="written at info")
    parser.add_argument("--least", type=float, default=0.5, metavar="X", help="default 0.5")
    options = parser.parse_args(argv)
    lines: list[str] = []
    for path in options.logs:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            parser.error(str(error))
    found = list(shares(read(lines).values()))
    if not found:
        parser.error("no jobs in these logs: they must be written at info or debug")
    for share in found:
        mark = "  below" if share.least < options.least else ""
        mark += "  late" if share.largest and share.longest_s > LATE_S else ""
        print(
            f"{share.of:28} {share.jobs:6} jobs {share.done / share.jobs:6.2f} done"
            f" {share.in_time:6} of {share.due} in time, began after"
            f" {share.longest_s:.0f} s at most{mark}"
        )
    least = min(found, key=lambda share: share.least)
    print(f"least: {least.of}, {least.least:.2f}")
    return 1 if least.least < options.least else 0


if __name__ == "__main__":
    sys.exit(main())
