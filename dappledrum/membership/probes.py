"""Probes idle links: to the store, to workers and to the cloud."""

import asyncio
from collections.abc import Iterable
from datetime import timedelta

from dappledrum.membership.context import MembershipContext, ProbedService, WorkerProbe
from dappledrum.membership.monitor import PeerMonitor
from dappledrum.membership.peer_table import from_ms
from dappledrum.membership.silent_zones import SilentZones
from dappledrum.membership.zone_health import MAX_ZONES, ZoneTable
from dappledrum.peers.heartbeat_messages import PeerHeartbeat
from dappledrum.timing.clock import ZERO

STORE_PROBE_INTERVAL = timedelta(seconds=1)
WORKER_PROBE_TIMEOUT = timedelta(seconds=1)
WORKER_PROBE_INTERVAL = timedelta(seconds=4)  # while all zones are connected
URGENT_PROBE_INTERVAL = timedelta(milliseconds=700)  # while a zone is silent
CLOUD_PROBE_INTERVAL = timedelta(seconds=5)


class StoreProber:
    """Probes the store whenever it has not responded for an interval."""

    def __init__(self, context: MembershipContext, store: ProbedService) -> None:
        self.context = context
        self.store = store

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await _sleep_about(STORE_PROBE_INTERVAL, self.context)
            if self.store.health.idle_for(STORE_PROBE_INTERVAL):
                await self.store.probe()


class CloudProber:
    """Probes the cloud while the leader gets no response from it. The cloud limits the rate of
    calls, and the leader uses none of that limit then."""

    def __init__(
        self, context: MembershipContext, monitor: PeerMonitor, cloud: ProbedService
    ) -> None:
        self.context = context
        self.monitor = monitor
        self.cloud = cloud

    async def run(self) -> None:
        """Probe until cancelled."""
        while True:
            await _sleep_about(CLOUD_PROBE_INTERVAL, self.context)
            if any(map(_reports_slow_cloud, self.monitor.recent_heartbeats())):
                await self.cloud.probe()


def _reports_slow_cloud(heartbeat: PeerHeartbeat) -> bool:
    return heartbeat.leads and from_ms(heartbeat.cloud_delay_ms or 0) > CLOUD_PROBE_INTERVAL


class WorkerProber:
    """Probes workers of zones from which no heartbeats arrive.

    Followers probe one worker every WORKER_PROBE_INTERVAL, and workers of all zones more often
    while the leader reports an unreachable zone. The leader probes the silent zones itself, to
    find out whether its links to them are cut.
    """

    def __init__(
        self,
        context: MembershipContext,
        monitor: PeerMonitor,
        zones: ZoneTable,
        silent_zones: SilentZones,
        probe: WorkerProbe,
    ) -> None:
        self.context = context
        self.clock = context.clock
        self.monitor = monitor
        self.zones = zones
        self.silent_zones = silent_zones
        self.probe = probe

    async def run(self) -> None:
        """Probe until cancelled."""
        last_round = ZERO
        while True:
            await _sleep_about(URGENT_PROBE_INTERVAL, self.context)
            heartbeats = self.monitor.recent_heartbeats()
            urgent = bool(self.silent_zones.silent_since) or any(
                heartbeat.leads and heartbeat.unreachable_zones for heartbeat in heartbeats
            )
            now = self.clock.now()
            if not urgent and now - last_round < WORKER_PROBE_INTERVAL:
                continue
            last_round = now
            self._add_addresses(heartbeats)
            zones = self._zones_to_probe(leads=self.context.elector.valid_term() is not None)
            zones = zones if urgent else zones[:1]
            await asyncio.gather(*(self._probe_zone(name) for name in zones))

    def _add_addresses(self, heartbeats: Iterable[PeerHeartbeat]) -> None:
        """Add the worker addresses in a leader's heartbeats to the zones."""
        for heartbeat in heartbeats:
            if not heartbeat.leads:
                continue
            for name, addresses in heartbeat.probe_addresses.items():
                known = self.zones.get_or_create(name).addresses
                known.extend(address for address in addresses if address not in known)

    def _zones_to_probe(self, leads: bool) -> list[str]:
        """Zones without recent contact, least recently probed first; on a leader only those that
        are silent."""
        now = self.clock.now()
        names = [
            name
            for name, zone in self.zones.items()
            if zone.addresses
            and (name in self.silent_zones.silent_since or not leads)
            and (
                zone.last_contact_at is None
                or now - zone.last_contact_at > URGENT_PROBE_INTERVAL / 2
            )
        ]
        return sorted(names, key=lambda name: self.zones[name].probed_at or ZERO)[:MAX_ZONES]

    async def _probe_zone(self, name: str) -> None:
        """Probe one randomly chosen worker of a zone."""
        zone = self.zones[name]
        sent = zone.probed_at = self.clock.now()
        address = self.context.rng.choice(list(zone.addresses))
        answered = await self.probe(address, WORKER_PROBE_TIMEOUT)
        zone.record_probe(sent, self.clock.now(), answered)


async def _sleep_about(interval: timedelta, context: MembershipContext) -> None:
    """Sleep for the interval plus or minus up to 10%, so that controllers do not synchronize."""
    await asyncio.sleep(interval.total_seconds() * context.rng.uniform(0.9, 1.1))
