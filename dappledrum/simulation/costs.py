"""Profiles the controllers by package, in a simulated cluster and in virtual time.

    python3 -m dappledrum.simulation.costs [--machines 60] [--until 90] [--seed 1] [--end 60]

Runs five complete controllers with a busy fleet, as in `experiment`; with `--end S` the leader
crashes at that time. Prints a row for each package: calls of its functions, which are the same on
every machine for a seed and a size, and seconds in them, which depend on this machine and include
the overhead of the profiler. The simulation, the model, tests and libraries are left out.
"""

import argparse
import cProfile
import gc
import logging
import pstats
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from dappledrum.simulation.day_file import Day
from dappledrum.simulation.experiment import run_experiment
from dappledrum.simulation.faults.controllers import NodeCrash
from dappledrum.simulation.virtual_time import run

ROOT = Path(__file__).parents[1]


def calls(action: Callable[[], Any]) -> int:
    """Number of Python function calls in an action; the same on every machine.

    The garbage collector is disabled meanwhile: it runs at any moment, and callbacks that tools
    such as hypothesis register with it would be counted as calls of the action.
    """
    count = 0

    def count_call(_frame: object, event: str, _arg: object) -> None:
        nonlocal count
        count += event == "call"

    previous_profiler, gc_was_enabled = sys.getprofile(), gc.isenabled()
    gc.disable()
    sys.setprofile(count_call)
    try:
        action()
    finally:
        sys.setprofile(previous_profiler)
        if gc_was_enabled:
            gc.enable()
    return count


def by_package(stats: pstats.Stats) -> tuple[Counter[str], Counter[str], Counter[str]]:
    """Calls and seconds by package, and calls by function, of the controllers' own code."""
    call_counts: Counter[str] = Counter()
    seconds_by_package: Counter[str] = Counter()
    function_calls: Counter[str] = Counter()
    for (file, _, name), (_, count, own, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        path = Path(file)
        if not path.is_relative_to(ROOT):
            continue
        inside = path.relative_to(ROOT)
        package = inside.parts[0] if len(inside.parts) > 1 else "root"
        if package in ("simulation", "model") or path.name.startswith("test_"):
            continue
        call_counts[package] += count
        seconds_by_package[package] += own
        function_calls[f"{inside.as_posix()}:{name}"] += count
    return call_counts, seconds_by_package, function_calls


def main(argv: list[str] | None = None) -> int:
    """Print the table of calls and seconds by package."""
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.simulation.costs",
        description="Profile the controllers by package.",
    )
    parser.add_argument("--machines", type=int, default=60, metavar="N", help="default 60")
    parser.add_argument("--until", type=float, default=90.0, metavar="S", help="default 90")
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="default 1")
    parser.add_argument("--end", type=float, metavar="S", help="crash the leader after S seconds")
    options = parser.parse_args(argv)
    if not 1 <= options.machines <= 5_000 or not 1 <= options.until <= 86_400:
        parser.error("--machines must be 1 to 5000, --until 1 to 86400")
    logging.disable(logging.CRITICAL)
    faults = [] if options.end is None else [NodeCrash(at_s=options.end, busiest=True)]
    profile = cProfile.Profile()
    day = Day("costs", faults)
    profile.enable()
    report = run(run_experiment(day, options.seed, options.machines, 0.3, options.until))
    profile.disable()
    call_counts, seconds_by_package, function_calls = by_package(pstats.Stats(profile))
    heartbeats = function_calls["workers/reconciler.py:process_heartbeat"]
    placed = function_calls["jobs/page.py:place"]
    plans = function_calls["dispatch/dispatcher.py:run"]
    print(
        f"{options.machines} machines, seed {options.seed}, {options.until:g} s: {heartbeats}"
        f" heartbeats processed, {placed} placements, {plans} plans, {report.accepted} jobs;"
        f" {report.state_requests_per_s:g} requests and {report.state_changes_per_s:g} changes a"
        " second"
    )
    print(f"{'slice':12} {'calls':>10} {'a heartbeat':>11} {'a placement':>12} {'seconds':>9}")
    for package, count in call_counts.most_common():
        print(
            f"{package:12} {count:10} {count / max(heartbeats, 1):11.1f}"
            f" {count / max(placed, 1):12.1f}"
            f" {seconds_by_package[package]:9.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
