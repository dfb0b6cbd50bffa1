"""Messages between controllers.

Each is a CBOR map with its `kind`; unknown fields are ignored.
"""

from typing import Any

import cbor2
import msgspec

from dappledrum.leadership.messages import (
    Age,
    HandOver,
    HandOverReply,
    PromiseReply,
    PromiseRequest,
    Standing,
    StandingReply,
)
from dappledrum.reach.messages import Passed, PassedReply, Words, WordsReply


class Relay(msgspec.Struct, tag="relay", tag_field="kind"):
    """A user's request that the sender can't serve, being cut off from the state service."""

    method: str
    path: str
    body: bytes


class RelayReply(msgspec.Struct):
    """The answer for the user."""

    status: int
    body: bytes
    retry_after: int | None = None


class Knocks(msgspec.Struct, tag="knocks", tag_field="kind"):
    """A leader that hears no worker asks whether workers try elsewhere."""

    within_ms: int


class KnocksReply(msgspec.Struct):
    """How often each machine tried to report here within that time."""

    machines: dict[str, int]


class Promise(msgspec.Struct, tag="promise", tag_field="kind"):
    """See leadership: a request not to stand for a bounded time."""

    request: PromiseRequest


class VersionQuestion(msgspec.Struct, tag="version", tag_field="kind"):
    """Asked of every controller until it tells; versions up to 0.2.0 refuse it."""


class VersionReply(msgspec.Struct):
    """The version that runs there."""

    version: str


class HoldingQuestion(msgspec.Struct, tag="holding", tag_field="kind"):
    """Asked by a controller that has just begun: whether somebody may rely on a promise of the
    process before it; versions before 0.4.0 refuse it."""


class HoldingReply(msgspec.Struct):
    """Whether the controller holds a term, be it by its lease or by promises.

    `quiet_ms` is for how long it has certainly answered no worker by a term of its own: since its
    last one ended, or its process began; no more than QUIET_MOST is told, and nothing by versions
    before 0.6.0.
    """

    holds: bool
    quiet_ms: Age | None = None


Question = (
    Relay
    | Knocks
    | Promise
    | VersionQuestion
    | HoldingQuestion
    | Words
    | Passed
    | HandOver
    | Standing
)
Reply = (
    RelayReply
    | KnocksReply
    | PromiseReply
    | VersionReply
    | HoldingReply
    | WordsReply
    | PassedReply
    | HandOverReply
    | StandingReply
)


class MalformedError(Exception):
    """Not a message of ours."""


def encode(message: Question | Reply) -> bytes:
    """A message as it goes over the wire."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes, kind: Any) -> Any:  # noqa: ANN401 - a union is no type to the checker
    """A checked message."""
    try:
        return msgspec.convert(cbor2.loads(data), kind, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedError(str(error)) from error
