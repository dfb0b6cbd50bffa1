"""Requests of the other controllers."""

import asyncio
import logging
from datetime import timedelta
from http import HTTPStatus

from dappledrum import __version__
from dappledrum.controller.catalog import CATALOG
from dappledrum.controller.heartbeat_endpoint import HeartbeatEndpoint
from dappledrum.controller.user_endpoint import UserEndpoint
from dappledrum.election.elector import Elector
from dappledrum.election.messages import (
    LeaseGrantReply,
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
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

MAX_NO_ANSWERS = timedelta(minutes=10)


class PeerEndpoint:
    """Passes each question of a peer to the part that can answer it."""

    def __init__(
        self,
        clock: Clock,
        store: StoreClient,
        elector: Elector,
        membership: Membership,
        users: UserEndpoint,
        heartbeats: HeartbeatEndpoint,
    ) -> None:
        self.clock = clock
        self.store = store
        self.elector = elector
        self.membership = membership
        self.users = users
        self.heartbeats = heartbeats

    async def serve(self, request: Request) -> Response:
        """One request on the address for the other controllers."""
        if request.path != "/peer":
            return Response(HTTPStatus.NOT_FOUND)
        try:
            question = decode(request.body, PeerRequest)
        except MalformedError as error:
            log.warning("unusable message from a peer: %s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        return Response(
            HTTPStatus.OK, encode(await self.answer(question)), content_type="application/cbor"
        )

    async def answer(self, question: PeerRequest) -> PeerReply:
        if isinstance(question, Relay):
            if self.store.availability.is_failing():
                return RelayReply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", 1)
            response = await self.users.serve_here(
                Request(question.method, question.path, question.body)
            )
            return RelayReply(response.status, response.body, response.retry_after)
        if isinstance(question, PeerHeartbeats):
            return self.membership.answer(question)
        if isinstance(question, ForwardedHeartbeats):
            return ForwardedHeartbeatsReply(
                await asyncio.gather(*map(self.heartbeats.answer_forwarded, question.heartbeats))
            )
        if isinstance(question, PreVote):
            return self.elector.pre_vote(question)
        if isinstance(question, TransferLeadership):
            return TransferLeadershipReply(await self.elector.accept_leadership(question))
        if isinstance(question, HoldsTermRequest):
            unanswered = min(self.elector.no_answers_for(), MAX_NO_ANSWERS)
            # Also a term that may answer nobody just now for what it does not know: it may again.
            holds = self.elector.term is not None
            return HoldsTermReply(holds, int(unanswered.total_seconds() * 1000))
        if isinstance(question, VersionRequest):
            return VersionReply(__version__)
        if isinstance(question, HeartbeatAttemptsRequest):
            within = timedelta(milliseconds=min(max(question.within_ms, 0), 60_000))
            return HeartbeatAttemptsReply(
                self.heartbeats.heartbeat_attempts.within(within, self.clock.now())
            )
        assert isinstance(question, LeaseGrantCall)
        # Ask first, every time: while this controller is served, a leader that is refused alone
        # must not be kept in office, since leadership can simply move.
        try:
            await self.store.get(CATALOG, RequestPriority.LEASE, timedelta(milliseconds=300))
        except StoreError as error:
            log.debug("store not reached either: %s", error)
            return self.elector.grant_lease(question.request)
        return LeaseGrantReply(False, "state service reached")
