"""Client for questions to the other controllers."""

import asyncio
import logging
from datetime import timedelta
from typing import Any

from dappledrum.election.confirmed_cancellations import CancellationWindow, merge_windows
from dappledrum.election.messages import (
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    PreVoteReply,
    TransferLeadership,
    TransferLeadershipReply,
)
from dappledrum.election.quorum import UNLIMITED_SPAN, PeerAnswers, majority
from dappledrum.http.client import HttpClient, NoResponseError
from dappledrum.peers.heartbeat_messages import (
    ForwardedHeartbeats,
    ForwardedHeartbeatsReply,
    PeerHeartbeats,
    PeerHeartbeatsReply,
)
from dappledrum.peers.messages import (
    HeartbeatAttemptsReply,
    HeartbeatAttemptsRequest,
    HoldsTermReply,
    HoldsTermRequest,
    LeaseGrantCall,
    MalformedError,
    PeerRequest,
    Relay,
    RelayReply,
    VersionReply,
    VersionRequest,
    decode,
    encode,
)
from dappledrum.timing.clock import ZERO, shortest_local_span

log = logging.getLogger(__name__)


class Peers:
    """The other controllers, by member name."""

    def __init__(self, callers: dict[str, HttpClient]) -> None:
        self.callers = callers
        #: Why each peer refused the newest request for a lease grant, as logged; empty: granted.
        self.refusals: dict[str, str] = {}

    async def _ask(
        self, member: str, question: PeerRequest, kind: type, timeout: timedelta
    ) -> Any:  # noqa: ANN401
        try:
            reply = await self.callers[member].request("POST", "/peer", encode(question), timeout)
            return decode(reply.body, kind) if reply.status == 200 else None
        except (NoResponseError, MalformedError) as error:
            log.debug("peer %s gave no usable answer: %s", member, error)
            return None

    async def request_lease_grants(
        self, request: LeaseGrantRequest, timeout: timedelta
    ) -> PeerAnswers:
        """Ask all other controllers for lease grants; one that does not answer has not granted."""
        asked = [
            self._ask(member, LeaseGrantCall(request), LeaseGrantReply, timeout)
            for member in self.callers
        ]
        replies = await asyncio.gather(*asked)
        for member, reply in zip(self.callers, replies, strict=True):
            why = "no answer" if reply is None else "" if reply.granted else reply.reason
            if why and self.refusals.get(member) != why:
                log.info("no lease grant from %s: %s", member, why)
            self.refusals[member] = why
        granted = [reply for reply in replies if reply is not None and reply.granted]
        strong = sum(not reply.weak for reply in granted)
        confirmed = [
            CancellationWindow(frozenset(), ZERO)
            if reply is None
            else CancellationWindow(
                frozenset(reply.cancelled), timedelta(milliseconds=reply.confirmed_span_ms)
            )
            for reply in replies
        ]
        confirmed.append(CancellationWindow(frozenset(), UNLIMITED_SPAN))
        return PeerAnswers(len(granted), len(replies), strong, confirmed=merge_windows(confirmed))

    async def is_served(self, member: str, request: LeaseGrantRequest, timeout: timedelta) -> bool:
        """Whether the store serves a peer now: asked for a lease grant, a peer makes a request of
        its own to the store, and refuses if that is answered."""
        reply = await self._ask(member, LeaseGrantCall(request), LeaseGrantReply, timeout)
        return reply is not None and not reply.granted

    async def pre_vote(self, question: PreVote, timeout: timedelta) -> PeerAnswers:
        """Ask all other controllers whether they are free of lease grants; returns as soon as a
        majority has answered so."""
        asked = [
            asyncio.ensure_future(self._pre_vote(member, question, timeout))
            for member in self.callers
        ]
        free, unsupported = 0, False
        try:
            for done in asyncio.as_completed(asked):
                answer = await done
                free, unsupported = free + (answer is True), unsupported or answer is None
                if majority(free, len(asked)):
                    break
        finally:
            for task in asked:
                task.cancel()
        return PeerAnswers(free, len(asked), unsupported=unsupported)

    async def _pre_vote(self, member: str, question: PreVote, timeout: timedelta) -> bool | None:
        """Whether a peer is free of lease grants; None if it does not support the request."""
        try:
            reply = await self.callers[member].request("POST", "/peer", encode(question), timeout)
            if reply.status == 400:
                return None
            return bool(reply.status == 200 and decode(reply.body, PreVoteReply).free)
        except (NoResponseError, MalformedError) as error:
            log.debug("no pre-vote from %s: %s", member, error)
            return False

    async def heartbeat_attempts(self, within: timedelta, timeout: timedelta) -> dict[str, int]:
        """Machines that have sent heartbeats to another controller, and how often each came to the
        same one."""
        question = HeartbeatAttemptsRequest(int(within.total_seconds() * 1000))
        replies = await asyncio.gather(
            *(self._ask(m, question, HeartbeatAttemptsReply, timeout) for m in self.callers)
        )
        result: dict[str, int] = {}
        for reply in replies:
            for name, count in reply.machines.items() if reply is not None else ():
                result[name] = max(result.get(name, 0), count)
        return result

    async def no_term_held(self, timeout: timedelta) -> bool:
        """Whether every other controller answers that it holds no term."""
        return all(r is not None and not r.holds for r in await self._holders(timeout))

    async def no_answers_for(self, timeout: timedelta) -> timedelta | None:
        """For how long none of the others has answered a worker in a term of its own; None if one
        of them does not say."""
        spans = []
        for reply in await self._holders(timeout):
            if reply is None or reply.quiet_ms is None:
                return None
            spans.append(shortest_local_span(timedelta(milliseconds=reply.quiet_ms)))
        return min(spans, default=None)

    async def _holders(self, timeout: timedelta) -> list[HoldsTermReply | None]:
        asked = [self._ask(m, HoldsTermRequest(), HoldsTermReply, timeout) for m in self.callers]
        replies: list[HoldsTermReply | None] = await asyncio.gather(*asked)
        return replies

    async def version(self, member: str, timeout: timedelta) -> str | None:
        """The version that a peer runs; None if it does not answer."""
        reply = await self._ask(member, VersionRequest(), VersionReply, timeout)
        return None if reply is None else reply.version

    async def relay(self, member: str, request: Relay, timeout: timedelta) -> RelayReply | None:
        """Let a peer serve a user's request."""
        reply: RelayReply | None = await self._ask(member, request, RelayReply, timeout)
        return reply

    async def heartbeats(
        self, member: str, heartbeats: PeerHeartbeats, timeout: timedelta
    ) -> PeerHeartbeatsReply | None:
        """Exchange heartbeats with a peer."""
        reply: PeerHeartbeatsReply | None = await self._ask(
            member, heartbeats, PeerHeartbeatsReply, timeout
        )
        return reply

    async def forward_heartbeats(
        self, member: str, heartbeats: list[bytes], timeout: timedelta
    ) -> list[bytes | None] | None:
        """Let the leader answer heartbeats of workers that do not reach it."""
        reply = await self._ask(
            member, ForwardedHeartbeats(heartbeats), ForwardedHeartbeatsReply, timeout
        )
        return None if reply is None else reply.answers

    async def transfer_leadership(
        self, member: str, request: TransferLeadership, timeout: timedelta
    ) -> bool:
        """Transfer leadership to a peer; returns whether it leads now."""
        reply = await self._ask(member, request, TransferLeadershipReply, timeout)
        return reply is not None and reply.leads
