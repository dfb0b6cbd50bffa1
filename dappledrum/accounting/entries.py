"""The lines of the accounts, and the reasons for which a machine is idle.

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


class Entry(StrEnum):
    """A line of the accounts."""

    BOOT = "boot"  # from the request until the worker reports
    BOOKED = "booked"  # a start is recorded, and no report has shown the attempt yet
    FETCH = "fetch"
    GATHER = "gather"  # has its image, waits for the rest of its gang
    RUNNING = "running"  # not over yet, so neither kept nor lost
    KEPT = "kept"  # of attempts that completed, or saved their progress
    LOST_STOPPED = "lost, stopped"  # by command: spot notice, room for others
    LOST_CANCELLED = "lost, cancelled"
    LOST_ERROR = "lost, failed"
    LOST_SILENT = "lost, lease"  # proven by the lease: the machine is silent, or began a session
    LOST_TAKEN = "lost, taken"  # with the machine, by the cloud's word
    IDLE = "idle, empty"  # nothing on the machine, and nothing waits
    REST = "idle, beside work"  # the same on a machine that is partly used
    NO_FIT = "idle, too small"  # what waits needs more room than is free here
    NO_TEAM = "idle, team limit"
    NO_KIND = "idle, wrong kind"  # nothing that waits may use this kind of machine
    KEEPING = "idle, kept free"  # something that waits would fit
    UNUSABLE = "idle, unusable"  # draining, retiring, blocked or silent
    RETURNING = "returning"


class Demand(NamedTuple):
    """Waiting tasks of the same size and demands."""

    size: Size
    allowed: Callable[[InstanceKind], bool]
    team_has_capacity: bool


def why_idle(kind: InstanceKind, free: Size, empty: bool, demands: Sequence[Demand]) -> Entry:
    """Why free capacity of a machine is not used."""
    if not demands:
        return Entry.IDLE if empty else Entry.REST
    found = Entry.NO_KIND
    for want in demands:
        if not want.allowed(kind):
            continue
        if not want.team_has_capacity:
            found = Entry.NO_TEAM if found is Entry.NO_KIND else found
        elif free.times(want.size) >= 1:
            return Entry.KEEPING
        else:
            found = Entry.NO_FIT
    return found
