"""When a stage should be complete.

A protocol job is a pipeline of one stage, which gets the whole deadline; `divide` is what splits
the deadline of a longer pipeline by estimated work (DESIGN). A job without a deadline takes one
from the objectives of its class.
"""

from collections.abc import Sequence
from datetime import timedelta

from dappledrum.clock import ZERO, seconds
from dappledrum.settings import Objective


def divide(deadline: timedelta, work: Sequence[timedelta]) -> list[timedelta]:
    """Deadlines of consecutive stages, each with a share by its estimated work."""
    total = sum(work, ZERO)
    if total <= ZERO:
        return [deadline] * len(work)
    result: list[timedelta] = []
    passed = ZERO
    for part in work:
        passed += part
        result.append(deadline * (passed / total))
    return result


def stage_deadlines(
    objectives: Sequence[Objective], job_class: str, due: timedelta | None, task_time: timedelta
) -> list[timedelta]:
    """Times from acceptance by which somebody expects the stage to be complete, the earliest
    first."""
    limits: set[timedelta] = set()
    for objective in objectives:
        if objective.job_class not in (None, job_class):
            continue
        if objective.kind == "finished" and objective.within_s is not None:
            limits.add(seconds(objective.within_s))
        elif objective.kind == "wait" and objective.within_s is not None:
            limits.add(seconds(objective.within_s) + task_time)
    if due is not None:
        limits.add(due)
    return sorted(limits)


def next_deadline(limits: Sequence[timedelta], least: timedelta) -> timedelta | None:
    """The first deadline that can still be kept by work that takes at least so long from now."""
    return next((limit for limit in limits if limit >= least), None)
