"""External inputs of one controller: settings, clock, random numbers and connections."""

import random
from dataclasses import dataclass
from functools import cached_property

import msgspec

from dappledrum.fleet.cloud_client import CloudClient
from dappledrum.http.client import HttpClient
from dappledrum.membership.context import WorkerProbe
from dappledrum.peers.client import Peers
from dappledrum.settings import Params, Settings, Tuning
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock

#: Share of the cloud's announced request rate that a controller uses.
CLOUD_RATE_SHARE = 0.9


@dataclass(frozen=True)
class Environment:
    """Settings of one controller, its clock and its random numbers."""

    settings: Settings
    tuning: Tuning
    clock: Clock
    rng: random.Random

    @property
    def member(self) -> str:
        """The controller's name."""
        return self.settings.member

    @cached_property
    def params(self) -> Params:
        """Parameters of the deployment, with the smallest of the announced store limits."""
        params = self.settings.params
        return msgspec.structs.replace(params, state=params.state.strictest())


@dataclass(frozen=True)
class Connections:
    """Connections of one controller; tests pass simulated ones."""

    store: HttpClient
    cloud: HttpClient
    peers: dict[str, HttpClient]  # by the peer's name
    probe_worker: WorkerProbe


class Clients:
    """Typed clients over the connections of one controller."""

    def __init__(self, environment: Environment, connections: Connections) -> None:
        params = environment.params
        self.store = StoreClient(
            connections.store, params.state, environment.clock, environment.rng
        )
        self.cloud = CloudClient(
            connections.cloud, params.cloud.rps * CLOUD_RATE_SHARE, environment.clock
        )
        self.peers = Peers(connections.peers)
