"""One run: starts everything, plays the phases, and measures them."""

import asyncio
import os
import random
import re
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from dappledrum import __version__
from dappledrum.model.invariants import Invariants
from dappledrum.scale.addresses import free_address
from dappledrum.scale.controllers import Controllers
from dappledrum.scale.fleet import RemoteCloud
from dappledrum.scale.hollow import HollowSettings
from dappledrum.scale.measure import Meter, phase_report
from dappledrum.scale.order import WAIT_S, OrderedEvents
from dappledrum.scale.processes import Companion
from dappledrum.scale.report import PhaseReport, ScaleReport, percentiles
from dappledrum.scale.sockets import SocketLink, SocketNetwork, served
from dappledrum.scale.state_service import StateSettings
from dappledrum.scale.users import URGENCIES, Users, histogram, milliseconds
from dappledrum.settings import split_address
from dappledrum.simulation.fleet import Timing

CPUS = 32.0  # of a machine
BUSY = 0.9  # share of the room for tasks that the work fills
RELEASE_S = 0.25
RAMP_MOST_S = 90.0  # until every worker has been answered and work has begun
RAMP_LOOK_S = 0.5
BOOT_S = 2.0
LIST_LAG_S = 4.0
STATE_LATENCY_S = 0.004
LEASE_S = 11.0
CANCEL_S = 41.0
PLAN = re.compile(r"plan in (\d+) ms")
PHASES = ("ramp", "steady", "peak", "loss", "leader", "all", "zone")


@dataclass(frozen=True)
class Options:
    """What a run is to be."""

    workers: int = 50
    controllers: int = 3
    hosts: int = 1  # processes that share the workers
    tasks_per_worker: int = 29
    tasks_per_job: int = 100
    run_s: float = 60.0  # of a task, give or take two fifths
    report_s: float = 3.0
    phase_s: float = 15.0
    phases: tuple[str, ...] = PHASES
    state_rps: float = 200.0
    change_rps: float = 80.0
    cancelled: float = 0.05
    zones: tuple[str, ...] = ("a", "b", "c")
    seed: int = 1


class Run:
    """The processes, the fleet and the users of one run."""

    def __init__(self, options: Options, directory: Path, say: Callable[[str], None]) -> None:
        self.options = options
        self.say = say
        self.rng = random.Random(options.seed)
        teams = [{"name": f"team-{number}"} for number in range(4)]
        self.rules = Invariants(CANCEL_S, {team["name"]: (0.0, 0.0) for team in teams})
        self.ordered = OrderedEvents(self.rules, self._began)
        self.start_ms = {urgency: histogram() for urgency in URGENCIES}
        self.first_start_after: float | None = None
        self.first_start_at: float | None = None
        self.phases: list[PhaseReport] = []
        self._loops: list[asyncio.Task[None]] = []
        addresses = {"cloud": free_address(), "state": free_address()}
        self.cloud_address = addresses["cloud"]
        self.controllers = Controllers(
            options.controllers, list(options.zones), addresses, self._params(teams), directory
        )
        self.state = self._state(addresses["state"], directory)
        self.hosts = [self._host(index, directory) for index in range(options.hosts)]
        timing = Timing(options.report_s, LEASE_S)
        self.cloud = RemoteCloud(
            self._types(), self.rules, timing, self.rng, LIST_LAG_S, self.hosts
        )
        self.cloud.max_machines = options.workers
        self.cloud_server = served(self.cloud)
        network = SocketNetwork({**self.controllers.public, "state": addresses["state"]})
        self.state_link: SocketLink = network.caller("meter", "state")
        self.users = Users(
            network, self.controllers.names, self.cloud, self.ordered, random.Random(options.seed)
        )
        self.meter = Meter(self.controllers, self.state, self.state_link, self.hosts)

    def _params(self, teams: list[dict[str, Any]]) -> dict[str, Any]:
        options = self.options
        return {
            "teams": teams,
            "workers": {"report_s": options.report_s, "lease_s": LEASE_S, "cancel_s": CANCEL_S},
            "state": {
                "rps": options.state_rps,
                "write_rps": options.change_rps,
                "value_kb": 8,
                "txn_ops": 24,
            },
            "cloud": {"rps": 4, "list_lag_s": LIST_LAG_S},
            "zones": list(options.zones),
            "machine_limits": {"cpu": 1, "memory_mb": 1024, "max_sockets": 16_000},
        }

    def _state(self, address: str, directory: Path) -> Companion:
        options = self.options
        settings = StateSettings(
            address, options.state_rps, options.change_rps, 8, 24, STATE_LATENCY_S, options.seed
        )
        return Companion("dappledrum.scale.state_service", settings, directory / "state.json")

    def _host(self, index: int, directory: Path) -> Companion:
        options = self.options
        settings = HollowSettings(
            self.controllers.public,
            options.report_s,
            LEASE_S,
            step_s=max(0.5, options.run_s / 12),
            seed=options.seed * 1000 + index,
            subnet=f"127.{2 + os.getpid() % 250}",
        )
        return Companion("dappledrum.scale.hollow", settings, directory / f"host-{index}.json")

    def _types(self) -> list[dict[str, Any]]:
        return [
            {
                "label": "standard",
                "vcpus": CPUS,
                "accelerators": 0.0,
                "memGb": 128.0,
                "cacheGb": 20.0,
                "fetchGbPerS": 1.0,
                "hourly": 1.0,
                "marketPrice": 0.4,
                "readyS": BOOT_S,
                "halls": list(self.options.zones),
            }
        ]

    @property
    def task_cpus(self) -> float:
        """So that as many tasks as wanted fit on a machine."""
        return round(CPUS / self.options.tasks_per_worker - 0.005, 2)

    @property
    def capacity(self) -> int:
        """Tasks that fit on the fleet."""
        return self.options.workers * self.options.tasks_per_worker

    def _began(self, at: float, job: str, _task: int) -> None:
        facts = self.rules.jobs[job]
        if facts.begun_at == at:
            delay = at - self.users.submitted_at[job]
            self.start_ms[facts.spec["urgency"]].record_value(milliseconds(delay))
        waiting = self.first_start_after is not None and self.first_start_at is None
        if waiting and at > (self.first_start_after or 0.0):
            self.first_start_at = at

    async def play(self) -> ScaleReport:
        """The whole run; everything that it started has ended when it returns or raises."""
        try:
            await self._start()
            for name in self.options.phases:
                await self._phase(name)
            await asyncio.sleep(WAIT_S + RELEASE_S)
            return self._report()
        finally:
            await self._stop()

    async def _start(self) -> None:
        await self.state.start(self.ordered.add)
        await self.cloud_server.start(*split_address(self.cloud_address))
        for host in self.hosts:
            await host.start(self.ordered.add)
        await self.controllers.start_all()
        zones = self.options.zones
        for index in range(self.options.workers):
            self.cloud.add(("standard", zones[index % len(zones)], True))
        loop = asyncio.get_running_loop()
        self._loops = [loop.create_task(self._release()), loop.create_task(self._submit())]

    async def _release(self) -> None:
        while True:
            await asyncio.sleep(RELEASE_S)
            self.ordered.release(asyncio.get_running_loop().time())

    async def _submit(self) -> None:
        """Work for most of the fleet at once, then as much as ends, evenly."""
        options = self.options
        for _ in range(int(self.capacity * BUSY / options.tasks_per_job)):
            self.users.begin(options.tasks_per_job, self.task_cpus, options.run_s)
        pause = options.run_s * options.tasks_per_job / (self.capacity * BUSY)
        while True:
            cancels = self.rng.random() < options.cancelled
            self.users.begin(options.tasks_per_job, self.task_cpus, options.run_s, cancels)
            await asyncio.sleep(pause)

    async def _phase(self, name: str) -> None:
        actions: dict[str, Callable[[], Awaitable[None]]] = {
            "ramp": self._ramp,
            "peak": self._peak,
            "loss": self._loss,
            "leader": self._end_leader,
            "all": self._end_all,
            "zone": self._cut_zone,
        }
        before = await self.meter.read(self.rules.starts)
        self.first_start_after = asyncio.get_running_loop().time()
        self.first_start_at = None
        if name in actions:
            await actions[name]()
        await asyncio.sleep(self.options.phase_s)
        report = phase_report(name, before, await self.meter.read(self.rules.starts))
        if self.first_start_at is not None:
            report.first_start_s = round(self.first_start_at - before.at, 2)
        self.phases.append(report)
        cores = "; ".join(f"{use.role} {use.cores:.2f}" for use in report.roles)
        self.say(
            f"{name}: {report.answered_workers} of {report.workers} workers answered,"
            f" {report.running} tasks run, {report.starts:.0f} starts and {report.reports:.0f}"
            f" reports a second; cores: {cores}"
        )

    async def _ramp(self) -> None:
        """Wait until every worker has been answered, and tasks run."""
        end = asyncio.get_running_loop().time() + RAMP_MOST_S
        while asyncio.get_running_loop().time() < end:
            reading = await self.meter.read(self.rules.starts)
            answered = sum(counters.answered_workers for counters in reading.hosts)
            if answered >= self.options.workers and self.rules.starts:
                return
            await asyncio.sleep(RAMP_LOOK_S)

    async def _peak(self) -> None:
        """A tenth of the fleet's room in small jobs at once."""
        for _ in range(max(1, self.capacity // 100)):
            self.users.begin(10, self.task_cpus, self.options.run_s)

    async def _loss(self) -> None:
        names = sorted(self.cloud.machines)
        for name in self.rng.sample(names, max(1, len(names) // 10)):
            self.cloud.terminate(name)

    async def _end_leader(self) -> None:
        leader = await self.meter.leader()
        if leader is not None:
            await self.controllers.restart([leader], 0.3)

    async def _end_all(self) -> None:
        await self.controllers.restart(list(self.controllers.names), 0.3)

    async def _cut_zone(self) -> None:
        self.cloud.cut_zone(self.options.zones[0], LEASE_S * 1.5)

    async def _stop(self) -> None:
        for loop in self._loops:
            loop.cancel()
        await self.users.stop()
        await self.controllers.stop()
        await asyncio.gather(*(one.stop() for one in [*self.hosts, self.state]))
        await self.cloud_server.stop()

    def _plans(self) -> list[int]:
        texts = (self.controllers.log_text(name) for name in self.controllers.names)
        return [int(found) for text in texts for found in PLAN.findall(text)]

    def _report(self) -> ScaleReport:
        counts, options = self.users.counts, self.options
        plans = histogram()
        for plan_ms in self._plans():
            plans.record_value(max(1, plan_ms))
        return ScaleReport(
            __version__,
            options.seed,
            options.workers,
            options.controllers,
            options.tasks_per_worker,
            options.hosts,
            os.cpu_count() or 1,
            self.phases,
            {urgency: percentiles(values) for urgency, values in self.start_ms.items()},
            percentiles(counts.submit_ms),
            percentiles(counts.poll_ms),
            percentiles(plans),
            counts.submitted,
            counts.accepted,
            counts.done,
            counts.cancelled,
            counts.gave_up,
            counts.refused,
            counts.unanswered,
            self.controllers.ended_by_themselves,
            self.rules.broken,
        )


async def play(options: Options, say: Callable[[str], None]) -> ScaleReport:
    """One run in a directory of its own, which is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="dappledrum-scale-") as directory:
        return await Run(options, Path(directory), say).play()
