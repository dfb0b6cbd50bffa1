"""Constructs the parts of one controller, each after those that it uses."""

from datetime import timedelta

from dappledrum.controller.catalog import CatalogLoader
from dappledrum.controller.controller import BackgroundServices, Controller, Endpoints
from dappledrum.controller.election_host import ElectionHost
from dappledrum.controller.environment import Clients, Connections, Environment
from dappledrum.controller.heartbeat_endpoint import HeartbeatEndpoint
from dappledrum.controller.isolation import Isolation
from dappledrum.controller.leadership_transfer import LeadershipTransfer
from dappledrum.controller.link_checks import LinkChecks
from dappledrum.controller.peer_endpoint import PeerEndpoint
from dappledrum.controller.peer_versions import PeerVersions
from dappledrum.controller.redirection import Redirection
from dappledrum.controller.store_share import StoreShare
from dappledrum.controller.term_runner import TermRunner
from dappledrum.controller.unreached_leader import UnreachedLeaderMonitor
from dappledrum.controller.user_endpoint import UserEndpoint
from dappledrum.election.context import ElectionContext, LeaseLimits
from dappledrum.election.elector import Elector
from dappledrum.membership.context import (
    LeaderActions,
    MembershipContext,
    ProbedService,
    WorkerProbe,
)
from dappledrum.membership.service import Membership
from dappledrum.settings import WorkerLimits
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, longest_local_span
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.user_api.job_api import JobApi
from dappledrum.workers.heartbeat_attempts import HeartbeatAttempts

MAX_LEASE_TTL = timedelta(seconds=3)
LEADER_LEASES_PER_WORKER_LEASE = 3
#: A leader with lease grants of only a majority stops so early that its workers' leases have
#: expired this long before the time limit for cancellations.
MAJORITY_GRANTS_MARGIN = timedelta(seconds=5)
#: Workers' leases have expired this long before the time limit for cancellations, also if a leader
#: last read all cancellations just before a user cancelled.
CANCELLATIONS_AGE_MARGIN = timedelta(seconds=1)
#: Minimum time for which a read of all cancellations is valid. Without it leaders could answer no
#: worker at all if the time limit for cancellations were no longer than a lease.
MIN_CANCELLATIONS_AGE = timedelta(seconds=6)


def build_controller(environment: Environment, connections: Connections) -> Controller:
    """Construct a controller over these connections; `Controller.run` starts it."""
    clients = Clients(environment, connections)
    value_limit = ValueLimit(environment.settings.params.state)
    job_api = JobApi(clients.store, environment.params, environment.clock, value_limit)
    election_host = ElectionHost(environment, clients.peers)
    elector = _build_elector(environment, clients, job_api, election_host)
    pause_detector = PauseDetector(environment.clock)
    term_runner = TermRunner(environment, clients, elector, job_api, value_limit, pause_detector)
    membership = _build_membership(environment, clients, term_runner, connections.probe_worker)
    store_share = StoreShare(clients.store, elector, len(environment.settings.seeds))
    election_host.connect(term_runner, membership, store_share)
    store_share.update()
    attempts = HeartbeatAttempts()
    return Controller(
        environment,
        clients,
        elector,
        membership,
        job_api,
        term_runner,
        _build_endpoints(environment, clients, membership, job_api, term_runner, attempts),
        BackgroundServices(
            pause_detector,
            CatalogLoader(environment, clients, job_api, term_runner),
            UnreachedLeaderMonitor(environment, term_runner, membership, attempts),
            PeerVersions(clients, membership, value_limit, job_api),
        ),
    )


def lease_limits(workers: WorkerLimits) -> LeaseLimits:
    """Derive a leader's time limits from the lease of workers and the limit for cancellations."""
    lease, cancellation = workers.lease_duration, workers.cancellation_limit
    return LeaseLimits(
        ttl=min(MAX_LEASE_TTL, lease / LEADER_LEASES_PER_WORKER_LEASE),
        max_time_on_majority_grants=max(ZERO, cancellation - lease - MAJORITY_GRANTS_MARGIN),
        max_cancellations_age=max(
            MIN_CANCELLATIONS_AGE,
            cancellation - longest_local_span(lease + CANCELLATIONS_AGE_MARGIN),
        ),
    )


def _build_elector(
    environment: Environment, clients: Clients, job_api: JobApi, host: ElectionHost
) -> Elector:
    return Elector(
        ElectionContext(
            member=environment.member,
            store=clients.store,
            clock=environment.clock,
            rng=environment.rng,
            limits=lease_limits(environment.params.workers),
            peers=clients.peers,
            host=host,
            confirmed=job_api.confirmed,
        )
    )


def _build_membership(
    environment: Environment, clients: Clients, term_runner: TermRunner, probe_worker: WorkerProbe
) -> Membership:
    link_checks = LinkChecks(clients)
    elector = term_runner.elector
    transfer = LeadershipTransfer(clients, elector, term_runner).transfer
    return Membership(
        MembershipContext(
            environment.member,
            environment.clock,
            environment.rng,
            clients.peers,
            elector,
            environment.params.workers,
            term_runner.pause_detector,
        ),
        ProbedService(clients.store.availability.link, link_checks.check_store),
        ProbedService(clients.cloud.link, link_checks.check_cloud),
        probe_worker,
        LeaderActions(term_runner.expected_heartbeats, transfer),
    )


def _build_endpoints(
    environment: Environment,
    clients: Clients,
    membership: Membership,
    job_api: JobApi,
    term_runner: TermRunner,
    attempts: HeartbeatAttempts,
) -> Endpoints:
    store, elector = clients.store, term_runner.elector
    isolation = Isolation(store, membership, environment.clock, term_runner.pause_detector)
    redirection = Redirection(environment, store, elector, membership, isolation)
    users = UserEndpoint(clients, membership, job_api, isolation)
    heartbeats = HeartbeatEndpoint(term_runner, membership, redirection, attempts)
    return Endpoints(
        users, heartbeats, PeerEndpoint(store, elector, membership, users, heartbeats)
    )
