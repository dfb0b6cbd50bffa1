"""Deadlines of the stages of a workflow.

A single job is a workflow of one stage, which gets the whole deadline; `stages.py` divides the
deadline of longer ones. A job without a deadline of its own takes one from the objectives of its
class.
"""

from collections.abc import Sequence
from datetime import timedelta

from dappledrum.settings import Objective
from dappledrum.timing.clock import seconds


def stage_deadlines(
    objectives: Sequence[Objective], job_class: str, task_time: timedelta
) -> list[timedelta]:
    """Deadlines that the objectives set for a stage, relative to the moment at which its tasks
    may start, the earliest first."""
    deadlines: set[timedelta] = set()
    for objective in objectives:
        if objective.job_class not in (None, job_class):
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            deadlines.add(seconds(objective.within_s))
        elif objective.kind == "wait" and objective.within_s is not None:
            deadlines.add(seconds(objective.within_s) + task_time)
    return sorted(deadlines)


def owner_deadlines(
    objectives: Sequence[Objective], job_class: str, due: timedelta | None
) -> list[timedelta]:
    """The owner's deadline and the later ones that the objectives still reward, relative to the
    submission, the earliest first."""
    if due is None:
        return []
    deadlines = {due}
    for objective in objectives:
        if objective.kind == "deadline" and objective.job_class in (None, job_class):
            deadlines.add(due * max(objective.times or 1.0, 1.0))
    return sorted(deadlines)


def next_deadline(deadlines: Sequence[timedelta], min_time: timedelta) -> timedelta | None:
    """The first deadline that work which takes at least `min_time` from now can still meet."""
    return next((deadline for deadline in deadlines if deadline >= min_time), None)
