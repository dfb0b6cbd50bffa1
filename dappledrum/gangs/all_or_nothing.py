"""Keeps gangs complete: a gang whose unfinished tasks are not all placed is stopped.

The planner places all unfinished tasks of a gang in one step, and only when none of them counts as
placed. Later a gang can lose a member: its machine is reclaimed or silent, a start is refused, or
a leader ended after storing only some of its records. The other members then wait on their
machines without working. So an incomplete gang is stopped, and placed again once all its attempts
are proven terminated. Completed tasks stay completed.
"""

import logging
from collections.abc import Iterable

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import Form

log = logging.getLogger(__name__)


def is_gang(job: Job) -> bool:
    """Whether the tasks of a job run together."""
    return job.spec.form is Form.GANG


def stop_gang(job: Job) -> None:
    """Stop every task of a job; each counts as placed until it is proven terminated."""
    for placement in job.placements():
        placement.lost = True


def is_incomplete(job: Job) -> bool:
    """Whether some unfinished tasks of a gang are placed while others are not, or are being
    stopped."""
    if job.placement_count() == 0:
        return False
    return job.waiting() > 0 or any(p.lost for p in job.placements())


def stop_broken_gangs(jobs: Iterable[Job]) -> None:
    """Stop the remaining tasks of gangs that have lost a member."""
    for job in jobs:
        if is_gang(job) and not job.cancelled and not job.finished and is_incomplete(job):
            remaining = [p for p in job.placements() if not p.lost]
            if remaining:
                log.info(
                    "gang %s lost a member: stopping its other %d tasks", job.id, len(remaining)
                )
                stop_gang(job)
