"""Extrapolates what each role needs at the expected fleet size from measurements of smaller ones.

    python3 -m dappledrum.scale.capacity [DIRECTORY]

Reads the reports of scale tests in a directory (default docs/capacity), fits a straight line to
the readings of the steady phase by number of workers, and prints the tables of docs/CAPACITY.md.
"""

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import msgspec

from dappledrum.scale.report import PhaseReport, ScaleReport

DIRECTORY = Path(__file__).parents[2] / "docs" / "capacity"
PHASE = "steady"
TARGET_WORKERS = 10_000
MIN_SIZES = 4
PAGE_START = "<!-- computed: python3 -m dappledrum.scale.capacity -->"
PAGE_END = "<!-- end of what is computed -->"


class Hardware(NamedTuple):
    """Limits of one controller's machine, and of the store of a region."""

    cores: float = 1.0  # a controller is one process that uses one core
    memory_mb: float = 1024.0
    sockets: float = 16_000.0
    state_requests: float = 200.0  # per second
    state_changes: float = 80.0  # per second
    worker_bytes: float = 18_000.0  # per second and worker, in both directions

    def scaled(self, factor: float) -> "Hardware":
        """Return these limits times a factor, except for the traffic of a worker."""
        return Hardware(
            cores=self.cores * factor,
            memory_mb=self.memory_mb * factor,
            sockets=self.sockets * factor,
            state_requests=self.state_requests * factor,
            state_changes=self.state_changes * factor,
            worker_bytes=self.worker_bytes,
        )


class Line(NamedTuple):
    """Least-squares line through readings by number of workers."""

    slope: float
    intercept: float
    residual: float  # largest distance of a reading from the line / largest reading

    def at(self, workers: float) -> float:
        """Return the value of the line at a number of workers."""
        return self.intercept + self.slope * workers

    def reaches(self, limit: float) -> float | None:
        """Return the workers at which the line reaches a limit, or None if it does not rise."""
        return (limit - self.intercept) / self.slope if self.slope > 0 else None


def fit(points: Iterable[tuple[float, float]]) -> Line:
    """Fit a line to pairs of workers and reading; raises ValueError unless there are two sizes."""
    known = list(points)
    if len({x for x, _ in known}) < 2:
        raise ValueError("a line needs readings at two sizes")
    mean_x = sum(x for x, _ in known) / len(known)
    mean_y = sum(y for _, y in known) / len(known)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in known) / sum(
        (x - mean_x) ** 2 for x, _ in known
    )
    intercept = mean_y - slope * mean_x
    largest = max(abs(y) for _, y in known) or 1.0
    residual = max(abs(y - intercept - slope * x) for x, y in known) / largest
    return Line(slope, intercept, residual)


class Need(NamedTuple):
    """One row of the table: a reading, its limit, and the mechanism that bounds the reading."""

    name: str
    unit: str
    read: Callable[[PhaseReport], float]
    limit: Callable[[Hardware], float]
    mechanism: str
    per_worker: bool = False  # the reading is per worker, so it does not grow with the fleet


def _role_field(role: str, field: str) -> Callable[[PhaseReport], float]:
    """Return a function that reads a field of a role; cores are averaged over its processes."""

    def read(phase: PhaseReport) -> float:
        use = next(use for use in phase.roles if use.role == role)
        return use.cores / use.processes if field == "cores" else float(getattr(use, field))

    return read


NEEDS = (
    Need(
        "leader, processor",
        "cores",
        _role_field("leader", "cores"),
        lambda hardware: hardware.cores,
        "one leader for each partition of the fleet; missing",
    ),
    Need(
        "leader, memory",
        "MB",
        _role_field("leader", "memory_mb"),
        lambda hardware: hardware.memory_mb,
        "records of live jobs only; exists",
    ),
    Need(
        "leader, sockets",
        "",
        _role_field("leader", "sockets"),
        lambda hardware: hardware.sockets,
        "connection limits by role; exists",
    ),
    Need(
        "follower, processor",
        "cores",
        _role_field("follower", "cores"),
        lambda hardware: hardware.cores,
        "any controller serves users; exists",
    ),
    Need(
        "follower, memory",
        "MB",
        _role_field("follower", "memory_mb"),
        lambda hardware: hardware.memory_mb,
        "nothing but final states is kept; exists",
    ),
    Need(
        "state service, requests",
        "a second",
        lambda phase: phase.state_requests,
        lambda hardware: hardware.state_requests,
        "polls share readings; exists",
    ),
    Need(
        "state service, changes",
        "a second",
        lambda phase: phase.state_changes,
        lambda hardware: hardware.state_changes,
        "starts and ends of a wave in one page; a state service for each region; missing",
    ),
    Need(
        "worker, bytes",
        "a second",
        lambda phase: (phase.worker_bytes_sent + phase.worker_bytes_received) / phase.workers,
        lambda hardware: hardware.worker_bytes,
        "reports every 3 s and on changes; exists",
        per_worker=True,
    ),
)


def load(directory: Path) -> list[ScaleReport]:
    """Load all reports, sorted by number of workers; raises ValueError if one is malformed."""
    reports = []
    for path in sorted(directory.glob("*.json")):
        try:
            reports.append(msgspec.json.decode(path.read_bytes(), type=ScaleReport))
        except msgspec.DecodeError as error:
            raise ValueError(f"{path}: {error}") from error
    return sorted(reports, key=lambda report: report.workers)


def _phase(report: ScaleReport) -> PhaseReport:
    return next(phase for phase in report.phases if phase.name == PHASE)


def _number(value: float) -> str:
    return f"{value:.3g}" if abs(value) < 1000 else f"{value:,.0f}"


def rows(reports: list[ScaleReport], hardware: Hardware) -> list[str]:
    """Return the rows of the table, one for each need."""
    result = []
    phases = [_phase(report) for report in reports]
    for need in NEEDS:
        points = [(float(phase.workers), need.read(phase)) for phase in phases]
        line = fit(points)
        readings = ", ".join(_number(value) for _, value in points)
        limit = need.limit(hardware)
        if need.per_worker or line.slope <= 0:  # does not grow with the fleet
            value = max(y for _, y in points)
            slope, limit_workers = "none", "none" if value <= limit else "any"
        else:
            value = line.at(TARGET_WORKERS)
            slope = f"{line.slope * 1000:.3g}"
            reached = line.reaches(limit)
            limit_workers = "none" if reached is None else f"{reached:,.0f}"
        result.append(
            f"| {need.name} | {need.unit} | {readings} | {slope} | {line.residual:.0%} |"
            f" {_number(value)} | {_number(limit)} | {limit_workers} | {need.mechanism} |"
        )
    return result


def table(reports: list[ScaleReport], hardware: Hardware) -> str:
    """Return a table in the format of docs/CAPACITY.md."""
    sizes = ", ".join(f"{_phase(report).workers:,}" for report in reports)
    head = [
        f"| need | unit | measured at {sizes} workers | slope per 1,000 workers | residual |"
        f" at {TARGET_WORKERS:,} | limit | reached at workers | mechanism |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    return "\n".join(head + rows(reports, hardware))


def page_tables(reports: list[ScaleReport]) -> str:
    """Return the tables for the assumed hardware, half of it and twice as much."""
    parts = []
    for factor in (1.0, 0.5, 2.0):
        hardware = Hardware().scaled(factor)
        parts.append(f"**{factor:g} times the assumed hardware**\n\n{table(reports, hardware)}")
    return "\n\n".join(parts)


def main(argv: list[str] | None = None) -> int:
    """Print the tables of docs/CAPACITY.md."""
    arguments = sys.argv[1:] if argv is None else argv
    print(page_tables(load(Path(arguments[0]) if arguments else DIRECTORY)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
