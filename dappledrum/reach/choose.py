"""Conclusions from heartbeats: who leads, who would lead better, and who stands for leader first.

Pure functions, so that tests can compare them with a slow model. None of the conclusions entitles
a controller to anything: commands depend on the lease of the key `leader` alone. The worst effect
of a wrong heartbeat is a detour of a second.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.reach.messages import Word
from dappledrum.reach.table import Known, Table, reached_at, span
from dappledrum.timing.clock import ZERO

#: A difference between two links that is worth a move: what moving costs (docs/reach.md).
WORTH = timedelta(seconds=1)
#: A controller that was served this lately knows by its own watch whether the key stands.
SERVED = timedelta(seconds=2)
#: The cloud is asked rarely, and machines that are there go on without it.
CLOUD_WORTH = timedelta(seconds=20)
DEFER = timedelta(milliseconds=400)
AWAKE = timedelta(seconds=2)
HEARD = timedelta(seconds=3)


class Claim(NamedTuple):
    """What one controller knows about who leads; `member` is None if nobody does."""

    epoch: int
    member: str | None
    at: timedelta
    strong: bool  # by the leader itself, or by one that the state service serves


def claims(known: Iterable[Known], own: Claim | None) -> list[Claim]:
    """All claims, our own knowledge included."""
    result = [] if own is None else [own]
    for one in known:
        word = one.word
        served = word.served_ms is not None and span(word.served_ms) <= SERVED
        result.append(
            Claim(
                word.epoch,
                word.member if word.holds else word.leader,
                one.at,
                word.holds or (served and not late(word)),
            )
        )
    return result


def late(word: Word) -> bool:
    """Whether the state service answers a controller more slowly than a transfer would take."""
    return word.state_ms is None or span(word.state_ms) > WORTH


def who_leads(claimed: Iterable[Claim], words: Mapping[str, Word]) -> str | None:
    """The controller to which workers are redirected; None: not known.

    Never one of a lower epoch than the highest known, and never one that says it does not lead.
    Within an epoch the newest strong claim decides, since a key may end before the heartbeat of
    its holder is old. Weak claims count only if there is no strong one, as in an outage with a
    leader of a version that sends no heartbeats.
    """
    claimed = list(claimed)
    epoch = max((claim.epoch for claim in claimed), default=0)
    newest = [claim for claim in claimed if claim.epoch == epoch and epoch > 0]
    strong = [claim for claim in newest if claim.strong]
    pool = strong or [claim for claim in newest if claim.member is not None]
    if not pool:
        return None
    member = max(pool, key=lambda claim: claim.at).member
    word = words.get(member) if member is not None else None
    if word is not None and (not word.holds or word.epoch < epoch):
        return None
    return member


class Situation(NamedTuple):
    """What a leader knows about its own links."""

    now: timedelta
    state: timedelta  # what a request to the state service would take
    state_since: timedelta | None  # nothing was served since
    cloud: timedelta  # the same of the cloud
    cloud_since: timedelta | None
    # Zones of which it hears nothing any more, and since when: those that its own probes do not
    # reach either, and those that they do, but whose workers had the time to come.
    apart: Mapping[str, timedelta]
    mute: Mapping[str, timedelta]
    heard: frozenset[str]  # zones whose workers it hears


def successor(ours: Situation, table: Table, speaking: Iterable[str]) -> tuple[str, str] | None:
    """A controller that would clearly be a better leader, and why; None: the leader stays.

    The state service counts first, then workers, then the cloud. Only a controller qualifies that
    has sent a heartbeat itself since the fault began, and that was not paused just before. So if
    all controllers have the same fault the leader stays, and so does a controller that is the only
    one left.
    """
    able: list[Known] = []
    for member in sorted(speaking):
        known = table.known.get(member)
        if (
            known is not None
            and table.talks(member, ours.now)
            and table.word(member, ours.now) is not None
            and span(known.word.awake_ms) >= AWAKE
        ):
            able.append(known)
    if ours.state_since is not None and ours.state > WORTH:
        served = [one for one in able if _since(one, one.word.served_ms, ours.state_since)]
        served = [one for one in served if not late(one.word)]
        if served:
            best = min(served, key=lambda one: (len(one.word.lost), one.word.state_ms or 0))
            return best.word.member, "the state service serves it, and not this controller"
        return None
    able = [one for one in able if not late(one.word)]
    if ours.apart or ours.mute:
        best_of = max(able, key=lambda one: len(_reached(one, ours)), default=None)
        if best_of is not None and len(_reached(best_of, ours)) > len(ours.heard):
            return best_of.word.member, (
                f"workers of {', '.join(sorted(_reached(best_of, ours)))} reach it,"
                f" here only {', '.join(sorted(ours.heard)) or 'none'}"
            )
        return None
    if ours.cloud_since is not None and ours.cloud > CLOUD_WORTH:
        for one in able:
            cost = one.word.cloud_ms
            if cost is not None and span(cost) < WORTH and not one.word.lost:
                return one.word.member, "the cloud answers it, and not this controller"
    return None


def _since(known: Known, age: int | None, since: timedelta) -> bool:
    at = reached_at(known.at, age)
    return at is not None and at > since


def _reached(known: Known, ours: Situation) -> set[str]:
    """Zones whose workers this controller reaches: of those that we have lost, the ones from which
    it has heard since; of the others, those that it does not report as lost.

    Where our own probes get through, only workers that came there by themselves count: a leader
    that had just begun, and that workers had not found yet, once transferred leadership for
    nothing.
    """
    word = known.word
    back = set()
    for zone, since in {**ours.apart, **ours.mute}.items():
        after = max(since, ours.now - HEARD)
        probed = zone in ours.apart and _since(known, word.probed_ms.get(zone), after)
        if probed or _since(known, word.heard_ms.get(zone), after):
            back.add(zone)
    return back | {zone for zone in ours.heard if zone not in word.lost}


def deference(own: Word, others: Iterable[Word]) -> timedelta:
    """How long to let a better candidate stand for leader first; zero among equals."""
    mine = _rank(own)
    return DEFER if any(_rank(word) < mine for word in others) else ZERO


def _rank(word: Word) -> tuple[bool, int, bool]:
    return (
        late(word),
        len(word.lost),
        word.cloud_ms is not None and span(word.cloud_ms) > (CLOUD_WORTH),
    )
