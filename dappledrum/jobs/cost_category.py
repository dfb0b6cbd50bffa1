"""What a share of a machine's cost was spent on (docs/cost-accounting.md)."""

from enum import StrEnum


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
