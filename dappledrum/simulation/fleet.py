"""A simulated cloud, and the workers on its machines."""

import asyncio
import json
import math
import random
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from dappledrum.http.client import NoResponseError, Reply
from dappledrum.model.invariants import Invariants
from dappledrum.model.queueing import Amount, FreeMachine
from dappledrum.simulation.key_value_store import json_reply
from dappledrum.simulation.network import Network

MAX_LIST_LAGS = 2  # maximum age of the cloud's list, in multiples of its usual lag


@dataclass
class Attempt:
    """One attempt of a task, on a machine."""

    job: str
    task_number: int
    attempt_number: int
    state: str = "fetching"
    cause: str | None = None
    stored: bool = False
    progress: float = 0.0
    runner: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """The task's name on the wire."""
        return f"{self.job}/{self.task_number}"

    def status(self) -> dict[str, Any]:
        """The attempt as heartbeats report it."""
        return {
            "beat": self.name,
            "take": self.attempt_number,
            "stance": self.state,
            "cause": self.cause,
            "stored": self.stored,
        }


@dataclass
class Timing:
    """Intervals and limits of all workers, and the state that outlives their machines."""

    report_s: float
    lease_s: float
    faulty: set[str] = field(default_factory=set)  # machines on which every task fails
    gang_wait_s: float = 30.0
    gang_peer_s: float = 6.0
    step_s: float = 0.5  # resolution of a task's progress; longer steps are cheaper to simulate
    lease_step_s: float = 0.05  # interval of lease checks: how late a lease may end
    subnet: str = "10.1"  # of the workers' addresses
    # Attempts of each gang, by task, that have fetched their image, on any machine.
    gangs: dict[str, dict[int, "Attempt"]] = field(default_factory=dict)
    # Seconds of progress in the checkpoint of each task, which survives its machine.
    saved: dict[str, float] = field(default_factory=dict)


class Worker:
    """The worker of one machine, according to the protocol."""

    def __init__(
        self,
        name: str,
        kind: tuple[str, str, bool],
        size: dict[str, float],
        network: Network,
        rules: Invariants,
        timing: Timing,
        controllers: list[str],
        rng: random.Random,
    ) -> None:
        self.name, self.kind, self.size = name, kind, size
        number = int(name.rpartition("-")[2])
        self.address = f"{timing.subnet}.{number // 250}.{number % 250}:9000"
        network.services[name] = self._serve
        network.addresses[self.address] = name
        self.network, self.rules, self.timing, self.controllers, self.rng = (
            network,
            rules,
            timing,
            controllers,
            rng,
        )
        self.controller = rng.choice(controllers)
        self.session, self.sequence, self.token = 1, 0, 0
        self.attempts: dict[tuple[str, int], Attempt] = {}
        #: Attempts that were on the machine, ended, and are not known to it any more.
        self.forgotten: set[tuple[str, int]] = set()
        self.done: set[str] = set()
        self.images: set[str] = set()
        self.reclaim_at: float | None = None
        self.changed = asyncio.Event()
        self.hung = False
        self.lease_renewed_at = self.now()
        self.answered_at = self.now()  # last answered heartbeat; unchanged by a new session
        self.last_token_change = -1e9
        self.tasks = [
            asyncio.get_running_loop().create_task(coroutine)
            for coroutine in (self._heartbeat_loop(), self._lease_loop())
        ]

    @staticmethod
    def now() -> float:
        """Virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def _serve(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """Handle direct commands and inspections, which do not renew the lease."""
        while self.hung:
            await asyncio.sleep(0.1)
        if path == "/inspect":
            return json_reply(200, self._next_heartbeat())
        if path != "/do":
            return json_reply(404)
        command = json.loads(body)
        if "baton" not in command or "set" not in command:
            return json_reply(400)
        if command["baton"] < self.token or command["set"] != self.session:
            return json_reply(409, self._next_heartbeat())
        self._update_token(command["baton"])
        for call in command["calls"]:
            self._execute(call)
        return json_reply(200, self._next_heartbeat())

    def restarted(self) -> "Worker":
        """Start a new worker process on the machine, after the old one has ended with all its
        tasks; returns the new worker."""
        worker = Worker(
            self.name,
            self.kind,
            self.size,
            self.network,
            self.rules,
            self.timing,
            self.controllers,
            self.rng,
        )
        worker.reclaim_at = self.reclaim_at
        return worker

    def terminate(self) -> None:
        """End the worker and all its tasks; the cloud may still list the machine."""
        self.network.services.pop(self.name, None)
        for task in self.tasks:
            task.cancel()
        self._kill_all()

    def _kill_all(self) -> None:
        for attempt in self.attempts.values():
            self._end_attempt(attempt, completed=False)
        self.forgotten.update(self.attempts)
        self.attempts.clear()

    def _end_attempt(self, attempt: Attempt, completed: bool) -> None:
        if attempt.runner is not None:
            attempt.runner.cancel()
            attempt.runner = None
        members = self.timing.gangs.get(attempt.job, {})
        if members.get(attempt.task_number) is attempt:
            del members[attempt.task_number]
        if attempt.state in ("gathering", "running", "flushing"):
            self.rules.ended(self.name, attempt.job, attempt.task_number, completed)

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(self.timing.lease_step_s)
            # Also while it hangs: it may resume at any moment within its lease, but not after it.
            if self.now() > self.lease_renewed_at + self.timing.lease_s:
                self._kill_all()
                self.session += 1
                self.lease_renewed_at = self.now()
                self.changed.set()

    async def _heartbeat_loop(self) -> None:
        while True:
            pause = self.timing.report_s * self.rng.uniform(0.75, 1.25)
            self.changed.clear()
            await self._send_heartbeat()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(max(pause - 0.5, 0.001)):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _next_heartbeat(self) -> dict[str, Any]:
        """The machine's current state, with a new sequence number."""
        self.sequence += 1
        recall = None if self.reclaim_at is None else max(0.0, self.reclaim_at - self.now())
        return {
            "drum": self.name,
            "endpoint": self.address,
            "build": self.kind[0],
            "hall": self.kind[1],
            "loaners": self.kind[2],
            "set": self.session,
            "tick": self.sequence,
            "baton": self.token,
            "recallS": recall,
            "beats": [attempt.status() for attempt in self.attempts.values()],
        }

    async def _send_heartbeat(self) -> None:
        while self.hung:
            await asyncio.sleep(0.1)
        sent, session = self.now(), self.session
        body = self._next_heartbeat()
        link = self.network.caller(self.name, self.controller)
        try:
            answer = await link.request(
                "POST", "/hello", json.dumps(body).encode(), timedelta(seconds=4)
            )
        except NoResponseError:
            answer = Reply(599, b"{}")
        while self.hung:
            await asyncio.sleep(0.1)
        if self.now() - sent > 4:
            answer = Reply(599, b"{}")
        if answer.status == 200:
            self._accept(json.loads(answer.body), sent, session)
            return
        target = json.loads(answer.body).get("conductor") if answer.status == 421 else None
        if target in self.controllers and target != self.controller:
            self.controller = target
            self.changed.set()
            return
        await asyncio.sleep(1)
        self.controller = self.controllers[
            (self.controllers.index(self.controller) + 1) % len(self.controllers)
        ]
        self.changed.set()

    def _accept(self, answer: dict[str, Any], sent: float, session: int) -> None:
        if session != self.session or answer["baton"] < self.token:
            return
        self._update_token(answer["baton"])
        self.lease_renewed_at = max(self.lease_renewed_at, sent)
        self.answered_at = self.now()
        for call in answer["calls"]:
            self._execute(call)

    def _update_token(self, token: int) -> None:
        if token > self.token:
            self.token = token
            if self.now() - self.last_token_change > self.timing.lease_s / 2:
                self.last_token_change = self.now()
                self.changed.set()

    def _execute(self, call: dict[str, Any]) -> None:
        key = (call["beat"], call["take"])
        attempt = self.attempts.get(key)
        if call["call"] == "start" and attempt is None:
            job, _, number = call["beat"].rpartition("/")
            if key in self.forgotten:
                self.rules.start_repeated(self.now(), self.name, *key)
            attempt = self.attempts[key] = Attempt(job, int(number), call["take"])
            refusal = self._refusal(attempt)
            if refusal is not None:
                attempt.state, attempt.cause = "ended", refusal
            else:
                attempt.runner = asyncio.get_running_loop().create_task(self._run(attempt))
            self.changed.set()
        elif call["call"] == "stop" and attempt is not None and attempt.state != "ended":
            self._stop(attempt, call["fadeS"])
        elif call["call"] == "forget" and attempt is not None and attempt.state == "ended":
            del self.attempts[key]
            self.forgotten.add(key)
            self.changed.set()

    def free(self) -> Amount:
        """Free capacity; tasks that still fetch their image count as used."""
        left = Amount(self.size["vcpus"], self.size["accelerators"], self.size["memGb"])
        for attempt in self.attempts.values():
            if attempt.state != "ended":
                spec = self.rules.jobs[attempt.job].spec
                left = left.less(Amount(spec["vcpus"], spec["accelerators"], spec["memGb"]))
        return left

    def _stop(self, attempt: Attempt, fade_s: float) -> None:
        spec = self.rules.jobs[attempt.job].spec
        saves = spec["markEveryS"] > 0 and fade_s >= spec["markTakeS"]
        if attempt.state == "flushing" and fade_s > 0:
            return
        if attempt.state == "running" and saves:
            if attempt.runner is not None:
                attempt.runner.cancel()
            attempt.state = "flushing"
            saving = self._save(attempt, spec["markTakeS"])
            attempt.runner = asyncio.get_running_loop().create_task(saving)
        else:
            self._end_attempt(attempt, completed=False)
            attempt.state, attempt.cause = "ended", "stopped"
        self.changed.set()

    async def _save(self, attempt: Attempt, takes_s: float) -> None:
        await asyncio.sleep(takes_s)
        while self.hung:
            await asyncio.sleep(0.1)
        self.timing.saved[attempt.name] = attempt.progress
        attempt.stored = True
        self._finish(attempt, "stopped")

    def _refusal(self, new: Attempt) -> str | None:
        if new.job not in self.rules.jobs:
            return "unknown"
        active = [a for a in self.attempts.values() if a.state != "ended"]
        if any(a.name == new.name and a is not new for a in active):
            return "busy"
        for wire, amount in self.size.items():
            if sum(self.rules.jobs[a.job].spec[wire] for a in active) > amount + 1e-6:
                return "full"
        return None

    async def _run(self, attempt: Attempt) -> None:
        spec = self.rules.jobs[attempt.job].spec
        if spec["skin"] not in self.images:
            await asyncio.sleep(spec["pullGb"] / 1.0)
            self.images.add(spec["skin"])
        self.rules.started(self.now(), self.name, self.kind, attempt.job, attempt.task_number)
        gang = spec["form"] == "ensemble" and attempt.name not in self.done
        if gang:
            attempt.state = "gathering"
            self.changed.set()
            self.timing.gangs.setdefault(attempt.job, {})[attempt.task_number] = attempt
            waited_s = 0.0
            while not self._gathered(attempt.job):
                await asyncio.sleep(0.1)
                waited_s += 0.1
                if waited_s > self.timing.gang_wait_s:
                    self._finish(attempt, "alone")
                    return
        attempt.state = "running"
        self.changed.set()
        if self.name in self.timing.faulty or spec.get("broken"):
            await asyncio.sleep(1)
            cause = "error"
        elif spec["form"] == "service":
            await asyncio.sleep(1e6)
            cause = "done"
        else:
            run_s = spec["runS"]  # one value for all tasks, or a list with one for each
            run_s = run_s[attempt.task_number] if isinstance(run_s, list) else run_s
            attempt.progress = self.timing.saved.get(attempt.name, 0.0)
            left_s = 0.0 if attempt.name in self.done else run_s - attempt.progress
            missing_s = 0.0
            step_s = self.timing.step_s
            while left_s > 0:
                await asyncio.sleep(min(left_s, step_s))
                left_s -= 0.0 if self.hung else step_s
                attempt.progress += 0.0 if self.hung else step_s
                if spec["markEveryS"] > 0 and attempt.progress % spec["markEveryS"] == 0:
                    self.timing.saved[attempt.name] = attempt.progress
                missing_s = missing_s + step_s if gang and not self._gathered(attempt.job) else 0.0
                if missing_s > self.timing.gang_peer_s:
                    self._finish(attempt, "peers")
                    return
            cause = "done"
        self._finish(attempt, cause)

    def _gathered(self, job: str) -> bool:
        """Whether every task of a gang is on a machine with the same attempt number, or done."""
        members = self.timing.gangs.get(job, {})
        present = set(members) | self.rules.jobs[job].done
        same_attempt = len({attempt.attempt_number for attempt in members.values()}) <= 1
        return same_attempt and len(present) >= self.rules.jobs[job].spec["beats"]

    def _finish(self, attempt: Attempt, cause: str) -> None:
        attempt.runner = None
        self._end_attempt(attempt, completed=cause == "done")
        if cause == "done":
            self.done.add(attempt.name)
        attempt.state, attempt.cause = "ended", cause
        self.changed.set()


@dataclass
class RentedMachine:
    """A rented machine in the cloud."""

    name: str
    kind: tuple[str, str, bool]  # machine type, zone, whether it is a spot machine
    rented_at: float
    completes_boot: bool
    worker: Worker | None = None
    up_at: float = math.inf
    terminated_at: float = math.inf

    def listed_row(self, at: float) -> dict[str, Any] | None:
        """The machine's row in the cloud's list at some time, or None if it is not listed."""
        if not self.rented_at <= at < self.terminated_at:
            return None
        return {
            "id": self.name,
            "endpoint": "10.1.0.1:9000",
            "build": self.kind[0],
            "hall": self.kind[1],
            "loaners": self.kind[2],
            "stance": "running" if self.up_at <= at else "booting",
            "since": self.rented_at,
        }


class CloudService:
    """Rents machines, as the cloud's protocol describes it.

    The list lags, requests may be refused, and some machines never boot.
    """

    def __init__(
        self,
        types: list[dict[str, Any]],
        network: Network,
        rules: Invariants,
        timing: Timing,
        controllers: list[str],
        rng: random.Random,
        lag_s: float,
    ) -> None:
        self.types = types
        self.network, self.rules, self.timing, self.controllers, self.rng, self.lag_s = (
            network,
            rules,
            timing,
            controllers,
            rng,
            lag_s,
        )
        self.machines: dict[str, RentedMachine] = {}
        # The list may still show these.
        self.recently_terminated: list[RentedMachine] = []
        self.rentals: dict[str, list[str]] = {}  # machines by rental request: retries get the same
        self.max_machines = 12
        self.in_outage = False
        self.failing_boot_share = 0.0  # share of new machines that never boot
        self.boot_time_factor = 1.0
        self.last_number = 0  # number of the newest machine
        self.pending_restarts: list[asyncio.TimerHandle] = []

    async def __call__(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """Handle one request."""
        await asyncio.sleep(0.05)
        if self.in_outage:
            return json_reply(503, {"error": "trouble"})
        if path == "/catalog":
            return json_reply(200, {"builds": self.types})
        if path == "/rentals":
            return self._rent(json.loads(body))
        if path == "/rentals/return":
            for name in json.loads(body)["drums"]:
                self.terminate(name)
            return json_reply(200)
        return self._list()

    def _rent(self, request: dict[str, Any]) -> Reply:
        if request["hire"] in self.rentals:
            return json_reply(200, {"drums": self.rentals[request["hire"]]})
        count = min(request["number"], self.max_machines - len(self.machines))
        if count <= 0:
            return json_reply(503, {"error": "no capacity"})
        names = [
            self.add((request["build"], request["hall"], request["loaners"])) for _ in range(count)
        ]
        self.rentals[request["hire"]] = names
        return json_reply(200, {"drums": names})

    def add(self, kind: tuple[str, str, bool]) -> str:
        """Rent a machine, which starts to boot; returns its name."""
        self.last_number += 1
        name = f"host-{self.last_number:06d}"
        model = next(t for t in self.types if t["label"] == kind[0])
        machine = RentedMachine(
            name, kind, Worker.now(), self.rng.random() >= self.failing_boot_share
        )
        self.machines[name] = machine
        if machine.completes_boot:
            delay = model["readyS"] * self.rng.uniform(0.6, 1.5) * self.boot_time_factor
            asyncio.get_running_loop().call_later(delay, self._finish_boot, machine, model)
        return name

    def _finish_boot(self, machine: RentedMachine, model: dict[str, Any]) -> None:
        if machine.terminated_at < math.inf:
            return
        machine.up_at = Worker.now()
        size = {wire: model[wire] for wire in ("vcpus", "accelerators", "memGb")}
        machine.worker = self.make_worker(machine.name, machine.kind, size)

    def make_worker(
        self, name: str, kind: tuple[str, str, bool], size: dict[str, float]
    ) -> Worker:
        """Create the worker of a machine that has booted."""
        return Worker(
            name, kind, size, self.network, self.rules, self.timing, self.controllers, self.rng
        )

    def terminate(self, name: str) -> None:
        """Terminate a machine with all its tasks; ignored if it is not rented."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.terminated_at = Worker.now()
            if machine.worker is not None:
                machine.worker.terminate()
            oldest = Worker.now() - MAX_LIST_LAGS * self.lag_s
            self.recently_terminated = [
                one for one in self.recently_terminated if one.terminated_at > oldest
            ]
            self.recently_terminated.append(machine)

    def restart_later(self, delay_s: float, name: str, after_s: float) -> None:
        """Restart a machine's worker after some seconds, unless `cancel_restarts` is called."""
        loop = asyncio.get_running_loop()
        self.pending_restarts.append(loop.call_later(delay_s, self.restart, name, after_s))

    def cancel_restarts(self) -> None:
        """Cancel all restarts that have not begun."""
        for restart in self.pending_restarts:
            restart.cancel()
        self.pending_restarts.clear()

    def restart(self, name: str, after_s: float = 0.0) -> None:
        """End the worker of a machine with all its tasks; after some seconds a new process of the
        worker starts there. Ignored if none is running."""
        machine = self.machines.get(name)
        if machine is None or machine.worker is None:
            return
        former, machine.worker = machine.worker, None
        former.terminate()
        asyncio.get_running_loop().call_later(after_s, self._start_worker, machine, former)

    @staticmethod
    def _start_worker(machine: RentedMachine, former: Worker) -> None:
        if machine.terminated_at == math.inf:
            machine.worker = former.restarted()

    def workers(self) -> list[Worker]:
        """Workers of all machines that have booted."""
        return [m.worker for m in self.machines.values() if m.worker is not None]

    def free_machines(self) -> list[FreeMachine]:
        """Healthy machines without a reclaim notice, with their free capacity."""
        return [
            FreeMachine(worker.name, worker.kind, worker.free())
            for worker in self.workers()
            if not worker.hung
            and worker.reclaim_at is None
            and worker.name not in self.timing.faulty
        ]

    def _list(self) -> Reply:
        seen_at = Worker.now() - self.lag_s * self.rng.uniform(0.5, MAX_LIST_LAGS)
        machines = sorted(
            [*self.machines.values(), *self.recently_terminated], key=lambda machine: machine.name
        )
        rows = [row for machine in machines if (row := machine.listed_row(seen_at)) is not None]
        aged = [row | {"ageS": max(0.0, seen_at - row["since"])} for row in rows]
        return json_reply(200, {"drums": aged, "more": False})
