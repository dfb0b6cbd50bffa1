"""Input of the planner: bags of ready tasks, and the resources that each team may still use."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from dappledrum.scheduling.timeline import InstanceKind, Size
from dappledrum.timing.clock import ZERO


@dataclass
class Bag:
    """The ready tasks of one stage of a pipeline: identical, and independent of each other."""

    id: str
    size: Size
    ready: int  # tasks that may start now
    unready: int  # unfinished tasks of the stage that are not ready
    total: int  # tasks of the stage; in a workflow, without those that are done
    run: timedelta  # estimated run time of a task, without the fetch of its image
    due: timedelta  # deadline, as a moment on the planner's clock
    image: str
    image_gb: float
    allowed: Callable[[InstanceKind], bool]
    rank: tuple[float, ...] = ()  # smaller goes first; decides before the order of the paper
    one_zone: bool = False
    zone_capacity: dict[str, int] | None = None  # spread: tasks that each zone may still take
    team: str = ""
    free_capacity_only: bool = False  # no machine is rented for it
    waited: timedelta = ZERO  # time since its tasks could start
    ready_siblings: int = 0  # ready tasks of the other jobs of its stage
    #: It misses its deadline in any case: no on-demand machine is rented where spot is allowed.
    cheapest_kind_only: bool = False
    best_effort: bool = False  # has no deadline, so it is never late
    gang: bool = False  # its tasks run together or not at all
    #: It has waited so long that it uses capacity that is free now, even if that adds a billed
    #: interval: queued behind other work it could wait for the length of an interval.
    uses_free_capacity: bool = False


class TeamCapacity:
    """Resources that each team may still use; None: no limit."""

    def __init__(self, capacity: dict[str, Size | None]) -> None:
        self.capacity = capacity

    def max_startable(self, bag: Bag) -> int:
        """Number of tasks of the bag that the team's limit allows to start."""
        remaining = self.capacity.get(bag.team)
        return (
            bag.ready
            if remaining is None
            else min(bag.ready, remaining.fit_count(Size(bag.size.cpus, bag.size.gpus, 0.0)))
        )

    def take(self, bag: Bag, count: int) -> None:
        """Count `count` tasks of the bag as started."""
        remaining = self.capacity.get(bag.team)
        if remaining is not None:
            self.capacity[bag.team] = remaining.minus(
                Size(bag.size.cpus, bag.size.gpus, 0.0), count
            )
