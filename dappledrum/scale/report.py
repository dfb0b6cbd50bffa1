"""What a run has measured, as one JSON document."""

import msgspec
from hdrh.histogram import HdrHistogram


class Percentiles(msgspec.Struct):
    """Of a distribution, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float


def percentiles(values: HdrHistogram) -> Percentiles:
    """The usual percentiles of a histogram."""
    return Percentiles(
        count=values.total_count,
        p50=float(values.get_value_at_percentile(50)),
        p95=float(values.get_value_at_percentile(95)),
        p99=float(values.get_value_at_percentile(99)),
        most=float(values.get_max_value()),
    )


class RoleUse(msgspec.Struct):
    """What the processes of one role used in a phase."""

    role: str
    processes: int
    cores: float  # processor seconds a second, of all of them together
    memory_mb: float  # of the largest, at the end
    sockets: int  # of the one with most, at the end


class PhaseReport(msgspec.Struct):
    """One phase of a run; rates are means over it, a second."""

    name: str
    seconds: float
    workers: int  # up at the end
    answered_workers: int  # answered within a lease, at the end
    running: int  # tasks, at the end
    starts: float
    reports: float
    worker_bytes_sent: float
    worker_bytes_received: float
    state_requests: float
    state_changes: float
    state_refused: int
    state_bytes: float
    sessions_ended: int
    roles: list[RoleUse]
    first_start_s: float | None = None  # after the event at the beginning of the phase


class ScaleReport(msgspec.Struct):
    """One run. All figures are simulated: no task does any work."""

    version: str
    seed: int
    workers: int
    controllers: int
    tasks_per_worker: int
    host_processes: int
    cores_of_machine: int
    phases: list[PhaseReport]
    start_delay_ms: dict[str, Percentiles]  # from submission to a job's first task, by urgency
    submit_ms: Percentiles
    poll_ms: Percentiles
    plan_ms: Percentiles
    jobs_submitted: int
    jobs_accepted: int
    jobs_done: int
    jobs_cancelled: int
    jobs_given_up: int
    answers_refused: int
    answers_missing: int
    controllers_ended_by_themselves: int
    rules_broken: list[str]
