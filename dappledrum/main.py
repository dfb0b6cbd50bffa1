"""Command line of a controller: checks its settings, then runs until it is killed."""

import argparse
import asyncio
import logging
import os
import sys
from datetime import timedelta
from pathlib import Path

from dappledrum import __version__
from dappledrum.settings import Settings, SettingsError, Tuning, load

LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def parser() -> argparse.ArgumentParser:
    """The command line; operators' own settings are flags, each with a variable for its
    default."""
    result = argparse.ArgumentParser(
        prog="dappledrum", description="Run one controller of a dappledrum cluster."
    )
    result.add_argument(
        "--config",
        type=Path,
        metavar="FILE",
        help="settings file handed over by the platform (JSON)",
    )
    result.add_argument("--check", action="store_true", help="check the settings and end")
    result.add_argument("--version", action="version", version=f"dappledrum {__version__}")
    result.add_argument(
        "--interval-s",
        type=float,
        default=os.environ.get("DAPPLEDRUM_INTERVAL_S", "60"),
        metavar="S",
        help="length of a billed interval in seconds (DAPPLEDRUM_INTERVAL_S; default 60)",
    )
    result.add_argument(
        "--ready-share",
        type=float,
        default=os.environ.get("DAPPLEDRUM_READY_SHARE", "0.3"),
        metavar="X",
        help="ready share of a stage above which machines are rented for it"
        " (DAPPLEDRUM_READY_SHARE; default 0.3)",
    )
    result.add_argument(
        "--reach",
        action=argparse.BooleanOptionalAction,
        default=os.environ.get("DAPPLEDRUM_REACH", "") in ("1", "true", "yes", "on"),
        help="tell the other controllers about links, and act on what they tell"
        " (DAPPLEDRUM_REACH; default off)",
    )
    return result


def main(argv: list[str] | None = None) -> int:
    """Entry point of run.py and of the console script."""
    cli = parser()
    options = cli.parse_args(argv)
    if options.config is None:
        cli.error("--config FILE is needed")
    if not 1 <= options.interval_s <= 86_400:
        cli.error("--interval-s must be between 1 and 86400")
    if not 0 <= options.ready_share <= 1:
        cli.error("--ready-share must be between 0 and 1")
    try:
        settings = load(options.config)
    except SettingsError as error:
        print(f"dappledrum: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(f"dappledrum: settings of {settings.member} are good")
        return 0
    level = LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO)
    logging.basicConfig(
        level=level,
        stream=sys.stderr,
        format=f"%(asctime)s {settings.member} %(levelname)s %(name)s: %(message)s",
    )
    return serve(settings, options)


def serve(settings: Settings, options: argparse.Namespace) -> int:
    """Run the controller until it is killed."""
    from dappledrum.controller.process import run_controller

    tuning = Tuning(timedelta(seconds=options.interval_s), options.ready_share, options.reach)
    try:
        asyncio.run(run_controller(settings, tuning))
    except KeyboardInterrupt:
        return 130
    except OSError as error:
        print(f"dappledrum: {error}", file=sys.stderr)
        return 1
    return 0
