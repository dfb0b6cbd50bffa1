"""A day's file over the stand-ins, and what it costs, in virtual time.

    python3 -m dappledrum.simulation.experiment DAY.toml [--machines 60] [--seeds 3] [--back 0.3]
                                              [--until S] [--report FILE] [--trace FILE]

Five whole controllers, a fleet that is kept busy, rules checked after each step. The report (JSON)
tells what the bench does not: seconds in which nobody may give commands, the longest time in which
each machine had no answered report, sessions that ended, and for each fault, up to the next one,
the seconds until nine tenths of the tasks that ran before ran again, and the machines rented in
the 10 s after it. Figures are simulated.
"""

import argparse
import asyncio
import logging
import statistics
import sys
from pathlib import Path

import msgspec

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.day_file import Day, DayError, load
from dappledrum.simulation.faults.base import Fault
from dappledrum.simulation.trace import MessageTrace
from dappledrum.simulation.virtual_time import run

FIVE = tuple(f"drummer-{index}" for index in range(5))
STEP = 0.25
RENTED_WITHIN = 10.0
BACK_SHARE = 0.9
RUN_S = 12.0
TASKS = 20
CPUS = 2.0
TRIES = 60  # of a user, a second apart, as the protocol has it
BUSY = 0.7  # of the room that the machines have


class After(msgspec.Struct):
    """What followed one fault."""

    at_s: float
    kind: str
    running_before: int
    #: Until nine tenths ran again, and went on so; None: not before the next fault.
    back_s: float | None = None
    rented: int = 0


class Report(msgspec.Struct, rename={"faults": "troubles"}):
    """One play."""

    day: str
    seed: int
    machines: int
    jobs: int
    accepted: int  # the users of the others gave up, as nobody was there for a minute
    no_leader_s: float
    gap_median_s: float
    gap_most_s: float
    sessions_ended: int
    tasks_started: int
    tasks_wanted: int
    rented: int
    state_requests_per_s: float
    state_changes_per_s: float
    first_task_s: float  # the longest that a job waited for it
    unanswered_s: float  # the longest that questions about one job had no answer, once all is over
    faults: list[After]


class _Watch:
    """Looks at a world every quarter of a second."""

    def __init__(self, cluster: SimulatedCluster, day: Day, back: float) -> None:
        self.cluster = cluster
        self.back = back
        self.left: list[Fault] = sorted(day.faults, key=lambda fault: fault.at_s)
        self.after: list[tuple[After, float, int]] = []
        self.no_leader = 0.0
        self.gaps: dict[str, float] = {}
        self.sessions: dict[str, int] = {}

    def look(self, now: float) -> None:
        """Let faults begin that are due, and note what is to be seen."""
        cluster = self.cluster
        running = len(cluster.rules.running)
        while self.left and self.left[0].at_s <= now:
            fault = self.left.pop(0)
            one = After(fault.at_s, fault.kind, running)
            self.after.append((one, now, cluster.cloud.next))
            fault.begin(cluster, self.back)
        self.no_leader += STEP * (cluster.leader() is None)
        for worker in cluster.cloud.workers():
            gap = now - worker.answered
            self.gaps[worker.name] = max(self.gaps.get(worker.name, 0.0), gap)
            self.sessions[worker.name] = worker.session
        for one, began, rented in self.after:
            if now - began <= RENTED_WITHIN:
                one.rented = cluster.cloud.next - rented
        if self.after:  # until the next fault
            one, began, _ = self.after[-1]
            if running < one.running_before * BACK_SHARE:
                one.back_s = None
            elif one.back_s is None:
                one.back_s = round(now - began, 2)


async def play(
    day: Day,
    seed: int,
    machines: int,
    back: float,
    until: float,
    trace: MessageTrace | None = None,
) -> Report:
    """One day; ends with an assertion when a rule is broken. The trace records all messages."""
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=15.0)
    if trace is not None:
        trace.resume()
        cluster.network.trace = trace  # before any controller has run
    cluster.cloud.most = machines
    for _ in range(machines):
        cluster.cloud.add(("small", "a", True))
    await cluster.until(lambda: cluster.leader() is not None)
    capacity = machines * 4.0 / CPUS
    pause = TASKS * RUN_S / (capacity * BUSY)
    watch = _Watch(cluster, day, back)
    users: list[asyncio.Task[int | None]] = []
    names: list[str] = []
    due = 0.0
    while (now := asyncio.get_running_loop().time()) < until:
        if now >= due:
            due = now + pause
            number = len(names)
            urgent = number % 3 == 0
            spec = job(
                number,
                beats=TASKS,
                vcpus=CPUS,
                runS=RUN_S,
                expectedS=RUN_S,
                builds=["small"],
                urgency="high" if urgent else "standard",
                dueS=RUN_S * (3 if urgent else 8),
                skin=f"img-{number % 4}",
            )
            names.append(spec["id"])
            users.append(asyncio.ensure_future(cluster.submit(spec, TRIES)))
        watch.look(now)
        await cluster.wait(STEP)
    taken = await asyncio.gather(*users)
    starts = cluster.rules.starts
    accepted = [name for name, status in zip(names, taken, strict=True) if status is not None]
    cluster.rules.faults_over_at = asyncio.get_running_loop().time()
    await cluster.finish(accepted, most=600)
    if trace is not None:
        trace.stop()
    waits = [
        (facts.begun_at or 0.0) - (facts.submitted_at or 0.0)
        for facts in cluster.rules.jobs.values()
        if facts.accepted
    ]
    gaps = sorted(watch.gaps.values())
    return Report(
        day.name,
        seed,
        machines,
        len(names),
        len(accepted),
        round(watch.no_leader, 2),
        round(statistics.median(gaps), 2),
        round(gaps[-1], 2),
        sum(session - 1 for session in watch.sessions.values()),
        starts,
        len(names) * TASKS,
        cluster.cloud.next - machines,
        round(cluster.store.requests / until, 1),
        round(cluster.store.writes / until, 1),
        round(max(waits, default=0.0), 2),
        round(cluster.rules.longest_unanswered_s, 2),
        [one for one, _, _ in watch.after],
    )


def main(argv: list[str] | None = None) -> int:
    """Play a day's file with some seeds."""
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.simulation.experiment",
        description="Play a day over the stand-ins, and report what it costs.",
    )
    parser.add_argument("day", type=Path, metavar="DAY.toml")
    parser.add_argument("--machines", type=int, default=60, metavar="N", help="default 60")
    parser.add_argument("--seeds", type=int, default=3, metavar="N", help="default 3")
    parser.add_argument("--back", type=float, default=0.3, metavar="S", help="default 0.3")
    parser.add_argument("--until", type=float, metavar="S", help="default: the last fault + 60")
    parser.add_argument("--report", type=Path, metavar="FILE", help="JSON, one play a line")
    parser.add_argument("--trace", type=Path, metavar="FILE", help="all messages, one a line")
    options = parser.parse_args(argv)
    if not 1 <= options.machines <= 5_000 or not 1 <= options.seeds <= 1_000:
        parser.error("--machines must be 1 to 5000, --seeds 1 to 1000")
    try:
        day = load(options.day)
    except DayError as error:
        parser.error(str(error))
    last = max((fault.at_s + fault.lasts_s for fault in day.faults), default=120.0)
    until = options.until if options.until is not None else last + 60.0
    logging.disable(logging.CRITICAL)
    trace = None if options.trace is None else MessageTrace(options.trace.open("wb"))
    lines = []
    for seed in range(day.seed, day.seed + options.seeds):
        report = run(play(day, seed, options.machines, options.back, until, trace))
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
        for one in report.faults:
            back = "not again" if one.back_s is None else f"after {one.back_s:.1f} s"
            print(
                f"  {one.at_s:6.1f} s {one.kind}: {one.running_before} ran, nine tenths {back};"
                f" {one.rented} machines rented in 10 s"
            )
    if trace is not None:
        trace.close()
        print(f"trace: {trace.lines} lines, sha256 {trace.sha256}")
    if options.report is not None:
        options.report.write_text("\n".join(lines) + "\n", encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
