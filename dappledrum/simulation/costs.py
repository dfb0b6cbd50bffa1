"""What the work of controllers costs, by duty, over the stand-ins and in virtual time.

    python3 -m dappledrum.simulation.costs [--machines 60] [--until 90] [--seed 1] [--end 60]

Five whole controllers and a fleet that is kept busy, as in `experiment`; with `--end S` the leader
ends then. A row a slice: calls of its functions, which are the same on every machine for a seed
and a size, and seconds in them, which are this machine's, and longer than without the counting.
Stand-ins and libraries are left out.
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
from dappledrum.simulation.experiment import play
from dappledrum.simulation.faults.controllers import NodeCrash
from dappledrum.simulation.virtual_time import run

ROOT = Path(__file__).parents[1]


def calls(act: Callable[[], Any]) -> int:
    """Number of Python functions that an action calls; the same on every machine.

    The garbage collector is off meanwhile: it runs at any moment, and tools register callbacks
    with it (hypothesis does), which counted as calls of the action.
    """
    count = 0

    def note(_frame: object, event: str, _arg: object) -> None:
        nonlocal count
        count += event == "call"

    before, collected = sys.getprofile(), gc.isenabled()
    gc.disable()
    sys.setprofile(note)
    try:
        act()
    finally:
        sys.setprofile(before)
        if collected:
            gc.enable()
    return count


def by_slice(stats: pstats.Stats) -> tuple[Counter[str], Counter[str], Counter[str]]:
    """Calls and seconds by slice, and calls by function, of the project's own code."""
    number: Counter[str] = Counter()
    seconds: Counter[str] = Counter()
    functions: Counter[str] = Counter()
    for (file, _, name), (_, count, own, _, _) in stats.stats.items():  # type: ignore[attr-defined]
        path = Path(file)
        if not path.is_relative_to(ROOT):
            continue
        inside = path.relative_to(ROOT)
        part = inside.parts[0] if len(inside.parts) > 1 else "root"
        if part in ("simulation", "model") or path.name.startswith("test_"):
            continue
        number[part] += count
        seconds[part] += own
        functions[f"{inside.as_posix()}:{name}"] += count
    return number, seconds, functions


def main(argv: list[str] | None = None) -> int:
    """Print the table."""
    parser = argparse.ArgumentParser(
        prog="python3 -m dappledrum.simulation.costs",
        description="What the controllers' work costs.",
    )
    parser.add_argument("--machines", type=int, default=60, metavar="N", help="default 60")
    parser.add_argument("--until", type=float, default=90.0, metavar="S", help="default 90")
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="default 1")
    parser.add_argument("--end", type=float, metavar="S", help="the leader ends then")
    options = parser.parse_args(argv)
    if not 1 <= options.machines <= 5_000 or not 1 <= options.until <= 86_400:
        parser.error("--machines must be 1 to 5000, --until 1 to 86400")
    logging.disable(logging.CRITICAL)
    faults = [] if options.end is None else [NodeCrash(at_s=options.end, busiest=True)]
    profile = cProfile.Profile()
    day = Day("costs", faults)
    profile.enable()
    report = run(play(day, options.seed, options.machines, 0.3, options.until))
    profile.disable()
    number, seconds, functions = by_slice(pstats.Stats(profile))
    heartbeats = functions["workers/reconciler.py:process_heartbeat"]
    placed = functions["jobs/page.py:place"]
    plans = functions["dispatch/dispatcher.py:run"]
    print(
        f"{options.machines} machines, seed {options.seed}, {options.until:g} s: {heartbeats}"
        f" heartbeats processed, {placed} placements, {plans} plans, {report.accepted} jobs;"
        f" {report.state_requests_per_s:g} requests and {report.state_changes_per_s:g} changes a"
        " second"
    )
    print(f"{'slice':12} {'calls':>10} {'a heartbeat':>11} {'a placement':>12} {'seconds':>9}")
    for part, count in number.most_common():
        print(
            f"{part:12} {count:10} {count / max(heartbeats, 1):11.1f}"
            f" {count / max(placed, 1):12.1f}"
            f" {seconds[part]:9.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
