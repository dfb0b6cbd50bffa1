"""Heartbeats of workers: answered as leader, forwarded to the leader, or redirected there."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.controller.isolation import Isolation
from dappledrum.election.elector import Elector
from dappledrum.http.messages import Request, Response
from dappledrum.leader.heartbeat_responder import MAX_IDLE_WAIT
from dappledrum.leader.leader import Leader
from dappledrum.membership.service import Membership
from dappledrum.peers.client import Peers
from dappledrum.settings import Tuning, WorkerLimits
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.user_api.responses import refusal
from dappledrum.workers.heartbeat_attempts import HeartbeatAttempts, sending_heartbeats_elsewhere
from dappledrum.workers.messages import Commands, Redirect, WorkerHeartbeat

log = logging.getLogger(__name__)

ATTEMPT_WINDOW = timedelta(seconds=10)
AVOID = timedelta(seconds=20)
FORWARDED_WAIT = timedelta(
    milliseconds=300
)  # the longest that the answer to a forwarded heartbeat waits for work


class HeartbeatEndpoint:
    """Answers workers as far as this controller is entitled to."""

    def __init__(
        self,
        member: str,
        limits: WorkerLimits,
        tuning: Tuning,
        clock: Clock,
        store: StoreClient,
        peers: Peers,
        elector: Elector,
        membership: Membership,
        pause_detector: PauseDetector,
        isolation: Isolation,
        leader: Callable[[], Leader | None],
    ) -> None:
        self.member = member
        self.limits = limits
        self.tuning = tuning
        self.clock = clock
        self.store = store
        self.peers = peers
        self.elector = elector
        self.membership = membership
        self.pause_detector = pause_detector
        self.isolation = isolation
        self.leader = leader
        self.heartbeat_attempts = HeartbeatAttempts()

    async def watch(self) -> None:
        """Resign as leader if no worker sends heartbeats here while workers send them to other
        controllers."""
        silence = max(self.limits.heartbeat_interval * 3, timedelta(seconds=3))
        while True:
            await asyncio.sleep(1)
            leader = self.leader()
            now = self.clock.now()
            if leader is None or not leader.loaded.is_set() or self.elector.leading_term() is None:
                continue
            if self.tuning.peer_heartbeats_enabled and self.membership.heartbeat_peers:
                continue  # heartbeats of peers show more, and who should lead instead
            heard = self.heartbeat_attempts.last
            began = max(leader.began, self.pause_detector.running_since())
            if now - began < silence or (heard is not None and now - heard < silence):
                continue
            names = sending_heartbeats_elsewhere(
                await self.peers.heartbeat_attempts(ATTEMPT_WINDOW, timedelta(seconds=1)),
                leader.registry,
            )
            if names and self.leader() is leader:
                self.elector.resign(
                    f"no worker reaches this controller, {len(names)} try others", AVOID
                )

    async def serve(self, request: Request) -> Response:
        """Answer one heartbeat of a worker."""
        try:
            heartbeat = msgspec.json.decode(request.body, type=WorkerHeartbeat)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.warning("unusable heartbeat: %s", error)
            return refusal(HTTPStatus.BAD_REQUEST, str(error))
        self.heartbeat_attempts.record(heartbeat.machine, self.clock.now())
        self.membership.record_worker_heartbeat(heartbeat)
        commands = await self._commands(heartbeat, MAX_IDLE_WAIT)
        if commands is not None:
            return Response(HTTPStatus.OK, msgspec.json.encode(commands))
        redirect_target = self.redirect_target()
        if redirect_target is not None and self.tuning.peer_heartbeats_enabled:
            answer = await self.membership.forward_heartbeat(
                heartbeat, redirect_target, request.body
            )
            if answer is not None:
                return Response(HTTPStatus.OK, answer)
        return Response(
            HTTPStatus.MISDIRECTED_REQUEST,
            msgspec.json.encode(Redirect(redirect_target)),
            close=True,  # the worker goes elsewhere, so its connection is not needed
        )

    async def _commands(self, heartbeat: WorkerHeartbeat, most: timedelta) -> Commands | None:
        """The leader's answer; None: this controller is not entitled to give one."""
        leader = self.leader()
        if leader is None or self.elector.valid_term() is not leader.term:
            return None
        return await leader.answer_heartbeat(
            heartbeat, lambda: self.elector.answering_term() is leader.term, most
        )

    def redirect_target(self) -> str | None:
        """The controller to redirect a worker to; None: not known, the worker tries the next one
        itself.

        A controller that does not reach the store may know only a former leader. Four of
        them once redirected all workers in a circle, and none reached the fifth, which was the
        leader.
        """
        if self.isolation.alone():
            return None  # the leader known from before may have ended long ago
        if self.tuning.peer_heartbeats_enabled:
            member = self.membership.redirect_target()
        else:
            known = None if self.store.availability.is_failing() else self.elector.leader
            member = known.member if known is not None else None
        return None if member == self.member else member

    async def answer_forwarded(self, body: bytes) -> bytes | None:
        """The answer to a heartbeat that a peer has forwarded: the answer that the worker itself
        would get, or None. It is never forwarded again."""
        try:
            heartbeat = msgspec.json.decode(body, type=WorkerHeartbeat)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.warning("unusable heartbeat from a peer: %s", error)
            return None
        commands = await self._commands(heartbeat, FORWARDED_WAIT)
        return None if commands is None else msgspec.json.encode(commands)
