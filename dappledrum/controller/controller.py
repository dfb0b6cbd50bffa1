"""One controller: connects its parts, and runs the leader's part during its terms."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.controller.catalog import CATALOG, CatalogLoader
from dappledrum.controller.heartbeat_endpoint import HeartbeatEndpoint
from dappledrum.controller.isolation import Isolation
from dappledrum.controller.peer_endpoint import PeerEndpoint
from dappledrum.controller.peer_versions import PeerVersions
from dappledrum.controller.user_endpoint import UserEndpoint
from dappledrum.election.context import ElectionContext, LeaseLimits
from dappledrum.election.elector import Elector
from dappledrum.election.messages import LeaseGrantRequest
from dappledrum.election.terms import Term
from dappledrum.election.voter import LEASE_GRANT_DURATION
from dappledrum.fleet.cloud_client import CloudClient, CloudError
from dappledrum.http.client import HttpClient
from dappledrum.http.messages import Request, Response
from dappledrum.jobs.job import Job
from dappledrum.leader.context import TermContext
from dappledrum.leader.leader import Leader
from dappledrum.membership.context import (
    LeaderActions,
    MembershipContext,
    ProbedService,
    WorkerProbe,
)
from dappledrum.membership.service import Membership
from dappledrum.peers.client import Peers
from dappledrum.settings import Settings, Tuning
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, Clock, longest_local_span
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.user_api.job_api import JobApi
from dappledrum.user_api.responses import refusal

log = logging.getLogger(__name__)

LEADER_SHARE = 0.6
FOLLOWER_BURST = 2.0  # seconds
HOLDERS_TIME = timedelta(milliseconds=200)
SERVED_TIME = timedelta(milliseconds=450)  # a peer waits for the store for 300 ms
NO_ANSWERS_ASKED = timedelta(seconds=5)  # later answers add nothing
#: Margin within the time for cancellations: a leader with lease grants of only a majority stops
#: early enough that its workers' leases have expired this long before that time has passed.
MAJORITY_GRANTS_MARGIN = timedelta(seconds=5)
#: The same margin for a leader that last read all cancellations just before the user's.
CANCELLATIONS_AGE_MARGIN = timedelta(seconds=1)
#: Least time for which knowledge of all cancellations lasts. If the time for cancellations were no
#: longer than a lease, leaders could otherwise answer no worker at all.
MIN_CANCELLATIONS_AGE = timedelta(seconds=6)
SETTLE = timedelta(milliseconds=500)
MAX_LEASE_TTL = timedelta(seconds=3)


class Controller:
    """One controller. The caller provides its connections, so tests can run several in one
    process."""

    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        clock: Clock,
        rng: random.Random,
        store: HttpClient,
        cloud: HttpClient,
        peers: dict[str, HttpClient],
        probe: WorkerProbe,
    ) -> None:
        self.settings = settings
        limits = settings.params.state
        self.params = msgspec.structs.replace(settings.params, state=limits.strictest())
        self.tuning = tuning
        self.clock = clock
        self.rng = rng
        self.store = StoreClient(store, self.params.state, clock, rng)
        self.cloud = CloudClient(cloud, self.params.cloud.rps * 0.9, clock)
        self.peers = Peers(peers)
        self.value_limit = ValueLimit(limits)
        self.job_api = JobApi(self.store, self.params, clock, self.value_limit)
        self.elector = Elector(
            ElectionContext(
                member=settings.member,
                store=self.store,
                clock=clock,
                rng=rng,
                limits=self._lease_limits(),
                peers=self.peers,
                host=self,
                confirmed=self.job_api.confirmed,
            )
        )
        self.pause_detector = PauseDetector(clock)
        self.leader: Leader | None = None
        self.membership = Membership(
            MembershipContext(
                settings.member,
                clock,
                rng,
                self.peers,
                self.elector,
                self.params.workers,
                self.pause_detector,
            ),
            ProbedService(self.store.availability.link, self._ask_state),
            ProbedService(self.cloud.link, self._ask_cloud),
            probe,
            LeaderActions(
                lambda: self.leader.expected_heartbeats() if self.leader is not None else {},
                self._transfer_leadership,
            ),
        )
        isolation = Isolation(self.store, self.membership, clock, self.pause_detector)
        self.catalog = CatalogLoader(
            self.store,
            self.cloud,
            self.params,
            clock,
            rng,
            self.job_api,
            lambda: self.leader,
        )
        self.versions = PeerVersions(
            self.store, self.peers, self.membership, self.value_limit, self.job_api
        )
        self.users = UserEndpoint(self.store, self.membership, self.peers, self.job_api, isolation)
        self.heartbeats = HeartbeatEndpoint(
            settings.member,
            self.params.workers,
            tuning,
            clock,
            self.store,
            self.peers,
            self.elector,
            self.membership,
            self.pause_detector,
            isolation,
            lambda: self.leader,
        )
        self.peer_requests = PeerEndpoint(
            clock, self.store, self.elector, self.membership, self.users, self.heartbeats
        )
        self._term_begun = asyncio.Event()
        self._set_share()

    async def run(self) -> None:
        """Run all background tasks."""
        await asyncio.gather(
            self.pause_detector.run(),
            self.elector.run(),
            self._lead(),
            self.catalog.run(),
            self.heartbeats.watch(),
            self.versions.run(),
            self._learn_holders(),
            *([self.membership.run()] if self.tuning.peer_heartbeats_enabled else []),
        )

    def _lease_limits(self) -> LeaseLimits:
        workers = self.params.workers
        return LeaseLimits(
            ttl=min(MAX_LEASE_TTL, workers.lease_duration / 3),
            max_time_on_majority_grants=max(
                ZERO, workers.cancellation_limit - workers.lease_duration - MAJORITY_GRANTS_MARGIN
            ),
            max_cancellations_age=max(
                MIN_CANCELLATIONS_AGE,
                workers.cancellation_limit
                - longest_local_span(workers.lease_duration + CANCELLATIONS_AGE_MARGIN),
            ),
        )

    def _set_share(self) -> None:
        others = max(1, len(self.settings.seeds))
        alone = not self.settings.seeds
        share = (
            1.0
            if alone
            else LEADER_SHARE
            if self.elector.term is not None
            else (1 - LEADER_SHARE) / others
        )
        # A follower's share is small, and submissions come in bursts, rarely at all followers at
        # once, so each may use some seconds of its share in one burst.
        self.store.budget.set_rate_share(
            share * 0.95, 1.0 if share >= LEADER_SHARE else FOLLOWER_BURST
        )

    # what the election asks of its host

    def leadership_changed(self) -> None:
        """Adapt to a change of the own term or of the known leader."""
        self._set_share()
        self._term_begun.set()
        self.membership.announce()

    def apply_confirmed_cancellations(self, cancelled: frozenset[str]) -> bool:
        """Apply cancellations that controllers have confirmed; False if no leader's part runs."""
        if self.leader is None:
            return False
        self.leader.apply_confirmed_cancellations(cancelled)
        return True

    def candidacy_delay(self) -> timedelta:
        """How long to let a better candidate campaign first."""
        return self.membership.candidacy_delay() if self.tuning.peer_heartbeats_enabled else ZERO

    def all_peers_pre_vote(self) -> bool:
        """Whether all peers are known to run a version that asks for pre-votes."""
        return self.tuning.peer_heartbeats_enabled and (
            len(self.membership.heartbeat_peers) == len(self.peers.callers)
        )

    # leading

    async def _lead(self) -> None:
        """Run the leader's part for as long as each term lasts."""
        while True:
            await self._term_begun.wait()
            self._term_begun.clear()
            term = self.elector.term
            if term is None or term.ended.is_set():
                continue
            self.leader = Leader(
                self._term_context(term), self.job_api.types or [], self._job_ended
            )
            asking = asyncio.ensure_future(self._learn_no_answers(self.leader))
            try:
                await self.leader.run()
            except Exception:
                log.exception("leading failed")
                term.ended.set()
            finally:
                asking.cancel()
                self.leader = None

    def _term_context(self, term: Term) -> TermContext:
        return TermContext(
            term,
            may_command=lambda: self.elector.leading_term() is not None,
            store=self.store,
            value_limit=self.value_limit,
            cloud=self.cloud,
            params=self.params,
            tuning=self.tuning,
            clock=self.clock,
            running_since=self.pause_detector.running_since,
        )

    async def _learn_no_answers(self, leader: Leader) -> None:
        """Ask the peers since when no other controller can have answered a worker. It matters
        after all controllers were down, and when the former leader is back."""
        began = leader.term.started_at
        own = self.elector.last_possible_answer_at
        while self.clock.now() - began < NO_ANSWERS_ASKED:
            unanswered = await self.peers.no_answers_for(HOLDERS_TIME)
            if unanswered is not None:
                leader.no_answers_since(max(own, self.clock.now() - unanswered))
                return
            await asyncio.sleep(HOLDERS_TIME.total_seconds())

    def _job_ended(self, job: Job) -> None:
        self.job_api.remember(job.id, job.ended_record())

    # links

    async def _ask_state(self) -> None:
        try:
            await self.store.get(CATALOG, RequestPriority.LEASE, timedelta(seconds=1))
        except StoreError as error:
            log.debug("store not reached: %s", error)

    async def _ask_cloud(self) -> None:
        try:
            await self.cloud.catalog()
        except CloudError as error:
            log.debug("cloud not reached: %s", error)

    async def _transfer_leadership(self, member: str, why: str) -> None:
        """Name a successor, after writing pending records if possible.

        Heartbeats tell that the store served the successor up to a second ago. When an
        outage had begun since, nobody could take the key, and the leader that had stopped could
        not go on by promises: all that ran was lost.
        """
        if self.store.availability.failing_for() is not None and not await self._is_served(member):
            log.info("not transferring leadership to %s: the store does not serve it now", member)
            return
        if self.leader is not None and not self.store.availability.is_failing():
            await self.leader.flush_records(SETTLE)
        self.elector.transfer_leadership(member, why)

    async def _is_served(self, member: str) -> bool:
        """Whether the store serves a peer at this moment."""
        term = self.elector.valid_term()
        if term is None:
            return False
        grant_ms = int(LEASE_GRANT_DURATION.total_seconds() * 1000)
        request = LeaseGrantRequest(self.settings.member, term.epoch, grant_ms)
        return await self.peers.is_served(member, request, SERVED_TIME)

    async def _learn_holders(self) -> None:
        """After a restart, ask whether any leader may still rely on a promise of the process
        before. Without the answer this controller must wait until such promises have expired,
        which is most of the time that a restart of all controllers takes."""
        while self.elector.voter.restart_wait_until > self.clock.now():
            if self.peers.callers and await self.peers.no_term_held(HOLDERS_TIME):
                self.elector.skip_restart_wait()
                return
            await asyncio.sleep(HOLDERS_TIME.total_seconds())

    # users and workers

    async def serve(self, request: Request) -> Response:
        """One request on the public address."""
        path = request.path.partition("?")[0]
        route = self._routes(path)
        if route is None:
            return refusal(HTTPStatus.NOT_FOUND, "no such path")
        method, handler = route
        if request.method != method:
            return refusal(HTTPStatus.METHOD_NOT_ALLOWED, f"use {method}")
        return await handler(request)

    def _routes(self, path: str) -> tuple[str, Callable[[Request], Awaitable[Response]]] | None:
        if path == "/hello":
            return "POST", self.heartbeats.serve
        if path == "/ready":
            return "GET", self.users.ready
        if path == "/submissions":
            return "POST", self.users.serve
        parts = path.split("/")
        if len(parts) == 3 and parts[1] == "submissions" and parts[2]:
            return "GET", self.users.serve
        if len(parts) == 4 and parts[1] == "submissions" and parts[2] and parts[3] == "cancel":
            return "POST", self.users.serve
        return None

    async def serve_peer(self, request: Request) -> Response:
        """One request on the address for the other controllers."""
        return await self.peer_requests.serve(request)
