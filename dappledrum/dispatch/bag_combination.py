"""Combines very small jobs that are similar into one bag.

A plan examines the machines anew for each bag, so a plan for hundreds of jobs of one task each
took seconds. In the terms of the paper such jobs are one bag of tasks.
"""

import math
from collections.abc import Hashable
from datetime import timedelta

from dappledrum.jobs.job import Job
from dappledrum.scheduling.bags import Bag

MAX_COMBINED_JOB_TASKS = 4  # larger jobs get a bag of their own
SIMILAR_RUN_TIME_FACTOR = 1.3  # run times within this factor count as similar
MIN_RUN_TIME_S = 0.1  # shorter run times count as this long
MIN_DEADLINE_STEP = timedelta(seconds=5)  # deadlines that differ by less count as similar


def may_be_combined(job: Job, bag: Bag) -> bool:
    """Whether the bag of a job may be combined with those of other jobs."""
    return not (
        job.spec.tasks > MAX_COMBINED_JOB_TASKS
        or bag.gang
        or bag.free_capacity_only
        or bag.unready
        or job.spec.one_zone
        or job.spec.spread
    )


def similarity_key(job: Job, bag: Bag) -> Hashable:
    """A key that is equal for jobs whose tasks may share a bag."""
    spec = job.spec
    run_time_s = max(bag.run.total_seconds(), MIN_RUN_TIME_S)
    deadline_step = max(bag.run * (SIMILAR_RUN_TIME_FACTOR - 1), MIN_DEADLINE_STEP)
    return (
        *(spec.team, spec.priority, spec.image, spec.spot, spec.zone, spec.form),
        *(None if spec.types is None else tuple(spec.types), bag.size, *bag.rank[:3]),
        round(math.log(run_time_s, SIMILAR_RUN_TIME_FACTOR)),
        int(bag.due / deadline_step),
    )


def merge(combined: Bag, bag: Bag) -> None:
    """Add the tasks of a bag to a similar one, which takes the stricter limits of the two."""
    combined.ready += bag.ready
    combined.total += bag.total
    combined.run = max(combined.run, bag.run)
    combined.due = min(combined.due, bag.due)
    combined.rank = min(combined.rank, bag.rank)
    combined.waited = max(combined.waited, bag.waited)
    combined.uses_free_capacity |= bag.uses_free_capacity
