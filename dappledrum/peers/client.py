"""Client for requests to the other controllers."""

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
    """Sends requests to the other controllers, each of which is identified by its member name."""

    def __init__(self, clients: dict[str, HttpClient]) -> None:
        self.clients = clients
        #: Why each peer has not granted the last lease request, as logged; empty if it has.
        self.refusals: dict[str, str] = {}

    async def _ask(
        self, member: str, message: PeerRequest, reply_type: type, timeout: timedelta
    ) -> Any:  # noqa: ANN401
        """Send a message to a peer; returns its decoded reply, None if there is no valid one."""
        try:
            reply = await self.clients[member].request("POST", "/peer", encode(message), timeout)
            return decode(reply.body, reply_type) if reply.status == 200 else None
        except (NoResponseError, MalformedError) as error:
            log.debug("peer %s gave no valid reply: %s", member, error)
            return None

    async def request_lease_grants(
        self, request: LeaseGrantRequest, timeout: timedelta
    ) -> PeerAnswers:
        """Ask all peers for lease grants; a peer that does not answer has not granted."""
        asked = [
            self._ask(member, LeaseGrantCall(request), LeaseGrantReply, timeout)
            for member in self.clients
        ]
        replies = await asyncio.gather(*asked)
        for member, reply in zip(self.clients, replies, strict=True):
            refusal = "no answer" if reply is None else "" if reply.granted else reply.reason
            if refusal and self.refusals.get(member) != refusal:
                log.info("no lease grant from %s: %s", member, refusal)
            self.refusals[member] = refusal
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
        """Whether the store serves a peer now.

        A peer that is asked for a lease grant sends a request to the store, and refuses the grant
        if the store answers. A refusal for another reason counts as served, too.
        """
        reply = await self._ask(member, LeaseGrantCall(request), LeaseGrantReply, timeout)
        return reply is not None and not reply.granted

    async def pre_vote(self, request: PreVote, timeout: timedelta) -> PeerAnswers:
        """Ask all peers whether they are free of lease grants; returns as soon as a majority has
        answered that it is."""
        asked = [
            asyncio.ensure_future(self._pre_vote(member, request, timeout))
            for member in self.clients
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

    async def _pre_vote(self, member: str, message: PreVote, timeout: timedelta) -> bool | None:
        """Whether a peer is free of lease grants; None if it does not support the request."""
        try:
            reply = await self.clients[member].request("POST", "/peer", encode(message), timeout)
            if reply.status == 400:
                return None
            return bool(reply.status == 200 and decode(reply.body, PreVoteReply).free)
        except (NoResponseError, MalformedError) as error:
            log.debug("peer %s gave no valid reply to a pre-vote: %s", member, error)
            return False

    async def heartbeat_attempts(self, within: timedelta, timeout: timedelta) -> dict[str, int]:
        """Return how many heartbeats each machine has sent to other controllers in the last
        `within`; of several controllers the largest number counts."""
        request = HeartbeatAttemptsRequest(int(within.total_seconds() * 1000))
        replies = await asyncio.gather(
            *(self._ask(m, request, HeartbeatAttemptsReply, timeout) for m in self.clients)
        )
        result: dict[str, int] = {}
        for reply in replies:
            for name, count in reply.machines.items() if reply is not None else ():
                result[name] = max(result.get(name, 0), count)
        return result

    async def no_term_held(self, timeout: timedelta) -> bool:
        """Whether all peers answer that they hold no term."""
        return all(r is not None and not r.holds for r in await self._holds_term_replies(timeout))

    async def time_without_answers(self, timeout: timedelta) -> timedelta | None:
        """For how long no peer has answered a worker in a term of its own; None if a peer does not
        report it, or if there is no peer."""
        spans = []
        for reply in await self._holds_term_replies(timeout):
            if reply is None or reply.quiet_ms is None:
                return None
            spans.append(shortest_local_span(timedelta(milliseconds=reply.quiet_ms)))
        return min(spans, default=None)

    async def _holds_term_replies(self, timeout: timedelta) -> list[HoldsTermReply | None]:
        """Ask all peers whether they hold a term; None for a peer that does not answer."""
        asked = [self._ask(m, HoldsTermRequest(), HoldsTermReply, timeout) for m in self.clients]
        replies: list[HoldsTermReply | None] = await asyncio.gather(*asked)
        return replies

    async def version(self, member: str, timeout: timedelta) -> str | None:
        """Return the version that a peer runs; None if it does not answer."""
        reply = await self._ask(member, VersionRequest(), VersionReply, timeout)
        return None if reply is None else reply.version

    async def relay(self, member: str, request: Relay, timeout: timedelta) -> RelayReply | None:
        """Relay a user's request to a peer; None if it does not answer."""
        reply: RelayReply | None = await self._ask(member, request, RelayReply, timeout)
        return reply

    async def heartbeats(
        self, member: str, heartbeats: PeerHeartbeats, timeout: timedelta
    ) -> PeerHeartbeatsReply | None:
        """Exchange heartbeats with a peer; None if it does not answer."""
        reply: PeerHeartbeatsReply | None = await self._ask(
            member, heartbeats, PeerHeartbeatsReply, timeout
        )
        return reply

    async def forward_heartbeats(
        self, member: str, heartbeats: list[bytes], timeout: timedelta
    ) -> list[bytes | None] | None:
        """Forward heartbeats of workers that do not reach the leader to it.

        Returns the bodies of its answers, in the same order, None where it gives none; or None if
        it does not reply at all.
        """
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
