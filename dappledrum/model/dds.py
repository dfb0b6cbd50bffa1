"""Reference implementation of the paper's algorithms 1 and 2, without optimizations.

Written independently of the planner, from the text of the paper and the design document. Tasks are
placed one at a time, and every possible start is tried; nothing is cached or grouped. A machine is
its list of reservations; times are seconds as numbers.
"""

import math
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any


@dataclass
class PlainMachine:
    """A machine and the reservations on it."""

    name: str
    kind: str
    cpus: float
    ready: float  # when it can run the first task
    rented: float
    hourly: float  # price per hour
    fetch: float  # seconds to fetch the image
    image_at: float | None = None
    reserved: list[tuple[float, float, float]] = field(default_factory=list)  # start, finish, cpus
    fresh: bool = False  # not rented yet, so its first task adds the first interval
    spot: bool = True

    def committed(self) -> float:
        """End of the last reservation, or when the machine is ready if there is none."""
        return max([self.ready] + [finish for _, finish, _ in self.reserved])

    def used(self, at: float) -> float:
        """CPUs that are reserved at one moment."""
        return sum(cpus for start, finish, cpus in self.reserved if start <= at < finish)

    def gap(self, cpus: float, run: float) -> tuple[float, float] | None:
        """Earliest start of a task and its finish; None if it does not fit on the machine."""
        moments = sorted(
            {self.ready} | {t for s, f, _ in self.reserved for t in (s, f) if t >= self.ready}
        )
        for start in moments:
            finish = (
                start
                + run
                + (self.fetch if self.image_at is None else max(0.0, self.image_at - start))
            )
            inside = [m for m in moments if start <= m < finish]
            if all(self.used(m) + cpus <= self.cpus + 1e-6 for m in inside):
                return start, finish
        return None

    def intervals(self, until: float, length: float) -> int:
        """Number of billed intervals of `length` seconds until `until`."""
        return max(1, math.ceil((until - self.rented) / length - 1e-9))

    def cost(self, finish: float, length: float) -> float:
        """Cost that a task with this finish adds."""
        before = (
            0 if self.fresh and not self.reserved else self.intervals(self.committed(), length)
        )
        return (
            (self.intervals(max(self.committed(), finish), length) - before)
            * length
            / 3600
            * self.hourly
        )

    def take(self, start: float, finish: float, cpus: float) -> None:
        """Reserve CPUs for a task; the first one fetches the image."""
        self.reserved.append((start, finish, cpus))
        if self.image_at is None:
            self.image_at = start + self.fetch


def fill(
    machines: list[PlainMachine],
    cpus: float,
    run: float,
    count: int,
    length: float,
    now: float,
    due: float,
    waited: float = 0.0,
) -> list[tuple[str, float]]:
    """Algorithm 1 for one bag; returns the placements as machine and start.

    A task that would have to wait and would be late is not placed. A task that has waited is
    expected to wait as long again, unless the machine is booting. Capacity of spot machines that
    can be used now and in time takes precedence.
    """
    placed: list[tuple[str, float]] = []
    spot_now_only = True
    while len(placed) < count:
        options = []
        for index, machine in enumerate(machines):
            gap = machine.gap(cpus, run)
            paid_until = machine.rented + machine.intervals(machine.committed(), length) * length
            if gap is None:
                continue
            expected_wait = waited if machine.ready <= now else 0.0
            if gap[0] > now and gap[1] + expected_wait > due:
                continue
            if spot_now_only and (not machine.spot or gap[0] > now or gap[1] > due):
                continue
            if gap[1] <= paid_until + 1e-9:
                options.append(
                    (gap[1], machine.hourly / machine.cpus, -machine.committed(), index, gap[0])
                )
        if not options and not spot_now_only:
            break
        if not options:
            spot_now_only = False
            continue
        finish, _, _, index, start = min(options)
        machines[index].take(start, finish, cpus)
        placed.append((machines[index].name, start))
    return placed


def rent(
    machines: list[PlainMachine],
    offers: list[tuple[PlainMachine, int]],
    cpus: float,
    run: float,
    count: int,
    due: float,
    length: float,
    now: float,
    waited: float = 0.0,
) -> tuple[str, int, float, float] | None:
    """Algorithm 2 for one bag.

    Returns the chosen kind, the number of machines to rent, the added cost, and by how many
    seconds the latest task misses `due` (negative: finishes before it). Each offer is an unused
    machine and the maximum number to rent.
    """
    best: tuple[tuple[int, float, float], str, int, float, float] | None = None
    kinds = sorted({m.kind for m in machines} | {offer.kind for offer, _ in offers})
    for kind in kinds:
        existing = [copied(m) for m in machines if m.kind == kind]
        new_machine = next(((offer, limit) for offer, limit in offers if offer.kind == kind), None)
        rented, cost, worst_overrun, placed = 0, 0.0, -math.inf, 0
        for _ in range(count):
            candidates = list(existing)
            if new_machine is not None and rented < new_machine[1]:
                candidates.append(copied(new_machine[0]))
            scored = []
            for index, machine in enumerate(candidates):
                gap = machine.gap(cpus, run)
                if gap is None:
                    continue
                new = index >= len(existing)
                expected_wait = waited if gap[0] > now >= machine.ready else 0.0
                expected_finish = gap[1] + expected_wait
                added = machine.cost(gap[1], length)
                key = (
                    (0, added, machine.rented)
                    if expected_finish <= due
                    else (1, expected_finish, added)
                )
                scored.append((key, new, index, gap))
            if not scored:
                break
            _, new, index, (start, finish) = min(scored)
            chosen = candidates[index]
            expected_wait = waited if start > now >= chosen.ready else 0.0
            if new:
                existing.append(chosen)
                rented += 1
            cost += chosen.cost(finish, length)
            worst_overrun = max(worst_overrun, finish + expected_wait - due)
            chosen.take(start, finish, cpus)
            placed += 1
        if placed:
            score = (count - placed, 0.5 * round(max(worst_overrun, 0.0) / 0.5), cost)
            if best is None or score < best[0]:
                best = (score, kind, rented, cost, worst_overrun)
    return None if best is None else best[1:]


def copied(machine: PlainMachine) -> PlainMachine:
    """A copy with its own list of reservations."""
    return PlainMachine(
        machine.name,
        machine.kind,
        machine.cpus,
        machine.ready,
        machine.rented,
        machine.hourly,
        machine.fetch,
        machine.image_at,
        list(machine.reserved),
        machine.fresh,
        machine.spot,
    )


def no_overuse(machine: PlainMachine) -> bool:
    """Whether the reservations never exceed the CPUs of the machine."""
    moments = sorted({t for s, f, _ in machine.reserved for t in (s, f)})
    return all(machine.used(a) <= machine.cpus + 1e-6 for a, _ in pairwise(moments))


def plain_stages(
    jobs: dict[str, dict[str, Any]], optimism: float
) -> dict[str, tuple[float | None, int, int, int]]:
    """Stage deadline, rank, ready tasks and all tasks of each job of a workflow, path by path.

    Each job has `needs`, `depth`, `run`, `dues`, `rank`, `tasks` and `ready`. Deadlines and run
    times are seconds. A deadline shorter than `optimism` times the longest path can't be met, and
    is ignored.
    """

    def stage(name: str) -> list[str]:
        depth = jobs[name]["depth"]
        groups = [[name]]
        groups += [
            [need for need in job["needs"] if jobs[need]["depth"] == depth]
            for job in jobs.values()
            if name in job["needs"]
        ]
        largest = max(len(group) for group in groups)
        return next(group for group in groups if len(group) == largest)

    def longest_path(name: str) -> float:
        weight = float(max(jobs[other]["run"] for other in stage(name)))
        return weight + max((longest_path(need) for need in jobs[name]["needs"]), default=0.0)

    def with_dependents(name: str) -> set[str]:
        result = {name}
        for other, job in jobs.items():
            if name in job["needs"]:
                result |= with_dependents(other)
        return result

    result = {}
    for name in jobs:
        ratios = []
        for last in with_dependents(name):
            reachable = [due for due in jobs[last]["dues"] if due >= longest_path(last) * optimism]
            if reachable and longest_path(last) > 0:
                ratios.append(reachable[0] / longest_path(last))
        members = stage(name)
        result[name] = (
            min(ratios) * longest_path(name) if ratios else None,
            min(jobs[last]["rank"] for last in with_dependents(name)),
            sum(jobs[member]["ready"] for member in members),
            sum(jobs[member]["tasks"] for member in members),
        )
    return result
