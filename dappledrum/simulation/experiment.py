"""Runs a day file in a simulated cluster, in virtual time, and reports the effect of each fault.

    python3 -m dappledrum.simulation.experiment DAY.toml [--machines 60] [--seeds 3] [--back 0.3]
                                              [--until S] [--report FILE] [--trace FILE]

Runs five complete controllers with a busy fleet, and checks the invariants on each step. The
report (JSON) has figures that the bench lacks: seconds without a leader, the longest time in which
no heartbeat of a machine was answered, sessions that ended, and for each fault, up to the next
one, the seconds until nine tenths of the tasks that ran before it run again, the machines rented
within 10 s, and the requests in the 10 s before and after it. All figures are simulated. Crashed
controllers restart after `--back` seconds; users submit jobs until `--until`.
"""

import argparse
import asyncio
import logging
import statistics
import sys
from collections import Counter, deque
from pathlib import Path

import msgspec

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.day_file import Day, DayError, load
from dappledrum.simulation.faults.base import Fault
from dappledrum.simulation.trace import MessageTrace
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{index}" for index in range(5))
SAMPLE_INTERVAL_S = 0.25
RENTED_WITHIN_S = 10.0
REQUESTS_WITHIN_S = 10.0
RECOVERED_SHARE = 0.9
TASK_RUN_S = 12.0
TASKS_PER_JOB = 20
CPUS_PER_TASK = 2.0
MAX_SUBMIT_TRIES = 60  # of a user, one second apart, as the protocol prescribes
TARGET_UTILIZATION = 0.7  # of the machines


class FaultEffects(msgspec.Struct):
    """The effects of one fault, observed until the next one."""

    at_s: float
    kind: str
    running_before: int
    #: Seconds until nine tenths of the tasks ran again for good; None: not before the next fault.
    back_s: float | None = None
    rented: int = 0
    #: Requests by the first part of their path, in `REQUESTS_WITHIN_S` before and after it.
    requests_before: dict[str, int] = {}
    requests_after: dict[str, int] = {}


class Report(msgspec.Struct, rename={"faults": "troubles"}):
    """The figures of one run of a day."""

    day: str
    seed: int
    machines: int
    jobs: int
    accepted: int  # users gave up on the others after `MAX_SUBMIT_TRIES` tries without an answer
    no_leader_s: float
    gap_median_s: float
    gap_most_s: float
    sessions_ended: int
    tasks_started: int
    tasks_wanted: int
    rented: int
    state_requests_per_s: float
    state_changes_per_s: float
    first_task_s: float  # the longest wait of an accepted job for its first task
    unanswered_s: float  # the longest time without an answer about one job, after all faults
    faults: list[FaultEffects]


class _Sampler:
    """Starts the faults of a day, and samples the cluster every `SAMPLE_INTERVAL_S`."""

    def __init__(self, cluster: SimulatedCluster, day: Day, restart_delay_s: float) -> None:
        self.cluster = cluster
        self.restart_delay_s = restart_delay_s
        self.pending_faults: list[Fault] = sorted(day.faults, key=lambda fault: fault.at_s)
        self.observed: list[tuple[FaultEffects, float, int, Counter[str]]] = []
        self.leaderless_s = 0.0
        self.longest_gaps: dict[str, float] = {}
        self.sessions: dict[str, int] = {}
        #: Requests sent so far, by the first part of their path, at each sample.
        self.sent: deque[Counter[str]] = deque(maxlen=round(REQUESTS_WITHIN_S / SAMPLE_INTERVAL_S))

    def sample(self, now: float) -> None:
        """Start the faults that are due, and update the figures."""
        cluster = self.cluster
        sent = cluster.network.sent.copy()
        self.sent.append(sent)
        running = len(cluster.rules.running)
        while self.pending_faults and self.pending_faults[0].at_s <= now:
            fault = self.pending_faults.pop(0)
            effects = FaultEffects(fault.at_s, fault.kind, running)
            effects.requests_before = dict(sent - self.sent[0])
            self.observed.append((effects, now, cluster.cloud.last_number, sent))
            fault.begin(cluster, self.restart_delay_s)
        self.leaderless_s += SAMPLE_INTERVAL_S * (cluster.leader() is None)
        for worker in cluster.cloud.workers():
            gap = now - worker.answered_at
            self.longest_gaps[worker.name] = max(self.longest_gaps.get(worker.name, 0.0), gap)
            self.sessions[worker.name] = worker.session
        for effects, started_at, last_machine, sent_before in self.observed:
            if now - started_at <= RENTED_WITHIN_S:
                effects.rented = cluster.cloud.last_number - last_machine
            if now - started_at <= REQUESTS_WITHIN_S:
                effects.requests_after = dict(sent - sent_before)
        if self.observed:  # until the next fault
            effects, started_at, _, _ = self.observed[-1]
            if running < effects.running_before * RECOVERED_SHARE:
                effects.back_s = None
            elif effects.back_s is None:
                effects.back_s = round(now - started_at, 2)


async def run_experiment(
    day: Day,
    seed: int,
    machines: int,
    restart_delay_s: float,
    until_s: float,
    trace: MessageTrace | None = None,
) -> Report:
    """Run one day; raises AssertionError if an invariant is broken. The trace, if given, records
    all messages."""
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=15.0)
    if trace is not None:
        trace.resume()
        cluster.network.trace = trace  # set before any controller runs
    cluster.cloud.max_machines = machines
    for _ in range(machines):
        cluster.cloud.add(("small", "a", True))
    await cluster.until(lambda: cluster.leader() is not None)
    capacity = machines * 4.0 / CPUS_PER_TASK
    submit_interval_s = TASKS_PER_JOB * TASK_RUN_S / (capacity * TARGET_UTILIZATION)
    sampler = _Sampler(cluster, day, restart_delay_s)
    users: list[asyncio.Task[int | None]] = []
    names: list[str] = []
    next_submit_at = 0.0
    while (now := asyncio.get_running_loop().time()) < until_s:
        if now >= next_submit_at:
            next_submit_at = now + submit_interval_s
            number = len(names)
            urgent = number % 3 == 0
            spec = job(
                number,
                beats=TASKS_PER_JOB,
                vcpus=CPUS_PER_TASK,
                runS=TASK_RUN_S,
                expectedS=TASK_RUN_S,
                builds=["small"],
                urgency="high" if urgent else "standard",
                dueS=TASK_RUN_S * (3 if urgent else 8),
                skin=f"img-{number % 4}",
            )
            names.append(spec["id"])
            users.append(asyncio.ensure_future(cluster.submit(spec, MAX_SUBMIT_TRIES)))
        sampler.sample(now)
        await cluster.wait(SAMPLE_INTERVAL_S)
    statuses = await asyncio.gather(*users)
    starts = cluster.rules.starts
    accepted = [name for name, status in zip(names, statuses, strict=True) if status is not None]
    cluster.rules.faults_over_at = asyncio.get_running_loop().time()
    await cluster.finish(accepted, timeout_s=600)
    if trace is not None:
        trace.stop()
    waits = [
        (facts.begun_at or 0.0) - (facts.submitted_at or 0.0)
        for facts in cluster.rules.jobs.values()
        if facts.accepted
    ]
    gaps = sorted(sampler.longest_gaps.values())
    return Report(
        day.name,
        seed,
        machines,
        len(names),
        len(accepted),
        round(sampler.leaderless_s, 2),
        round(statistics.median(gaps), 2),
        round(gaps[-1], 2),
        sum(session - 1 for session in sampler.sessions.values()),
        starts,
        len(names) * TASKS_PER_JOB,
        cluster.cloud.last_number - machines,
        round(cluster.store.requests / until_s, 1),
        round(cluster.store.writes / until_s, 1),
        round(max(waits, default=0.0), 2),
        round(cluster.rules.longest_unanswered_s, 2),
        [effects for effects, _, _, _ in sampler.observed],
    )


def _counts(requests: dict[str, int]) -> str:
    return " ".join(f"{path}={count}" for path, count in sorted(requests.items()))


def main(argv: list[str] | None = None) -> int:
    """Run a day file with some seeds, and print a report of each run."""
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.simulation.experiment",
        description="Run a day in a simulated cluster, and report the effects of its faults.",
    )
    parser.add_argument("day", type=Path, metavar="DAY.toml")
    parser.add_argument("--machines", type=int, default=60, metavar="N", help="default 60")
    parser.add_argument("--seeds", type=int, default=3, metavar="N", help="default 3")
    parser.add_argument("--back", type=float, default=0.3, metavar="S", help="default 0.3")
    parser.add_argument("--until", type=float, metavar="S", help="default: the last fault + 60")
    parser.add_argument("--report", type=Path, metavar="FILE", help="JSON, one run per line")
    parser.add_argument("--trace", type=Path, metavar="FILE", help="all messages, one per line")
    options = parser.parse_args(argv)
    if not 1 <= options.machines <= 5_000 or not 1 <= options.seeds <= 1_000:
        parser.error("--machines must be 1 to 5000, --seeds 1 to 1000")
    try:
        day = load(options.day)
    except DayError as error:
        parser.error(str(error))
    last_end_s = max((fault.at_s + fault.lasts_s for fault in day.faults), default=120.0)
    until = options.until if options.until is not None else last_end_s + 60.0
    logging.disable(logging.CRITICAL)
    trace = None if options.trace is None else MessageTrace(options.trace.open("wb"))
    lines = []
    for seed in range(day.seed, day.seed + options.seeds):
        report = run(run_experiment(day, seed, options.machines, options.back, until, trace))
        lines.append(msgspec.json.encode(report).decode())
        print(
            f"{report.day} seed {seed}, {report.machines} machines, {report.accepted} of"
            f" {report.jobs} jobs accepted: no leader"
            f" {report.no_leader_s:.1f} s; longest gap of a machine {report.gap_median_s:.1f} s in"
            f" the middle, {report.gap_most_s:.1f} s at most; {report.sessions_ended} sessions"
            f" ended; {report.tasks_started} starts for {report.tasks_wanted} tasks; a job's first"
            f" task after {report.first_task_s:.1f} s at most, no answer for"
            f" {report.unanswered_s:.1f} s at most afterwards"
        )
        for effects in report.faults:
            recovery = "not again" if effects.back_s is None else f"after {effects.back_s:.1f} s"
            print(
                f"  {effects.at_s:6.1f} s {effects.kind}: {effects.running_before} ran,"
                f" nine tenths {recovery}; {effects.rented} machines rented in 10 s"
            )
            print(
                f"         requests in 10 s before {_counts(effects.requests_before)};"
                f" after {_counts(effects.requests_after)}"
            )
    if trace is not None:
        trace.close()
        print(f"trace: {trace.lines} lines, sha256 {trace.sha256}")
    if options.report is not None:
        options.report.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
