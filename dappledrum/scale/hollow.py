"""Host process with many hollow workers.

Each worker has its own connection, session, lease, tasks and image cache, and speaks the published
protocol; its tasks only wait.

    python3 -m dappledrum.scale.hollow HOSTS.json

HOSTS.json is a `HollowSettings`. The process takes commands on standard input, and ends when that
is closed.
"""

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from dappledrum.model.invariants import JobFacts
from dappledrum.scale.lines import EventSender, serve_commands
from dappledrum.scale.messages import (
    Boot,
    Command,
    Counters,
    CountersRequest,
    CutZone,
    Describe,
    Ended,
    Started,
    Vanish,
)
from dappledrum.scale.sockets import SocketNetwork
from dappledrum.simulation.fleet import Timing, Worker

LEASE_CHECK_INTERVAL_S = 0.5  # coarse, since hundreds of workers share the process


class HollowSettings(msgspec.Struct):
    """Settings of a host process."""

    controllers: dict[str, str]  # public addresses by name
    report_s: float
    lease_s: float
    step_s: float
    seed: int
    subnet: str  # first two octets of the workers' addresses


class RemoteInvariants:
    """Replaces `Invariants` in a host process: sends starts and ends to the coordinator."""

    def __init__(self, events: EventSender) -> None:
        self.jobs: dict[str, JobFacts] = {}
        self.running = 0
        self._events = events

    def started(
        self, at: float, machine: str, kind: tuple[str, str, bool], job: str, task: int
    ) -> None:
        """Send the start of a task that has its image."""
        self.running += 1
        self._events.send(Started(at, machine, kind, job, task))

    def ended(self, machine: str, job: str, task: int, completed: bool) -> None:
        """Send the end of a task."""
        self.running -= 1
        if completed:
            self.jobs[job].done.add(task)
        self._events.send(Ended(Worker.now(), machine, job, task, completed))


class HollowHost:
    """The workers of this process, and the commands that act on them."""

    def __init__(self, settings: HollowSettings) -> None:
        self.settings = settings
        self.events = EventSender()
        self.invariants = RemoteInvariants(self.events)
        self.network = SocketNetwork(dict(settings.controllers))
        self.timing = Timing(
            settings.report_s,
            settings.lease_s,
            step_s=settings.step_s,
            lease_step_s=LEASE_CHECK_INTERVAL_S,
            subnet=settings.subnet,
        )
        self.rng = random.Random(settings.seed)
        self.workers: dict[str, Worker] = {}
        self.sessions_ended_before_termination = 0

    async def execute(self, command: Command) -> None:
        """Execute one command."""
        match command:
            case Describe(spec):
                self.invariants.jobs[spec["id"]] = JobFacts(spec)
            case Boot(machine, kind, size):
                await self._boot(machine, kind, size)
            case Vanish(machine):
                await self._vanish(machine)
            case CutZone(zone, for_s):
                self._cut(zone, for_s)
            case CountersRequest():
                self.events.send(self._counters())

    async def _boot(self, name: str, kind: tuple[str, str, bool], size: dict[str, float]) -> None:
        controllers = list(self.settings.controllers)
        worker = Worker(
            name,
            kind,
            size,
            self.network,  # type: ignore[arg-type] # has what a worker uses of Network
            self.invariants,  # type: ignore[arg-type] # has what a worker uses of Invariants
            self.timing,
            controllers,
            self.rng,
        )
        self.workers[name] = worker
        await self.network.listen(name, worker.address)

    async def _vanish(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.sessions_ended_before_termination += worker.session - 1
            worker.terminate()
            await self.network.stop_serving(name)

    def _cut(self, zone: str, for_s: float) -> None:
        names = {name for name, worker in self.workers.items() if worker.kind[1] == zone}
        self.network.cut_hosts |= names
        loop = asyncio.get_running_loop()
        loop.call_later(for_s, self.network.cut_hosts.difference_update, names)

    def _counters(self) -> Counters:
        recent = Worker.now() - self.settings.lease_s
        return Counters(
            len(self.workers),
            sum(1 for w in self.workers.values() if w.token and w.answered_at > recent),
            self.invariants.running,
            self.sessions_ended_before_termination
            + sum(w.session - 1 for w in self.workers.values()),
            self.network.traffic,
        )


async def run(settings_json: bytes) -> None:
    """Execute commands until standard input is closed."""
    host = HollowHost(msgspec.json.decode(settings_json, type=HollowSettings))
    host.events.send(Counters())  # tells the coordinator that the process is ready
    await serve_commands(host.execute)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]).read_bytes()))
