"""Serves requests of users here, or relays them through a peer that reaches the store."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.controller.environment import Clients
from dappledrum.controller.isolation import Isolation
from dappledrum.http.messages import Request, Response
from dappledrum.membership.service import Membership
from dappledrum.peers.messages import Relay
from dappledrum.user_api.job_api import JobApi
from dappledrum.user_api.responses import busy, refusal

MAX_RELAY_PEERS = 2  # asked concurrently
RELAY_TIMEOUT = timedelta(milliseconds=900)
RETRY_AFTER_S = 2
MAX_JOB_NUMBER_DIGITS = 30
JOB_PREFIX = "j-"


class UserEndpoint:
    """Serves submissions, polls, cancellations, and the health check of the load balancer."""

    def __init__(
        self,
        clients: Clients,
        membership: Membership,
        job_api: JobApi,
        isolation: Isolation,
    ) -> None:
        self.store = clients.store
        self.peers = clients.peers
        self.membership = membership
        self.job_api = job_api
        self.isolation = isolation

    async def ready(self, _request: Request) -> Response:
        """Answer the health check: ready once the store was reached, or while peers send messages.

        A later outage of the store does not change that, since a state that flaps is worse. The
        body says how the store is reached.

        During an outage, requests of users are relayed to a peer that reaches the store; if there
        is none, the user receives at once an answer that says when to try again. Controllers that
        were started in an outage once reported that they were not ready, and afterwards users
        reached no controller for 10 s and more: the load balancer is slow to add them again.

        A controller that has reached neither the store nor any peer for a while is not ready, even
        if others are served. It refuses all users at once and so has the fewest open connections,
        which made the load balancer prefer it to controllers that could serve.
        """
        reached = self.store.availability.was_served and not self.isolation.is_isolated()
        if reached or self.membership.is_connected():
            return Response(HTTPStatus.OK, msgspec.json.encode({"state": self._store_route()}))
        reason = self.store.availability.fault_log.why or "no answer yet"
        return refusal(
            HTTPStatus.SERVICE_UNAVAILABLE, f"the state service was not reached yet: {reason}"
        )

    def _store_route(self) -> str:
        if not self.store.availability.is_failing():
            return "reached"
        through = self.membership.served_peers()
        return f"through {through[0]}" if through else "not reached"

    async def serve(self, request: Request) -> Response:
        """Serve a user here, or through a peer while this controller does not reach the store."""
        if self.store.availability.is_failing():
            if self.isolation.is_isolated():
                return busy(RETRY_AFTER_S)  # immediately: no peer can be asked
            relayed = await self._relay(request)
            if relayed is not None:
                return relayed
            if self.store.availability.last_request_hung():
                return busy(RETRY_AFTER_S)
            return await self.serve_here(request)
        response = await self.serve_here(request)
        if (
            response.status == HTTPStatus.SERVICE_UNAVAILABLE
            and self.store.availability.is_failing()
        ):
            return await self._relay(request) or response
        return response

    async def serve_here(self, request: Request) -> Response:
        """Serve a user's request through this controller's own link to the store."""
        match request.path.partition("?")[0].split("/"):
            case [_, _]:
                return await self.job_api.submit(request.body)
            case [_, _, job] if is_job_id(job):
                return await self.job_api.poll(job)
            case [_, _, job, *_] if is_job_id(job):
                return await self.job_api.cancel(job)
        return refusal(HTTPStatus.NOT_FOUND, "no such job")

    async def _relay(self, request: Request) -> Response | None:
        """Ask peers that reach the store concurrently, and return the first usable answer.

        The MAX_RELAY_PEERS fastest are asked, or all peers if none is known to reach the store.
        """
        message = Relay(request.method, request.path, request.body)
        calls = [
            asyncio.ensure_future(self.peers.relay(member, message, RELAY_TIMEOUT))
            for member in self.membership.served_peers()[:MAX_RELAY_PEERS] or self.peers.clients
        ]
        try:
            for done in asyncio.as_completed(calls):
                reply = await done
                if reply is not None and reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return Response(reply.status, reply.body, reply.retry_after)
        finally:
            for task in calls:
                task.cancel()
        return None


def is_job_id(name: str) -> bool:
    """Return whether users may have submitted a job with this name."""
    number = name.removeprefix(JOB_PREFIX)
    if number == name or len(number) > MAX_JOB_NUMBER_DIGITS:
        return False
    return number.isascii() and number.isdigit()
