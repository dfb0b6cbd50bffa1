"""Conclusions from heartbeats: who leads, who would lead better, and who stands for leader first.

Pure functions, so that tests can compare them with a slow model. None of the conclusions entitles
a controller to anything: commands depend on the lease of the key `leader` alone. The worst effect
of a wrong heartbeat is a detour of a second.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.membership.messages import PeerHeartbeat
from dappledrum.membership.peer_table import PeerTable, ReceivedHeartbeat, reached_at, span
from dappledrum.timing.clock import ZERO

#: A difference between two links that is worth a move: what moving costs (docs/membership.md).
MIN_GAIN = timedelta(seconds=1)
#: A controller that was served this lately knows by its own watch whether the key stands.
SERVED = timedelta(seconds=2)
#: The cloud is asked rarely, and machines that are there go on without it.
CLOUD_MIN_GAIN = timedelta(seconds=20)
CANDIDACY_DELAY = timedelta(milliseconds=400)
MIN_AWAKE = timedelta(seconds=2)
RECENTLY_HEARD = timedelta(seconds=3)


class Claim(NamedTuple):
    """What one controller knows about who leads; `member` is None if nobody does."""

    epoch: int
    member: str | None
    at: timedelta
    strong: bool  # by the leader itself, or by one that the store serves


def claims(known: Iterable[ReceivedHeartbeat], own: Claim | None) -> list[Claim]:
    """All claims, our own knowledge included."""
    result = [] if own is None else [own]
    for one in known:
        heartbeat = one.heartbeat
        served = heartbeat.served_ms is not None and span(heartbeat.served_ms) <= SERVED
        result.append(
            Claim(
                heartbeat.epoch,
                heartbeat.member if heartbeat.holds else heartbeat.leader,
                one.at,
                heartbeat.holds or (served and not late(heartbeat)),
            )
        )
    return result


def late(heartbeat: PeerHeartbeat) -> bool:
    """Whether the store answers a controller more slowly than a transfer would take."""
    return heartbeat.state_ms is None or span(heartbeat.state_ms) > MIN_GAIN


def who_leads(claimed: Iterable[Claim], heartbeats: Mapping[str, PeerHeartbeat]) -> str | None:
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
    heartbeat = heartbeats.get(member) if member is not None else None
    if heartbeat is not None and (not heartbeat.holds or heartbeat.epoch < epoch):
        return None
    return member


class Situation(NamedTuple):
    """What a leader knows about its own links."""

    now: timedelta
    state: timedelta  # what a request to the store would take
    state_since: timedelta | None  # nothing was served since
    cloud: timedelta  # the same of the cloud
    cloud_since: timedelta | None
    # Zones of which it hears nothing any more, and since when: those that its own probes do not
    # reach either, and those that they do, but whose workers had the time to come.
    unreachable_zones: Mapping[str, timedelta]
    not_reporting: Mapping[str, timedelta]
    heard: frozenset[str]  # zones whose workers it hears


def successor(
    ours: Situation, table: PeerTable, heartbeat_peers: Iterable[str]
) -> tuple[str, str] | None:
    """A controller that would clearly be a better leader, and why; None: the leader stays.

    The store counts first, then workers, then the cloud. Only a controller qualifies that
    has sent a heartbeat itself since the fault began, and that was not paused just before. So if
    all controllers have the same fault the leader stays, and so does a controller that is the only
    one left.
    """
    able: list[ReceivedHeartbeat] = []
    for member in sorted(heartbeat_peers):
        known = table.known.get(member)
        if (
            known is not None
            and table.is_connected(member, ours.now)
            and table.heartbeat(member, ours.now) is not None
            and span(known.heartbeat.awake_ms) >= MIN_AWAKE
        ):
            able.append(known)
    if ours.state_since is not None and ours.state > MIN_GAIN:
        served = [one for one in able if _since(one, one.heartbeat.served_ms, ours.state_since)]
        served = [one for one in served if not late(one.heartbeat)]
        if served:
            best = min(
                served, key=lambda one: (len(one.heartbeat.lost), one.heartbeat.state_ms or 0)
            )
            return best.heartbeat.member, "the state service serves it, and not this controller"
        return None
    able = [one for one in able if not late(one.heartbeat)]
    if ours.unreachable_zones or ours.not_reporting:
        best_of = max(able, key=lambda one: len(_reached(one, ours)), default=None)
        if best_of is not None and len(_reached(best_of, ours)) > len(ours.heard):
            return best_of.heartbeat.member, (
                f"workers of {', '.join(sorted(_reached(best_of, ours)))} reach it,"
                f" here only {', '.join(sorted(ours.heard)) or 'none'}"
            )
        return None
    if ours.cloud_since is not None and ours.cloud > CLOUD_MIN_GAIN:
        for one in able:
            cost = one.heartbeat.cloud_ms
            if cost is not None and span(cost) < MIN_GAIN and not one.heartbeat.lost:
                return one.heartbeat.member, "the cloud answers it, and not this controller"
    return None


def _since(known: ReceivedHeartbeat, age: int | None, since: timedelta) -> bool:
    at = reached_at(known.at, age)
    return at is not None and at > since


def _reached(known: ReceivedHeartbeat, ours: Situation) -> set[str]:
    """Zones whose workers this controller reaches: of those that we have lost, the ones from which
    it has heard since; of the others, those that it does not report as lost.

    Where our own probes get through, only workers that came there by themselves count: a leader
    that had just begun, and that workers had not found yet, once transferred leadership for
    nothing.
    """
    heartbeat = known.heartbeat
    back = set()
    for zone, since in {**ours.unreachable_zones, **ours.not_reporting}.items():
        after = max(since, ours.now - RECENTLY_HEARD)
        probed = zone in ours.unreachable_zones and _since(
            known, heartbeat.probed_ms.get(zone), after
        )
        if probed or _since(known, heartbeat.heard_ms.get(zone), after):
            back.add(zone)
    return back | {zone for zone in ours.heard if zone not in heartbeat.lost}


def candidacy_delay(own: PeerHeartbeat, others: Iterable[PeerHeartbeat]) -> timedelta:
    """How long to let a better candidate stand for leader first; zero among equals."""
    mine = _rank(own)
    return CANDIDACY_DELAY if any(_rank(heartbeat) < mine for heartbeat in others) else ZERO


def _rank(heartbeat: PeerHeartbeat) -> tuple[bool, int, bool]:
    return (
        late(heartbeat),
        len(heartbeat.lost),
        heartbeat.cloud_ms is not None and span(heartbeat.cloud_ms) > (CLOUD_MIN_GAIN),
    )
