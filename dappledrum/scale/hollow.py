"""One process with many hollow workers: each has its own connection, session, lease, tasks and
image cache, and speaks the published protocol; its tasks only wait.

    python3 -m dappledrum.scale.hollow HOSTS.json

HOSTS.json names the controllers' public addresses and the workers' timing. Commands come on
standard input; the process ends when that is closed.
"""

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from dappledrum.model.invariants import JobFacts
from dappledrum.scale.lines import Events, serve_commands
from dappledrum.scale.messages import (
    Boot,
    Command,
    Counters,
    CutZone,
    Describe,
    Ended,
    Report,
    Started,
    Vanish,
)
from dappledrum.scale.sockets import SocketNetwork
from dappledrum.simulation.fleet import Timing, Worker

LEASE_STEP_S = 0.5  # hundreds of workers look at their leases in one process


class HollowSettings(msgspec.Struct):
    """What the workers of a process are told at its start."""

    controllers: dict[str, str]  # names and public addresses
    report_s: float
    lease_s: float
    step_s: float
    seed: int
    subnet: str  # of the workers' addresses


class RemoteRules:
    """Stands in for the rules checker in the workers' process: what happens is sent on."""

    def __init__(self, events: Events) -> None:
        self.jobs: dict[str, JobFacts] = {}
        self.running = 0
        self._events = events

    def started(
        self, at: float, machine: str, kind: tuple[str, str, bool], job: str, task: int
    ) -> None:
        """A task has its image and starts."""
        self.running += 1
        self._events.send(Started(at, machine, kind, job, task))

    def ended(self, machine: str, job: str, task: int, completed: bool) -> None:
        """A task is off its machine."""
        self.running -= 1
        if completed:
            self.jobs[job].done.add(task)
        self._events.send(Ended(Worker.now(), machine, job, task, completed))


class HollowHost:
    """The workers of this process."""

    def __init__(self, settings: HollowSettings) -> None:
        self.settings = settings
        self.events = Events()
        self.rules = RemoteRules(self.events)
        self.network = SocketNetwork(dict(settings.controllers))
        self.timing = Timing(
            settings.report_s,
            settings.lease_s,
            step_s=settings.step_s,
            lease_step_s=LEASE_STEP_S,
            subnet=settings.subnet,
        )
        self.rng = random.Random(settings.seed)
        self.workers: dict[str, Worker] = {}
        self.sessions_of_gone = 0

    async def act(self, command: Command) -> None:
        """Carry out one command."""
        match command:
            case Describe(spec):
                self.rules.jobs[spec["id"]] = JobFacts(spec)
            case Boot(machine, kind, size):
                await self._boot(machine, kind, size)
            case Vanish(machine):
                await self._vanish(machine)
            case CutZone(zone, for_s):
                self._cut(zone, for_s)
            case Report():
                self.events.send(self._counters())

    async def _boot(self, name: str, kind: tuple[str, str, bool], size: dict[str, float]) -> None:
        controllers = list(self.settings.controllers)
        worker = Worker(
            name,
            kind,
            size,
            self.network,  # type: ignore[arg-type] # offers the same over sockets
            self.rules,  # type: ignore[arg-type] # sends what happens to the parent process
            self.timing,
            controllers,
            self.rng,
        )
        self.workers[name] = worker
        await self.network.listen(name, worker.address)

    async def _vanish(self, name: str) -> None:
        worker = self.workers.pop(name, None)
        if worker is not None:
            self.sessions_of_gone += worker.session - 1
            worker.terminate()
            await self.network.forget(name)

    def _cut(self, zone: str, for_s: float) -> None:
        names = {name for name, worker in self.workers.items() if worker.kind[1] == zone}
        self.network.cut |= names
        loop = asyncio.get_running_loop()
        loop.call_later(for_s, self.network.cut.difference_update, names)

    def _counters(self) -> Counters:
        recent = Worker.now() - self.settings.lease_s
        return Counters(
            len(self.workers),
            sum(1 for w in self.workers.values() if w.token and w.answered_at > recent),
            self.rules.running,
            self.sessions_of_gone + sum(w.session - 1 for w in self.workers.values()),
            self.network.traffic,
        )


async def run(settings_json: bytes) -> None:
    """Serve commands until the coordinator is gone."""
    host = HollowHost(msgspec.json.decode(settings_json, type=HollowSettings))
    host.events.send(Counters())  # ready
    await serve_commands(host.act)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]).read_bytes()))
