"""The membership service of one controller: creates its components and runs their loops."""

import asyncio
import logging
from datetime import timedelta
from functools import partial

from dappledrum.membership.context import (
    LeaderActions,
    MembershipContext,
    ProbedService,
    WorkerProbe,
)
from dappledrum.membership.heartbeat_routing import HeartbeatRouter
from dappledrum.membership.leader_check import LeaderCheck
from dappledrum.membership.leader_claims import store_is_slow
from dappledrum.membership.leader_placement import candidacy_delay
from dappledrum.membership.monitor import PeerMonitor
from dappledrum.membership.probes import CloudProber, StoreProber, WorkerProber
from dappledrum.membership.silent_zones import SilentZones
from dappledrum.membership.zone_health import ZoneTable
from dappledrum.peers.heartbeat_messages import PeerHeartbeats, PeerHeartbeatsReply
from dappledrum.timing.supervisor import Supervisor
from dappledrum.workers.messages import WorkerHeartbeat

log = logging.getLogger(__name__)

SUPERVISOR = Supervisor(log, fault_pause_s=1.0)


class Membership:
    """Health of links and peers as one controller knows it, and the loops that update it."""

    def __init__(
        self,
        context: MembershipContext,
        store: ProbedService,
        cloud: ProbedService,
        worker_probe: WorkerProbe,
        leader_actions: LeaderActions,
    ) -> None:
        self.clock = context.clock
        self.zones = ZoneTable()
        self.silent_zones = SilentZones(
            context.clock,
            context.worker_limits,
            context.pause_detector,
            self.zones,
            leader_actions.count_machines,
        )
        self.monitor = PeerMonitor(
            context, store.health, cloud.health, self.zones, self.silent_zones
        )
        self.router = HeartbeatRouter(context, self.monitor)
        self._leader_check = LeaderCheck(
            context, self.monitor, self.zones, self.silent_zones, leader_actions
        )
        self._store_prober = StoreProber(context, store)
        self._worker_prober = WorkerProber(
            context, self.monitor, self.zones, self.silent_zones, worker_probe
        )
        self._cloud_prober = CloudProber(context, self.monitor, cloud)
        self._peers = list(context.peers.clients)

    async def run(self) -> None:
        """Run all background loops until cancelled."""
        await asyncio.gather(
            *(
                SUPERVISOR.repeat(
                    f"heartbeats with {peer}", partial(self.monitor.exchange_heartbeats, peer)
                )
                for peer in self._peers
            ),
            SUPERVISOR.repeat("leader placement", self._leader_check.run),
            SUPERVISOR.repeat("store probe", self._store_prober.run),
            SUPERVISOR.repeat("worker probes", self._worker_prober.run),
            SUPERVISOR.repeat("cloud probe", self._cloud_prober.run),
        )

    # peers

    @property
    def heartbeat_peers(self) -> set[str]:
        """Peers whose version supports heartbeats."""
        return self.monitor.heartbeat_peers

    @property
    def peer_heartbeat_at(self) -> timedelta | None:
        """When the last heartbeat of any peer was received."""
        return self.monitor.received_at

    def answer(self, heartbeats: PeerHeartbeats) -> PeerHeartbeatsReply:
        """Answer a peer's heartbeats with this controller's own."""
        return self.monitor.answer(heartbeats)

    def announce(self) -> None:
        """Send heartbeats at once, to inform the peers of a change."""
        self.monitor.announce()

    def is_connected(self) -> bool:
        """Whether a heartbeat of any peer has recently arrived directly."""
        return self.monitor.is_connected()

    def served_peers(self) -> list[str]:
        """Peers that the store serves, fastest first."""
        served = [
            heartbeat
            for heartbeat in self.monitor.connected_heartbeats()
            if not store_is_slow(heartbeat)
        ]
        served.sort(key=lambda heartbeat: heartbeat.store_delay_ms or 0)
        return [heartbeat.member for heartbeat in served]

    def candidacy_delay(self) -> timedelta:
        """How long to wait so that better candidates campaign first."""
        own = self.monitor.own_heartbeat()
        return candidacy_delay(own, self.monitor.connected_heartbeats())

    # workers

    def record_worker_heartbeat(self, heartbeat: WorkerHeartbeat) -> None:
        """Record a worker's heartbeat, whichever controller answers it."""
        zone = self.zones.get_or_create(heartbeat.zone)
        zone.record_heartbeat(self.clock.now(), heartbeat.address)

    def redirect_target(self) -> str | None:
        """The controller to which workers should be redirected; None if it is not known."""
        return self.router.redirect_target()

    async def forward_heartbeat(
        self, heartbeat: WorkerHeartbeat, leader: str, body: bytes
    ) -> bytes | None:
        """Forward a heartbeat to the leader if its worker does not reach it.

        Returns the leader's answer; None if the worker should send the heartbeat to the leader
        itself, or if the leader does not answer. `body` is the heartbeat as the worker sent it.
        """
        return await self.router.forward_heartbeat(heartbeat, leader, body)
