"""Requests of users: served here, or relayed through a peer that reaches the store."""

import asyncio
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.controller.isolation import Isolation
from dappledrum.http.messages import Request, Response
from dappledrum.membership.service import Membership
from dappledrum.peers.client import Peers
from dappledrum.peers.messages import Relay
from dappledrum.store.client import StoreClient
from dappledrum.user_api.job_api import JobApi
from dappledrum.user_api.responses import busy, refusal

RELAYS = 2
RELAY_TIME = timedelta(milliseconds=900)


class UserEndpoint:
    """Submissions, polls, cancellations, and the health check of the load balancer."""

    def __init__(
        self,
        store: StoreClient,
        membership: Membership,
        peers: Peers,
        job_api: JobApi,
        isolation: Isolation,
    ) -> None:
        self.store = store
        self.membership = membership
        self.peers = peers
        self.job_api = job_api
        self.isolation = isolation

    async def ready(self, _request: Request) -> Response:
        """The health check: ready once the store was reached, or while a peer sends
        messages. A later outage changes nothing, since a state that flaps is worse. The body says
        how the store is reached.

        During an outage users are relayed to a peer that reaches the store; where there is
        none they get an answer at once that says when to come back. Controllers that were started
        in an outage once reported that they were not ready, and after it users found nobody for 10
        s and more: the load balancer is slow to take controllers back.

        A controller that has had contact with neither the store nor any peer for a while
        is not ready, even if others are served: it refuses all users at once, so it has the fewest
        open connections, and the load balancer preferred it to those that could serve.
        """
        reached = self.store.availability.was_served and not self.isolation.alone()
        if reached or self.membership.is_connected():
            return Response(HTTPStatus.OK, msgspec.json.encode({"state": self._way()}))
        why = self.store.availability.fault_log.why or "no answer yet"
        return refusal(
            HTTPStatus.SERVICE_UNAVAILABLE, f"the state service was not reached yet: {why}"
        )

    def _way(self) -> str:
        if not self.store.availability.is_failing():
            return "reached"
        through = self.membership.served_peers()
        return f"through {through[0]}" if through else "not reached"

    async def serve(self, request: Request) -> Response:
        """Serve a user here, or through a peer while this controller does not reach the state
        service."""
        if self.store.availability.is_failing():
            if self.isolation.alone():
                return busy(2)  # at once: no peer can be asked
            relayed = await self._relay(request)
            if relayed is not None:
                return relayed
            return (
                await self.serve_here(request)
                if not self.store.availability.last_request_hung()
                else busy(2)
            )
        response = await self.serve_here(request)
        if (
            response.status == HTTPStatus.SERVICE_UNAVAILABLE
            and self.store.availability.is_failing()
        ):
            return await self._relay(request) or response
        return response

    async def serve_here(self, request: Request) -> Response:
        parts = request.path.partition("?")[0].split("/")
        if len(parts) == 2:
            return await self.job_api.submit(request.body)
        number = parts[2].removeprefix("j-")
        if not (
            parts[2] != number and number.isascii() and number.isdigit() and len(number) <= 30
        ):
            return refusal(HTTPStatus.NOT_FOUND, "no such job")
        if len(parts) == 3:
            return await self.job_api.poll(parts[2])
        return await self.job_api.cancel(parts[2])

    async def _relay(self, request: Request) -> Response | None:
        """Ask the two peers that reach the store quickest at the same time, or all peers
        if none is known to reach it, and return the first usable answer."""
        question = Relay(request.method, request.path, request.body)
        asked = [
            asyncio.ensure_future(self.peers.relay(member, question, RELAY_TIME))
            for member in self.membership.served_peers()[:RELAYS] or self.peers.callers
        ]
        try:
            for done in asyncio.as_completed(asked):
                reply = await done
                if reply is not None and reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return Response(reply.status, reply.body, reply.retry_after)
        finally:
            for task in asked:
                task.cancel()
        return None
