"""Days in files, with the kinds of fault that the bench's days have, played over the stand-ins.

Only what `simulation/faults` lists is known; anything else in a day's file ends it with a clear
error. `busiest` takes the leader first, `count` how many.
"""

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from dappledrum.simulation.faults import FaultError, convert
from dappledrum.simulation.faults.base import Fault


class DayError(Exception):
    """The file can't be played; the text says what is wrong with it."""


class Day(msgspec.Struct):
    """A day, as far as the stand-ins can play it."""

    name: str
    faults: list[Fault] = []
    seed: int = 1


class _DayFile(msgspec.Struct):
    """What a day's file holds."""

    name: str
    faults: list[dict[str, Any]] = []
    seed: int = 1


def load(path: Path) -> Day:
    """Read a day's file, or raise DayError."""
    try:
        file = msgspec.convert(tomllib.loads(path.read_text(encoding="utf-8")), _DayFile)
        return Day(file.name, [convert(fault) for fault in file.faults], file.seed)
    except (OSError, ValueError, FaultError) as error:
        raise DayError(f"{path}: {error}") from error
