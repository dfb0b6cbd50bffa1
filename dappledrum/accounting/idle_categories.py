"""Determines why a machine is idle.

A machine runs several tasks at a time, so each second is divided by CPUs: a task gets the share
that it uses, and the rest is idle. Idle time is split by its reason, since each reason has another
remedy: no waiting tasks (return machines sooner, rent fewer), tasks that do not fit (rent another
type), a team at its limit, a kind of machine that no waiting task may use, or capacity that a task
would fit into (reserved by the plan, or a start has not arrived yet).
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.scheduling.timeline import InstanceKind, Size


class Demand(NamedTuple):
    """Waiting tasks of the same size and constraints."""

    size: Size  # of one task
    allowed: Callable[[InstanceKind], bool]  # whether they may run on this kind of machine
    team_has_capacity: bool


def idle_category(
    kind: InstanceKind, free: Size, empty: bool, demands: Sequence[Demand]
) -> CostCategory:
    """The category of a machine's idle capacity.

    `free`: free capacity of the machine; `empty`: whether no task is placed there.
    """
    if not demands:
        return CostCategory.IDLE_EMPTY if empty else CostCategory.IDLE_BESIDE_WORK
    category = CostCategory.IDLE_WRONG_KIND
    for demand in demands:
        if not demand.allowed(kind):
            continue
        if not demand.team_has_capacity:
            if category is CostCategory.IDLE_WRONG_KIND:
                category = CostCategory.IDLE_TEAM_LIMIT
        elif free.fit_count(demand.size) >= 1:
            return CostCategory.IDLE_KEPT_FREE
        else:
            category = CostCategory.IDLE_TOO_SMALL
    return category
