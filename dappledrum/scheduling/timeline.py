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

EPSILON = 1e-6  # CPUs, GPUs or GB by which rounded sums may exceed the free resources
SIGNIFICANT_OVERRUN = timedelta(milliseconds=500)  # overruns that differ by less count as equal
MAX_TASKS_PER_MACHINE = 1_000  # bounds the count of tasks that need no resources


class Size(NamedTuple):
    """The resources that a task needs, or that a machine has."""

    cpus: float
    gpus: float
    memory_gb: float

    def fit_count(self, other: "Size") -> int:
        """How many tasks of the other size fit. Inlined by hand, since a plan calls it thousands
        of times."""
        free_cpus, free_gpus, free_gb = self
        cpus, gpus, gb = other
        count = MAX_TASKS_PER_MACHINE
        if cpus > EPSILON:
            if (fit := (free_cpus + EPSILON) / cpus) < 1.0:
                return 0
            count = min(count, int(fit))
        if gb > EPSILON:
            if (fit := (free_gb + EPSILON) / gb) < 1.0:
                return 0
            count = min(count, int(fit))
        if gpus > EPSILON:
            if (fit := (free_gpus + EPSILON) / gpus) < 1.0:
                return 0
            count = min(count, int(fit))
        return count

    def minus(self, other: "Size", count: int = 1) -> "Size":
        """What remains after subtracting `count` times the other size."""
        return Size(
            self.cpus - other.cpus * count,
            self.gpus - other.gpus * count,
            self.memory_gb - other.memory_gb * count,
        )

    def plus(self, other: "Size") -> "Size":
        """The sum of both sizes."""
        return self.minus(other, -1)


class InstanceKind(NamedTuple):
    """What can be rented: a machine type in a zone, as a spot or an on-demand machine."""

    type: str
    zone: str
    spot: bool


@dataclass
class Offer:
    """A kind of machine that can be rented now."""

    kind: InstanceKind
    capacity: Size
    hourly_price: float
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
        cached = self._times.get(gb_per_s)
        if cached is None:
            cached = self._times[gb_per_s] = fetch_time(self.image_gb, gb_per_s)
        return cached


class MachineTimeline:
    """The free resources of one machine over time."""

    def __init__(
        self,
        machine: str,
        kind: InstanceKind,
        free: Size,
        ready_at: timedelta,
        rented_at: timedelta,
        hourly_price: float,
        fetch_gb_per_s: float,
        interval: timedelta,
        available_until: timedelta | None = None,
        booting: bool = False,
    ) -> None:
        self.machine = machine
        self.kind = kind
        self.times: list[timedelta] = [ready_at]
        self.free: list[Size] = [free]
        self.ready_at = ready_at
        self.rented_at = rented_at
        self.rented_s = rented_at.total_seconds()
        self.hourly_price = hourly_price
        self.capacity = free.cpus
        self.hourly_price_per_cpu = hourly_price / max(free.cpus, 1e-3)
        self.fetch_gb_per_s = fetch_gb_per_s
        self.interval = interval
        self.available_until = available_until
        self.booting = booting
        self.committed = ready_at  # end of the last reservation
        self.images: dict[str, timedelta] = {}  # moment at which each image is on the machine
        self.planned = 0  # tasks that the plan places on the machine
        self.index = 0  # among the machines of a plan
        self.interval_s = interval.total_seconds()
        self._first_steps: dict[Size, int] = {}  # index of the first step at which a size fits
        self._billed_until: timedelta | None = None
        self._billed_intervals = 0  # number of billed intervals until `_billed_until`

    def copy(self) -> "MachineTimeline":
        """An independent copy for a trial placement."""
        other = MachineTimeline.__new__(MachineTimeline)
        other.__dict__.update(self.__dict__)
        other.times = self.times.copy()
        other.free = self.free.copy()
        other.images = self.images.copy()
        other._first_steps = {}  # noqa: SLF001 - of the same class
        return other

    def first_free(self, size: Size) -> timedelta:
        """The first moment at which a task of this size fits, even for a short time only."""
        return self.times[self._first_step(size)]

    def _first_step(self, size: Size) -> int:
        index = self._first_steps.get(size)
        if index is None:
            index = len(self.free) - 1
            cpus, gpus, gb = size.cpus - EPSILON, size.gpus - EPSILON, size.memory_gb - EPSILON
            for at, (free_cpus, free_gpus, free_gb) in enumerate(self.free):
                if free_cpus >= cpus and free_gb >= gb and free_gpus >= gpus:
                    index = at
                    break
            self._first_steps[size] = index
        return index

    def duration(self, run: timedelta, image: str, image_gb: float, start: timedelta) -> timedelta:
        """The estimate Q of a task that starts at this moment: its run time and the remaining time
        of the fetch of its image."""
        image_at = self.images.get(image)
        if image_at is None:
            return run + fetch_time(image_gb, self.fetch_gb_per_s)
        return run + max(image_at - start, timedelta(0))

    def earliest(self, size: Size, run: timedelta, image: str, image_gb: float) -> Gap | None:
        """The earliest gap in which a task can run to its end; None if there is none."""
        times, free = self.times, self.free
        last = len(times) - 1
        cpus, gpus, gb = size.cpus - EPSILON, size.gpus - EPSILON, size.memory_gb - EPSILON
        for index, (free_cpus, free_gpus, free_gb) in enumerate(free):
            if free_cpus < cpus or free_gb < gb or free_gpus < gpus:
                continue
            count = free[index].fit_count(size)
            start = times[index]
            finish = start + self.duration(run, image, image_gb, start)
            if self.available_until is not None and finish > self.available_until:
                return None
            at = index + 1
            while at <= last and count and times[at] < finish:
                fit = free[at].fit_count(size)
                if fit < count:
                    count = fit
                at += 1
            if count:
                return Gap(start, count, finish)
        return None

    def _split_step(self, at: timedelta) -> int:
        """Index of the step that begins at this time; the step is created if necessary."""
        index = bisect_left(self.times, at)
        if index == len(self.times) or self.times[index] != at:
            self.times.insert(index, at)
            self.free.insert(index, self.free[index - 1])
        return index

    def reserve(self, start: timedelta, finish: timedelta, size: Size, count: int = 1) -> None:
        """Reserve resources for some tasks of the same size."""
        first = self._split_step(start)
        last = self._split_step(finish)
        for index in range(first, last):
            self.free[index] = self.free[index].minus(size, count)
        self._first_steps.clear()
        if finish > self.committed:
            self.committed = finish
            self._billed_until = None

    def occupy(self, tasks: Iterable[tuple[timedelta, Size]]) -> None:
        """Reserve resources for tasks that are placed already, each from the beginning to its end;
        only for a timeline on which nothing is reserved yet.

        Has the same result as `reserve` for each task, but in a single pass from the last end
        back: separate calls cost a fifth of a leader's processor time with 29 tasks on each of 400
        machines.
        """
        free_now = self.free[0]
        times: list[timedelta] = []
        free: list[Size] = []
        for finish, size in sorted(tasks, reverse=True):
            if finish <= self.ready_at:
                break
            if not times or times[-1] != finish:
                times.append(finish)
                free.append(free_now)
            free_now = free_now.minus(size)
        if times:
            self.committed = times[0]
            self._billed_until = None
        self.times = [self.ready_at, *reversed(times)]
        self.free = [free_now, *reversed(free)]
        self._first_steps.clear()

    def expect_image(self, image: str, image_gb: float, start: timedelta) -> None:
        """Record that an image will be fetched for a task that starts at this moment."""
        if image not in self.images:
            self.images[image] = start + fetch_time(image_gb, self.fetch_gb_per_s)

    def intervals(self, until: timedelta) -> int:
        """Number of billed intervals from the rental until this moment."""
        return max(1, math.ceil((until - self.rented_at) / self.interval - 1e-9))

    def billed_until(self) -> timedelta:
        """End of the last billed interval that the committed work needs."""
        if self._billed_until is None:
            self._billed_intervals = self.intervals(self.committed)
            self._billed_until = self.rented_at + self._billed_intervals * self.interval
        return self._billed_until

    def added_cost(self, finish: timedelta, newly_rented: bool) -> float:
        """Price of the billed intervals that a task which ends at `finish` would add; for a
        machine that is not rented yet (`newly_rented`), of all its intervals."""
        if finish <= self.billed_until():
            added_intervals = self._billed_intervals if newly_rented else 0
        else:
            added_intervals = self.intervals(finish) - (
                0 if newly_rented else self._billed_intervals
            )
        return added_intervals * self.interval_s / 3600 * self.hourly_price
