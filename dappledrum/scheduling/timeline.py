"""Machines as the planner sees them: free resources as a step function of time.

The machine of the paper runs one task at a time. Here as many tasks run at once as fit, so a
machine stands for as many of the paper's lanes as tasks of one size fit on it. The paper's total
execution time of the assigned tasks corresponds to the time until which the machine is committed.
"""

import math
from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

EPSILON = 1e-6
SIGNIFICANT_OVERRUN = timedelta(milliseconds=500)  # overruns that differ by less count as equal
MAX_FIT = 1_000  # limit for tasks that need no resources


class Size(NamedTuple):
    """The resources that a task needs, or that a machine has."""

    cpus: float
    gpus: float
    memory_gb: float

    def times(self, other: "Size") -> int:
        """How many tasks of the other size fit in here. Inlined by hand, since a plan calls it
        thousands of times."""
        have_cpus, have_gpus, have_gb = self
        cpus, gpus, gb = other
        result = MAX_FIT
        if cpus > EPSILON:
            if (fit := (have_cpus + EPSILON) / cpus) < 1.0:
                return 0
            result = min(result, int(fit))
        if gb > EPSILON:
            if (fit := (have_gb + EPSILON) / gb) < 1.0:
                return 0
            result = min(result, int(fit))
        if gpus > EPSILON:
            if (fit := (have_gpus + EPSILON) / gpus) < 1.0:
                return 0
            result = min(result, int(fit))
        return result

    def minus(self, other: "Size", count: int = 1) -> "Size":
        """What is left after taking away `count` times the other size."""
        return Size(
            self.cpus - other.cpus * count,
            self.gpus - other.gpus * count,
            self.memory_gb - other.memory_gb * count,
        )

    def plus(self, other: "Size") -> "Size":
        """The sum of both sizes."""
        return self.minus(other, -1)


class InstanceKind(NamedTuple):
    """What can be rented: a machine type in a zone, as a spot or an ordinary machine."""

    type: str
    zone: str
    spot: bool


@dataclass
class Offer:
    """A kind of machine that can be rented now."""

    kind: InstanceKind
    capacity: Size
    hourly: float
    boot: timedelta
    fetch_gb_per_s: float
    interval: timedelta
    max_count: int


class Gap(NamedTuple):
    """Free capacity on a machine: its start, how many tasks fit, and when they would finish."""

    start: timedelta
    tasks: int
    finish: timedelta


def fetch_time(image_gb: float, gb_per_s: float) -> timedelta:
    """How long a machine takes to fetch an image."""
    return timedelta(seconds=image_gb / max(gb_per_s, 1e-3))


class FetchTimes:
    """How long machines take to fetch one image, cached by their transfer rate."""

    def __init__(self, image_gb: float) -> None:
        self.image_gb = image_gb
        self._times: dict[float, timedelta] = {}

    def time(self, gb_per_s: float) -> timedelta:
        """The fetch time at one transfer rate."""
        found = self._times.get(gb_per_s)
        if found is None:
            found = self._times[gb_per_s] = fetch_time(self.image_gb, gb_per_s)
        return found


class MachineTimeline:
    """The free resources of one machine over time."""

    def __init__(
        self,
        machine: str,
        kind: InstanceKind,
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
        self.rented_s = rented_at.total_seconds()
        self.hourly = hourly
        self.capacity = free.cpus
        self.hourly_cpu = hourly / max(free.cpus, 1e-3)
        self.fetch_gb_per_s = fetch_gb_per_s
        self.interval = interval
        self.until = until
        self.booting = booting
        self.committed = ready_at
        self.images: dict[str, timedelta] = {}  # when each image will be on the machine
        self.planned = 0
        self.index = 0  # among the machines of a plan
        self.interval_s = interval.total_seconds()
        self._first: dict[Size, int] = {}  # index of the first step in which a size fits
        self._billed: timedelta | None = None
        self._paid = 0  # number of billed intervals until `_billed`

    def copy(self) -> "MachineTimeline":
        """An independent copy to try things on."""
        other = MachineTimeline.__new__(MachineTimeline)
        other.__dict__.update(self.__dict__)
        other.times = self.times.copy()
        other.free = self.free.copy()
        other.images = self.images.copy()
        other._first = {}  # noqa: SLF001 - of the same class
        return other

    def first(self, size: Size) -> timedelta:
        """The first moment at which a task of this size fits, for however short a time."""
        return self.times[self._first_step(size)]

    def _first_step(self, size: Size) -> int:
        index = self._first.get(size)
        if index is None:
            index = len(self.free) - 1
            cpus, gpus, gb = size.cpus - EPSILON, size.gpus - EPSILON, size.memory_gb - EPSILON
            for at, (have_cpus, have_gpus, have_gb) in enumerate(self.free):
                if have_cpus >= cpus and have_gb >= gb and have_gpus >= gpus:
                    index = at
                    break
            self._first[size] = index
        return index

    def duration(self, run: timedelta, image: str, image_gb: float, start: timedelta) -> timedelta:
        """The estimate Q of a task that starts at this moment: its run time and what is left of
        the fetch of its image."""
        at = self.images.get(image)
        if at is None:
            return run + fetch_time(image_gb, self.fetch_gb_per_s)
        return run + max(at - start, timedelta(0))

    def earliest(self, size: Size, run: timedelta, image: str, image_gb: float) -> Gap | None:
        """The earliest gap in which a task can run to its end; None if there is none."""
        times, free = self.times, self.free
        last = len(times) - 1
        cpus, gpus, gb = size.cpus - EPSILON, size.gpus - EPSILON, size.memory_gb - EPSILON
        for index, (have_cpus, have_gpus, have_gb) in enumerate(free):
            if have_cpus < cpus or have_gb < gb or have_gpus < gpus:
                continue
            count = free[index].times(size)
            start = times[index]
            finish = start + self.duration(run, image, image_gb, start)
            if self.until is not None and finish > self.until:
                return None
            at = index + 1
            while at <= last and count and times[at] < finish:
                fit = free[at].times(size)
                if fit < count:
                    count = fit
                at += 1
            if count:
                return Gap(start, count, finish)
        return None

    def _cut(self, at: timedelta) -> int:
        """Index of the step that begins at this time; the step is created if necessary."""
        index = bisect_left(self.times, at)
        if index == len(self.times) or self.times[index] != at:
            self.times.insert(index, at)
            self.free.insert(index, self.free[index - 1])
        return index

    def reserve(self, start: timedelta, finish: timedelta, size: Size, count: int = 1) -> None:
        """Reserve resources for some tasks of the same size."""
        first = self._cut(start)
        last = self._cut(finish)
        for index in range(first, last):
            self.free[index] = self.free[index].minus(size, count)
        self._first.clear()
        if finish > self.committed:
            self.committed = finish
            self._billed = None

    def occupy(self, tasks: Iterable[tuple[timedelta, Size]]) -> None:
        """Reserve resources from the beginning on for tasks that are there already, each until its
        end; for a timeline on which nothing is reserved yet.

        The same as `reserve` for one after the other, in a single pass from the last end back:
        that cost a fifth of a leader's processor time with 29 tasks on each of 400 machines.
        """
        left = self.free[0]
        times: list[timedelta] = []
        free: list[Size] = []
        for finish, size in sorted(tasks, reverse=True):
            if finish <= self.ready_at:
                break
            if not times or times[-1] != finish:
                times.append(finish)
                free.append(left)
            left = left.minus(size)
        if times:
            self.committed = times[0]
            self._billed = None
        self.times = [self.ready_at, *reversed(times)]
        self.free = [left, *reversed(free)]
        self._first.clear()

    def expect_image(self, image: str, image_gb: float, start: timedelta) -> None:
        """Note that an image will be fetched for a task that starts at this moment."""
        if image not in self.images:
            self.images[image] = start + fetch_time(image_gb, self.fetch_gb_per_s)

    def intervals(self, until: timedelta) -> int:
        """Number of billed intervals from the rental until this moment."""
        return max(1, math.ceil((until - self.rented_at) / self.interval - 1e-9))

    def billed_until(self) -> timedelta:
        """End of the last billed interval that the committed work needs."""
        if self._billed is None:
            self._paid = self.intervals(self.committed)
            self._billed = self.rented_at + self._paid * self.interval
        return self._billed

    def added_cost(self, finish: timedelta, fresh: bool) -> float:
        """Price of the billed intervals that a task which ends at `finish` would add; for a
        machine that is not rented yet (`fresh`), of all its intervals."""
        if finish <= self.billed_until():
            more = self._paid if fresh else 0
        else:
            more = self.intervals(finish) - (0 if fresh else self._paid)
        return more * self.interval_s / 3600 * self.hourly
