"""Report of a run, written as one JSON document."""

import msgspec
from hdrh.histogram import HdrHistogram


class Percentiles(msgspec.Struct):
    """Percentiles of a distribution, in milliseconds."""

    count: int
    p50: float
    p95: float
    p99: float
    most: float  # the maximum


def percentiles(values: HdrHistogram) -> Percentiles:
    """Return the count, percentiles and maximum of a histogram."""
    return Percentiles(
        count=values.total_count,
        p50=float(values.get_value_at_percentile(50)),
        p95=float(values.get_value_at_percentile(95)),
        p99=float(values.get_value_at_percentile(99)),
        most=float(values.get_max_value()),
    )


class RoleUse(msgspec.Struct):
    """Resource usage of the processes of one role in a phase."""

    role: str
    processes: int
    cores: float  # CPU seconds per second, summed over the processes
    memory_mb: float  # of the process with the most, at the end
    sockets: int  # open file descriptors of the process with the most, at the end


class PhaseReport(msgspec.Struct):
    """One phase of a run; rates are means over the phase, per second."""

    name: str
    seconds: float
    workers: int  # running at the end
    answered_workers: int  # with a heartbeat answered less than one lease before the end
    running: int  # tasks, at the end
    starts: float  # of tasks
    reports: float  # heartbeats of workers
    worker_bytes_sent: float
    worker_bytes_received: float
    state_requests: float
    state_changes: float
    state_refused: int  # number of store requests above the rate limit
    state_bytes: float
    sessions_ended: int  # worker sessions that ended because their lease expired
    roles: list[RoleUse]
    first_start_s: float | None = None  # from the start of the phase to the first start of a task


class ScaleReport(msgspec.Struct):
    """One run. All figures are simulated: tasks only wait."""

    version: str
    seed: int
    workers: int
    controllers: int
    tasks_per_worker: int
    host_processes: int  # that share the workers
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
