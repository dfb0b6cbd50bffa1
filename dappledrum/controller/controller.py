"""One controller: runs its background tasks and serves requests."""

import asyncio
from dataclasses import dataclass

from dappledrum.controller.catalog import CatalogLoader
from dappledrum.controller.environment import Clients, Environment
from dappledrum.controller.heartbeat_endpoint import HeartbeatEndpoint
from dappledrum.controller.peer_endpoint import PeerEndpoint
from dappledrum.controller.peer_versions import PeerVersions
from dappledrum.controller.previous_grants import wait_for_previous_grants
from dappledrum.controller.routes import Router, route
from dappledrum.controller.term_runner import TermRunner
from dappledrum.controller.unreached_leader import UnreachedLeaderMonitor
from dappledrum.controller.user_endpoint import UserEndpoint
from dappledrum.election.elector import Elector
from dappledrum.http.messages import Request, Response
from dappledrum.leader.leader import Leader
from dappledrum.membership.service import Membership
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.user_api.job_api import JobApi

#: Paths of single jobs may have any text without a slash before `/submissions`; the path to submit
#: a job is matched exactly.
JOBS_PATH = "[^/]*/submissions"


@dataclass(frozen=True, eq=False)
class Endpoints:
    """Endpoints for users, workers and peers."""

    users: UserEndpoint
    heartbeats: HeartbeatEndpoint
    peers: PeerEndpoint


@dataclass(frozen=True, eq=False)
class BackgroundServices:
    """Background tasks of a controller other than its election, terms and membership."""

    pause_detector: PauseDetector
    catalog: CatalogLoader
    unreached_leader: UnreachedLeaderMonitor
    versions: PeerVersions


class Controller:
    """One of several equal processes that serve users and workers; `assembly` constructs it."""

    def __init__(
        self,
        environment: Environment,
        clients: Clients,
        elector: Elector,
        membership: Membership,
        job_api: JobApi,
        term_runner: TermRunner,
        endpoints: Endpoints,
        background: BackgroundServices,
    ) -> None:
        self.environment = environment
        self.clients = clients
        self.elector = elector
        self.membership = membership
        self.job_api = job_api
        self.term_runner = term_runner
        self.endpoints = endpoints
        self.background = background
        users = endpoints.users
        self.router = Router(
            route("POST", "/hello", endpoints.heartbeats.serve),
            route("GET", "/ready", users.ready),
            route("POST", "/submissions", users.serve),
            route("GET", f"{JOBS_PATH}/{{id}}", users.serve),
            route("POST", f"{JOBS_PATH}/{{id}}/cancel", users.serve),
        )

    @property
    def clock(self) -> Clock:
        """The controller's clock."""
        return self.environment.clock

    @property
    def store(self) -> StoreClient:
        """The controller's client for the store."""
        return self.clients.store

    @property
    def leader(self) -> Leader | None:
        """The leader of the term that this controller runs; None if it runs no term."""
        return self.term_runner.leader

    async def run(self) -> None:
        """Run all background tasks."""
        tasks = [
            self.background.pause_detector.run(),
            self.elector.run(),
            self.term_runner.run(),
            self.background.catalog.run(),
            self.background.unreached_leader.run(),
            self.background.versions.run(),
            wait_for_previous_grants(self.elector, self.clients.peers),
        ]
        if self.environment.tuning.peer_heartbeats_enabled:
            tasks.append(self.membership.run())
        # Not a task group: it would cancel the remaining tasks in no fixed order.
        await asyncio.gather(*tasks)

    async def serve(self, request: Request) -> Response:
        """Serve one request on the public address."""
        return await self.router.serve(request)

    async def serve_peer(self, request: Request) -> Response:
        """Serve one request on the address for peers."""
        return await self.endpoints.peers.serve(request)
