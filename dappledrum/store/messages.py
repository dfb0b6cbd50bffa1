"""Messages of the store's protocol. Where the names on the wire differ from the usual terms,
`rename=` maps the attributes to them."""

from typing import Any

import msgspec


class Entry(msgspec.Struct, rename={"version": "stamp", "lease": "hold"}):
    """A key, its undecoded value and its version."""

    value: msgspec.Raw
    version: int
    key: str = ""
    lease: int | None = None


class Listing(msgspec.Struct, rename={"entries": "pairs", "revision": "tally"}):
    """One page of the keys with a prefix, at a revision of the store."""

    entries: list[Entry]
    revision: int
    more: bool = False


class Revision(msgspec.Struct, rename={"revision": "tally"}):
    """Revision of a committed transaction, or of the store when a key is missing."""

    revision: int


class Conflict(msgspec.Struct):
    """Keys whose guards failed."""

    failed: list[str] = []


class Lease(msgspec.Struct, rename={"lease": "hold"}):
    """Number of a new lease."""

    lease: int


class Event(msgspec.Struct, rename={"put": "write", "delete": "remove", "version": "stamp"}):
    """One change reported by a watch: `put` or `delete` is the key."""

    version: int
    put: str | None = None
    delete: str | None = None
    value: msgspec.Raw = msgspec.Raw()


class Events(msgspec.Struct, rename={"revision": "tally"}):
    """Response to a watch."""

    revision: int
    events: list[Event] = []


class Guard(msgspec.Struct, rename={"version": "stamp"}):
    """A condition: the key has this version; 0 means that it does not exist."""

    key: str
    version: int


class Put(msgspec.Struct, rename={"key": "write", "lease": "hold"}, omit_defaults=True):
    """Write a key, attached to a lease if one is given."""

    key: str
    value: msgspec.Raw
    lease: int | None = None


class Delete(msgspec.Struct, rename={"key": "remove"}):
    """Delete a key."""

    key: str


class Transaction(msgspec.Struct, rename={"changes": "then"}):
    """Changes (Put or Delete) that are made atomically if all guards hold."""

    guards: list[Guard]
    changes: list[Any]


class TimeToLive(msgspec.Struct, rename={"milliseconds": "lifeMs"}):
    """Request for a new lease."""

    milliseconds: int


def encode_value(value: Any) -> msgspec.Raw:  # noqa: ANN401 - anything that msgspec encodes
    """Encode a value for storage."""
    return msgspec.Raw(msgspec.json.encode(value))
