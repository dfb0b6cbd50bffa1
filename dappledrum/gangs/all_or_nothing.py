"""Keeps gangs complete: the tasks of a gang are all placed, or the rest of them is stopped.

The planner places all unfinished tasks of a gang in one step, and only when none of them counts as
placed. Later a gang can lose a member: its machine is taken or silent, a start is refused, or a
leader ended between two of its records. The other members then wait on their machines without
working. So a gang that is found incomplete is given up, and placed again once all of it is proven
gone. Tasks that have completed stay completed.
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
    """Stop every task of a job; each counts as placed until it is proven gone."""
    for placement in job.placements():
        placement.lost = True


def is_incomplete(job: Job) -> bool:
    """Whether some tasks of a gang count as placed while others neither do nor are done, or must
    go."""
    if job.placement_count() == 0:
        return False
    return job.waiting() > 0 or any(p.lost for p in job.placements())


def stop_broken_gangs(jobs: Iterable[Job]) -> None:
    """Give up the remaining tasks of gangs that have lost a member."""
    for job in jobs:
        if is_gang(job) and not job.cancelled and not job.finished and is_incomplete(job):
            left = [p for p in job.placements() if not p.lost]
            if left:
                log.info("%s has lost a part, %d tasks are stopped with it", job.id, len(left))
                stop_gang(job)
