"""Simulated cloud whose machines have their workers in other processes."""

import random
from typing import Any

from dappledrum.model.invariants import Invariants
from dappledrum.scale.messages import Boot, CutZone, Describe, Vanish
from dappledrum.scale.processes import ChildProcess
from dappledrum.simulation.fleet import CloudService, Timing, Worker
from dappledrum.simulation.network import Network


class RemoteWorker:
    """Handle of a worker in another process."""

    def __init__(self, name: str, kind: tuple[str, str, bool], host: ChildProcess) -> None:
        self.name = name
        self.kind = kind
        self.host = host

    def terminate(self) -> None:
        """Terminate the machine."""
        self.host.send(Vanish(self.name))


class RemoteCloud(CloudService):
    """Rents machines whose workers are distributed over the host processes."""

    def __init__(
        self,
        types: list[dict[str, Any]],
        invariants: Invariants,
        timing: Timing,
        rng: random.Random,
        lag_s: float,
        hosts: list[ChildProcess],
    ) -> None:
        super().__init__(types, Network(rng), invariants, timing, [], rng, lag_s)
        self.hosts = hosts

    def make_worker(
        self, name: str, kind: tuple[str, str, bool], size: dict[str, float]
    ) -> Worker:
        """Start the worker of a machine that is up; machines are assigned to hosts in turn."""
        host = self.hosts[int(name.rpartition("-")[2]) % len(self.hosts)]
        host.send(Boot(name, kind, size))
        return RemoteWorker(name, kind, host)  # type: ignore[return-value]

    def send_job_spec(self, spec: dict[str, Any]) -> None:
        """Announce a job to all workers; must be called before it is submitted."""
        for host in self.hosts:
            host.send(Describe(spec))

    def cut_zone(self, zone: str, for_s: float) -> None:
        """Block the requests of a zone's workers to the controllers for `for_s` seconds."""
        for host in self.hosts:
            host.send(CutZone(zone, for_s))
