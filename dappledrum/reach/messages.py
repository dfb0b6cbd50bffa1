"""What controllers tell each other of their links. Ages, not times; the order of one controller's
words is by its own clocks.

A word is small (about 220 bytes in CBOR) and told about once a second to each peer, with the words
that came directly from the others, so that two that can't talk still know of each other. Spoken
from 0.5.0 on; older versions refuse it, and are not asked.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.leadership.messages import Age, Count
from dappledrum.settings import Address

Text = Annotated[str, Meta(min_length=1, max_length=200)]


class Word(msgspec.Struct, omit_defaults=True):
    """What one controller knew of its own links when it said so.

    `age_ms` is how long ago that was, as the teller knows it; everything else counts from then.
    `born` is the time of day at which its process began, in milliseconds, and `tick` its steady
    time since: the newer word is the one with the larger pair, however late it comes.
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
    #: What a request to the state service would take, by what the last ones took and by how long
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


class Words(msgspec.Struct, tag="reach", tag_field="kind"):
    """A controller's own word, and the words that it has directly from others."""

    own: Word
    heard: list[Word] = []


class WordsReply(msgspec.Struct):
    """The same from the other side."""

    own: Word
    heard: list[Word] = []


class Passed(msgspec.Struct, tag="passed", tag_field="kind"):
    """Reports of workers that do not reach the leader, as they came, for it to answer."""

    reports: list[bytes]


class PassedReply(msgspec.Struct):
    """The bodies of the leader's answers, in the same order; None: it gives none."""

    answers: list[bytes | None]
