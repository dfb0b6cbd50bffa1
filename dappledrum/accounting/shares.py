"""Reports the share of jobs done and in time by class and team, and for the largest jobs of each
class, from the logs of all controllers.

    python3 -m dappledrum.accounting.shares [--least 0.5] LOG [LOG ...]

Each log line is about a single job, so logs of any number of controllers, terms and restarts can
be combined in any order. A job is in time if it was done within its owner's deadline, or else
within the earliest deadline of its class; a job that never ended is not. Cancelled jobs do not
count. The exit status is 1 if a share is below `--least`.
"""

import argparse
import re
import sys
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from operator import attrgetter
from pathlib import Path

#: Lines logged by `job_api.py` and the leader, with `served_counts.describe_job` in some of them.
SUBMITTED_LINE = re.compile(r"(?:accepted|new job) (j-\d+): (\d+) tasks of (.+) for (.+)$")
STARTED_LINE = re.compile(r"(j-\d+) began (-?[\d.]+) s after it came$")
FINISHED_LINE = re.compile(
    r"(j-\d+) is (done|cancelled): (\d+) tasks of (.+) for (.+?)"
    r"(?:, (-?[\d.]+) s after it came)?(?:, due after ([\d.]+) s)?$"
)
#: One in so many jobs of a class counts as its largest, by number of tasks; at least one does.
JOBS_PER_LARGEST_JOB = 10
#: Time after submission by which the largest jobs of a class should have started.
MAX_START_DELAY_S = 240.0
EXIT_SHARE_TOO_LOW = 1


@dataclass
class JobHistory:
    """State of one job according to the logs; times are in seconds after its submission."""

    job_class: str
    team: str
    tasks: int = 0
    state: str | None = None
    started_s: float | None = None  # the first start that any leader logged
    took_s: float | None = None
    due_s: float | None = None

    @property
    def in_time(self) -> bool:
        """Whether the job was done within its deadline."""
        done = self.state == "done" and self.took_s is not None
        return done and (self.due_s is None or (self.took_s or 0.0) <= self.due_s)


@dataclass
class ServiceShare:
    """Numbers of jobs done and in time in a group of jobs, without the cancelled ones."""

    group: str
    jobs: int
    done: int
    due: int  # number of jobs in classes with deadlines
    in_time: int
    max_start_delay_s: float = 0.0  # from submission to the first start, of jobs with a logged one
    is_largest: bool = False  # whether the group is the largest jobs of a class

    @property
    def min_share(self) -> float:
        """The smaller of the shares done and in time.

        For the largest jobs of a class, which are few, it is the share done.
        """
        if self.is_largest:
            return self.done / self.jobs
        in_time = self.in_time / self.due if self.due else 1.0
        return min(self.done / self.jobs, in_time)


def parse(lines: Iterable[str]) -> dict[str, JobHistory]:
    """Jobs by ID, from log lines of any controllers in any order."""
    jobs: dict[str, JobHistory] = {}
    for line in lines:
        if (submitted := SUBMITTED_LINE.search(line.rstrip())) is not None:
            job_id, tasks, job_class, team = submitted.groups()
            jobs.setdefault(job_id, JobHistory(job_class, team, int(tasks)))
        elif (finished := FINISHED_LINE.search(line.rstrip())) is not None:
            job_id, state, tasks, job_class, team, took, due = finished.groups()
            job = jobs.setdefault(job_id, JobHistory(job_class, team, int(tasks)))
            job.state = state
            job.took_s = None if took is None else float(took)
            job.due_s = None if due is None else float(due)
        elif (started := STARTED_LINE.search(line.rstrip())) is not None and started[1] in jobs:
            job = jobs[started[1]]
            delay = float(started[2])
            job.started_s = delay if job.started_s is None else min(job.started_s, delay)
    return jobs


def shares(jobs: Iterable[JobHistory]) -> Iterator[ServiceShare]:
    """One row for each class, for each team, and for the largest jobs of each class, by name."""
    counted = [job for job in jobs if job.state != "cancelled"]
    classes_with_deadlines = {job.job_class for job in counted if job.due_s is not None}
    by_class, by_team = attrgetter("job_class"), attrgetter("team")
    for name, group in _groups(counted, by_class):
        yield _share(f"class {name}", group, classes_with_deadlines)
    for name, group in _groups(counted, by_team):
        yield _share(f"team {name}", group, classes_with_deadlines)
    for name, group in _groups(counted, by_class):
        group.sort(key=lambda job: -job.tasks)
        largest = group[: max(1, len(group) // JOBS_PER_LARGEST_JOB)]
        share = _share(f"largest of {name}", largest, classes_with_deadlines)
        share.is_largest = True
        yield share


def _groups(
    jobs: list[JobHistory], key: Callable[[JobHistory], str]
) -> Iterator[tuple[str, list[JobHistory]]]:
    for name in sorted({key(job) for job in jobs}):
        yield name, [job for job in jobs if key(job) == name]


def _share(group: str, jobs: list[JobHistory], classes_with_deadlines: set[str]) -> ServiceShare:
    due = [job for job in jobs if job.job_class in classes_with_deadlines]
    return ServiceShare(
        group,
        jobs=len(jobs),
        done=sum(job.state == "done" for job in jobs),
        due=len(due),
        in_time=sum(job.in_time for job in due),
        max_start_delay_s=max(
            (job.started_s for job in jobs if job.started_s is not None), default=0.0
        ),
    )


def _format_row(share: ServiceShare, required_share: float) -> str:
    """A row of the table, marked if the share is below `required_share` or jobs started late."""
    mark = "  below" if share.min_share < required_share else ""
    if share.is_largest and share.max_start_delay_s > MAX_START_DELAY_S:
        mark += "  late"
    return (
        f"{share.group:28} {share.jobs:6} jobs {share.done / share.jobs:6.2f} done"
        f" {share.in_time:6} of {share.due} in time, began after"
        f" {share.max_start_delay_s:.0f} s at most{mark}"
    )


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.accounting.shares",
        description="Shares of jobs done and in time by class and team, from controllers' logs.",
    )
    parser.add_argument(
        "logs", nargs="+", type=Path, metavar="LOG", help="log written at level info"
    )
    parser.add_argument(
        "--least", type=float, default=0.5, metavar="X", help="required share, default 0.5"
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Print the table; returns the exit status, 1 if a share is below the required one.

    Raises `SystemExit` with status 2 if a log can't be read, or the logs contain no jobs.
    """
    parser = _parser()
    options = parser.parse_args(argv)
    lines: list[str] = []
    for path in options.logs:
        try:
            lines += path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError as error:
            parser.error(str(error))
    rows = list(shares(parse(lines).values()))
    if not rows:
        parser.error("no jobs in these logs: they must be written at info or debug")
    for row in rows:
        print(_format_row(row, options.least))
    worst = min(rows, key=lambda row: row.min_share)
    print(f"least: {worst.group}, {worst.min_share:.2f}")
    return EXIT_SHARE_TOO_LOW if worst.min_share < options.least else 0


if __name__ == "__main__":
    sys.exit(main())
