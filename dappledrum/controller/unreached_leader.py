"""Detects that a leader receives no heartbeats while workers send them to other controllers."""

import asyncio
from datetime import timedelta

from dappledrum.controller.environment import Environment
from dappledrum.controller.term_runner import TermRunner
from dappledrum.membership.service import Membership
from dappledrum.timing.clock import Clock
from dappledrum.workers.heartbeat_attempts import HeartbeatAttempts, sending_heartbeats_elsewhere

CHECK_INTERVAL = timedelta(seconds=1)
#: A leader that has received no heartbeat for this number of intervals asks its peers.
MAX_MISSED_HEARTBEATS = 3
MIN_SILENCE_LIMIT = timedelta(seconds=3)
ATTEMPT_WINDOW = timedelta(seconds=10)  # peers report the heartbeat attempts within it
ATTEMPT_TIMEOUT = timedelta(seconds=1)
CANDIDACY_PAUSE = timedelta(seconds=20)  # no campaign for this long after resigning


class UnreachedLeaderMonitor:
    """Resigns as leader when no worker reaches this controller.

    It is used without peer heartbeats, which show more, including who should lead instead.
    """

    def __init__(
        self,
        environment: Environment,
        term_runner: TermRunner,
        membership: Membership,
        attempts: HeartbeatAttempts,
    ) -> None:
        self.clock: Clock = environment.clock
        self.peer_heartbeats = environment.tuning.peer_heartbeats_enabled
        self.silence_limit = max(
            environment.params.workers.heartbeat_interval * MAX_MISSED_HEARTBEATS,
            MIN_SILENCE_LIMIT,
        )
        self.term_runner = term_runner
        self.elector = term_runner.elector
        self.peers = term_runner.clients.peers
        self.pause_detector = term_runner.pause_detector
        self.membership = membership
        self.attempts = attempts

    async def run(self) -> None:
        """Check once a second, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
            if self._lacks_heartbeats():
                await self._resign_if_unreached()

    def _lacks_heartbeats(self) -> bool:
        """Whether this controller leads, and should have received a heartbeat by now."""
        leader = self.term_runner.leader
        now = self.clock.now()
        if leader is None or not leader.loaded.is_set() or self.elector.leading_term() is None:
            return False
        if self.peer_heartbeats and self.membership.heartbeat_peers:
            return False
        last = self.attempts.last
        began = max(leader.began, self.pause_detector.running_since())
        return now - began >= self.silence_limit and (
            last is None or now - last >= self.silence_limit
        )

    async def _resign_if_unreached(self) -> None:
        leader = self.term_runner.leader
        assert leader is not None
        machines = sending_heartbeats_elsewhere(
            await self.peers.heartbeat_attempts(ATTEMPT_WINDOW, ATTEMPT_TIMEOUT), leader.registry
        )
        if machines and self.term_runner.leader is leader:
            self.elector.resign(
                f"no worker reaches this controller, {len(machines)} try others", CANDIDACY_PAUSE
            )
