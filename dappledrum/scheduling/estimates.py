"""Estimates how long tasks take: mean plus one standard deviation (paper, section 4.2, equation
11).

Until a task of a job has completed, the mean is the owner's estimate and the deviation a quarter
of it (DESIGN). Owners' estimates are often wrong, and on any one day mostly by the same factor for
all jobs of a class. So the ratio of actual to estimated time is learned for each class and applied
to the estimate.
"""

import math
from datetime import timedelta

PRIOR_WEIGHT = 3.0  # the owner's estimate counts as much as so many completed tasks
PRIOR_DEVIATION = 0.25  # as a share of the mean
RATIO_BOUNDS = (0.2, 5.0)  # of actual over estimated time
MAX_CLASS_SAMPLES = 40.0  # limit of a class's weight, in completed tasks


class RunningStatistics:
    """Running mean and deviation of a series of values."""

    __slots__ = ("count", "mean", "square")

    def __init__(self) -> None:
        self.count = 0.0
        self.mean = 0.0
        self.square = 0.0  # sum of the squared differences from the mean

    def add(self, value: float) -> None:
        """Add a value (Welford's algorithm)."""
        self.count += 1
        difference = value - self.mean
        self.mean += difference / self.count
        self.square += difference * (value - self.mean)

    def limit_weight(self, limit: float) -> None:
        """Limit the weight of past values, so that the influence of old ones fades."""
        if self.count > limit:
            self.square *= limit / self.count
            self.count = limit


class Estimates:
    """Run times by job and by class during one term; those of classes may begin with a
    predecessor's."""

    def __init__(self) -> None:
        self.jobs: dict[str, RunningStatistics] = {}
        self.classes: dict[str, RunningStatistics] = {}

    def record_task_time(
        self, job: str, job_class: str, expected: timedelta, took: timedelta
    ) -> None:
        """Record the run time of a completed task, beside the owner's estimate."""
        self.jobs.setdefault(job, RunningStatistics()).add(took.total_seconds())
        if expected > timedelta(0) and took > timedelta(0):
            ratios = self.classes.setdefault(job_class, RunningStatistics())
            ratios.add(math.log(took / expected))
            ratios.limit_weight(MAX_CLASS_SAMPLES)

    def forget(self, job: str) -> None:
        """Drop what was learned about a finished job."""
        self.jobs.pop(job, None)

    def ratio(self, job_class: str) -> float:
        """Actual over estimated time for the class; close to 1 while few tasks have completed."""
        ratios = self.classes.get(job_class)
        if ratios is None:
            return 1.0
        log_ratio = ratios.mean * ratios.count / (ratios.count + PRIOR_WEIGHT)
        return min(max(math.exp(log_ratio), RATIO_BOUNDS[0]), RATIO_BOUNDS[1])

    def moments(
        self, job: str, job_class: str, expected: timedelta
    ) -> tuple[timedelta, timedelta]:
        """Mean and standard deviation of a task's run time; `expected` is the owner's estimate."""
        mean = expected.total_seconds() * self.ratio(job_class)
        variance = (PRIOR_DEVIATION * mean) ** 2
        observed = self.jobs.get(job)
        if observed is not None and observed.count:
            total_weight = observed.count + PRIOR_WEIGHT
            blended = (mean * PRIOR_WEIGHT + observed.mean * observed.count) / total_weight
            variance = (
                variance * PRIOR_WEIGHT
                + observed.square
                + PRIOR_WEIGHT * (mean - blended) ** 2
                + observed.count * (observed.mean - blended) ** 2
            ) / total_weight
            mean = blended
        return timedelta(seconds=mean), timedelta(seconds=math.sqrt(variance))

    def task_time(self, job: str, job_class: str, expected: timedelta) -> timedelta:
        """Run time to plan with: mean plus one standard deviation."""
        mean, deviation = self.moments(job, job_class, expected)
        return mean + deviation
