"""A small deployment on loopback: controllers as processes, the platform by stand-ins, and the
record of what was sent, answered and run."""

import asyncio
import contextlib
import ctypes
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins import HOST, Attempt, Client, Cloud, Proxy, Server, StateService, Timing, Worker, now

ROOT = Path(__file__).resolve().parent.parent
#: The version that is in production before an upgrade, if `build.sh` found it.
PRODUCTION = ROOT / "target" / "review" / "production"
FINAL = ("done", "cancelled")


#: The system ends the test this long after its start at the latest, and the controllers with it.
HARD_LIMIT_S = 119
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


def end_with_parent() -> None:
    """Let the system kill the calling process when its parent ends, however that ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_ports(count: int) -> list[int]:
    """Ports that are free at this moment, below those that the system gives to clients: a
    controller that is down must find its port free again."""
    ports: list[int] = []
    candidates = list(range(15_000, 30_000))
    random.shuffle(candidates)
    while len(ports) < count:
        port = candidates.pop()
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            ports.append(port)
    return ports


def service_command(root: Path) -> list[str]:
    """The command of the deploy file of a version."""
    text = (root / "deploy" / "service.toml").read_text(encoding="utf-8")
    return shlex.split(tomllib.loads(text)["run"])


def build(label: str, cpus: float, memory_gb: float, halls: list[str]) -> dict[str, Any]:
    """A machine type of the catalog."""
    return {
        "label": label,
        "vcpus": cpus,
        "accelerators": 0,
        "memGb": memory_gb,
        "cacheGb": 60.0,
        "fetchGbPerS": 1.0,
        "hourly": 0.5,
        "marketPrice": 0.11,
        "readyS": 15,
        "halls": halls,
    }


class Deployment:
    """Controllers, platform, and the facts that the rules are checked against."""

    def __init__(self, folder: Path, params: dict[str, Any], seed: int = 1) -> None:
        self.folder = folder
        self.params = params
        self.rng = random.Random(seed)
        self.members = [f"drummer-{index}" for index in range(params["initial_size"])]
        self.zones = params["zones"]
        self.began = now()
        self.lines: list[str] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.on_machine: dict[str, set[str]] = {}  # task: machines
        self.broken: list[str] = []
        self.told: dict[str, list[tuple[float, str, str, int, str]]] = {}
        self.cancel_told: dict[str, float] = {}
        self.accepted_at: dict[str, float] = {}
        self.starts: dict[str, int] = {}  # starts by job
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.proxies: dict[tuple[str, str], Proxy] = {}  # between controllers, by sender, receiver
        self.run_times: dict[str, float] = {}
        self.state = StateService(params["state"], self.rng)
        self.timing = Timing(params["workers"]["report_s"], params["workers"]["lease_s"])
        self.public: dict[str, str] = {}
        self.settings: dict[str, Path] = {}
        self.root = ROOT  # of the version that controllers are started with
        self.temporary = tempfile.TemporaryDirectory()
        self.cloud = Cloud([], params["cloud"], self._make_worker)

    # the record
    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{now() - self.began:8.3f} {text}")

    def break_rule(self, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.broken.append(f"{rule}: {text}")
        self.note(f"BROKEN {rule}: {text}")

    # start and end
    async def start(self, builds: list[dict[str, Any]], capacity: int = 20) -> None:
        """Start the platform and all controllers."""
        scratch = Path(self.temporary.name)
        ports = free_ports(2 * len(self.members))
        back = {}
        for index, member in enumerate(self.members):
            self.public[member] = f"{HOST}:{ports[2 * index]}"
            back[member] = f"{HOST}:{ports[2 * index + 1]}"
        self.cloud.builds, self.cloud.capacity = builds, capacity
        self.cloud.log = self.note
        cloud_server = await Server(self.cloud.handle).start()
        for index, member in enumerate(self.members):
            seeds = []
            for other_index, other in enumerate(self.members):
                if other == member:
                    continue
                proxy = await Proxy(back[other]).start()
                self.proxies[member, other] = proxy
                zone = self.zones[other_index % len(self.zones)]
                seeds.append({"member": other, "location": zone, "endpoint": proxy.address})
            settings = {
                "member": member,
                "location": self.zones[index % len(self.zones)],
                "serve_on": self.public[member],
                "back": back[member],
                "seeds": seeds,
                "external": {
                    "cloud": cloud_server.address,
                    "state": await self.state.open_port(member),
                },
                "params": self.params,
            }
            self.settings[member] = scratch / f"{member}.json"
            self.settings[member].write_text(json.dumps(settings))
        for member in self.members:
            await self.start_controller(member)

    async def start_controller(self, member: str) -> None:
        """Start one controller with the command of the deploy file."""
        with (Path(self.temporary.name) / f"{member}.log").open("ab") as log:
            self.processes[member] = await asyncio.create_subprocess_exec(
                *service_command(self.root),
                str(self.settings[member]),
                cwd=self.root,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=end_with_parent,
                env=os.environ | {"LOG_LEVEL": os.environ.get("LOG_LEVEL", "info")},
            )
        self.note(f"{member} is started, version in {self.root.name}")

    async def kill_controller(self, member: str) -> None:
        """Kill one controller."""
        process = self.processes[member]
        if process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()
        self.note(f"{member} is killed")

    def signal_controller(self, member: str, number: signal.Signals) -> None:
        """Send a signal to one controller."""
        self.processes[member].send_signal(number)
        self.note(f"{member} gets {number.name}")

    async def stop(self) -> None:
        """End everything that was started, and write the record."""
        for member, process in self.processes.items():
            if process.returncode is not None and process.returncode != -signal.SIGKILL:
                self.note(f"{member} had ended by itself with {process.returncode}")
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGKILL)
                await process.wait()
        for worker in self.cloud.workers():
            worker.stop()
        logs = []
        for member in self.members:
            path = Path(self.temporary.name) / f"{member}.log"
            if path.exists():
                logs.append(f"--- log of {member}\n{path.read_text(errors='replace')[-200_000:]}")
        self.logs = "\n".join(logs)
        if os.environ.get("KEEP_LOGS"):
            (self.folder / "logs.txt").write_text(self.logs)
        (self.folder / "record.txt").write_text("\n".join(self.lines) + "\n")
        self.temporary.cleanup()

    def _make_worker(self, name: str, kind: tuple[str, str, bool], size: dict[str, Any]) -> Worker:
        self.note(f"{name} is up: {kind}")
        return Worker(
            name,
            kind,
            size,
            self.public,
            self.timing,
            self,
            self._run_time,
            self.rng,  # type: ignore[arg-type]
        )

    def _run_time(self, beat: str) -> float:
        return self.run_times.get(beat, self.run_times.get(beat.rpartition("/")[0], 5.0))

    # what workers show
    def started(self, worker: Worker, attempt: Attempt) -> None:
        """A task is on its machine, with its image."""
        job = self.jobs[attempt.job]
        self.note(f"{worker.name} starts {attempt.beat} take {attempt.take}")
        self.starts[attempt.job] = self.starts.get(attempt.job, 0) + 1
        machines = self.on_machine.setdefault(attempt.beat, set())
        if machines - {worker.name}:
            self.break_rule(
                "ran_twice", f"{attempt.beat} starts on {worker.name}, is on {machines}"
            )
        machines.add(worker.name)
        build_name, hall, loaner = worker.kind
        wrong = (
            (job["builds"] is not None and build_name not in job["builds"])
            or (job["hall"] is not None and hall != job["hall"])
            or (loaner and not job["loaners"])
        )
        if wrong:
            self.break_rule("wrong_place", f"{attempt.beat} starts on {worker.name} {worker.kind}")
        told = self.cancel_told.get(attempt.job)
        if told is not None and now() - told > self.params["workers"]["cancel_s"]:
            self.break_rule("ran_cancelled", f"{attempt.beat} starts on {worker.name}")
        for need in job.get("waitsOn") or ():
            if len(self.jobs[need].setdefault("_done", set())) < self.jobs[need]["beats"]:
                self.break_rule("too_early", f"{attempt.beat} starts before {need} is done")
        self.check_limits()

    def ended(self, worker: Worker, attempt: Attempt) -> None:
        """A task has left its machine."""
        cause = attempt.cause or "killed"
        self.note(f"{worker.name} ends {attempt.beat} take {attempt.take}: {cause}")
        self.on_machine.setdefault(attempt.beat, set()).discard(worker.name)
        if attempt.cause == "done":
            self.jobs[attempt.job].setdefault("_done", set()).add(attempt.beat)

    def running(self, job: str) -> list[str]:
        """Tasks of a job that are on a machine."""
        return [b for b, m in self.on_machine.items() if m and b.rpartition("/")[0] == job]

    def check_limits(self) -> None:
        """Check the limits of all teams."""
        for team in self.params["teams"]:
            if team["cpus_max"] <= 0:
                continue
            used = sum(
                self.jobs[beat.rpartition("/")[0]]["vcpus"] * len(machines)
                for beat, machines in self.on_machine.items()
                if self.jobs[beat.rpartition("/")[0]]["crew"] == team["name"]
            )
            if used > team["cpus_max"] + 1e-6:
                self.break_rule("quota", f"{team['name']} uses {used} of {team['cpus_max']} CPUs")

    def check_cancelled(self) -> None:
        """Check that nothing cancelled is on a machine after `cancel_s`."""
        limit = self.params["workers"]["cancel_s"]
        for job, told in self.cancel_told.items():
            if now() - told > limit and (left := self.running(job)):
                self.break_rule("ran_cancelled", f"{left} on machines {now() - told:.1f} s after")

    # users
    async def ask(
        self, member: str, method: str, path: str, body: object = None, timeout: float = 5.0
    ) -> tuple[int, Any] | None:
        """One request of a user to one controller, on a connection of its own."""
        client = Client(self.public[member])
        try:
            return await client.request(method, path, body, timeout)
        finally:
            client.close()

    def _told(
        self, member: str, what: str, job: str, answer: tuple[int, Any] | None
    ) -> str | None:
        status = 0 if answer is None else answer[0]
        stance = answer[1].get("stance") if answer is not None and status in (200, 201) else None
        self.note(f"{what} {job} at {member}: {status} {stance or ''}")
        self.told.setdefault(job, []).append((now(), member, what, status, stance or ""))
        return stance

    async def submit(self, member: str, spec: dict[str, Any], tries: int = 30) -> bool:
        """Submit a job, and again until it is accepted; returns whether it was."""
        self.jobs.setdefault(spec["id"], dict(spec))
        for attempt in range(tries):
            target = member if attempt == 0 else self.rng.choice(self.members)
            answer = await self.ask(target, "POST", "/submissions", spec)
            self._told(target, "submit", spec["id"], answer)
            if answer is not None and answer[0] in (200, 201):
                self.accepted_at.setdefault(spec["id"], now())
                return True
            if answer is not None and answer[0] in (400, 422):
                return False
            await asyncio.sleep(1.0)
        return False

    async def poll(self, member: str, job: str) -> tuple[int, str | None]:
        """Ask for the state of a job; returns the status, 0 without an answer, and the state."""
        asked = now()
        answer = await self.ask(member, "GET", f"/submissions/{job}", timeout=2.0)
        stance = self._told(member, "poll", job, answer)
        if answer is not None and answer[0] == 404 and job in self.accepted_at:
            self.break_rule("forgotten", f"{job} gets 404 at {member}")
        if answer is not None and answer[0] == 200:
            self._check_answer(job, stance, asked)
        return (0 if answer is None else answer[0]), stance

    def _check_answer(self, job: str, stance: str | None, asked: float) -> None:
        spec = self.jobs.get(job)
        if spec is None:
            self.break_rule("invented", f"{job} is {stance}")
            return
        known = spec.get("_final")
        if known is not None and stance != known[0] and known[1] < asked:
            self.break_rule("went_back", f"{job} was {known[0]} and is {stance}")
        if (
            stance == "cancelled"
            and not spec.get("_cancel_asked")
            and not self.cancelled_before(job)
        ):
            self.break_rule("went_back", f"{job} is cancelled, and its user did not cancel it")
        if stance == "done" and len(spec.get("_done", ())) < spec["beats"]:
            self.break_rule("not_done", f"{job}: {len(spec.get('_done', ()))} of {spec['beats']}")
        if stance in FINAL and known is None:
            spec["_final"] = (stance, now())
        since = self.cancelled_before(job)
        if stance not in FINAL and since is not None:
            since = max(since, self.accepted_at.get(job, 0.0))
            late = asked - since
            if late > self.params["workers"]["cancel_s"]:
                self.break_rule("orphaned", f"{job} is called {stance} {late:.1f} s after")

    def cancelled_before(self, job: str) -> float | None:
        """When a user was told that a job before this one is cancelled."""
        found: list[float] = []
        stack, seen = list(self.jobs[job].get("waitsOn") or ()), set()
        while stack:
            need = stack.pop()
            if need in seen:
                continue
            seen.add(need)
            if need in self.cancel_told:
                found.append(self.cancel_told[need])
            stack += self.jobs[need].get("waitsOn") or ()
        return min(found, default=None)

    async def cancel(self, member: str, job: str, tries: int = 30) -> str | None:
        """Cancel a job, and again until it is answered; returns the state that was answered."""
        self.jobs[job]["_cancel_asked"] = True
        for attempt in range(tries):
            target = member if attempt == 0 else self.rng.choice(self.members)
            answer = await self.ask(target, "POST", f"/submissions/{job}/cancel")
            stance = self._told(target, "cancel", job, answer)
            if stance == "cancelled":
                self.cancel_told.setdefault(job, now())
                self.jobs[job].setdefault("_final", ("cancelled", now()))
            if stance is not None:
                return stance
            await asyncio.sleep(1.0)
        return None

    # waiting
    def leader(self) -> str | None:
        """The member that the state service names as the leader."""
        self.state.expire()
        entry = self.state.keys.get("leader")
        return None if entry is None else entry[0].get("member")

    async def until(self, condition: Callable[[], bool], timeout: float) -> bool:
        """Wait until a condition holds; returns whether it does."""
        end = now() + timeout
        while now() < end:
            if condition():
                return True
            await asyncio.sleep(0.02)
        return condition()

    async def until_ready(self, timeout: float = 20.0) -> bool:
        """Wait until all controllers are ready and one leads."""
        end = now() + timeout
        for member in self.members:
            while now() < end:
                answer = await self.ask(member, "GET", "/ready", timeout=1.0)
                if answer is not None and answer[0] == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                return False
        return await self.until(lambda: self.leader() is not None, max(0.1, end - now()))


def job(name: str, **fields: object) -> dict[str, Any]:
    """A submission."""
    spec: dict[str, Any] = {
        "id": name,
        "pattern": "taulukko",
        "crew": "tulosryhma",
        "form": "batch",
        "urgency": "standard",
        "beats": 1,
        "vcpus": 1.0,
        "accelerators": 0.0,
        "memGb": 1.0,
        "skin": "img-01",
        "pullGb": 0.5,
        "builds": None,
        "hall": None,
        "oneZone": False,
        "spread": False,
        "loaners": True,
        "expectedS": 5.0,
        "markEveryS": 0.0,
        "markTakeS": 0.0,
        "dueS": None,
    }
    return spec | fields


def tampere(**changes: object) -> dict[str, Any]:
    """Settings of the small deployment `tulos-tampere` of BRIEF, with three controllers."""
    params: dict[str, Any] = {
        "initial_size": 3,
        "zones": ["hervanta", "keskusta", "lielahti"],
        "teams": [
            {"name": "tulosryhma", "cpus": 0.0, "cpus_max": 0.0, "gpus": 0.0, "gpus_max": 0.0}
        ],
        "objectives": [],
        "workers": {
            "report_s": 1.0,
            "lease_s": 11.0,
            "gang_wait_s": 30.0,
            "gang_peer_s": 6.0,
            "cancel_s": 41.0,
        },
        "state": {"rps": 80.0, "write_rps": 30.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 1.5, "list_lag_s": 8.0},
        "machine_limits": {"cpu": 0.5, "memory_mb": 106.0, "max_sockets": 600},
        "clock_off_ms": 1000.0,
    }
    return params | changes


class CouldNotRunError(Exception):
    """The case couldn't run; the text says what did not come about."""


def need(condition: object, what: str) -> None:
    """End the case with 2 unless the condition holds."""
    if not condition:
        raise CouldNotRunError(what)


def run_case(
    deployment: Deployment,
    scenario: Callable[[Deployment], Awaitable[None]],
    limit_s: float = 115.0,
) -> None:
    """Run a case and exit: 1 if a rule was broken, 0 if none was, 2 if the case couldn't run."""

    async def bounded() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

        def interrupt() -> None:
            assert task is not None
            for number in signals:  # a second signal doesn't interrupt the end of the processes
                loop.add_signal_handler(number, lambda: None)
            task.cancel()

        for number in signals:
            loop.add_signal_handler(number, interrupt)
        try:
            async with asyncio.timeout(limit_s):
                await scenario(deployment)
        finally:
            await deployment.stop()
        for line in deployment.broken:
            print(line)
        return 1 if deployment.broken else 0

    signal.alarm(HARD_LIMIT_S)
    try:
        code = asyncio.run(bounded())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001 - any failure of the test
        print(f"the case couldn't run: {error!r}", file=sys.stderr)
        code = 2
    with contextlib.suppress(BrokenPipeError):
        sys.stdout.flush()
    sys.exit(code)
