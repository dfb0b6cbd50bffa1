"""When a stage should be complete.

A job alone is a pipeline of one stage, which gets the whole deadline; how that of a longer one is
divided is in `chains.py`. A job without a deadline takes one from the objectives of its class.
"""

from collections.abc import Sequence
from datetime import timedelta

from dappledrum.settings import Objective
from dappledrum.timing.clock import seconds


def stage_deadlines(
    objectives: Sequence[Objective], job_class: str, task_time: timedelta
) -> list[timedelta]:
    """Times by which somebody expects the stage to be complete, counted from the moment when its
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


def closing_deadlines(
    objectives: Sequence[Objective], job_class: str, due: timedelta | None
) -> list[timedelta]:
    """The owner's deadline, counted from the submission, and what is still worth keeping when it
    is missed."""
    if due is None:
        return []
    limits = {due}
    for objective in objectives:
        if objective.kind == "deadline" and objective.job_class in (None, job_class):
            limits.add(due * max(objective.times or 1.0, 1.0))
    return sorted(limits)


def next_deadline(limits: Sequence[timedelta], least: timedelta) -> timedelta | None:
    """The first deadline that can still be kept by work that takes at least so long from now."""
    return next((limit for limit in limits if limit >= least), None)
