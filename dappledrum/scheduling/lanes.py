"""Machines as the planner sees them: a profile of free resources over time.

The paper's machine runs one task at a time. Ours runs as many as fit, so a machine counts as lanes
of the task's size, and what the paper calls the total execution time of assigned tasks is the time
until which the machine is committed.
"""

import math
from datetime import timedelta
from typing import NamedTuple

EPSILON = 1e-6


class Size(NamedTuple):
    """What a task takes of a machine, or what a machine has."""

    cpus: float
    gpus: float
    memory_gb: float

    def times(self, other: "Size") -> int:
        """How many of the other fit in here."""
        counts = [
            math.floor((have + EPSILON) / need)
            for have, need in zip(self, other, strict=True)
            if need > EPSILON
        ]
        return max(0, min(counts)) if counts else 1_000

    def minus(self, other: "Size", count: int = 1) -> "Size":
        """What is left."""
        return Size(
            self.cpus - other.cpus * count,
            self.gpus - other.gpus * count,
            self.memory_gb - other.memory_gb * count,
        )

    def plus(self, other: "Size") -> "Size":
        """Both together."""
        return self.minus(other, -1)


class Kind(NamedTuple):
    """A candidate to rent: machine type, zone, and spot or ordinary."""

    type: str
    zone: str
    spot: bool


class Gap(NamedTuple):
    """Room on a machine: from when, for how many tasks, and until when they would run."""

    start: timedelta
    count: int
    finish: timedelta


class Lanes:
    """One machine's free resources over time."""

    def __init__(
        self,
        machine: str,
        kind: Kind,
        free: Size,
        ready_at: timedelta,
        rented_at: timedelta,
        hourly: float,
        fetch_gb_per_s: float,
        interval: timedelta,
        until: timedelta | None = None,
        booting: bool = False,
    ) -> None:
        self.machine = machine
        self.kind = kind
        self.times: list[timedelta] = [ready_at]
        self.free: list[Size] = [free]
        self.ready_at = ready_at
        self.rented_at = rented_at
        self.hourly = hourly
        self.hourly_cpu = hourly / max(free.cpus, 1e-3)
        self.fetch_gb_per_s = fetch_gb_per_s
        self.interval = interval
        self.until = until
        self.booting = booting
        self.committed = ready_at
        self.images: dict[str, timedelta] = {}  # when each image is there
        self.planned = 0

    def copy(self) -> "Lanes":
        """An independent copy to try things on."""
        other = Lanes.__new__(Lanes)
        other.__dict__.update(self.__dict__)
        other.times = self.times.copy()
        other.free = self.free.copy()
        other.images = self.images.copy()
        return other

    def duration(self, run: timedelta, image: str, image_gb: float, start: timedelta) -> timedelta:
        """The estimate Q of a task that starts here then: its run time, and what is left of the
        image's fetch."""
        at = self.images.get(image)
        if at is None:
            return run + timedelta(seconds=image_gb / max(self.fetch_gb_per_s, 1e-3))
        return run + max(at - start, timedelta(0))

    def earliest(self, size: Size, run: timedelta, image: str, image_gb: float) -> Gap | None:
        """The earliest room for a task."""
        times, free = self.times, self.free
        last = len(times) - 1
        for index, start in enumerate(times):
            count = free[index].times(size)
            if count == 0:
                continue
            finish = start + self.duration(run, image, image_gb, start)
            if self.until is not None and finish > self.until:
                return None
            at = index + 1
            while at <= last and times[at] < finish and count:
                count = min(count, free[at].times(size))
                at += 1
            if count:
                return Gap(start, count, finish)
        return None

    def _cut(self, at: timedelta) -> int:
        """Index of the step that begins at this time, made if need be."""
        for index, time in enumerate(self.times):
            if time == at:
                return index
            if time > at:
                self.times.insert(index, at)
                self.free.insert(index, self.free[index - 1])
                return index
        self.times.append(at)
        self.free.append(self.free[-1])
        return len(self.times) - 1

    def reserve(self, start: timedelta, finish: timedelta, size: Size, count: int = 1) -> None:
        """Take room for some tasks of the same size."""
        first = self._cut(start)
        last = self._cut(finish)
        for index in range(first, last):
            self.free[index] = self.free[index].minus(size, count)
        self.committed = max(self.committed, finish)

    def expect(self, image: str, image_gb: float, start: timedelta) -> None:
        """An image will be fetched for a task that starts then."""
        if image not in self.images:
            self.images[image] = start + timedelta(
                seconds=image_gb / max(self.fetch_gb_per_s, 1e-3)
            )

    def intervals(self, until: timedelta) -> int:
        """Billed intervals from the rental until then."""
        return max(1, math.ceil((until - self.rented_at) / self.interval - 1e-9))

    def billed_until(self) -> timedelta:
        """End of the last interval that the machine is committed to."""
        return self.rented_at + self.intervals(self.committed) * self.interval

    def added_cost(self, finish: timedelta, fresh: bool) -> float:
        """Price of the intervals that a task until then would add; a machine not rented yet adds
        all of its own."""
        after = self.intervals(max(self.committed, finish))
        before = 0 if fresh else self.intervals(self.committed)
        return (after - before) * self.interval.total_seconds() / 3600 * self.hourly
