"""The cloud and the workers on its machines."""

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
from dappledrum.simulation.key_value_store import reply
from dappledrum.simulation.network import Network

LIST_LAGS = 2  # the list is older than its usual age by so much at the most


@dataclass
class Attempt:
    """A task on a machine."""

    job: str
    number: int
    take: int
    state: str = "fetching"
    cause: str | None = None
    stored: bool = False
    progress: float = 0.0
    runner: asyncio.Task[None] | None = None

    @property
    def name(self) -> str:
        """Name on the wire."""
        return f"{self.job}/{self.number}"

    def status(self) -> dict[str, Any]:
        """As heartbeats show it."""
        return {
            "beat": self.name,
            "take": self.take,
            "stance": self.state,
            "cause": self.cause,
            "stored": self.stored,
        }


@dataclass
class Timing:
    """How workers behave."""

    report_s: float
    lease_s: float
    faulty: set[str] = field(default_factory=set)  # machines on which every task fails
    gang_wait_s: float = 30.0
    gang_peer_s: float = 6.0
    step_s: float = 0.5  # in which a task's progress grows; longer ones cost less to play
    lease_step_s: float = 0.05  # how late the end of a lease may be seen
    subnet: str = "10.1"  # of the workers' addresses
    # Members of each gang that have their image and are on some machine, wherever it is.
    gangs: dict[str, dict[int, "Attempt"]] = field(default_factory=dict)
    # Seconds of progress that tasks have saved, outside their machines.
    saved: dict[str, float] = field(default_factory=dict)


class Worker:
    """The worker of one machine, as the protocol describes it."""

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
        self.done: set[str] = set()
        self.images: set[str] = set()
        self.reclaim_at: float | None = None
        self.changed = asyncio.Event()
        self.hung = False
        self.renewed = self.now()
        self.answered = self.now()  # unlike the lease, not begun anew with a session
        self.last_token_change = -1e9
        self.tasks = [
            asyncio.get_running_loop().create_task(x)
            for x in (self._heartbeat_loop(), self._lease_loop())
        ]

    @staticmethod
    def now() -> float:
        """Virtual time."""
        return asyncio.get_running_loop().time()

    async def _serve(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """Direct commands and questions, which renew no lease."""
        while self.hung:
            await asyncio.sleep(0.1)
        if path == "/inspect":
            return reply(200, self._next_heartbeat())
        if path != "/do":
            return reply(404)
        command = json.loads(body)
        if "baton" not in command or "set" not in command:
            return reply(400)
        if command["baton"] < self.token or command["set"] != self.session:
            return reply(409, self._next_heartbeat())
        self._see_token(command["baton"])
        for call in command["calls"]:
            self._execute(call)
        return reply(200, self._next_heartbeat())

    def begin_anew(self) -> "Worker":
        """The worker's process has ended, with all its tasks; the next one of the machine."""
        return Worker(
            self.name,
            self.kind,
            self.size,
            self.network,
            self.rules,
            self.timing,
            self.controllers,
            self.rng,
        )

    def vanish(self) -> None:
        """The machine is gone."""
        self.network.services.pop(self.name, None)
        for task in self.tasks:
            task.cancel()
        self._kill_all()

    def _kill_all(self) -> None:
        for attempt in self.attempts.values():
            self._leave(attempt, completed=False)
        self.attempts.clear()

    def _leave(self, attempt: Attempt, completed: bool) -> None:
        if attempt.runner is not None:
            attempt.runner.cancel()
            attempt.runner = None
        members = self.timing.gangs.get(attempt.job, {})
        if members.get(attempt.number) is attempt:
            del members[attempt.number]
        if attempt.state in ("gathering", "running", "flushing"):
            self.rules.ended(self.name, attempt.job, attempt.number, completed)

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(self.timing.lease_step_s)
            # Also while it hangs: it may go on at any moment within its lease, not after it.
            if self.now() > self.renewed + self.timing.lease_s:
                self._kill_all()
                self.session += 1
                self.renewed = self.now()
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
        """The machine as it is now, under a number of its own."""
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
        self._see_token(answer["baton"])
        self.renewed = max(self.renewed, sent)
        self.answered = self.now()
        for call in answer["calls"]:
            self._execute(call)

    def _see_token(self, token: int) -> None:
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
            self.changed.set()

    def free(self) -> Amount:
        """What no task takes of the machine, fetching ones included."""
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
            self._leave(attempt, completed=False)
            attempt.state, attempt.cause = "ended", "stopped"
        self.changed.set()

    async def _save(self, attempt: Attempt, takes_s: float) -> None:
        await asyncio.sleep(takes_s)
        while self.hung:
            await asyncio.sleep(0.1)
        self.timing.saved[attempt.name] = attempt.progress
        attempt.stored = True
        self._exit(attempt, "stopped")

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
        self.rules.started(self.now(), self.name, self.kind, attempt.job, attempt.number)
        gang = spec["form"] == "ensemble" and attempt.name not in self.done
        if gang:
            attempt.state = "gathering"
            self.changed.set()
            self.timing.gangs.setdefault(attempt.job, {})[attempt.number] = attempt
            waited = 0.0
            while not self._gathered(attempt.job):
                await asyncio.sleep(0.1)
                waited += 0.1
                if waited > self.timing.gang_wait_s:
                    self._exit(attempt, "alone")
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
            run_s = spec["runS"]  # of all tasks, or of each
            run_s = run_s[attempt.number] if isinstance(run_s, list) else run_s
            attempt.progress = self.timing.saved.get(attempt.name, 0.0)
            left = 0.0 if attempt.name in self.done else run_s - attempt.progress
            missing = 0.0
            step = self.timing.step_s
            while left > 0:
                await asyncio.sleep(min(left, step))
                left -= 0.0 if self.hung else step
                attempt.progress += 0.0 if self.hung else step
                if spec["markEveryS"] > 0 and attempt.progress % spec["markEveryS"] == 0:
                    self.timing.saved[attempt.name] = attempt.progress
                missing = missing + step if gang and not self._gathered(attempt.job) else 0.0
                if missing > self.timing.gang_peer_s:
                    self._exit(attempt, "peers")
                    return
            cause = "done"
        self._exit(attempt, cause)

    def _gathered(self, job: str) -> bool:
        """Every member of a gang is on a machine, or has completed."""
        members = self.timing.gangs.get(job, {})
        here = set(members) | self.rules.jobs[job].done
        same = len({attempt.take for attempt in members.values()}) <= 1
        return same and len(here) >= self.rules.jobs[job].spec["beats"]

    def _exit(self, attempt: Attempt, cause: str) -> None:
        attempt.runner = None
        self._leave(attempt, completed=cause == "done")
        if cause == "done":
            self.done.add(attempt.name)
        attempt.state, attempt.cause = "ended", cause
        self.changed.set()


@dataclass
class Rented:
    """A machine as the cloud sees it."""

    name: str
    kind: tuple[str, str, bool]
    since: float
    boots: bool
    worker: Worker | None = None
    up_at: float = math.inf
    gone_at: float = math.inf

    def row(self, at: float) -> dict[str, Any] | None:
        """As the list shows it at some moment, or None when it does not."""
        if not self.since <= at < self.gone_at:
            return None
        return {
            "id": self.name,
            "endpoint": "10.1.0.1:9000",
            "build": self.kind[0],
            "hall": self.kind[1],
            "loaners": self.kind[2],
            "stance": "running" if self.up_at <= at else "booting",
            "since": self.since,
        }


class CloudService:
    """Rents machines.

    The list lags; requests may be refused; some machines never come up.
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
        self.machines: dict[str, Rented] = {}
        self.gone: list[Rented] = []  # not long ago: the list may still show them
        self.answers: dict[str, list[str]] = {}
        self.most = 12
        self.out = False
        self.stalled = 0.0  # share of machines that never come up
        self.slow = 1.0  # factor on boots
        self.next = 0

    async def __call__(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """One request."""
        await asyncio.sleep(0.05)
        if self.out:
            return reply(503, {"error": "trouble"})
        if path == "/catalog":
            return reply(200, {"builds": self.types})
        if path == "/rentals":
            return self._rent(json.loads(body))
        if path == "/rentals/return":
            for name in json.loads(body)["drums"]:
                self.take(name)
            return reply(200)
        return self._list()

    def _rent(self, request: dict[str, Any]) -> Reply:
        if request["hire"] in self.answers:
            return reply(200, {"drums": self.answers[request["hire"]]})
        count = min(request["number"], self.most - len(self.machines))
        if count <= 0:
            return reply(503, {"error": "no capacity"})
        names = [
            self.add((request["build"], request["hall"], request["loaners"])) for _ in range(count)
        ]
        self.answers[request["hire"]] = names
        return reply(200, {"drums": names})

    def add(self, kind: tuple[str, str, bool]) -> str:
        """A new machine, booting."""
        self.next += 1
        name = f"host-{self.next:06d}"
        model = next(t for t in self.types if t["label"] == kind[0])
        machine = Rented(name, kind, Worker.now(), self.rng.random() >= self.stalled)
        self.machines[name] = machine
        if machine.boots:
            delay = model["readyS"] * self.rng.uniform(0.6, 1.5) * self.slow
            asyncio.get_running_loop().call_later(delay, self._up, machine, model)
        return name

    def _up(self, machine: Rented, model: dict[str, Any]) -> None:
        if machine.gone_at < math.inf:
            return
        machine.up_at = Worker.now()
        size = {wire: model[wire] for wire in ("vcpus", "accelerators", "memGb")}
        machine.worker = self.make_worker(machine.name, machine.kind, size)

    def make_worker(
        self, name: str, kind: tuple[str, str, bool], size: dict[str, float]
    ) -> Worker:
        """The worker of a machine that is up."""
        return Worker(
            name, kind, size, self.network, self.rules, self.timing, self.controllers, self.rng
        )

    def take(self, name: str) -> None:
        """A machine is gone, with all that is on it."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.gone_at = Worker.now()
            if machine.worker is not None:
                machine.worker.vanish()
            oldest = Worker.now() - LIST_LAGS * self.lag_s
            self.gone = [one for one in self.gone if one.gone_at > oldest]
            self.gone.append(machine)

    def workers(self) -> list[Worker]:
        """Workers that are up."""
        return [m.worker for m in self.machines.values() if m.worker is not None]

    def free_machines(self) -> list[FreeMachine]:
        """Machines that are up and well, with what is free on them."""
        return [
            FreeMachine(worker.name, worker.kind, worker.free())
            for worker in self.workers()
            if not worker.hung
            and worker.reclaim_at is None
            and worker.name not in self.timing.faulty
        ]

    def _list(self) -> Reply:
        seen_at = Worker.now() - self.lag_s * self.rng.uniform(0.5, LIST_LAGS)
        machines = sorted([*self.machines.values(), *self.gone], key=lambda one: one.name)
        rows = [row for one in machines if (row := one.row(seen_at)) is not None]
        aged = [row | {"ageS": max(0.0, seen_at - row["since"])} for row in rows]
        return reply(200, {"drums": aged, "more": False})
