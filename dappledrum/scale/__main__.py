"""Command line of the scale test."""

import argparse
import asyncio
import os
import signal
import sys
from pathlib import Path

import msgspec

from dappledrum.scale.report import ScaleReport
from dappledrum.scale.run import PHASES, Options, run_scale_test

EXAMPLES = """examples:
  python3 -m dappledrum.scale
      three controllers and 50 workers, for two minutes
  python3 -m dappledrum.scale --workers 1000 --hosts 4 --controllers 5 --report report.json
      a thousand workers on four processes
"""
MAX_WORKERS = 10_000
MAX_PROCESSES = 200


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
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
    add("--tasks", type=int, default=defaults.tasks_per_worker, metavar="N", help="per worker")
    add("--tasks-per-job", type=int, default=defaults.tasks_per_job, metavar="N")
    add("--run-s", type=float, default=defaults.run_s, metavar="S", help="mean run time of a task")
    add("--phase-s", type=float, default=defaults.phase_s, metavar="S", help="length of a phase")
    add(
        "--phases",
        default=",".join(PHASES),
        metavar="NAME,NAME",
        help="some of %(default)s; a phase named after an event starts with that event",
    )
    add("--state-rps", type=float, default=defaults.state_rps, metavar="N")
    add("--change-rps", type=float, default=defaults.change_rps, metavar="N")
    add("--seed", type=int, default=defaults.seed, metavar="N")
    add("--report", type=Path, metavar="FILE", help="write the report to this file (JSON)")
    return result


def make_options(cli: argparse.ArgumentParser, arguments: argparse.Namespace) -> Options:
    """Return the options of a run; an invalid argument exits with a usage error."""
    phases = tuple(name for name in arguments.phases.split(",") if name)
    unknown = sorted(set(phases) - set(PHASES))
    if unknown or not phases:
        cli.error(f"--phases: unknown: {', '.join(unknown) or 'none given'}")
    for name, minimum, maximum in (
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
        if not minimum <= getattr(arguments, name) <= maximum:
            cli.error(f"--{name.replace('_', '-')} must be between {minimum:g} and {maximum:g}")
    return Options(
        workers=arguments.workers,
        controllers=arguments.controllers,
        hosts=arguments.hosts,
        tasks_per_worker=arguments.tasks,
        tasks_per_job=arguments.tasks_per_job,
        run_s=arguments.run_s,
        phase_s=arguments.phase_s,
        phases=phases,
        state_rps=arguments.state_rps,
        change_rps=arguments.change_rps,
        seed=arguments.seed,
    )


async def _run_until_signal(options: Options) -> ScaleReport:
    """Run the scale test; SIGINT and SIGTERM cancel it, which ends every process it started.

    The SIGINT handler is installed explicitly because Python installs none when SIGINT is ignored,
    as it is for commands that a shell starts in the background.
    """
    task = asyncio.current_task()
    assert task is not None
    for number in (signal.SIGINT, signal.SIGTERM):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    return await run_scale_test(options, lambda text: print(text, flush=True))


def main(argv: list[str] | None = None) -> int:
    """Run the scale test, and print its progress and a summary.

    Returns 0 on success, 1 if an invariant was violated, and 130 after SIGINT or SIGTERM.
    """
    cli = make_parser()
    arguments = cli.parse_args(argv)
    options = make_options(cli, arguments)
    try:
        report = asyncio.run(_run_until_signal(options))
    except asyncio.CancelledError:
        return 130
    if arguments.report is not None:
        arguments.report.write_bytes(msgspec.json.format(msgspec.json.encode(report), indent=1))
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
