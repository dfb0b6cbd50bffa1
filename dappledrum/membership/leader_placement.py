"""Which controller should lead, judged by the health of its links.

Pure functions, so that they can be tested without links. Leadership itself depends on the lease of
the key `leader` alone.
"""

from collections.abc import Iterable, Mapping
from datetime import timedelta
from typing import NamedTuple

from dappledrum.membership.leader_claims import TRANSFER_COST, store_is_slow
from dappledrum.membership.peer_table import PeerTable, ReceivedHeartbeat, event_time, from_ms
from dappledrum.peers.heartbeat_messages import PeerHeartbeat
from dappledrum.timing.clock import ZERO

#: Long, since the cloud is called rarely and running machines do not depend on it.
MAX_CLOUD_DELAY = timedelta(seconds=20)
CANDIDACY_DELAY = timedelta(milliseconds=400)
MIN_UNPAUSED_TIME = timedelta(seconds=2)
MAX_CONTACT_AGE = timedelta(seconds=3)


class LeaderLinks(NamedTuple):
    """The state of a leader's own links."""

    now: timedelta
    #: Expected delay of a request to the store, and since when a request has had no response.
    store_delay: timedelta
    store_waiting_since: timedelta | None
    #: The same for the cloud.
    cloud_delay: timedelta
    cloud_waiting_since: timedelta | None
    #: Zones without heartbeats, and since when: first those that its own probes do not reach
    #: either, then those that probes reach, although their workers had time to find this leader.
    unreachable_zones: Mapping[str, timedelta]
    silent_zones: Mapping[str, timedelta]
    #: Zones from which heartbeats arrive.
    connected_zones: frozenset[str]


class Successor(NamedTuple):
    """A controller that would clearly be a better leader, and the reason for the log."""

    member: str
    reason: str


def better_leader(
    own: LeaderLinks, table: PeerTable, heartbeat_peers: Iterable[str]
) -> Successor | None:
    """A controller that would clearly be a better leader; None: the leader stays.

    The store counts first, then workers, then the cloud. A controller qualifies only if this
    leader has recently received a heartbeat directly from it, and if it was not recently paused.
    Its contact with the store or with workers must be newer than the fault. So the leader stays if
    all controllers have the same fault, or if it is the only one left.

    `heartbeat_peers`: peers whose version supports heartbeats.
    """
    candidates = _candidates(own, table, heartbeat_peers)
    if own.store_waiting_since is not None and own.store_delay > TRANSFER_COST:
        return _better_served_by_store(own.store_waiting_since, candidates)
    candidates = [entry for entry in candidates if not store_is_slow(entry.heartbeat)]
    if own.unreachable_zones or own.silent_zones:
        return _better_connected_to_workers(own, candidates)
    if own.cloud_waiting_since is not None and own.cloud_delay > MAX_CLOUD_DELAY:
        return _better_served_by_cloud(candidates)
    return None


def _candidates(
    own: LeaderLinks, table: PeerTable, heartbeat_peers: Iterable[str]
) -> list[ReceivedHeartbeat]:
    """Peers that are connected and were not paused just before, sorted by name."""
    candidates = []
    for member in sorted(heartbeat_peers):
        entry = table.received.get(member)
        if (
            entry is not None
            and table.is_connected(member, own.now)
            and table.heartbeat(member, own.now) is not None
            and from_ms(entry.heartbeat.unpaused_ms) >= MIN_UNPAUSED_TIME
        ):
            candidates.append(entry)
    return candidates


def _better_served_by_store(
    waiting_since: timedelta, candidates: Iterable[ReceivedHeartbeat]
) -> Successor | None:
    served = [
        entry.heartbeat
        for entry in candidates
        if _is_after(entry, entry.heartbeat.store_response_age_ms, waiting_since)
        and not store_is_slow(entry.heartbeat)
    ]
    if not served:
        return None
    best = min(served, key=lambda peer: (len(peer.unreachable_zones), peer.store_delay_ms or 0))
    return Successor(best.member, "the store serves it, and not this controller")


def _better_connected_to_workers(
    own: LeaderLinks, candidates: Iterable[ReceivedHeartbeat]
) -> Successor | None:
    best = max(candidates, key=lambda entry: len(_reached_zones(entry, own)), default=None)
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
    for entry in candidates:
        heartbeat = entry.heartbeat
        delay = heartbeat.cloud_delay_ms
        if (
            delay is not None
            and from_ms(delay) < TRANSFER_COST
            and not heartbeat.unreachable_zones
        ):
            reason = "the cloud answers it, and not this controller"
            return Successor(heartbeat.member, reason)
    return None


def _is_after(entry: ReceivedHeartbeat, age_ms: int | None, since: timedelta) -> bool:
    """Whether an event of this age in a heartbeat happened after `since`."""
    at = event_time(entry.described_at, age_ms)
    return at is not None and at > since


def _reached_zones(entry: ReceivedHeartbeat, own: LeaderLinks) -> set[str]:
    """Zones whose workers the peer reaches.

    Of the zones that this leader has lost, those with which the peer has had contact since; of the
    others, those that the peer does not report as unreachable. Where this leader's own probes get
    through, only heartbeats at the peer count: a new leader that workers had not found yet once
    transferred leadership needlessly.
    """
    heartbeat = entry.heartbeat
    regained = set()
    for zone, since in {**own.unreachable_zones, **own.silent_zones}.items():
        after = max(since, own.now - MAX_CONTACT_AGE)
        probed = zone in own.unreachable_zones and _is_after(
            entry, heartbeat.probe_ages_ms.get(zone), after
        )
        if probed or _is_after(entry, heartbeat.heartbeat_ages_ms.get(zone), after):
            regained.add(zone)
    return regained | {
        zone for zone in own.connected_zones if zone not in heartbeat.unreachable_zones
    }


def candidacy_delay(own: PeerHeartbeat, others: Iterable[PeerHeartbeat]) -> timedelta:
    """How long to wait so that a better candidate campaigns first; zero among equals."""
    own_rank = _rank(own)
    if any(_rank(heartbeat) < own_rank for heartbeat in others):
        return CANDIDACY_DELAY
    return ZERO


class _Rank(NamedTuple):
    """Order of candidates: the one with the lowest rank campaigns first."""

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
