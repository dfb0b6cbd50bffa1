"""Reads day files: lists of faults in TOML that are run in a simulated cluster.

The format is shared with the bench. Only the kinds of fault in `simulation/faults` are supported;
any other kind or option raises DayError. `busiest` selects the leader first, `count` how many
controllers or machines are affected.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from dappledrum.simulation.faults import FaultError, convert
from dappledrum.simulation.faults.base import Fault


class DayError(Exception):
    """A day file can't be read or uses something unsupported; the text says what."""


class Day(msgspec.Struct):
    """The part of a day file that the simulation uses: faults and the first seed."""

    name: str
    faults: list[Fault] = []
    seed: int = 1


class _DayFile(msgspec.Struct):
    """The raw contents of a day file."""

    name: str
    faults: list[dict[str, Any]] = []
    seed: int = 1


def load(path: Path) -> Day:
    """Read a day file; raises DayError."""
    try:
        file = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), _DayFile)
        return Day(file.name, [convert(fault) for fault in file.faults], file.seed)
    except (OSError, ValueError, FaultError) as error:
        raise DayError(f"{path}: {error}") from error
