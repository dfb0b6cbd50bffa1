"""The newest heartbeat of each controller, and how it arrived."""

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from dappledrum.reach.messages import Word
from dappledrum.timing.clock import DRIFT, ZERO

FRESH = timedelta(seconds=3.5)  # three heartbeats of a second, with a margin
MOST_AGE = timedelta(seconds=10)


class Known:
    """The newest heartbeat of one controller, and the moment on our clock that it describes."""

    def __init__(self, word: Word, at: timedelta, direct: bool) -> None:
        self.word = word
        self.at = at
        self.direct = direct
        self.direct_at: timedelta | None = None  # of the newest that came from itself
        self.offset = at - span(word.tick)

    @property
    def key(self) -> tuple[int, int]:
        """Order of the heartbeats of one controller."""
        return self.word.born, self.word.tick


def ms(span: timedelta) -> int:
    """Whole milliseconds, as in heartbeats."""
    return max(0, int(span.total_seconds() * 1000))


def span(value: int) -> timedelta:
    """A duration from a number of milliseconds."""
    return timedelta(milliseconds=value)


class Table:
    """The heartbeats of the other controllers, by member."""

    def __init__(self, member: str, members: Iterable[str]) -> None:
        self.member = member
        self.members = frozenset(members)
        self.known: dict[str, Known] = {}

    def note(self, word: Word, now: timedelta, direct: bool) -> None:
        """Store a heartbeat unless a newer one is known. Heartbeats of unknown members are
        ignored."""
        if word.member not in self.members or word.member == self.member:
            return
        known = self.known.get(word.member)
        if known is not None and (word.born, word.tick) <= known.key:
            if direct and known.word.born == word.born:
                said = known.offset + span(word.tick)
                known.direct_at = max(said, known.direct_at or said)
            return
        at = now - span(word.age_ms)
        new = Known(word, at, direct)
        if known is not None and known.word.born == word.born:
            # A message may be held back for minutes and still tell an age of nothing. It comes
            # later than its tick says by the quickest one before it, drift allowed for.
            latest = known.offset + span(word.tick - known.word.tick) * (2 * DRIFT)
            new.offset = min(new.offset, latest)
            new.at = min(at, span(word.tick) + new.offset)
            new.direct_at = known.direct_at
        if direct:
            new.direct_at = new.at
        self.known[word.member] = new

    def word(self, member: str, now: timedelta, within: timedelta = FRESH) -> Word | None:
        """The heartbeat of a controller, if it is not older than `within`."""
        known = self.known.get(member)
        return known.word if known is not None and now - known.at <= within else None

    def at(self, member: str) -> timedelta:
        """The moment on our clock that a known heartbeat describes."""
        return self.known[member].at

    def talks(self, member: str, now: timedelta, within: timedelta = FRESH) -> bool:
        """Whether the controller itself has sent a heartbeat lately."""
        known = self.known.get(member)
        return (
            known is not None and known.direct_at is not None and now - known.direct_at <= within
        )

    def fresh(self, now: timedelta) -> list[Word]:
        """All heartbeats that are not old."""
        return [known.word for known in self.known.values() if now - known.at <= FRESH]

    def to_hand_on(self, now: timedelta) -> list[Word]:
        """Heartbeats that were received directly: each is passed on once, with its present age."""
        return [
            msgspec.structs.replace(known.word, age_ms=ms(now - known.at), samples={})
            for known in self.known.values()
            if known.direct and now - known.at <= MOST_AGE
        ]


def reached_at(at: timedelta, age: int | None) -> timedelta | None:
    """The moment on our clock of an event whose age a heartbeat of the moment `at` gives."""
    return None if age is None else max(at - span(age), ZERO)
