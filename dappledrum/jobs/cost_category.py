"""Cost categories of the cost accounting (docs/cost-accounting.md)."""

from enum import StrEnum


class CostCategory(StrEnum):
    """What a share of a machine's cost was spent on; the value is its name in the log."""

    BOOT = "boot"  # from the request until the first heartbeat
    START_PENDING = "booked"  # a start is recorded, and no heartbeat has shown the attempt yet
    FETCH = "fetch"
    GANG_WAIT = "gather"  # the image is fetched, other tasks of the gang are not ready yet
    RUNNING = "running"  # the attempt has not ended, so its cost is neither kept nor lost yet
    KEPT = "kept"  # the attempt completed, or saved its progress
    LOST_STOPPED = "lost, stopped"  # stopped by a command, as by preemption or a reclaim notice
    LOST_CANCELLED = "lost, cancelled"
    LOST_ERROR = "lost, failed"
    LOST_LEASE_EXPIRED = "lost, lease"  # the machine was silent for its lease, or restarted
    LOST_RECLAIMED = "lost, taken"  # the cloud has confirmed the return of the machine
    IDLE_EMPTY = "idle, empty"  # no task on the machine, and none waiting
    IDLE_BESIDE_WORK = "idle, beside work"  # tasks on the machine, and none waiting
    IDLE_TOO_SMALL = "idle, too small"  # waiting tasks need more capacity than is free here
    IDLE_TEAM_LIMIT = "idle, team limit"
    IDLE_WRONG_KIND = "idle, wrong kind"  # no waiting task may use this kind of machine
    IDLE_KEPT_FREE = "idle, kept free"  # a waiting task would fit
    IDLE_UNUSABLE = "idle, unusable"  # the machine is draining, retiring, blocked or silent
    RETURNING = "returning"
