"""Algorithms 1 and 2 in the plainest form: one task at a time, and every time step tried.

Written apart from the planner, from the paper's text and DESIGN. A machine is its list of
reservations; times are seconds as numbers. Nothing is cached, copied or taken in groups.
"""

import math
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Any


@dataclass
class PlainMachine:
    """A machine with what is reserved on it."""

    name: str
    kind: str
    cpus: float
    ready: float
    rented: float
    hourly: float
    fetch: float  # seconds to fetch the image
    image_at: float | None = None
    reserved: list[tuple[float, float, float]] = field(default_factory=list)  # start, finish, cpus
    fresh: bool = False
    spot: bool = True

    def committed(self) -> float:
        """Until when the machine has something to do."""
        return max([self.ready] + [finish for _, finish, _ in self.reserved])

    def used(self, at: float) -> float:
        """CPUs that are taken at one moment."""
        return sum(cpus for start, finish, cpus in self.reserved if start <= at < finish)

    def gap(self, cpus: float, run: float) -> tuple[float, float] | None:
        """Earliest start and the finish of a task."""
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
        """Billed intervals until then."""
        return max(1, math.ceil((until - self.rented) / length - 1e-9))

    def cost(self, finish: float, length: float) -> float:
        """Price that a task until then adds."""
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
        """Reserve."""
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
    """Algorithm 1 for one bag: the placements, as machine and start.

    A task that would wait and be late is left out; one that has waited is expected to wait as long
    again, unless the machine boots. Room on spot machines that can be used now, and in time, goes
    before all other.
    """
    placed: list[tuple[str, float]] = []
    cheap = True
    while len(placed) < count:
        options = []
        for index, machine in enumerate(machines):
            gap = machine.gap(cpus, run)
            paid_until = machine.rented + machine.intervals(machine.committed(), length) * length
            if gap is None:
                continue
            again = waited if machine.ready <= now else 0.0
            if gap[0] > now and gap[1] + again > due:
                continue
            if cheap and (not machine.spot or gap[0] > now or gap[1] > due):
                continue
            if gap[1] <= paid_until + 1e-9:
                options.append(
                    (gap[1], machine.hourly / machine.cpus, -machine.committed(), index, gap[0])
                )
        if not options and not cheap:
            break
        if not options:
            cheap = False
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
    """Algorithm 2 for one bag: the kind chosen, machines to rent, added cost and worst overrun."""
    best: tuple[tuple[int, float, float], str, int, float, float] | None = None
    kinds = sorted({m.kind for m in machines} | {o.kind for o, _ in offers})
    for kind in kinds:
        mine = [copied(m) for m in machines if m.kind == kind]
        new_machine = next(((o, most) for o, most in offers if o.kind == kind), None)
        rented, cost, worst, done = 0, 0.0, -math.inf, 0
        for _ in range(count):
            candidates = list(mine)
            if new_machine is not None and rented < new_machine[1]:
                candidates.append(copied(new_machine[0]))
            scored = []
            for index, machine in enumerate(candidates):
                gap = machine.gap(cpus, run)
                if gap is None:
                    continue
                new = index >= len(mine)
                again = waited if gap[0] > now >= machine.ready else 0.0
                likely = gap[1] + again
                added = machine.cost(gap[1], length)
                key = (0, added, machine.rented) if likely <= due else (1, likely, added)
                scored.append((key, new, index, gap))
            if not scored:
                break
            _, new, index, (start, finish) = min(scored)
            chosen = candidates[index]
            again = waited if start > now >= chosen.ready else 0.0
            if new:
                mine.append(chosen)
                rented += 1
            cost += chosen.cost(finish, length)
            worst = max(worst, finish + again - due)
            chosen.take(start, finish, cpus)
            done += 1
        if done:
            score = (count - done, 0.5 * round(max(worst, 0.0) / 0.5), cost)
            if best is None or score < best[0]:
                best = (score, kind, rented, cost, worst)
    return None if best is None else best[1:]


def copied(machine: PlainMachine) -> PlainMachine:
    """An independent copy."""
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
    """At no moment is more taken than there is."""
    moments = sorted({t for s, f, _ in machine.reserved for t in (s, f)})
    return all(machine.used(a) <= machine.cpus + 1e-6 for a, _ in pairwise(moments))


def plain_stages(
    jobs: dict[str, dict[str, Any]], optimism: float
) -> dict[str, tuple[float | None, int, int, int]]:
    """Stage due, rank, ready and all tasks of each job of a workflow, path by path.

    Each job: `needs`, `depth`, `run`, `dues`, `rank`, `tasks`, `ready`.
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

    def after(name: str) -> set[str]:
        result = {name}
        for other, job in jobs.items():
            if name in job["needs"]:
                result |= after(other)
        return result

    result = {}
    for name in jobs:
        ratios = []
        for last in after(name):
            kept = [due for due in jobs[last]["dues"] if due >= longest_path(last) * optimism]
            if kept and longest_path(last) > 0:
                ratios.append(kept[0] / longest_path(last))
        members = stage(name)
        result[name] = (
            min(ratios) * longest_path(name) if ratios else None,
            min(jobs[last]["rank"] for last in after(name)),
            sum(jobs[member]["ready"] for member in members),
            sum(jobs[member]["tasks"] for member in members),
        )
    return result
