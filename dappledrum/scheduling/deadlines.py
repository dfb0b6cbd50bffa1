"""Deadlines of the stages of a workflow.

A single job is a workflow of one stage, which gets the whole deadline; `chains.py` divides the
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
    """The deadlines that the objectives set for a stage, counted from the moment at which its
    tasks may start, the earliest first."""
    limits: set[timedelta] = set()
    for objective in objectives:
        if objective.job_class not in (None, job_class):
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            limits.add(seconds(objective.within_s))
        elif objective.kind == "wait" and objective.within_s is not None:
            limits.add(seconds(objective.within_s) + task_time)
    return sorted(limits)


def owner_deadlines(
    objectives: Sequence[Objective], job_class: str, due: timedelta | None
) -> list[timedelta]:
    """The owner's deadline, counted from the submission, and the later deadlines that the
    objectives still reward."""
    if due is None:
        return []
    limits = {due}
    for objective in objectives:
        if objective.kind == "deadline" and objective.job_class in (None, job_class):
            limits.add(due * max(objective.times or 1.0, 1.0))
    return sorted(limits)


def next_deadline(limits: Sequence[timedelta], least: timedelta) -> timedelta | None:
    """The first deadline that work can still meet which takes at least `least` from now."""
    return next((limit for limit in limits if limit >= least), None)
