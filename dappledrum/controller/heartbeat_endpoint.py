"""Heartbeats of workers: answered as leader, forwarded to the leader, or redirected there."""

import logging
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.controller.redirection import Redirection
from dappledrum.controller.term_runner import TermRunner
from dappledrum.http.messages import Request, Response
from dappledrum.leader.heartbeat_responder import MAX_IDLE_WAIT
from dappledrum.membership.service import Membership
from dappledrum.user_api.responses import refusal
from dappledrum.workers.heartbeat_attempts import HeartbeatAttempts
from dappledrum.workers.messages import Commands, Redirect, WorkerHeartbeat

log = logging.getLogger(__name__)

#: Longest time that the answer to a forwarded heartbeat waits for work.
MAX_FORWARDED_WAIT = timedelta(milliseconds=300)


class MalformedHeartbeatError(Exception):
    """The body of a request is not a valid heartbeat; the text says why."""


class HeartbeatEndpoint:
    """Answers heartbeats while this controller leads; otherwise forwards or redirects them."""

    def __init__(
        self,
        term_runner: TermRunner,
        membership: Membership,
        redirection: Redirection,
        attempts: HeartbeatAttempts,
    ) -> None:
        self.clock = term_runner.environment.clock
        self.peer_heartbeats = term_runner.environment.tuning.peer_heartbeats_enabled
        self.term_runner = term_runner
        self.elector = term_runner.elector
        self.membership = membership
        self.redirection = redirection
        self.attempts = attempts

    async def serve(self, request: Request) -> Response:
        """Answer one heartbeat of a worker."""
        try:
            heartbeat = _decode(request.body)
        except MalformedHeartbeatError as error:
            log.warning("malformed heartbeat from a worker: %s", error)
            return refusal(HTTPStatus.BAD_REQUEST, str(error))
        self.attempts.record(heartbeat.machine, self.clock.now())
        self.membership.record_worker_heartbeat(heartbeat)
        commands = await self._commands(heartbeat, MAX_IDLE_WAIT)
        if commands is not None:
            return Response(HTTPStatus.OK, msgspec.json.encode(commands))
        return await self._forward_or_redirect(heartbeat, request.body)

    async def answer_forwarded(self, body: bytes) -> bytes | None:
        """Return the answer to a heartbeat that a peer has forwarded, as the worker would get it.

        Returns None if this controller may not answer it. It is never forwarded again.
        """
        try:
            heartbeat = _decode(body)
        except MalformedHeartbeatError as error:
            log.warning("malformed heartbeat forwarded by a peer: %s", error)
            return None
        commands = await self._commands(heartbeat, MAX_FORWARDED_WAIT)
        return None if commands is None else msgspec.json.encode(commands)

    async def _commands(self, heartbeat: WorkerHeartbeat, max_wait: timedelta) -> Commands | None:
        """Return the leader's answer, or None if this controller may not answer workers."""
        leader = self.term_runner.leader
        if leader is None or self.elector.valid_term() is not leader.term:
            return None
        return await leader.answer_heartbeat(
            heartbeat, lambda: self.elector.answering_term() is leader.term, max_wait
        )

    async def _forward_or_redirect(self, heartbeat: WorkerHeartbeat, body: bytes) -> Response:
        target = self.redirection.target()
        if target is not None and self.peer_heartbeats:
            answer = await self.membership.forward_heartbeat(heartbeat, target, body)
            if answer is not None:
                return Response(HTTPStatus.OK, answer)
        return Response(
            HTTPStatus.MISDIRECTED_REQUEST,
            msgspec.json.encode(Redirect(target)),
            close=True,  # the worker will use a connection to another controller
        )


def _decode(body: bytes) -> WorkerHeartbeat:
    try:
        return msgspec.json.decode(body, type=WorkerHeartbeat)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise MalformedHeartbeatError(str(error)) from error
