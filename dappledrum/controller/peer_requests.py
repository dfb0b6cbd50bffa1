"""Requests of the other controllers."""

import asyncio
import logging
from datetime import timedelta
from http import HTTPStatus

from dappledrum import __version__
from dappledrum.controller.catalog import CATALOG
from dappledrum.controller.user_requests import UserRequests
from dappledrum.controller.worker_reports import WorkerReports
from dappledrum.http.server import Request, Response
from dappledrum.leadership.elector import Elector
from dappledrum.leadership.messages import HandOver, HandOverReply, PromiseReply, Standing
from dappledrum.peers.messages import (
    HoldingQuestion,
    HoldingReply,
    KnocksReply,
    MalformedError,
    Promise,
    Question,
    Relay,
    RelayReply,
    Reply,
    VersionQuestion,
    VersionReply,
    decode,
    encode,
)
from dappledrum.peers.messages import Knocks as KnocksQuestion
from dappledrum.reach.messages import Passed, PassedReply, Words
from dappledrum.reach.service import Reach
from dappledrum.state.budget import Rank
from dappledrum.state.client import State, StateError
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

QUIET_MOST = timedelta(minutes=10)


class PeerRequests:
    """Passes each question of a peer to the part that can answer it."""

    def __init__(
        self,
        clock: Clock,
        state: State,
        elector: Elector,
        reach: Reach,
        users: UserRequests,
        reports: WorkerReports,
    ) -> None:
        self.clock = clock
        self.state = state
        self.elector = elector
        self.reach = reach
        self.users = users
        self.reports = reports

    async def serve(self, request: Request) -> Response:
        """One request on the address for the other controllers."""
        if request.path != "/peer":
            return Response(HTTPStatus.NOT_FOUND)
        try:
            question = decode(request.body, Question)
        except MalformedError as error:
            log.warning("unusable message from a peer: %s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        return Response(
            HTTPStatus.OK, encode(await self.answer(question)), content_type="application/cbor"
        )

    async def answer(self, question: Question) -> Reply:
        if isinstance(question, Relay):
            if self.state.troubled():
                return RelayReply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", 1)
            response = await self.users.serve_here(
                Request(question.method, question.path, question.body)
            )
            return RelayReply(response.status, response.body, response.retry_after)
        if isinstance(question, Words):
            return self.reach.answer(question)
        if isinstance(question, Passed):
            return PassedReply(
                await asyncio.gather(*map(self.reports.answer_passed, question.reports))
            )
        if isinstance(question, Standing):
            return self.elector.standing(question)
        if isinstance(question, HandOver):
            return HandOverReply(await self.elector.take_over(question))
        if isinstance(question, HoldingQuestion):
            quiet = min(self.elector.quiet_for(), QUIET_MOST)
            # Also a term that may answer nobody just now for what it does not know: it may again.
            holds = self.elector.term is not None
            return HoldingReply(holds, int(quiet.total_seconds() * 1000))
        if isinstance(question, VersionQuestion):
            return VersionReply(__version__)
        if isinstance(question, KnocksQuestion):
            within = timedelta(milliseconds=min(max(question.within_ms, 0), 60_000))
            return KnocksReply(self.reports.knocks.within(within, self.clock.now()))
        assert isinstance(question, Promise)
        # Ask first, every time: while this controller is served, a leader that is refused alone
        # must not be kept in office, since leadership can simply move.
        try:
            await self.state.get(CATALOG, Rank.LEASE, timedelta(milliseconds=300))
        except StateError as error:
            log.debug("state service not reached either: %s", error)
            return self.elector.promise(question.request)
        return PromiseReply(False, "state service reached")
