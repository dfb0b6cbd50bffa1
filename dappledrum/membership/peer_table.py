"""The newest heartbeat of each peer, and whether it arrived directly."""

from collections.abc import Iterable
from datetime import timedelta
from typing import NamedTuple

import msgspec

from dappledrum.peers.heartbeat_messages import PeerHeartbeat
from dappledrum.timing.clock import MAX_CLOCK_DRIFT, ZERO

MAX_RECENT_AGE = timedelta(seconds=3.5)  # three heartbeat intervals of 1 s, and a margin
MAX_RELAYED_AGE = timedelta(seconds=10)


class HeartbeatOrder(NamedTuple):
    """Sort key for the heartbeats of one controller; a newer heartbeat has a larger one."""

    incarnation: int
    uptime_ms: int


def heartbeat_order(heartbeat: PeerHeartbeat) -> HeartbeatOrder:
    """The sort key of a heartbeat among those of its controller."""
    return HeartbeatOrder(heartbeat.incarnation, heartbeat.uptime_ms)


class ReceivedHeartbeat:
    """The newest heartbeat of one controller, and the local time that it describes."""

    def __init__(self, heartbeat: PeerHeartbeat, described_at: timedelta, direct: bool) -> None:
        self.heartbeat = heartbeat
        self.described_at = described_at
        self.direct = direct
        #: The time described by the newest heartbeat that came from the controller itself.
        self.direct_at: timedelta | None = None
        #: Local clock minus the uptime of the sender, from the heartbeat with the least delay.
        self.clock_offset = described_at - from_ms(heartbeat.uptime_ms)


def to_ms(span: timedelta) -> int:
    """Convert to whole milliseconds, as in heartbeats; negative spans become 0."""
    return max(0, int(span.total_seconds() * 1000))


def from_ms(value: int) -> timedelta:
    """Convert from milliseconds."""
    return timedelta(milliseconds=value)


class PeerTable:
    """The newest heartbeats of the other controllers, by member."""

    def __init__(self, member: str, members: Iterable[str]) -> None:
        self.member = member
        self.members = frozenset(members)
        self.received: dict[str, ReceivedHeartbeat] = {}

    def record(self, heartbeat: PeerHeartbeat, now: timedelta, direct: bool) -> None:
        """Store a heartbeat unless a newer one is stored. Heartbeats of unknown members are
        ignored.

        `direct`: it came from the controller itself, and was not relayed by another one.
        """
        if heartbeat.member not in self.members or heartbeat.member == self.member:
            return
        known = self.received.get(heartbeat.member)
        if known is not None and heartbeat_order(heartbeat) <= heartbeat_order(known.heartbeat):
            if direct and known.heartbeat.incarnation == heartbeat.incarnation:
                sent_at = known.clock_offset + from_ms(heartbeat.uptime_ms)
                known.direct_at = max(sent_at, known.direct_at or sent_at)
            return
        described_at = now - from_ms(heartbeat.age_ms)
        new = ReceivedHeartbeat(heartbeat, described_at, direct)
        if known is not None and known.heartbeat.incarnation == heartbeat.incarnation:
            # A message may be delayed for minutes and still carry an age of zero. Its delay shows
            # as an offset larger than that of the fastest heartbeat before it, plus clock drift.
            elapsed = from_ms(heartbeat.uptime_ms - known.heartbeat.uptime_ms)
            max_offset = known.clock_offset + elapsed * (2 * MAX_CLOCK_DRIFT)
            new.clock_offset = min(new.clock_offset, max_offset)
            new.described_at = min(described_at, from_ms(heartbeat.uptime_ms) + new.clock_offset)
            new.direct_at = known.direct_at
        if direct:
            new.direct_at = new.described_at
        self.received[heartbeat.member] = new

    def heartbeat(
        self, member: str, now: timedelta, max_age: timedelta = MAX_RECENT_AGE
    ) -> PeerHeartbeat | None:
        """The heartbeat of a controller, or None if there is none that recent."""
        known = self.received.get(member)
        if known is None or now - known.described_at > max_age:
            return None
        return known.heartbeat

    def described_at(self, member: str) -> timedelta:
        """The time on the local clock that the stored heartbeat of a member describes."""
        return self.received[member].described_at

    def is_connected(
        self, member: str, now: timedelta, max_age: timedelta = MAX_RECENT_AGE
    ) -> bool:
        """Whether a heartbeat not older than `max_age` came from the controller itself."""
        known = self.received.get(member)
        return (
            known is not None and known.direct_at is not None and now - known.direct_at <= max_age
        )

    def recent(self, now: timedelta) -> list[PeerHeartbeat]:
        """All heartbeats that are not older than MAX_RECENT_AGE."""
        return [
            known.heartbeat
            for known in self.received.values()
            if now - known.described_at <= MAX_RECENT_AGE
        ]

    def to_relay(self, now: timedelta) -> list[PeerHeartbeat]:
        """Heartbeats to relay, with their current age: only those received directly, so that each
        is relayed over one hop."""
        return [
            msgspec.structs.replace(
                known.heartbeat, age_ms=to_ms(now - known.described_at), probe_addresses={}
            )
            for known in self.received.values()
            if known.direct and now - known.described_at <= MAX_RELAYED_AGE
        ]


def event_time(described_at: timedelta, age_ms: int | None) -> timedelta | None:
    """The time on the local clock of an event of which a heartbeat gives the age, relative to
    `described_at`; None if there was no such event."""
    return None if age_ms is None else max(described_at - from_ms(age_ms), ZERO)
