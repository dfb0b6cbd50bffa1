"""Messages between controllers.

Each is a CBOR map with its `kind`; unknown fields are ignored.
"""

from typing import Any

import cbor2
import msgspec

from dappledrum.election.messages import (
    Age,
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    PreVoteReply,
    TransferLeadership,
    TransferLeadershipReply,
)
from dappledrum.peers.heartbeat_messages import (
    ForwardedHeartbeats,
    ForwardedHeartbeatsReply,
    PeerHeartbeats,
    PeerHeartbeatsReply,
)


class Relay(msgspec.Struct, tag="relay", tag_field="kind"):
    """A user's request that the sender relays because it does not reach the store."""

    method: str
    path: str
    body: bytes


class RelayReply(msgspec.Struct):
    """The answer for the user."""

    status: int
    body: bytes
    retry_after: int | None = None


class HeartbeatAttemptsRequest(msgspec.Struct, tag="knocks", tag_field="kind"):
    """A leader that receives no heartbeats asks whether workers send them to a peer."""

    within_ms: int


class HeartbeatAttemptsReply(msgspec.Struct):
    """How many heartbeats each machine has sent to this controller within `within_ms`."""

    machines: dict[str, int]


class LeaseGrantCall(msgspec.Struct, tag="promise", tag_field="kind"):
    """Carries a `LeaseGrantRequest`, which asks the peer not to campaign for a limited time."""

    request: LeaseGrantRequest


class VersionRequest(msgspec.Struct, tag="version", tag_field="kind"):
    """Sent to every controller until it answers; versions up to 0.2.0 refuse it."""


class VersionReply(msgspec.Struct):
    """The version that the controller runs."""

    version: str


class HoldsTermRequest(msgspec.Struct, tag="holding", tag_field="kind"):
    """Asks whether a controller holds a term.

    A controller that has just started asks this, since a leader may still rely on a lease grant of
    its previous process. Versions before 0.4.0 refuse the request.
    """


class HoldsTermReply(msgspec.Struct):
    """Whether the controller holds a term, by its lease or by lease grants.

    `quiet_ms` is for how long it has certainly answered no worker in a term of its own: since its
    last term ended or its process started, but at most `MAX_NO_ANSWERS`. Versions before 0.6.0
    leave it out.
    """

    holds: bool
    quiet_ms: Age | None = None


PeerRequest = (
    Relay
    | HeartbeatAttemptsRequest
    | LeaseGrantCall
    | VersionRequest
    | HoldsTermRequest
    | PeerHeartbeats
    | ForwardedHeartbeats
    | TransferLeadership
    | PreVote
)
PeerReply = (
    RelayReply
    | HeartbeatAttemptsReply
    | LeaseGrantReply
    | VersionReply
    | HoldsTermReply
    | PeerHeartbeatsReply
    | ForwardedHeartbeatsReply
    | TransferLeadershipReply
    | PreVoteReply
)


class MalformedError(Exception):
    """The data is not a valid message."""


def encode(message: PeerRequest | PeerReply) -> bytes:
    """Encode a message for sending."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes, message_type: Any) -> Any:  # noqa: ANN401 - may be a union of types
    """Decode a message of type `message_type`.

    Raises:
        MalformedError: the data is not a valid message of this type.
    """
    try:
        return msgspec.convert(cbor2.loads(data), message_type, builtin_types=(bytes,))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, RecursionError) as error:
        raise MalformedError(str(error)) from error
