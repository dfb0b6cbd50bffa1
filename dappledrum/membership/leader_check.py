"""The leader's check of its own links; it transfers leadership or resigns if it can't serve."""

import asyncio
import logging
from datetime import timedelta

from dappledrum.membership.context import LeaderActions, MembershipContext
from dappledrum.membership.leader_placement import LeaderLinks, better_leader
from dappledrum.membership.monitor import PeerMonitor
from dappledrum.membership.silent_zones import SilentZones, max_heartbeat_interval
from dappledrum.membership.zone_health import ZoneTable
from dappledrum.timing.clock import ZERO

log = logging.getLogger(__name__)

CHECK_INTERVAL = timedelta(milliseconds=250)
#: A worker abandons a controller after 4 s, and tries the next one a second later.
MAX_WORKER_SEARCH_TIME = timedelta(seconds=6)
#: Longer than another controller takes to become leader once the key is deleted.
RESIGNATION_PAUSE = timedelta(seconds=2)


class LeaderCheck:
    """While this controller leads, finds silent zones and checks which controller should lead."""

    def __init__(
        self,
        context: MembershipContext,
        monitor: PeerMonitor,
        zones: ZoneTable,
        silent_zones: SilentZones,
        actions: LeaderActions,
    ) -> None:
        self.context = context
        self.clock = context.clock
        self.elector = context.elector
        self.monitor = monitor
        self.zones = zones
        self.silent_zones = silent_zones
        self.actions = actions
        self._announced: set[str] = set()  # unreachable zones that the peers have been informed of

    async def run(self) -> None:
        """Check the links until cancelled."""
        self._announced = set()
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            term = self.elector.valid_term()
            if term is None:
                self.silent_zones.clear()
                self._announced = set()
                continue
            self.silent_zones.update(term.started_at)
            self._announce_unreachable_zones()
            if self.elector.may_transfer():
                await self._transfer_or_resign()

    def _announce_unreachable_zones(self) -> None:
        unreachable = set(self.silent_zones.unreachable())
        if unreachable == self._announced:
            return
        if unreachable - self._announced:
            log.warning("workers are unreachable: zones=%s", ", ".join(sorted(unreachable)))
        self._announced = unreachable
        self.monitor.announce()

    async def _transfer_or_resign(self) -> None:
        links = self._links()
        successor = better_leader(links, self.monitor.table, self.monitor.heartbeat_peers)
        if successor is not None:
            await self.actions.transfer_leadership(successor.member, successor.reason)
        elif self._is_isolated(links):
            self.elector.resign(
                "neither workers nor peers reach this controller", RESIGNATION_PAUSE
            )

    def _is_isolated(self, links: LeaderLinks) -> bool:
        """Whether this leader reaches no worker and no peer that could lead instead. It then
        resigns briefly, and leads again if no other controller does."""
        if links.connected_zones or not links.unreachable_zones or self.monitor.is_connected():
            return False
        return all(
            links.now - since > MAX_WORKER_SEARCH_TIME
            for since in links.unreachable_zones.values()
        )

    def _links(self) -> LeaderLinks:
        now = self.clock.now()
        unreachable = self.silent_zones.unreachable()
        return LeaderLinks(
            now,
            self.monitor.store.expected_delay() or ZERO,
            self.monitor.store.waiting_since,
            self.monitor.cloud.expected_delay() or ZERO,
            self.monitor.cloud.waiting_since,
            unreachable,
            self._silent_but_reachable_zones(now, unreachable),
            self._connected_zones(now),
        )

    def _silent_but_reachable_zones(
        self, now: timedelta, unreachable: dict[str, timedelta]
    ) -> dict[str, timedelta]:
        """Silent zones that probes reach, although their workers had time to find this leader."""
        limit = max_heartbeat_interval(self.context.worker_limits) + MAX_WORKER_SEARCH_TIME
        return {
            name: since
            for name, since in self.silent_zones.silent_since.items()
            if name not in unreachable and now - since > limit
        }

    def _connected_zones(self, now: timedelta) -> frozenset[str]:
        return frozenset(
            name
            for name, zone in self.zones.items()
            if name not in self.silent_zones.silent_since
            and zone.heartbeat_at is not None
            and now - zone.heartbeat_at <= self.context.worker_limits.lease_duration
        )
