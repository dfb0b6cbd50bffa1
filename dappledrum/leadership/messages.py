"""Stored form of leadership, and what controllers tell each other about it."""

import msgspec


class LeaderRecord(msgspec.Struct):
    """Value of the key `leader`; it lives as long as the leader's lease."""

    member: str
    epoch: int


class EpochRecord(msgspec.Struct):
    """Value of the key `epoch`; it only grows."""

    epoch: int


class PromiseRequest(msgspec.Struct):
    """A leader that can't reach the state service asks a peer not to stand for a bounded time."""

    member: str
    epoch: int
    for_ms: int


class PromiseReply(msgspec.Struct):
    """The peer's answer."""

    granted: bool
    reason: str = ""
