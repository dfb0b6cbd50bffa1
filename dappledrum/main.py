"""Command line of a controller: checks the settings, then runs until it is killed."""

import argparse
import asyncio
import logging
import os
import sys
from datetime import timedelta
from pathlib import Path

from dappledrum import __version__
from dappledrum.settings import Settings, SettingsError, Tuning, load

LOG_LEVELS = {"error": logging.ERROR, "info": logging.INFO, "debug": logging.DEBUG}


def build_parser() -> argparse.ArgumentParser:
    """Parser of the command line. The operator's settings are flags; the default of each can be
    set by an environment variable."""
    parser = argparse.ArgumentParser(
        prog="dappledrum", description="Run one controller of a dappledrum cluster."
    )
    parser.add_argument(
        "--config",
        type=Path,
        metavar="FILE",
        help="settings file of the platform (JSON)",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--version", action="version", version=f"dappledrum {__version__}")
    parser.add_argument(
        "--interval-s",
        type=float,
        default=os.environ.get("DAPPLEDRUM_INTERVAL_S", "60"),
        metavar="S",
        help="length of a billed interval in seconds (DAPPLEDRUM_INTERVAL_S; default 60)",
    )
    parser.add_argument(
        "--ready-share",
        type=float,
        default=os.environ.get("DAPPLEDRUM_READY_SHARE", "0.3"),
        metavar="X",
        help="ready share of a stage above which machines are rented for it"
        " (DAPPLEDRUM_READY_SHARE; default 0.3)",
    )
    parser.add_argument(
        "--reach",
        action=argparse.BooleanOptionalAction,
        default=os.environ.get("DAPPLEDRUM_REACH", "") in ("1", "true", "yes", "on"),
        help="exchange the health of links with the other controllers, and use theirs"
        " (DAPPLEDRUM_REACH; default off)",
    )
    return parser


def main(argv: list[str] | None = None) -> int:
    """Entry point of run.py and of the console script; returns the exit code."""
    parser = build_parser()
    options = parser.parse_args(argv)
    if options.config is None:
        parser.error("--config FILE is needed")
    if not 1 <= options.interval_s <= 86_400:
        parser.error("--interval-s must be between 1 and 86400")
    if not 0 <= options.ready_share <= 1:
        parser.error("--ready-share must be between 0 and 1")
    try:
        settings = load(options.config)
    except SettingsError as error:
        print(f"dappledrum: {error}", file=sys.stderr)
        return 2
    if options.check:
        print(f"dappledrum: settings of {settings.member} are good")
        return 0
    level = LOG_LEVELS.get(os.environ.get("LOG_LEVEL", "info"), logging.INFO)
    logging.basicConfig(
        level=level,
        stream=sys.stderr,
        format=f"%(asctime)s {settings.member} %(levelname)s %(name)s: %(message)s",
    )
    return serve(settings, options)


def serve(settings: Settings, options: argparse.Namespace) -> int:
    """Run the controller until it is killed; returns the exit code."""
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
