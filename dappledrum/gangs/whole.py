"""A gang is on machines whole, or on its way off them whole.

Invariant of the planner: tasks of a gang are placed in one step, all that are not done, and only
when none of them counts as on a machine. What breaks a gang afterwards (a machine that is taken, a
worker that is silent, a refused start, a predecessor that ended between two of its records) takes
one member; the others then wait for it on their machines and do nothing. So whoever finds a gang
in part gives up the rest of it, and it is placed again when all of it is proven gone. What a
member has completed stays completed.
"""

import logging
from collections.abc import Iterable

from dappledrum.jobs.messages import Form
from dappledrum.jobs.record import Job

log = logging.getLogger(__name__)


def is_gang(job: Job) -> bool:
    """Whether the tasks of a job run together."""
    return job.spec.form is Form.GANG


def give_up(job: Job) -> None:
    """Have every task of a job stopped; each counts on its machine until proven gone."""
    for placement in job.placements():
        placement.lost = True


def split(job: Job) -> bool:
    """Part of the gang counts as on machines, and part of it neither does nor is done, or has to
    go."""
    on = job.on_machines()
    if on == 0:
        return False
    return on < job.spec.tasks - job.done or any(p.lost for p in job.placements())


def keep_whole(jobs: Iterable[Job]) -> None:
    """Give up what is left of gangs that have lost a member."""
    for job in jobs:
        if is_gang(job) and not job.cancelled and not job.over and split(job):
            left = [p for p in job.placements() if not p.lost]
            if left:
                log.info("%s has lost a part, %d tasks are stopped with it", job.id, len(left))
                give_up(job)
