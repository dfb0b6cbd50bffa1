"""The categories of cost, and the reasons for which a machine is idle.

A machine runs several tasks at a time, so a second is divided by CPUs: each task gets the share
that it uses, and the rest is idle. Idle time is split by its reason, since each has another
remedy: nothing to do (return sooner, rent less), tasks that do not fit (another type), a team at
its limit, a kind that no waiting task may use, or capacity that fits and is still not used
(reserved by the plan, or a start is on its way).
"""

from collections.abc import Callable, Sequence
from enum import StrEnum
from typing import NamedTuple

from dappledrum.scheduling.timeline import InstanceKind, Size


class CostCategory(StrEnum):
    """What a share of a machine's cost was spent on; the value is its name in the log."""

    BOOT = "boot"  # from the request until the first heartbeat
    START_PENDING = "booked"  # a start is recorded, and no heartbeat has shown the attempt yet
    FETCH = "fetch"
    GANG_WAIT = "gather"  # has its image, waits for the rest of its gang
    RUNNING = "running"  # not over yet, so neither kept nor lost
    KEPT = "kept"  # of attempts that completed, or saved their progress
    LOST_STOPPED = "lost, stopped"  # by command: reclaim notice, preemption
    LOST_CANCELLED = "lost, cancelled"
    LOST_ERROR = "lost, failed"
    LOST_LEASE_EXPIRED = "lost, lease"  # proven by the lease: the machine is silent, or restarted
    LOST_RECLAIMED = "lost, taken"  # with the machine, which is no longer in the cloud's list
    IDLE_EMPTY = "idle, empty"  # nothing on the machine, and nothing waits
    IDLE_BESIDE_WORK = "idle, beside work"  # the same on a machine that is partly used
    IDLE_TOO_SMALL = "idle, too small"  # what waits needs more capacity than is free here
    IDLE_TEAM_LIMIT = "idle, team limit"
    IDLE_WRONG_KIND = "idle, wrong kind"  # nothing that waits may use this kind of machine
    IDLE_KEPT_FREE = "idle, kept free"  # something that waits would fit
    IDLE_UNUSABLE = "idle, unusable"  # draining, retiring, blocked or silent
    RETURNING = "returning"


class Demand(NamedTuple):
    """Waiting tasks of the same size and constraints."""

    size: Size  # of one task
    allowed: Callable[[InstanceKind], bool]  # whether they may run on this kind of machine
    team_has_capacity: bool


def idle_category(
    kind: InstanceKind, free: Size, empty: bool, demands: Sequence[Demand]
) -> CostCategory:
    """Why free capacity of a machine is not used.

    `free`: what is free on the machine; `empty`: whether nothing is placed there.
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
        elif free.times(demand.size) >= 1:
            return CostCategory.IDLE_KEPT_FREE
        else:
            category = CostCategory.IDLE_TOO_SMALL
    return category
