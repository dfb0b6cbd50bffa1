"""Stored records of leadership, and messages between controllers about it."""

from typing import Annotated

import msgspec
from msgspec import Meta

Count = Annotated[int, Meta(ge=0)]
Age = Annotated[int, Meta(ge=0, le=10**9)]  # milliseconds


class LeaderRecord(msgspec.Struct):
    """Value of the key `leader`; it lives as long as the leader's lease."""

    member: str
    epoch: int


class EpochRecord(msgspec.Struct):
    """Value of the key `epoch`, which only grows: the highest token that any term may give.

    Versions up to 0.7.1 give one token in each term, its epoch.
    """

    epoch: int


class LeaseGrantRequest(
    msgspec.Struct, rename={"grant_ms": "for_ms", "confirmed_span_ms": "told_ms"}
):
    """A leader that does not reach the store asks a peer not to campaign for `grant_ms`."""

    member: str
    epoch: int
    grant_ms: int
    #: How far back the peer is asked for the cancellations that it has confirmed to users; see
    #: election/confirmed_cancellations.py.
    confirmed_span_ms: Age = 0


class LeaseGrantReply(msgspec.Struct, omit_defaults=True, rename={"confirmed_span_ms": "told_ms"}):
    """The peer's answer.

    A weak grant counts only if all peers grant, since this controller may have answered the
    pre-vote of a candidate that it is free of lease grants. `cancelled` lists all jobs whose
    cancellation this process has confirmed to users in the last `confirmed_span_ms`; versions
    before 0.7.0 leave both out.
    """

    granted: bool
    reason: str = ""
    weak: bool = False
    cancelled: list[str] = []
    confirmed_span_ms: Age = 0


class PreVote(msgspec.Struct, tag="standing", tag_field="kind"):
    """Pre-vote: a candidate for this epoch asks whether a peer is free of lease grants; see
    `voter.py`.

    Versions before 0.5.0 refuse it; with such a peer a leader needs the lease grants of all peers.
    """

    member: str
    epoch: Count


class PreVoteReply(msgspec.Struct):
    """Whether the peer is free of lease grants; if so, it gives no strong one to a lower epoch
    from now on."""

    free: bool


class TransferLeadership(
    msgspec.Struct,
    tag="hand_over",
    tag_field="kind",
    rename={"transfer_ages_ms": "moves_ms", "others_stopped": "clear"},
):
    """Leadership transfer: a leader that has stopped for good offers leadership to the receiver,
    which may replace version `version` of the key `leader` and raise the epoch from `epoch`.

    `transfer_ages_ms` are the ages of earlier transfers, whose rate is limited. `others_stopped`
    is whether the leader knew that no former leader could still be answering workers on lease
    grants.
    """

    member: str
    epoch: Count
    version: Count
    transfer_ages_ms: list[Age] = []
    others_stopped: bool = False


class TransferLeadershipReply(msgspec.Struct):
    """Whether the successor leads now."""

    leads: bool
