"""Events of several processes, put into the order in which they happened."""

import heapq
from collections.abc import Callable
from functools import partial

from dappledrum.model.invariants import Invariants
from dappledrum.scale.messages import Ended, Event, Started

WAIT_S = 2.0  # how late an event may come behind one of another process


class OrderedEvents:
    """Holds events back until no earlier one can come any more, then tells the rules."""

    def __init__(self, rules: Invariants, began: Callable[[float, str, int], None]) -> None:
        self.rules = rules
        self.began = began
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, event: Event) -> None:
        """An event has come."""
        if isinstance(event, Started):
            self.at(event.at, partial(self._started, event))
        elif isinstance(event, Ended):
            self.at(event.at, partial(self._ended, event))

    def at(self, at: float, tell: Callable[[], None]) -> None:
        """Something else that the rules are to be told of, such as an answer to a user."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, tell))

    def release(self, now: float) -> None:
        """Tell the rules what happened more than `WAIT_S` ago."""
        while self._heap and self._heap[0][0] < now - WAIT_S:
            heapq.heappop(self._heap)[2]()

    def _started(self, event: Started) -> None:
        self.rules.started(event.at, event.machine, event.kind, event.job, event.task)
        self.began(event.at, event.job, event.task)

    def _ended(self, event: Ended) -> None:
        self.rules.ended(event.machine, event.job, event.task, event.completed)
