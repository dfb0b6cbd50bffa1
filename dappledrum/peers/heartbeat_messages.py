"""Peer heartbeats: what controllers report to each other about their links.

They carry ages, not points in time; the heartbeats of one controller are ordered by its clocks.

A heartbeat is small (about 220 bytes in CBOR). It is sent to each peer about once a second,
together with the heartbeats received directly from other controllers, so that two controllers that
can't reach each other still get each other's heartbeats. Controllers of versions before 0.5.0
refuse heartbeats, so none are sent to them.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.election.messages import Age, Count
from dappledrum.settings import Address

Text = Annotated[str, Meta(min_length=1, max_length=200)]


class PeerHeartbeat(
    msgspec.Struct,
    omit_defaults=True,
    rename={
        "incarnation": "born",
        "uptime_ms": "tick",
        "unpaused_ms": "awake_ms",
        "leads": "holds",
        "store_delay_ms": "state_ms",
        "store_response_age_ms": "served_ms",
        "cloud_delay_ms": "cloud_ms",
        "heartbeat_ages_ms": "heard_ms",
        "probe_ages_ms": "probed_ms",
        "unreachable_zones": "lost",
        "probe_addresses": "samples",
    },
):
    """The state of one controller's links at one moment.

    `age_ms` is how long ago that moment was, by the sender's estimate; all other ages are relative
    to that moment. `incarnation` is the time of day at which the controller's process started, in
    milliseconds, and `uptime_ms` the steady time since then. Of two heartbeats the one with the
    larger pair (`incarnation`, `uptime_ms`) is newer, in whatever order they arrive.
    """

    member: Text
    incarnation: Count
    uptime_ms: Count
    age_ms: Age
    #: For how long the process has run without a pause; right after one, its view of other
    #: controllers is not relied on.
    unpaused_ms: Age
    #: The highest epoch that the controller knows, the leader of that epoch, whether that is the
    #: controller itself with a valid term, and the age of that term.
    epoch: Count = 0
    leader: Text | None = None
    leads: bool = False
    term_ms: Age = 0
    #: Expected duration of a request to the store, by the duration of the last requests and the
    #: age of the oldest one without a response; and the age of the last response.
    store_delay_ms: Age | None = None
    store_response_age_ms: Age | None = None
    #: Expected duration of a request to the cloud; None: no request was sent yet.
    cloud_delay_ms: Age | None = None
    #: By zone: the age of the last heartbeat of a worker, and of the last answer to a probe.
    heartbeat_ages_ms: dict[Text, Age] = {}
    probe_ages_ms: dict[Text, Age] = {}
    #: Zones that probes do not reach; a leader lists only those that also send no heartbeats.
    unreachable_zones: list[Text] = []
    #: Sent by a leader: some addresses of workers by zone, for probes.
    probe_addresses: dict[Text, list[Address]] = {}


class PeerHeartbeats(msgspec.Struct, tag="reach", tag_field="kind", rename={"relayed": "heard"}):
    """A controller's own heartbeat, and those that it has received directly from others.

    The receiver answers with `PeerHeartbeatsReply`.
    """

    own: PeerHeartbeat
    relayed: list[PeerHeartbeat] = []


class PeerHeartbeatsReply(msgspec.Struct, rename={"relayed": "heard"}):
    """The heartbeat of the receiver, and those that it has received directly from others."""

    own: PeerHeartbeat
    relayed: list[PeerHeartbeat] = []


class ForwardedHeartbeats(
    msgspec.Struct, tag="passed", tag_field="kind", rename={"heartbeats": "reports"}
):
    """Heartbeats of workers that do not reach the leader, unchanged, for the leader to answer."""

    heartbeats: list[bytes]


class ForwardedHeartbeatsReply(msgspec.Struct):
    """The bodies of the leader's answers, in the same order; None where it gives no answer."""

    answers: list[bytes | None]
