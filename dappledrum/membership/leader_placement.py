"""Which controller should lead, by the health of its links.

Pure functions, so that tests can compare them with a slow model. Leadership itself depends on the
lease of the key `leader` alone.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.membership.leader_claims import TRANSFER_COST, store_is_slow
from dappledrum.membership.peer_table import PeerTable, ReceivedHeartbeat, event_time, from_ms
from dappledrum.peers.heartbeat_messages import PeerHeartbeat
from dappledrum.timing.clock import ZERO

#: The cloud is called rarely, and machines that run already go on without it.
MAX_CLOUD_DELAY = timedelta(seconds=20)
CANDIDACY_DELAY = timedelta(milliseconds=400)
MIN_UNPAUSED_TIME = timedelta(seconds=2)
MAX_CONTACT_AGE = timedelta(seconds=3)


class LeaderLinks(NamedTuple):
    """The state of a leader's own links."""

    now: timedelta
    #: What a request to the store would take, and since when it has not responded.
    store_delay: timedelta
    store_waiting_since: timedelta | None
    #: The same of the cloud.
    cloud_delay: timedelta
    cloud_waiting_since: timedelta | None
    #: Zones without heartbeats, and since when: those that its own probes do not reach either, and
    #: those that they do, but whose workers had the time to find this controller.
    unreachable_zones: Mapping[str, timedelta]
    silent_zones: Mapping[str, timedelta]
    #: Zones whose heartbeats arrive.
    connected_zones: frozenset[str]


class Successor(NamedTuple):
    """A controller that would clearly be a better leader, and why, for the log."""

    member: str
    reason: str


def better_leader(
    own: LeaderLinks, table: PeerTable, heartbeat_peers: Iterable[str]
) -> Successor | None:
    """A controller that would clearly be a better leader; None: the leader stays.

    The store counts first, then workers, then the cloud. Only a controller qualifies that
    has sent a heartbeat itself since the fault began, and that was not paused just before. So if
    all controllers have the same fault the leader stays, and so does a controller that is the only
    one left.

    `heartbeat_peers`: peers whose version supports heartbeats.
    """
    candidates = _candidates(own, table, heartbeat_peers)
    if own.store_waiting_since is not None and own.store_delay > TRANSFER_COST:
        return _better_served_by_store(own.store_waiting_since, candidates)
    candidates = [known for known in candidates if not store_is_slow(known.heartbeat)]
    if own.unreachable_zones or own.silent_zones:
        return _better_connected_to_workers(own, candidates)
    if own.cloud_waiting_since is not None and own.cloud_delay > MAX_CLOUD_DELAY:
        return _better_served_by_cloud(candidates)
    return None


def _candidates(
    own: LeaderLinks, table: PeerTable, heartbeat_peers: Iterable[str]
) -> list[ReceivedHeartbeat]:
    """Peers that are connected and were not paused just before, by name."""
    candidates = []
    for member in sorted(heartbeat_peers):
        known = table.received.get(member)
        if (
            known is not None
            and table.is_connected(member, own.now)
            and table.heartbeat(member, own.now) is not None
            and from_ms(known.heartbeat.unpaused_ms) >= MIN_UNPAUSED_TIME
        ):
            candidates.append(known)
    return candidates


def _better_served_by_store(
    waiting_since: timedelta, candidates: Iterable[ReceivedHeartbeat]
) -> Successor | None:
    served = [
        known.heartbeat
        for known in candidates
        if _is_after(known, known.heartbeat.store_response_age_ms, waiting_since)
        and not store_is_slow(known.heartbeat)
    ]
    if not served:
        return None
    best = min(served, key=lambda one: (len(one.unreachable_zones), one.store_delay_ms or 0))
    return Successor(best.member, "the store serves it, and not this controller")


def _better_connected_to_workers(
    own: LeaderLinks, candidates: Iterable[ReceivedHeartbeat]
) -> Successor | None:
    best = max(candidates, key=lambda known: len(_reached_zones(known, own)), default=None)
    if best is None:
        return None
    reached = _reached_zones(best, own)
    if len(reached) <= len(own.connected_zones):
        return None
    return Successor(
        best.heartbeat.member,
        f"workers of {', '.join(sorted(reached))} reach it,"
        f" here only {', '.join(sorted(own.connected_zones)) or 'none'}",
    )


def _better_served_by_cloud(candidates: Iterable[ReceivedHeartbeat]) -> Successor | None:
    for known in candidates:
        heartbeat = known.heartbeat
        delay = heartbeat.cloud_delay_ms
        if (
            delay is not None
            and from_ms(delay) < TRANSFER_COST
            and not heartbeat.unreachable_zones
        ):
            reason = "the cloud answers it, and not this controller"
            return Successor(heartbeat.member, reason)
    return None


def _is_after(known: ReceivedHeartbeat, age_ms: int | None, since: timedelta) -> bool:
    """Whether an event of this age in a heartbeat happened after `since`."""
    at = event_time(known.described_at, age_ms)
    return at is not None and at > since


def _reached_zones(known: ReceivedHeartbeat, own: LeaderLinks) -> set[str]:
    """Zones whose workers this controller reaches: of those that we have lost, the ones with which
    it has had contact since; of the others, those that it does not report as unreachable.

    Where our own probes get through, only workers that came there by themselves count: a leader
    that had just begun, and that workers had not found yet, once transferred leadership for
    nothing.
    """
    heartbeat = known.heartbeat
    regained = set()
    for zone, since in {**own.unreachable_zones, **own.silent_zones}.items():
        after = max(since, own.now - MAX_CONTACT_AGE)
        probed = zone in own.unreachable_zones and _is_after(
            known, heartbeat.probe_ages_ms.get(zone), after
        )
        if probed or _is_after(known, heartbeat.heartbeat_ages_ms.get(zone), after):
            regained.add(zone)
    return regained | {
        zone for zone in own.connected_zones if zone not in heartbeat.unreachable_zones
    }


def candidacy_delay(own: PeerHeartbeat, others: Iterable[PeerHeartbeat]) -> timedelta:
    """How long to let a better candidate campaign first; zero among equals."""
    own_rank = _rank(own)
    if any(_rank(heartbeat) < own_rank for heartbeat in others):
        return CANDIDACY_DELAY
    return ZERO


class _Rank(NamedTuple):
    """Order of candidates: the lowest campaigns first."""

    slow_store: bool
    unreachable_zones: int
    slow_cloud: bool


def _rank(heartbeat: PeerHeartbeat) -> _Rank:
    delay = heartbeat.cloud_delay_ms
    return _Rank(
        store_is_slow(heartbeat),
        len(heartbeat.unreachable_zones),
        delay is not None and from_ms(delay) > MAX_CLOUD_DELAY,
    )
