"""The cloud's stand-in, with its machines' workers in other processes."""

import random
from typing import Any

from dappledrum.model.invariants import Invariants
from dappledrum.scale.messages import Boot, CutZone, Describe, Vanish
from dappledrum.scale.processes import Companion
from dappledrum.simulation.fleet import CloudService, Timing, Worker
from dappledrum.simulation.network import Network


class RemoteWorker:
    """What the cloud keeps of a worker in another process."""

    def __init__(self, name: str, kind: tuple[str, str, bool], host: Companion) -> None:
        self.name = name
        self.kind = kind
        self.host = host

    def terminate(self) -> None:
        """The machine is gone."""
        self.host.send(Vanish(self.name))


class RemoteCloud(CloudService):
    """Rents machines whose workers are spread over processes."""

    def __init__(
        self,
        types: list[dict[str, Any]],
        rules: Invariants,
        timing: Timing,
        rng: random.Random,
        lag_s: float,
        hosts: list[Companion],
    ) -> None:
        super().__init__(types, Network(rng), rules, timing, [], rng, lag_s)
        self.hosts = hosts

    def make_worker(
        self, name: str, kind: tuple[str, str, bool], size: dict[str, float]
    ) -> Worker:
        """The worker of a machine that is up, on the process whose turn it is."""
        host = self.hosts[int(name.rpartition("-")[2]) % len(self.hosts)]
        host.send(Boot(name, kind, size))
        return RemoteWorker(name, kind, host)  # type: ignore[return-value]

    def describe(self, spec: dict[str, Any]) -> None:
        """Let every worker know a job, before it is submitted."""
        for host in self.hosts:
            host.send(Describe(spec))

    def cut_zone(self, zone: str, for_s: float) -> None:
        """Nothing passes between controllers and the workers of a zone for a while."""
        for host in self.hosts:
            host.send(CutZone(zone, for_s))
