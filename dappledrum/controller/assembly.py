"""Constructs all parts of one controller, each after those that it uses."""

from datetime import timedelta
from typing import NamedTuple

from dappledrum.controller.catalog import CatalogLoader
from dappledrum.controller.controller import BackgroundServices, Controller, Endpoints
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
from dappledrum.election.elector import Elector
from dappledrum.election.lease_keeper import LeaseKeeper
from dappledrum.jobs.api import JobApi
from dappledrum.membership.service import Membership, Probe
from dappledrum.settings import WorkerLimits
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, longer
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.workers.heartbeat_attempts import HeartbeatAttempts

MAX_LEASE_DURATION = timedelta(seconds=3)
LEASES_PER_WORKER_LEASE = 3
#: Margin within the time for cancellations: a leader with lease grants of only a majority stops
#: early enough that its workers' leases have expired this long before that time has passed.
MAJORITY_GRANT_MARGIN = timedelta(seconds=5)
#: The same margin for a leader that last read all cancellations just before the user's.
LAST_READ_MARGIN = timedelta(seconds=1)
#: Least time for which a reading of all cancellations counts. If the time for cancellations were
#: no longer than a lease, leaders could otherwise answer no worker at all.
MIN_READ_VALIDITY = timedelta(seconds=6)


def build_controller(environment: Environment, connections: Connections) -> Controller:
    """Construct a controller over these connections; `Controller.run` starts it."""
    clock = environment.clock
    clients = Clients(environment, connections)
    lease_keeper = _build_lease_keeper(environment, clients)
    elector = Elector(lease_keeper, clients.peers.pre_vote, clients.peers.transfer_leadership)
    value_limit = ValueLimit(environment.settings.params.state)
    job_api = JobApi(clients.store, environment.params, clock, value_limit)
    pause_detector = PauseDetector(clock)
    term_runner = TermRunner(environment, clients, elector, job_api, value_limit, pause_detector)
    lease_keeper.on_confirmed = term_runner.apply_confirmed_cancellations
    lease_keeper.confirmed = lambda span: job_api.confirmed.within(span, clock.now())
    membership = _build_membership(environment, clients, term_runner, connections.probe_worker)
    if environment.tuning.reach:
        elector.candidacy_delay = membership.candidacy_delay
        lease_keeper.all_ask = lambda: (
            len(membership.heartbeat_peers) == len(clients.peers.callers)
        )
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
            StoreShare(clients.store, elector, len(environment.settings.seeds)),
        ),
    )


class LeaseTimes(NamedTuple):
    """Time limits of a leader's lease."""

    duration: timedelta
    max_majority_grant: timedelta  # on lease grants of only a majority, from the last renewal
    max_read_age: timedelta  # of the last reading of all cancellations


def lease_times(limits: WorkerLimits) -> LeaseTimes:
    """Derive a leader's limits from those that workers and users were given."""
    last_answer_to_end = longer(limits.lease + LAST_READ_MARGIN)
    return LeaseTimes(
        min(MAX_LEASE_DURATION, limits.lease / LEASES_PER_WORKER_LEASE),
        max(ZERO, limits.cancel - limits.lease - MAJORITY_GRANT_MARGIN),
        max(MIN_READ_VALIDITY, limits.cancel - last_answer_to_end),
    )


def _build_lease_keeper(environment: Environment, clients: Clients) -> LeaseKeeper:
    times = lease_times(environment.params.workers)
    return LeaseKeeper(
        environment.member,
        clients.store,
        environment.clock,
        environment.rng,
        times.duration,
        clients.peers.promise,
        times.max_majority_grant,
        times.max_read_age,
    )


def _build_membership(
    environment: Environment, clients: Clients, term_runner: TermRunner, probe_worker: Probe
) -> Membership:
    link_checks = LinkChecks(clients)
    elector = term_runner.elector
    return Membership(
        environment.member,
        environment.clock,
        environment.rng,
        clients.peers,
        elector,
        environment.params.workers,
        term_runner.pause_detector,
        clients.store.link,
        clients.cloud.link,
        term_runner.reporting_machines,
        probe_worker,
        link_checks.check_store,
        link_checks.check_cloud,
        LeadershipTransfer(clients, elector, term_runner).transfer,
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
