"""Requests of the other controllers."""

import asyncio
import logging
from datetime import timedelta
from http import HTTPStatus

from dappledrum import __version__
from dappledrum.controller.catalog import CATALOG
from dappledrum.controller.user_requests import UserRequests
from dappledrum.controller.worker_heartbeats import WorkerReports
from dappledrum.election.elector import Elector
from dappledrum.election.messages import (
    PreVote,
    PromiseReply,
    TransferLeadership,
    TransferLeadershipReply,
)
from dappledrum.http.server import Request, Response
from dappledrum.membership.messages import ForwardedReports, ForwardedReportsReply, Heartbeats
from dappledrum.membership.service import Reach
from dappledrum.peers.messages import (
    HoldingQuestion,
    HoldingReply,
    MalformedError,
    Promise,
    Question,
    Relay,
    RelayReply,
    Reply,
    ReportAttemptsQuestion,
    ReportAttemptsReply,
    VersionQuestion,
    VersionReply,
    decode,
    encode,
)
from dappledrum.store.client import State, StateError
from dappledrum.store.rate_limiter import Rank
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

MAX_NO_ANSWERS = timedelta(minutes=10)


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
            if self.state.is_failing():
                return RelayReply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", 1)
            response = await self.users.serve_here(
                Request(question.method, question.path, question.body)
            )
            return RelayReply(response.status, response.body, response.retry_after)
        if isinstance(question, Heartbeats):
            return self.reach.answer(question)
        if isinstance(question, ForwardedReports):
            return ForwardedReportsReply(
                await asyncio.gather(*map(self.reports.answer_forwarded, question.reports))
            )
        if isinstance(question, PreVote):
            return self.elector.pre_vote(question)
        if isinstance(question, TransferLeadership):
            return TransferLeadershipReply(await self.elector.accept_leadership(question))
        if isinstance(question, HoldingQuestion):
            unanswered = min(self.elector.no_answers_for(), MAX_NO_ANSWERS)
            # Also a term that may answer nobody just now for what it does not know: it may again.
            holds = self.elector.term is not None
            return HoldingReply(holds, int(unanswered.total_seconds() * 1000))
        if isinstance(question, VersionQuestion):
            return VersionReply(__version__)
        if isinstance(question, ReportAttemptsQuestion):
            within = timedelta(milliseconds=min(max(question.within_ms, 0), 60_000))
            return ReportAttemptsReply(
                self.reports.report_attempts.within(within, self.clock.now())
            )
        assert isinstance(question, Promise)
        # Ask first, every time: while this controller is served, a leader that is refused alone
        # must not be kept in office, since leadership can simply move.
        try:
            await self.state.get(CATALOG, Rank.LEASE, timedelta(milliseconds=300))
        except StateError as error:
            log.debug("state service not reached either: %s", error)
            return self.elector.promise(question.request)
        return PromiseReply(False, "state service reached")
