"""Events of several processes, put into the order in which they happened."""

import heapq
from collections.abc import Callable

from dappledrum.model.rules import Rules
from dappledrum.scale.messages import Ended, Event, Started

WAIT_S = 2.0  # how late an event may come behind one of another process


class OrderedEvents:
    """Holds events back until no earlier one can come any more, then tells the rules."""

    def __init__(self, rules: Rules, began: Callable[[float, str, int], None]) -> None:
        self.rules = rules
        self.began = began
        self._heap: list[tuple[float, int, Started | Ended]] = []
        self._count = 0

    def add(self, event: Event) -> None:
        """An event has come."""
        if isinstance(event, Started | Ended):
            self._count += 1
            heapq.heappush(self._heap, (event.at, self._count, event))

    def release(self, now: float) -> None:
        """Tell the rules what happened more than `WAIT_S` ago."""
        while self._heap and self._heap[0][0] < now - WAIT_S:
            _, _, event = heapq.heappop(self._heap)
            if isinstance(event, Started):
                self.rules.started(event.at, event.machine, event.kind, event.job, event.task)
                self.began(event.at, event.job, event.task)
            else:
                self.rules.ended(event.machine, event.job, event.task, event.completed)
