"""Orders the events of several processes by the time at which they happened."""

import heapq
from collections.abc import Callable
from functools import partial

from dappledrum.model.invariants import Invariants
from dappledrum.scale.messages import Ended, Event, Started

MAX_EVENT_DELAY_S = 2.0  # between an event and its arrival from another process


class OrderedEvents:
    """Holds events until no earlier one can still arrive, then passes them to the invariants."""

    def __init__(
        self, invariants: Invariants, on_start: Callable[[float, str, int], None]
    ) -> None:
        self.invariants = invariants
        self.on_start = on_start  # called with the time, job and number of a task
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    def add(self, event: Event) -> None:
        """Add an event of a child process; events other than starts and ends are ignored."""
        if isinstance(event, Started):
            self.add_call(event.at, partial(self._apply_start, event))
        elif isinstance(event, Ended):
            self.add_call(event.at, partial(self._apply_end, event))

    def add_call(self, at: float, call: Callable[[], None]) -> None:
        """Add a call for anything else that happened, such as an answer to a user."""
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, call))

    def release(self, now: float) -> None:
        """Pass on every event that happened more than `MAX_EVENT_DELAY_S` before `now`."""
        while self._heap and self._heap[0][0] < now - MAX_EVENT_DELAY_S:
            heapq.heappop(self._heap)[2]()

    def _apply_start(self, event: Started) -> None:
        self.invariants.started(event.at, event.machine, event.kind, event.job, event.task)
        self.on_start(event.at, event.job, event.task)

    def _apply_end(self, event: Ended) -> None:
        self.invariants.ended(event.machine, event.job, event.task, event.completed)
