"""Loads the golden entries from the data files."""

import tomllib
from dataclasses import dataclass
from pathlib import Path

DIRECTORY = Path(__file__).parent


@dataclass(frozen=True)
class GoldenEntry:
    """One stored value or message in its encoded form."""

    name: str
    about: str
    data: bytes | None = None  # value or body, if there is one
    key: str | None = None  # key or key prefix in the store
    method: str | None = None
    path: str | None = None
    status: int | None = None


def load(interface: str) -> dict[str, GoldenEntry]:
    """All entries of one interface, by name.

    Text data is given as `text`, binary data in hexadecimal as `hex`.
    """
    tables = tomllib.loads((DIRECTORY / f"{interface}.toml").read_text(encoding="utf-8"))
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
