"""Serves requests from the other controllers."""

import asyncio
import logging
from datetime import timedelta
from http import HTTPStatus
from typing import assert_never

from dappledrum import __version__
from dappledrum.controller.catalog import CATALOG
from dappledrum.controller.heartbeat_endpoint import HeartbeatEndpoint
from dappledrum.controller.user_endpoint import UserEndpoint
from dappledrum.election.elector import Elector
from dappledrum.election.messages import (
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    TransferLeadership,
    TransferLeadershipReply,
)
from dappledrum.http.messages import Request, Response
from dappledrum.membership.service import Membership
from dappledrum.peers.heartbeat_messages import (
    ForwardedHeartbeats,
    ForwardedHeartbeatsReply,
    PeerHeartbeats,
)
from dappledrum.peers.messages import (
    HeartbeatAttemptsReply,
    HeartbeatAttemptsRequest,
    HoldsTermReply,
    HoldsTermRequest,
    LeaseGrantCall,
    MalformedError,
    PeerReply,
    PeerRequest,
    Relay,
    RelayReply,
    VersionReply,
    VersionRequest,
    decode,
    encode,
)
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)

PEER_PATH = "/peer"
CONTENT_TYPE = "application/cbor"
#: Longest time without answers to workers that is reported to a peer.
MAX_NO_ANSWERS = timedelta(minutes=10)
MAX_ATTEMPT_WINDOW_MS = 60_000
STORE_CHECK_TIMEOUT = timedelta(milliseconds=300)
RELAY_RETRY_AFTER_S = 1


class PeerEndpoint:
    """Passes each request of a peer to the part that answers it."""

    def __init__(
        self,
        store: StoreClient,
        elector: Elector,
        membership: Membership,
        users: UserEndpoint,
        heartbeats: HeartbeatEndpoint,
    ) -> None:
        self.store = store
        self.elector = elector
        self.membership = membership
        self.users = users
        self.heartbeats = heartbeats

    async def serve(self, request: Request) -> Response:
        """Serve one request on the address for peers."""
        if request.path != PEER_PATH:
            return Response(HTTPStatus.NOT_FOUND)
        try:
            message = decode(request.body, PeerRequest)
        except MalformedError as error:
            log.warning("malformed message from a peer: %s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        reply = await self.answer(message)
        return Response(HTTPStatus.OK, encode(reply), content_type=CONTENT_TYPE)

    async def answer(self, request: PeerRequest) -> PeerReply:
        """Return the reply to one message."""
        reply: PeerReply
        match request:
            case Relay():
                reply = await self._serve_relayed(request)
            case PeerHeartbeats():
                reply = self.membership.answer(request)
            case ForwardedHeartbeats():
                reply = await self._answer_forwarded(request)
            case PreVote():
                reply = self.elector.pre_vote(request)
            case TransferLeadership():
                reply = TransferLeadershipReply(await self.elector.accept_leadership(request))
            case HoldsTermRequest():
                reply = self._holds_term()
            case VersionRequest():
                reply = VersionReply(__version__)
            case HeartbeatAttemptsRequest():
                reply = self._heartbeat_attempts(request)
            case LeaseGrantCall():
                reply = await self._grant_lease(request.request)
            case _:
                assert_never(request)
        return reply

    async def _serve_relayed(self, request: Relay) -> RelayReply:
        """Serve a user's request for a peer that does not reach the store."""
        if self.store.availability.is_failing():
            return RelayReply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", RELAY_RETRY_AFTER_S)
        response = await self.users.serve_here(Request(request.method, request.path, request.body))
        return RelayReply(response.status, response.body, response.retry_after)

    async def _answer_forwarded(self, request: ForwardedHeartbeats) -> ForwardedHeartbeatsReply:
        return ForwardedHeartbeatsReply(
            await asyncio.gather(*map(self.heartbeats.answer_forwarded, request.heartbeats))
        )

    def _holds_term(self) -> HoldsTermReply:
        unanswered = min(self.elector.time_without_answers(), MAX_NO_ANSWERS)
        # Includes a term that may not answer workers now because its last read of cancellations is
        # too old: after the next read it may again.
        holds = self.elector.term is not None
        return HoldsTermReply(holds, int(unanswered.total_seconds() * 1000))

    def _heartbeat_attempts(self, request: HeartbeatAttemptsRequest) -> HeartbeatAttemptsReply:
        window_ms = min(max(request.within_ms, 0), MAX_ATTEMPT_WINDOW_MS)
        attempts = self.heartbeats.attempts.within(
            timedelta(milliseconds=window_ms), self.heartbeats.clock.now()
        )
        return HeartbeatAttemptsReply(attempts)

    async def _grant_lease(self, request: LeaseGrantRequest) -> LeaseGrantReply:
        """Grant a lease, unless the store serves this controller.

        The store is read for every request: while it serves this controller, a leader that is the
        only one it refuses must not keep its term, since leadership can be transferred.
        """
        try:
            await self.store.get(CATALOG, RequestPriority.LEASE, STORE_CHECK_TIMEOUT)
        except StoreError as error:
            log.debug("store not reached by this controller either: %s", error)
            return self.elector.grant_lease(request)
        return LeaseGrantReply(False, "state service reached")
