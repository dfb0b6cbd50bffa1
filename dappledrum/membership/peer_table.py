"""The newest heartbeat of each controller, and how it arrived."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from dappledrum.membership.messages import PeerHeartbeat
from dappledrum.timing.clock import MAX_CLOCK_DRIFT, ZERO

FRESH = timedelta(seconds=3.5)  # three heartbeats of a second, with a margin
MAX_AGE = timedelta(seconds=10)


class ReceivedHeartbeat:
    """The newest heartbeat of one controller, and the moment on our clock that it describes."""

    def __init__(self, heartbeat: PeerHeartbeat, at: timedelta, direct: bool) -> None:
        self.heartbeat = heartbeat
        self.at = at
        self.direct = direct
        self.direct_at: timedelta | None = None  # of the newest that came from itself
        self.offset = at - span(heartbeat.tick)

    @property
    def key(self) -> tuple[int, int]:
        """Order of the heartbeats of one controller."""
        return self.heartbeat.born, self.heartbeat.tick


def ms(span: timedelta) -> int:
    """Whole milliseconds, as in heartbeats."""
    return max(0, int(span.total_seconds() * 1000))


def span(value: int) -> timedelta:
    """A duration from a number of milliseconds."""
    return timedelta(milliseconds=value)


class PeerTable:
    """The heartbeats of the other controllers, by member."""

    def __init__(self, member: str, members: Iterable[str]) -> None:
        self.member = member
        self.members = frozenset(members)
        self.known: dict[str, ReceivedHeartbeat] = {}

    def note(self, heartbeat: PeerHeartbeat, now: timedelta, direct: bool) -> None:
        """Store a heartbeat unless a newer one is known. Heartbeats of unknown members are
        ignored."""
        if heartbeat.member not in self.members or heartbeat.member == self.member:
            return
        known = self.known.get(heartbeat.member)
        if known is not None and (heartbeat.born, heartbeat.tick) <= known.key:
            if direct and known.heartbeat.born == heartbeat.born:
                said = known.offset + span(heartbeat.tick)
                known.direct_at = max(said, known.direct_at or said)
            return
        at = now - span(heartbeat.age_ms)
        new = ReceivedHeartbeat(heartbeat, at, direct)
        if known is not None and known.heartbeat.born == heartbeat.born:
            # A message may be held back for minutes and still tell an age of nothing. It comes
            # later than its tick says by the quickest one before it, drift allowed for.
            latest = known.offset + span(heartbeat.tick - known.heartbeat.tick) * (
                2 * MAX_CLOCK_DRIFT
            )
            new.offset = min(new.offset, latest)
            new.at = min(at, span(heartbeat.tick) + new.offset)
            new.direct_at = known.direct_at
        if direct:
            new.direct_at = new.at
        self.known[heartbeat.member] = new

    def heartbeat(
        self, member: str, now: timedelta, within: timedelta = FRESH
    ) -> PeerHeartbeat | None:
        """The heartbeat of a controller, if it is not older than `within`."""
        known = self.known.get(member)
        return known.heartbeat if known is not None and now - known.at <= within else None

    def at(self, member: str) -> timedelta:
        """The moment on our clock that a known heartbeat describes."""
        return self.known[member].at

    def is_connected(self, member: str, now: timedelta, within: timedelta = FRESH) -> bool:
        """Whether the controller itself has sent a heartbeat lately."""
        known = self.known.get(member)
        return (
            known is not None and known.direct_at is not None and now - known.direct_at <= within
        )

    def fresh(self, now: timedelta) -> list[PeerHeartbeat]:
        """All heartbeats that are not old."""
        return [known.heartbeat for known in self.known.values() if now - known.at <= FRESH]

    def to_forward(self, now: timedelta) -> list[PeerHeartbeat]:
        """Heartbeats that were received directly: each is passed on once, with its present age."""
        return [
            msgspec.structs.replace(known.heartbeat, age_ms=ms(now - known.at), samples={})
            for known in self.known.values()
            if known.direct and now - known.at <= MAX_AGE
        ]


def reached_at(at: timedelta, age: int | None) -> timedelta | None:
    """The moment on our clock of an event whose age a heartbeat of the moment `at` gives."""
    return None if age is None else max(at - span(age), ZERO)
