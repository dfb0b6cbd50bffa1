"""Estimates how long tasks take: mean plus one standard deviation (paper, section 4.2, equation
11).

Until a task of a job has completed, the owner's estimate is the mean and a quarter of it the
deviation (DESIGN). Owners' estimates are often wrong, and on one day mostly by the same factor for
all jobs of a class. So the ratio of actual to estimated time is learned for each class and blended
in.
"""

import math
from datetime import timedelta

PRIOR_WEIGHT = 3.0  # completed tasks that weigh as much as the first estimate
PRIOR_DEVIATION = 0.25
RATIO_BOUNDS = (0.2, 5.0)
MAX_CLASS_SAMPLES = 40.0  # completed tasks whose ratio still counts for a class


class RunningStatistics:
    """Running mean and deviation."""

    __slots__ = ("count", "mean", "square")

    def __init__(self) -> None:
        self.count = 0.0
        self.mean = 0.0
        self.square = 0.0

    def add(self, value: float) -> None:
        """Take one more value in (Welford)."""
        self.count += 1
        step = value - self.mean
        self.mean += step / self.count
        self.square += step * (value - self.mean)

    def limit_weight(self, limit: float) -> None:
        """Limit the weight of past values, so that old ones fade out."""
        if self.count > limit:
            self.square *= limit / self.count
            self.count = limit


class Estimates:
    """What has been learned in a term of leadership."""

    def __init__(self) -> None:
        self.jobs: dict[str, RunningStatistics] = {}
        self.classes: dict[str, RunningStatistics] = {}

    def record_task_time(
        self, job: str, job_class: str, expected: timedelta, took: timedelta
    ) -> None:
        """A task has completed."""
        self.jobs.setdefault(job, RunningStatistics()).add(took.total_seconds())
        if expected > timedelta(0) and took > timedelta(0):
            ratios = self.classes.setdefault(job_class, RunningStatistics())
            ratios.add(math.log(took / expected))
            ratios.limit_weight(MAX_CLASS_SAMPLES)

    def forget(self, job: str) -> None:
        """The job is over."""
        self.jobs.pop(job, None)

    def ratio(self, job_class: str) -> float:
        """Actual over estimated time for the class; close to 1 while few tasks have completed."""
        seen = self.classes.get(job_class)
        if seen is None:
            return 1.0
        middle = seen.mean * seen.count / (seen.count + PRIOR_WEIGHT)
        return min(max(math.exp(middle), RATIO_BOUNDS[0]), RATIO_BOUNDS[1])

    def moments(
        self, job: str, job_class: str, expected: timedelta
    ) -> tuple[timedelta, timedelta]:
        """Mean and deviation of a task's run time."""
        mean = expected.total_seconds() * self.ratio(job_class)
        variance = (PRIOR_DEVIATION * mean) ** 2
        seen = self.jobs.get(job)
        if seen is not None and seen.count:
            total = seen.count + PRIOR_WEIGHT
            blended = (mean * PRIOR_WEIGHT + seen.mean * seen.count) / total
            variance = (
                variance * PRIOR_WEIGHT
                + seen.square
                + PRIOR_WEIGHT * (mean - blended) ** 2
                + seen.count * (seen.mean - blended) ** 2
            ) / total
            mean = blended
        return timedelta(seconds=mean), timedelta(seconds=math.sqrt(variance))

    def task_time(self, job: str, job_class: str, expected: timedelta) -> timedelta:
        """Mean plus one deviation."""
        mean, deviation = self.moments(job, job_class, expected)
        return mean + deviation
