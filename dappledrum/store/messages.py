"""Messages of the store, under the field's usual names; `rename=` has the names on the wire."""

from typing import Any

import msgspec


class Entry(msgspec.Struct, rename={"version": "stamp", "lease": "hold"}):
    """A key as it was read; the value is left undecoded."""

    value: msgspec.Raw
    version: int
    key: str = ""
    lease: int | None = None


class Listing(msgspec.Struct, rename={"entries": "pairs", "revision": "tally"}):
    """A page of keys with one prefix."""

    entries: list[Entry]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "tally"}):
    """Revision of a change, or of the store when a key is missing."""

    revision: int


class Conflict(msgspec.Struct):
    """Keys whose versions were not the ones expected."""

    failed: list[str] = []


class Lease(msgspec.Struct, rename={"lease": "hold"}):
    """A new lease."""

    lease: int


class Event(msgspec.Struct, rename={"put": "write", "delete": "remove", "version": "stamp"}):
    """One change seen by a watch."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw()


class Events(msgspec.Struct, rename={"revision": "tally"}):
    """What a watch returned."""

    revision: int
    events: list[Event] = []


class Guard(msgspec.Struct, rename={"version": "stamp"}):
    """A condition: the key has this version; 0 means that it does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, rename={"key": "write", "lease": "hold"}, omit_defaults=True):
    """Write a key."""

    key: str
    value: msgspec.Raw
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "remove"}):
    """Remove a key."""

    key: str


class Transaction(msgspec.Struct, rename={"changes": "then"}):
    """Atomic change under conditions; each change is a Put or a Delete."""

    guards: list[Guard]
    changes: list[Any]


class TimeToLive(msgspec.Struct, rename={"milliseconds": "lifeMs"}):
    """Request for a lease."""

    milliseconds: int


def encode_value(value: Any) -> msgspec.Raw:  # noqa: ANN401 - anything that msgspec encodes
    """A value as it is stored."""
    return msgspec.Raw(msgspec.json.encode(value))
