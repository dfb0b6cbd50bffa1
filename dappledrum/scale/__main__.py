"""Command line of the scale run."""

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

import msgspec

from dappledrum.scale.report import ScaleReport
from dappledrum.scale.run import PHASES, Options, play

EXAMPLES = """examples:
  python3 -m dappledrum.scale
      three controllers and 50 workers, for two minutes
  python3 -m dappledrum.scale --workers 1000 --hosts 4 --controllers 5 --report report.json
      a thousand workers on four processes
"""
MAX_WORKERS = 10_000
MAX_PROCESSES = 200


def parser() -> argparse.ArgumentParser:
    """The command line."""
    defaults = Options()
    result = argparse.ArgumentParser(
        prog="python3 -m dappledrum.scale",
        description="Run real controllers with a fleet of hollow workers on this machine.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add = result.add_argument
    add("--workers", type=int, default=defaults.workers, metavar="N", help="default %(default)s")
    add("--controllers", type=int, default=defaults.controllers, metavar="N")
    add("--hosts", type=int, default=defaults.hosts, metavar="N", help="processes of workers")
    add("--tasks", type=int, default=defaults.tasks_per_worker, metavar="N", help="on each worker")
    add("--tasks-per-job", type=int, default=defaults.tasks_per_job, metavar="N")
    add("--run-s", type=float, default=defaults.run_s, metavar="S", help="of a task")
    add("--phase-s", type=float, default=defaults.phase_s, metavar="S", help="of each phase")
    add(
        "--phases",
        default=",".join(PHASES),
        metavar="NAME,NAME",
        help="some of %(default)s; the name of an event is that of the phase after it",
    )
    add("--state-rps", type=float, default=defaults.state_rps, metavar="N")
    add("--change-rps", type=float, default=defaults.change_rps, metavar="N")
    add("--seed", type=int, default=defaults.seed, metavar="N")
    add("--report", type=Path, metavar="FILE", help="where the report goes (JSON)")
    return result


def checked(cli: argparse.ArgumentParser, given: argparse.Namespace) -> Options:
    """The options, or a clear error."""
    phases = tuple(name for name in given.phases.split(",") if name)
    unknown = sorted(set(phases) - set(PHASES))
    if unknown or not phases:
        cli.error(f"--phases: unknown: {', '.join(unknown) or 'none given'}")
    for name, least, most in (
        ("workers", 1, MAX_WORKERS),
        ("controllers", 1, 33),
        ("hosts", 1, MAX_PROCESSES // 2),
        ("tasks", 1, 1000),
        ("tasks_per_job", 1, 100_000),
        ("run_s", 1, 3600),
        ("phase_s", 1, 600),
        ("state_rps", 1, 1e6),
        ("change_rps", 1, 1e6),
    ):
        if not least <= getattr(given, name) <= most:
            cli.error(f"--{name.replace('_', '-')} must be between {least:g} and {most:g}")
    return Options(
        workers=given.workers,
        controllers=given.controllers,
        hosts=given.hosts,
        tasks_per_worker=given.tasks,
        tasks_per_job=given.tasks_per_job,
        run_s=given.run_s,
        phase_s=given.phase_s,
        phases=phases,
        state_rps=given.state_rps,
        change_rps=given.change_rps,
        seed=given.seed,
    )


async def _played(options: Options) -> ScaleReport:
    """One run; an interrupt or a request to terminate ends it, with all that it started.

    Shells start commands in the background with interrupts ignored, and Python then installs no
    handler of its own.
    """
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await play(options, lambda text: print(text, flush=True))


def main(argv: list[str] | None = None) -> int:
    """Run, print progress and a summary; 1 when a rule was broken."""
    cli = parser()
    given = cli.parse_args(argv)
    options = checked(cli, given)
    try:
        report = asyncio.run(_played(options))
    except asyncio.CancelledError:
        return 130
    if given.report is not None:
        given.report.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
    print(
        f"simulated, on {os.cpu_count()} cores: {report.jobs_done} of {report.jobs_submitted}"
        f" jobs done, {report.jobs_cancelled} cancelled; submission p95 {report.submit_ms.p95:g}"
        f" ms; rules broken: {len(report.rules_broken)}"
    )
    for broken in report.rules_broken[:10]:
        print(broken)
    return 1 if report.rules_broken else 0


if __name__ == "__main__":
    sys.exit(main())
