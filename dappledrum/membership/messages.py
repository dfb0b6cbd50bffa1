"""Heartbeats between controllers: what each knows about its links. They carry ages, not times; the
heartbeats of one controller are ordered by its own clocks.

A heartbeat is small (about 220 bytes in CBOR). It is sent to each peer about once a second,
together with the heartbeats received directly from the others, so that two controllers that can't
reach each other still know about each other. Versions before 0.5.0 refuse heartbeats, and get
none.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.election.messages import Age, Count
from dappledrum.settings import Address

Text = Annotated[str, Meta(min_length=1, max_length=200)]


class PeerHeartbeat(msgspec.Struct, omit_defaults=True):
    """What one controller knew about its own links at one moment.

    `age_ms` is how long ago that moment was, as far as the sender knows; all other ages count from
    it. `born` is the time of day at which the controller's process began, in milliseconds, and
    `tick` its steady time since. The newer heartbeat is the one with the larger pair, however late
    it arrives.
    """

    member: Text
    born: Count
    tick: Count
    age_ms: Age
    #: For how long it has not stood still; one that has just woken up judges nobody.
    awake_ms: Age
    #: The highest epoch it knows of, whose that is, and whether that is itself, entitled,
    #: and since when.
    epoch: Count = 0
    leader: Text | None = None
    holds: bool = False
    term_ms: Age = 0
    #: What a request to the store would take, by what the last ones took and by how long
    #: the oldest without an answer waits; and when it was last served.
    state_ms: Age | None = None
    served_ms: Age | None = None
    #: The same of the cloud; None: not asked yet.
    cloud_ms: Age | None = None
    #: By zone: when a worker was last heard by itself, and when one last answered a probe.
    heard_ms: dict[Text, Age] = {}
    probed_ms: dict[Text, Age] = {}
    #: Zones that probes do not reach; of a leader those that are silent besides.
    lost: list[Text] = []
    #: Of a leader: some addresses of workers by zone, for probes.
    samples: dict[Text, list[Address]] = {}


class PeerHeartbeats(msgspec.Struct, tag="reach", tag_field="kind"):
    """A controller's own heartbeat, and those that it has received directly from others."""

    own: PeerHeartbeat
    heard: list[PeerHeartbeat] = []


class PeerHeartbeatsReply(msgspec.Struct):
    """The same from the controller that was asked."""

    own: PeerHeartbeat
    heard: list[PeerHeartbeat] = []


class ForwardedHeartbeats(
    msgspec.Struct, tag="passed", tag_field="kind", rename={"heartbeats": "reports"}
):
    """Heartbeats of workers that do not reach the leader, unchanged, for the leader to answer."""

    heartbeats: list[bytes]


class ForwardedHeartbeatsReply(msgspec.Struct):
    """The bodies of the leader's answers, in the same order; None: it gives no answer."""

    answers: list[bytes | None]
