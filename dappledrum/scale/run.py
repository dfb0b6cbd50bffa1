"""One run of the scale test: starts all processes, runs the phases and measures them."""

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
from dappledrum.scale.order import MAX_EVENT_DELAY_S, OrderedEvents
from dappledrum.scale.processes import ChildProcess
from dappledrum.scale.report import PhaseReport, ScaleReport, percentiles
from dappledrum.scale.sockets import SocketLink, SocketNetwork, make_server
from dappledrum.scale.state_service import StateSettings
from dappledrum.scale.users import URGENCIES, Users, latency_histogram, to_histogram_ms
from dappledrum.settings import split_address
from dappledrum.simulation.fleet import Timing

CPUS = 32.0  # of a machine
BUSY_SHARE = 0.9  # share of the fleet's task capacity that the jobs fill
RELEASE_INTERVAL_S = 0.25
RAMP_TIMEOUT_S = 90.0  # until every worker has been answered and a task has started
RAMP_CHECK_INTERVAL_S = 0.5
BOOT_S = 2.0
LIST_LAG_S = 4.0
STATE_LATENCY_S = 0.004
LEASE_S = 11.0
CANCEL_S = 41.0
PLAN_LOG_LINE = re.compile(r"plan in (\d+) ms")
#: All phases but "steady" start with an event: a wait until every worker is answered (ramp), a
#: burst of small jobs (peak), the loss of a tenth of the machines, a crash of the leader or of
#: all controllers, or blocked requests of the workers of a zone to the controllers.
PHASES = ("ramp", "steady", "peak", "loss", "leader", "all", "zone")


@dataclass(frozen=True)
class Options:
    """Options of a run."""

    workers: int = 50
    controllers: int = 3
    hosts: int = 1  # host processes that share the workers
    tasks_per_worker: int = 29
    tasks_per_job: int = 100
    run_s: float = 60.0  # mean run time of a task; drawn within 40% of it
    report_s: float = 3.0
    phase_s: float = 15.0
    phases: tuple[str, ...] = PHASES
    state_rps: float = 200.0
    change_rps: float = 80.0
    cancelled_share: float = 0.05  # of the users, after the initial jobs
    zones: tuple[str, ...] = ("a", "b", "c")
    seed: int = 1


class Run:
    """The processes, the fleet and the users of one run."""

    def __init__(
        self, options: Options, directory: Path, print_progress: Callable[[str], None]
    ) -> None:
        self.options = options
        self.print_progress = print_progress
        self.rng = random.Random(options.seed)
        teams = [{"name": f"team-{number}"} for number in range(4)]
        self.invariants = Invariants(CANCEL_S, {team["name"]: (0.0, 0.0) for team in teams})
        self.ordered = OrderedEvents(self.invariants, self._record_start)
        self.start_ms = {urgency: latency_histogram() for urgency in URGENCIES}
        self.phase_started_at: float | None = None
        self.first_start_at: float | None = None
        self.phases: list[PhaseReport] = []
        self._background_tasks: list[asyncio.Task[None]] = []
        addresses = {"cloud": free_address(), "state": free_address()}
        self.cloud_address = addresses["cloud"]
        self.controllers = Controllers(
            options.controllers, list(options.zones), addresses, self._params(teams), directory
        )
        self.state = self._make_store_process(addresses["state"], directory)
        self.hosts = [self._make_host_process(index, directory) for index in range(options.hosts)]
        timing = Timing(options.report_s, LEASE_S)
        self.cloud = RemoteCloud(
            self._machine_types(), self.invariants, timing, self.rng, LIST_LAG_S, self.hosts
        )
        self.cloud.max_machines = options.workers
        self.cloud_server = make_server(self.cloud)
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

    def _make_store_process(self, address: str, directory: Path) -> ChildProcess:
        options = self.options
        settings = StateSettings(
            address, options.state_rps, options.change_rps, 8, 24, STATE_LATENCY_S, options.seed
        )
        return ChildProcess("dappledrum.scale.state_service", settings, directory / "state.json")

    def _make_host_process(self, index: int, directory: Path) -> ChildProcess:
        options = self.options
        settings = HollowSettings(
            self.controllers.public,
            options.report_s,
            LEASE_S,
            step_s=max(0.5, options.run_s / 12),
            seed=options.seed * 1000 + index,
            subnet=f"127.{2 + os.getpid() % 250}",
        )
        return ChildProcess("dappledrum.scale.hollow", settings, directory / f"host-{index}.json")

    def _machine_types(self) -> list[dict[str, Any]]:
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
        """CPUs of a task, such that `tasks_per_worker` tasks fit on a machine."""
        return round(CPUS / self.options.tasks_per_worker - 0.005, 2)

    @property
    def capacity(self) -> int:
        """Number of tasks that fit on the fleet."""
        return self.options.workers * self.options.tasks_per_worker

    def _record_start(self, at: float, job: str, _task: int) -> None:
        facts = self.invariants.jobs[job]
        if facts.begun_at == at:
            delay = at - self.users.submitted_at[job]
            self.start_ms[facts.spec["urgency"]].record_value(to_histogram_ms(delay))
        waiting = self.phase_started_at is not None and self.first_start_at is None
        if waiting and at > (self.phase_started_at or 0.0):
            self.first_start_at = at

    async def execute(self) -> ScaleReport:
        """Execute the run; every process it started has ended when this returns or raises."""
        try:
            await self._start()
            for name in self.options.phases:
                await self._run_phase(name)
            await asyncio.sleep(MAX_EVENT_DELAY_S + RELEASE_INTERVAL_S)
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
        self._background_tasks = [
            loop.create_task(self._release_events()),
            loop.create_task(self._submit_jobs()),
        ]

    async def _release_events(self) -> None:
        while True:
            await asyncio.sleep(RELEASE_INTERVAL_S)
            self.ordered.release(asyncio.get_running_loop().time())

    async def _submit_jobs(self) -> None:
        """Fill `BUSY_SHARE` of the fleet with jobs, then submit new ones at an even rate that
        keeps it filled."""
        options = self.options
        for _ in range(int(self.capacity * BUSY_SHARE / options.tasks_per_job)):
            self.users.start_user(options.tasks_per_job, self.task_cpus, options.run_s)
        pause = options.run_s * options.tasks_per_job / (self.capacity * BUSY_SHARE)
        while True:
            cancels = self.rng.random() < options.cancelled_share
            self.users.start_user(options.tasks_per_job, self.task_cpus, options.run_s, cancels)
            await asyncio.sleep(pause)

    async def _run_phase(self, name: str) -> None:
        actions: dict[str, Callable[[], Awaitable[None]]] = {
            "ramp": self._wait_for_workers,
            "peak": self._submit_burst,
            "loss": self._terminate_machines,
            "leader": self._restart_leader,
            "all": self._restart_all,
            "zone": self._cut_zone,
        }
        before = await self.meter.read(self.invariants.starts)
        self.phase_started_at = asyncio.get_running_loop().time()
        self.first_start_at = None
        if name in actions:
            await actions[name]()
        await asyncio.sleep(self.options.phase_s)
        report = phase_report(name, before, await self.meter.read(self.invariants.starts))
        if self.first_start_at is not None:
            report.first_start_s = round(self.first_start_at - before.at, 2)
        self.phases.append(report)
        cores = "; ".join(f"{use.role} {use.cores:.2f}" for use in report.roles)
        self.print_progress(
            f"{name}: {report.answered_workers} of {report.workers} workers answered,"
            f" {report.running} tasks run, {report.starts:.0f} starts and {report.reports:.0f}"
            f" reports a second; cores: {cores}"
        )

    async def _wait_for_workers(self) -> None:
        """Wait until every worker has been answered and a task has started."""
        end = asyncio.get_running_loop().time() + RAMP_TIMEOUT_S
        while asyncio.get_running_loop().time() < end:
            reading = await self.meter.read(self.invariants.starts)
            answered = sum(counters.answered_workers for counters in reading.hosts)
            if answered >= self.options.workers and self.invariants.starts:
                return
            await asyncio.sleep(RAMP_CHECK_INTERVAL_S)

    async def _submit_burst(self) -> None:
        """Submit small jobs for a tenth of the fleet's capacity at once."""
        for _ in range(max(1, self.capacity // 100)):
            self.users.start_user(10, self.task_cpus, self.options.run_s)

    async def _terminate_machines(self) -> None:
        names = sorted(self.cloud.machines)
        for name in self.rng.sample(names, max(1, len(names) // 10)):
            self.cloud.terminate(name)

    async def _restart_leader(self) -> None:
        leader = await self.meter.leader()
        if leader is not None:
            await self.controllers.restart([leader], 0.3)

    async def _restart_all(self) -> None:
        await self.controllers.restart(list(self.controllers.names), 0.3)

    async def _cut_zone(self) -> None:
        self.cloud.cut_zone(self.options.zones[0], LEASE_S * 1.5)

    async def _stop(self) -> None:
        for task in self._background_tasks:
            task.cancel()
        await self.users.stop()
        await self.controllers.stop()
        await asyncio.gather(*(child.stop() for child in [*self.hosts, self.state]))
        await self.cloud_server.stop()

    def _plan_durations_ms(self) -> list[int]:
        texts = (self.controllers.log_text(name) for name in self.controllers.names)
        return [int(found) for text in texts for found in PLAN_LOG_LINE.findall(text)]

    def _report(self) -> ScaleReport:
        counts, options = self.users.counts, self.options
        plans = latency_histogram()
        for plan_ms in self._plan_durations_ms():
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
            self.controllers.unexpected_exits,
            self.invariants.broken,
        )


async def run_scale_test(options: Options, print_progress: Callable[[str], None]) -> ScaleReport:
    """Execute one run in a temporary directory, which is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="dappledrum-scale-") as directory:
        return await Run(options, Path(directory), print_progress).execute()
