"""Reads the golden entries from the data files."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

DIRECTORY = Path(__file__).parent


@dataclass(frozen=True)
class GoldenEntry:
    """One stored value or one message, as it is on the wire."""

    name: str
    about: str
    data: bytes | None = None  # value or body; None: there is none
    key: str | None = None  # key, or prefix of keys, in the store
    method: str | None = None
    path: str | None = None
    status: int | None = None


def load(wire: str) -> dict[str, GoldenEntry]:
    """All entries of one wire, by name.

    A body is given as text (`text`), or in hexadecimal if it is binary (`hex`).
    """
    tables = tomllib.loads((DIRECTORY / f"{wire}.toml").read_text(encoding="utf-8"))
    return {name: _entry(name, table) for name, table in tables.items()}


def _entry(name: str, table: dict[str, str | int]) -> GoldenEntry:
    fields = dict(table)
    text, digits = fields.pop("text", None), fields.pop("hex", None)
    data = None
    if text is not None:
        data = str(text).encode()
    elif digits is not None:
        data = bytes.fromhex(str(digits))
    return GoldenEntry(name=name, data=data, **fields)  # type: ignore[arg-type]
