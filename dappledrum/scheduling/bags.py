"""What the planner is given: bags of ready tasks, and how much each team may still use."""

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
    ready: int
    unready: int
    total: int
    run: timedelta
    due: timedelta
    image: str
    image_gb: float
    allowed: Callable[[InstanceKind], bool]
    rank: tuple[float, ...] = ()  # smaller goes first; decides before the order of the paper
    one_zone: bool = False
    zone_capacity: dict[str, int] | None = None  # spread: how many more tasks each zone may take
    team: str = ""
    free_capacity_only: bool = False  # uses free capacity only, nothing is rented for it
    waited: timedelta = ZERO  # since its tasks could start
    ready_siblings: int = 0  # ready tasks of the other jobs of its stage
    cheapest_kind_only: bool = (
        False  # late in any case: only the cheaper kind of machine is rented
    )
    best_effort: bool = False  # without any deadline, so it is never late
    gang: bool = False  # its tasks run all at once or not at all
    #: It has waited for so long that room which is there now is used, whatever the machine's
    #: billed interval: queued behind other work it may wait for an interval's length.
    uses_free_capacity: bool = False


class TeamCapacity:
    """How many more resources each team may use at this moment; None: no limit."""

    def __init__(self, capacity: dict[str, Size | None]) -> None:
        self.capacity = capacity

    def count(self, bag: Bag) -> int:
        """Tasks of the bag that may still start."""
        left = self.capacity.get(bag.team)
        return (
            bag.ready
            if left is None
            else min(bag.ready, left.times(Size(bag.size.cpus, bag.size.gpus, 0.0)))
        )

    def take(self, bag: Bag, count: int) -> None:
        """Count `count` tasks of the bag as started."""
        left = self.capacity.get(bag.team)
        if left is not None:
            self.capacity[bag.team] = left.minus(Size(bag.size.cpus, bag.size.gpus, 0.0), count)
