"""Redirects or forwards the heartbeats of workers while another controller leads."""

from datetime import timedelta

from dappledrum.membership.context import MembershipContext
from dappledrum.membership.heartbeat_forwarding import HeartbeatForwarder
from dappledrum.membership.leader_claims import (
    TRANSFER_COST,
    LeaderClaim,
    believed_leader,
    collect_claims,
)
from dappledrum.membership.monitor import PeerMonitor
from dappledrum.membership.peer_table import from_ms
from dappledrum.membership.redirected_workers import RedirectedWorkers
from dappledrum.workers.messages import WorkerHeartbeat

FORWARD_TIMEOUT = timedelta(seconds=3.2)  # the worker gives up after 4 s
#: A worker that the leader has not answered this long after its term began is still searching.
MIN_SEARCH_TERM = timedelta(seconds=3)


class HeartbeatRouter:
    """Redirects workers to the leader, and forwards heartbeats of those that do not reach it."""

    def __init__(self, context: MembershipContext, monitor: PeerMonitor) -> None:
        self.context = context
        self.clock = context.clock
        self.monitor = monitor
        self.redirected_workers = RedirectedWorkers(context.clock)
        self.forwarder = HeartbeatForwarder(self._send_heartbeats)

    def redirect_target(self) -> str | None:
        """The controller to which workers should be redirected; None if it is not known."""
        now = self.clock.now()
        leader = self.context.elector.leader
        store_delay = self.monitor.store.expected_delay()
        own = LeaderClaim(
            self.context.elector.epoch,
            leader.member if leader is not None else None,
            now,
            store_delay is not None and store_delay <= TRANSFER_COST,
        )
        heartbeats = {peer.member: peer for peer in self.monitor.recent_heartbeats()}
        received = (self.monitor.table.received[member] for member in heartbeats)
        return believed_leader(collect_claims(received, own), heartbeats)

    async def forward_heartbeat(
        self, heartbeat: WorkerHeartbeat, leader: str, body: bytes
    ) -> bytes | None:
        """Forward a heartbeat to the leader if its worker does not reach it.

        Returns the leader's answer; None if the worker should send the heartbeat to the leader
        itself, or if the leader does not answer. `body` is the heartbeat as the worker sent it.
        """
        now = self.clock.now()
        table = self.monitor.table
        leader_heartbeat = table.heartbeat(leader, now)
        if leader_heartbeat is None or not table.is_connected(leader, now):
            return None
        term_length = now - table.described_at(leader) + from_ms(leader_heartbeat.term_ms)
        if not self.redirected_workers.must_forward(
            heartbeat.machine,
            heartbeat.token,
            leader_heartbeat.epoch,
            unreachable=heartbeat.zone in leader_heartbeat.unreachable_zones,
            searching=term_length > MIN_SEARCH_TERM,
        ):
            return None
        return await self.forwarder.forward(leader, body)

    async def _send_heartbeats(
        self, leader: str, heartbeats: list[bytes]
    ) -> list[bytes | None] | None:
        return await self.context.peers.forward_heartbeats(leader, heartbeats, FORWARD_TIMEOUT)
