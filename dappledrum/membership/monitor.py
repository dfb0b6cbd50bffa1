"""Exchanges heartbeats with the other controllers.

Heartbeats are sent when something has changed, and otherwise about once a second. A peer that has
just sent its own heartbeat is skipped, so an idle pair exchanges one request a second.
"""

import asyncio
import logging
from datetime import timedelta

from dappledrum.election.terms import Term
from dappledrum.http.link_health import LinkHealth
from dappledrum.membership.context import MembershipContext
from dappledrum.membership.peer_table import HeartbeatOrder, PeerTable, heartbeat_order, to_ms
from dappledrum.membership.silent_zones import SilentZones
from dappledrum.membership.zone_health import ZoneTable
from dappledrum.peers.heartbeat_messages import PeerHeartbeat, PeerHeartbeats, PeerHeartbeatsReply

log = logging.getLogger(__name__)

HEARTBEAT_INTERVAL = timedelta(seconds=1)
#: No request is sent to a peer whose own heartbeat is newer than this.
MIN_EXCHANGE_INTERVAL = timedelta(milliseconds=850)
EXCHANGE_TIMEOUT = timedelta(milliseconds=900)
#: Clocks are never further apart; an incarnation further ahead is invalid and not superseded.
MAX_CLOCK_DIFFERENCE = timedelta(hours=1)
PROBE_ADDRESSES_PER_ZONE = 2  # worker addresses in a leader's heartbeats


class PeerMonitor:
    """Sends this controller's heartbeat to its peers, and keeps the newest one of each peer."""

    def __init__(
        self,
        context: MembershipContext,
        store: LinkHealth,
        cloud: LinkHealth,
        zones: ZoneTable,
        silent_zones: SilentZones,
    ) -> None:
        self.context = context
        self.clock = context.clock
        self.store = store
        self.cloud = cloud
        self.zones = zones
        self.silent_zones = silent_zones
        #: Peers whose version supports heartbeats.
        self.heartbeat_peers: set[str] = set()
        self.table = PeerTable(context.member, context.peers.clients)
        self.started_at = self.clock.now()
        self.incarnation = int(self.clock.utc_now().timestamp() * 1000)
        #: When the last heartbeat of any peer was received.
        self.received_at: timedelta | None = None
        self._send_now = {peer: asyncio.Event() for peer in context.peers.clients}

    def own_heartbeat(self) -> PeerHeartbeat:
        """Build this controller's heartbeat from its current state."""
        now = self.clock.now()
        elector = self.context.elector
        term = elector.valid_term()
        leader = elector.leader
        store_delay, cloud_delay = self.store.expected_delay(), self.cloud.expected_delay()
        response_at = self.store.response_at
        zones = self.zones.items()
        return PeerHeartbeat(
            self.context.member,
            self.incarnation,
            to_ms(now - self.started_at),
            0,
            to_ms(now - self.context.pause_detector.running_since()),
            epoch=elector.epoch,
            leader=leader.member if leader is not None else None,
            leads=term is not None,
            term_ms=0 if term is None else to_ms(now - term.started_at),
            store_delay_ms=None if store_delay is None else to_ms(store_delay),
            store_response_age_ms=None if response_at is None else to_ms(now - response_at),
            cloud_delay_ms=None if cloud_delay is None else to_ms(cloud_delay),
            heartbeat_ages_ms={n: to_ms(now - at) for n, z in zones if (at := z.heartbeat_at)},
            probe_ages_ms={n: to_ms(now - at) for n, z in zones if (at := z.probe_answered_at)},
            unreachable_zones=sorted(self._unreachable_zones(term)),
            probe_addresses={} if term is None else self._draw_probe_addresses(),
        )

    def _unreachable_zones(self, term: Term | None) -> list[str]:
        if term is None:
            return self.zones.unreachable()
        return list(self.silent_zones.unreachable())

    def _draw_probe_addresses(self) -> dict[str, list[str]]:
        """Draw some worker addresses of each zone, for followers to probe."""
        return {
            name: self.context.rng.sample(
                list(zone.addresses), min(PROBE_ADDRESSES_PER_ZONE, len(zone.addresses))
            )
            for name, zone in self.zones.items()
        }

    def receive(self, heartbeats: PeerHeartbeats | PeerHeartbeatsReply) -> None:
        """Record the heartbeats that a peer has sent."""
        now = self.clock.now()
        self.received_at = now
        self.table.record(heartbeats.own, now, direct=True)
        for heartbeat in heartbeats.relayed[: len(self.table.members)]:
            if heartbeat.member == self.context.member:
                self._supersede_previous_process(heartbeat)
            self.table.record(heartbeat, now, direct=False)

    def _supersede_previous_process(self, heartbeat: PeerHeartbeat) -> None:
        """Raise the incarnation above that of a previous process of this controller.

        `heartbeat`: the newest one of that process, relayed by a peer. Clocks are not exact: of
        two processes that start shortly after one another, the later one may have the lower
        incarnation, and all its heartbeats would count as old ones of the previous process.
        """
        own = HeartbeatOrder(self.incarnation, to_ms(self.clock.now() - self.started_at))
        max_incarnation = int((self.clock.utc_now() + MAX_CLOCK_DIFFERENCE).timestamp() * 1000)
        if own < heartbeat_order(heartbeat) and heartbeat.incarnation <= max_incarnation:
            log.info(
                "raising the incarnation above that of the previous process: incarnation=%d",
                heartbeat.incarnation + 1,
            )
            self.incarnation = heartbeat.incarnation + 1
            self.announce()

    def answer(self, heartbeats: PeerHeartbeats) -> PeerHeartbeatsReply:
        """Answer a peer's heartbeats with this controller's own. A peer that sends heartbeats
        supports them, whatever its version was before."""
        if heartbeats.own.member in self.table.members:
            self.heartbeat_peers.add(heartbeats.own.member)
        self.receive(heartbeats)
        return PeerHeartbeatsReply(self.own_heartbeat(), self.table.to_relay(self.clock.now()))

    def announce(self) -> None:
        """Send heartbeats at once, to inform the peers of a change."""
        for event in self._send_now.values():
            event.set()

    async def exchange_heartbeats(self, peer: str) -> None:
        """Exchange heartbeats with one peer until cancelled."""
        while True:
            interval = HEARTBEAT_INTERVAL.total_seconds() * self.context.rng.uniform(0.9, 1.1)
            try:
                async with asyncio.timeout(interval):
                    await self._send_now[peer].wait()
            except TimeoutError:
                if self.table.is_connected(peer, self.clock.now(), MIN_EXCHANGE_INTERVAL):
                    continue
            self._send_now[peer].clear()
            if peer not in self.heartbeat_peers:
                continue
            heartbeats = PeerHeartbeats(
                self.own_heartbeat(), self.table.to_relay(self.clock.now())
            )
            reply = await self.context.peers.heartbeats(peer, heartbeats, EXCHANGE_TIMEOUT)
            if reply is not None:
                self.receive(reply)

    def recent_heartbeats(self) -> list[PeerHeartbeat]:
        """The recent heartbeats of all peers, received directly or relayed."""
        return self.table.recent(self.clock.now())

    def connected_heartbeats(self) -> list[PeerHeartbeat]:
        """The recent heartbeats of peers from which one has recently arrived directly."""
        now = self.clock.now()
        return [
            heartbeat
            for heartbeat in self.table.recent(now)
            if self.table.is_connected(heartbeat.member, now)
        ]

    def is_connected(self) -> bool:
        """Whether a heartbeat of any peer has recently arrived directly."""
        now = self.clock.now()
        return any(self.table.is_connected(peer, now) for peer in self.heartbeat_peers)
