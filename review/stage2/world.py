"""Stand-ins of a small deployment on loopback, written from PROTOCOL and DEPLOY alone.

One process holds the state service, the cloud, its workers and the users, and starts the
controllers with the command of the deploy file. Only the standard library is used.
"""

import asyncio
import ctypes
import json
import os
import random
import shlex
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import TextIO

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LIMIT_S = 116.0  # a script is over before 120 s
BODY_LIMIT = 64 * 1024


def die_with_the_test() -> None:
    """Let the system kill this process when the test ends, however that ends."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)  # PR_SET_PDEATHSIG


class CannotRunError(Exception):
    """The case could not run: exit code 2."""


def free_port() -> int:
    """Return a port of the loopback address that is free now, below those of outgoing connections:
    one of these might take the port of a controller that is down."""
    for _ in range(200):
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise CannotRunError("no free port")


def compact(value: object) -> bytes:
    """Encode JSON without spaces."""
    return json.dumps(value, separators=(",", ":")).encode()


# HTTP/1.1


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one request or response: first line, headers, body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return head[0], headers, body


Reply = tuple[int, object] | None
Handler = Callable[[str, str, bytes], Awaitable[Reply]]


class HttpServer:
    """Serves one address; a handler that returns None sends no answer."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Address on which it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 24
        )

    def stop(self) -> None:
        """Stop listening and drop all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                reply = await self.handler(method, path, body)
                if reply is None:
                    return
                data = compact(reply[1])
                writer.write(
                    f"HTTP/1.1 {reply[0]} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Link:
    """Client connection to one address, kept open while it works."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, body: bytes = b"", timeout: float = 4.0
    ) -> tuple[int, dict[str, str], bytes] | None:
        """Send a request; None without an answer in time."""
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(method, path, body)
        except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
            return None

    async def _exchange(self, method: str, path: str, body: bytes) -> Reply:
        if self.streams is None:
            self.streams = await asyncio.open_connection(self.host, self.port, limit=1 << 24)
        reader, writer = self.streams
        writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: {self.host}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        line, headers, answer = await read_message(reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), headers, answer

    def close(self) -> None:
        """Drop the connection."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


# the state service


class Bucket:
    """Rate limit with a burst of one second's worth."""

    def __init__(self, rate: float) -> None:
        self.rate = self.level = rate
        self.at = time.monotonic()

    def take(self, count: int) -> bool:
        """Take some of the burst; False if too little is left."""
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < count:
            return False
        self.level -= count
        return True


class Store:
    """The state service."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.keys: dict[str, tuple[object, int, int | None]] = {}
        self.holds: dict[int, tuple[float, float]] = {}
        self.events: list[dict] = []
        self.tally = 0
        self.next_hold = 1
        self.down = False
        self.changed = asyncio.Condition()
        self.server = HttpServer(self.handle)

    async def run_holds(self) -> None:
        """End the leases that are not renewed."""
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.down:
                for hold in [h for h, (_, until) in self.holds.items() if now > until]:
                    await self.end_hold(hold)

    async def end_hold(self, hold: int) -> None:
        """End a lease and remove its keys."""
        self.holds.pop(hold, None)
        keys = [key for key, (_, _, owner) in self.keys.items() if owner == hold]
        if keys:
            await self.apply([{"remove": key} for key in keys])

    async def outage(self, for_s: float) -> None:
        """Answer 503 to everybody for some time."""
        self.down = True
        await asyncio.sleep(for_s)
        now = time.monotonic()
        self.holds = {hold: (life, now + life) for hold, (life, _) in self.holds.items()}
        self.down = False

    async def apply(self, changes: list[dict]) -> None:
        """Carry out changes as one revision."""
        self.tally += 1
        for change in changes:
            if "write" in change:
                key, value = change["write"], change["value"]
                self.keys[key] = (value, self.tally, change.get("hold"))
                self.events.append({"write": key, "value": value, "stamp": self.tally})
            elif self.keys.pop(change["remove"], None) is not None:
                self.events.append({"remove": change["remove"], "stamp": self.tally})
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Serve one request."""
        await asyncio.sleep(random.uniform(0.002, 0.008))
        if self.down or not self.requests.take(1):
            return (503 if self.down else 429), {}
        path, _, query = path.partition("?")
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        if path.startswith("/keys/"):
            return self.get(path[len("/keys/") :])
        if path == "/keys":
            return 200, self.listing(args)
        if path == "/multi":
            return await self.multi(json.loads(body))
        if path == "/watch":
            return await self.watch(args)
        return await self.hold(method, path, body)

    def get(self, key: str) -> Reply:
        """Read one key."""
        if key not in self.keys:
            return 404, {"tally": self.tally}
        value, stamp, hold = self.keys[key]
        return 200, {"key": key, "value": value, "stamp": stamp, "hold": hold}

    async def hold(self, method: str, path: str, body: bytes) -> Reply:
        """Open, renew or end a lease."""
        if path == "/holds":
            hold, self.next_hold = self.next_hold, self.next_hold + 1
            life = json.loads(body)["lifeMs"] / 1000
            self.holds[hold] = (life, time.monotonic() + life)
            return 200, {"hold": hold}
        number = int(path.split("/")[2])
        if number not in self.holds:
            return 404, {}
        if method == "DELETE":
            await self.end_hold(number)
        else:
            life = self.holds[number][0]
            self.holds[number] = (life, time.monotonic() + life)
        return 200, {}

    def listing(self, args: dict[str, str]) -> dict:
        """One page of keys."""
        prefix, start = args.get("prefix", ""), args.get("from", "")
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > start)
        pairs, size = [], 0
        for name in names[: min(int(args.get("page", "1000")), 1000)]:
            value, stamp, hold = self.keys[name]
            pair = {"key": name, "value": value, "stamp": stamp, "hold": hold}
            size += len(compact(pair)) + 1
            if size > 500 * 1024:
                break
            pairs.append(pair)
        return {"pairs": pairs, "more": len(pairs) < len(names), "tally": self.tally}

    async def multi(self, request: dict) -> Reply:
        """Execute a transaction."""
        changes = request.get("then") or []
        if changes and not self.writes.take(len(changes)):
            return 429, {}
        too_large = any(len(compact(c.get("value"))) > self.value_bytes for c in changes)
        if len(changes) > self.txn_ops or too_large:
            return 400, {"error": "too large"}
        if any(c.get("hold") is not None and c["hold"] not in self.holds for c in changes):
            return 400, {"error": "no such lease"}
        failed = [
            guard["key"]
            for guard in request.get("guards") or []
            if self.keys.get(guard["key"], (None, 0, None))[1] != guard["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "tally": self.tally}
        if changes:
            await self.apply(changes)
        return 200, {"tally": self.tally}

    async def watch(self, args: dict[str, str]) -> Reply:
        """Wait for changes."""
        prefix, start = args.get("prefix", ""), int(args["from"])
        until = time.monotonic() + int(args.get("waitMs", "0")) / 1000
        while True:
            events = [
                e
                for e in self.events[-10000:]
                if e["stamp"] > start and (e.get("write") or e["remove"]).startswith(prefix)
            ]
            left = until - time.monotonic()
            if not self.down and (events or left <= 0):
                return 200, {"tally": self.tally, "events": events}
            try:
                async with asyncio.timeout(max(0.05, left)), self.changed:
                    await self.changed.wait()
            except TimeoutError:
                pass


# the rules


class Rules:
    """What was sent, answered and run, and which rules were broken."""

    def __init__(self, record: TextIO, cancel_s: float) -> None:
        self.record, self.cancel_s = record, cancel_s
        self.began = time.monotonic()
        self.specs: dict[str, dict] = {}
        self.on: dict[tuple[str, int], set[str]] = {}
        self.done: dict[str, set[int]] = {}
        self.told: dict[str, set[str]] = {}
        self.cancelled_at: dict[str, float] = {}
        self.starts = 0
        self.broken: list[str] = []

    def log(self, text: str) -> None:
        """Write a line of the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def fail(self, text: str) -> None:
        """Note that a rule was broken."""
        self.broken.append(text)
        self.log(f"BROKEN {text}")

    def started(self, machine: "Worker", job: str, task: int) -> None:
        """Check the start of a task that has its image."""
        self.starts += 1
        where = self.on.setdefault((job, task), set())
        if where - {machine.name}:
            self.fail(f"ran_twice: {job}/{task} on {machine.name} while on {sorted(where)}")
        where.add(machine.name)
        at = self.cancelled_at.get(job)
        if at is not None and time.monotonic() > at + self.cancel_s:
            self.fail(f"ran_cancelled: {job}/{task} starts")
        for need in self.specs[job].get("waitsOn") or []:
            if len(self.done.get(need, ())) < self.specs[need]["beats"]:
                self.fail(f"too_early: {job}/{task} before {need}")

    def ended(self, machine: "Worker", job: str, task: int, completed: bool) -> None:
        """Note that a task has left its machine."""
        self.on.get((job, task), set()).discard(machine.name)
        if completed:
            self.done.setdefault(job, set()).add(task)

    def answer(self, job: str, status: int, stance: str | None) -> None:
        """Check an answer to a user about a job that was accepted before."""
        told = self.told.setdefault(job, set())
        if status in (400, 404, 422) and told:
            self.fail(f"forgotten: {status} for {job}, which was called {sorted(told)}")
        if stance is None:
            return
        for final in ("done", "cancelled"):
            if final in told and stance != final:
                self.fail(f"went_back: {job} is {stance} after {final}")
        if stance == "done" and len(self.done.get(job, ())) < self.specs[job]["beats"]:
            self.fail(f"not_done: {job} with {len(self.done.get(job, ()))} tasks done")
        if stance == "cancelled" and job not in self.cancelled_at:
            self.cancelled_at[job] = time.monotonic()
        told.add(stance)


# the cloud and its machines


class Attempt:
    """One attempt of a task on a machine."""

    def __init__(self, beat: str, take: int) -> None:
        self.beat, self.take = beat, take
        self.job, _, number = beat.rpartition("/")
        self.number = int(number)
        self.stance, self.cause = "fetching", None
        self.on_machine = False
        self.runner: asyncio.Task | None = None

    def status(self) -> dict:
        """The attempt as reports show it."""
        status = {"beat": self.beat, "take": self.take, "stance": self.stance}
        return status if self.cause is None else status | {"cause": self.cause}


class Worker:
    """The worker of one machine."""

    def __init__(self, world: "World", name: str, build: dict, hall: str, loaners: bool) -> None:
        self.world, self.name, self.build = world, name, build
        self.hall, self.loaners = hall, loaners
        self.server = HttpServer(self.direct)
        self.node = random.randrange(len(world.controllers))
        self.links: dict[str, Link] = {}
        self.tasks: list[asyncio.Task] = []
        self.cut = False  # neither reaches a controller nor is reached
        self.begin()

    def begin(self) -> None:
        """The state of a worker process that has just begun."""
        self.set, self.tick, self.baton = 1, 0, 0
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.images: dict[str, asyncio.Task] = {}
        self.answered = time.monotonic()
        self.wake = asyncio.Event()

    async def start(self) -> None:
        """The machine is up."""
        await self.server.start()
        self.launch()

    def launch(self) -> None:
        """Begin to report."""
        self.tasks = [asyncio.ensure_future(c) for c in (self.report_loop(), self.lease_loop())]

    def end(self) -> None:
        """The machine is gone, with all that was on it."""
        for task in self.tasks:
            task.cancel()
        self.kill_all()
        for link in self.links.values():
            link.close()
        self.server.stop()

    def restart(self) -> None:
        """The machine stops with all that is on it, and is back at once."""
        for task in self.tasks:
            task.cancel()
        self.kill_all()
        for link in self.links.values():
            link.close()
        self.begin()
        self.launch()

    def kill_all(self) -> None:
        """Kill and forget all tasks."""
        for attempt in self.attempts.values():
            self.leave(attempt, False)
        self.attempts = {}

    def leave(self, attempt: Attempt, completed: bool) -> None:
        """An attempt ends, for whatever reason."""
        if attempt.runner is not None and not completed:
            attempt.runner.cancel()
        if attempt.on_machine:
            attempt.on_machine = False
            self.world.rules.ended(self, attempt.job, attempt.number, completed)

    async def lease_loop(self) -> None:
        """End the session when the lease has run out."""
        while True:
            await asyncio.sleep(0.05)
            if time.monotonic() > self.answered + self.world.lease_s:
                self.world.rules.log(f"{self.name}: lease over, set {self.set} ends")
                self.kill_all()
                self.set += 1
                self.answered = time.monotonic()
                self.wake.set()

    def report(self) -> dict:
        """The next report."""
        self.tick += 1
        return {
            "drum": self.name,
            "endpoint": self.server.address,
            "build": self.build["label"],
            "hall": self.hall,
            "loaners": self.loaners,
            "set": self.set,
            "tick": self.tick,
            "baton": self.baton,
            "beats": [attempt.status() for attempt in self.attempts.values()],
        }

    async def report_loop(self) -> None:
        """Report at intervals and after changes."""
        while True:
            pause = self.world.report_s * random.uniform(*self.world.report_share)
            self.wake.clear()
            await self.send_report()
            await asyncio.sleep(0.5)
            try:
                async with asyncio.timeout(max(0.01, pause - 0.5)):
                    await self.wake.wait()
            except TimeoutError:
                pass

    async def send_report(self) -> None:
        """Send one report and do what its answer says."""
        names = list(self.world.controllers)
        name = names[self.node]
        sent, session = time.monotonic(), self.set
        body = compact(self.report())
        if self.cut:
            await asyncio.sleep(4)
            answer = None
        else:
            address = self.world.controllers[name].serve_on
            link = self.links.setdefault(name, Link(address))
            answer = await link.request("POST", "/hello", body, 4.0)
        if self.cut:
            answer = None
        self.world.note_report(self, len(body), None if answer is None else answer[0])
        if answer is not None and answer[0] == 200:
            self.accept(json.loads(answer[2]), sent, session)
            return
        if answer is not None and answer[0] == 421:
            self.links[name].close()
            conductor = json.loads(answer[2]).get("conductor")
            if conductor in names and conductor != name:
                self.node = names.index(conductor)
                self.wake.set()
                return
        await asyncio.sleep(1)
        self.node = (self.node + 1) % len(names)
        self.wake.set()

    def accept(self, answer: dict, sent: float, session: int) -> None:
        """Carry out the answer to a report."""
        if session != self.set or answer.get("baton", -1) < self.baton:
            return
        if answer["baton"] > self.baton:
            self.baton = answer["baton"]
            self.wake.set()
        self.answered = max(self.answered, sent)
        for call in answer["calls"]:
            self.execute(call)

    async def direct(self, _method: str, path: str, body: bytes) -> Reply:
        """Serve direct commands and inspections."""
        if self.cut:
            return None
        if path == "/inspect":
            return 200, self.report()
        command = json.loads(body)
        if "baton" not in command or "set" not in command:
            return 400, {}
        if command["baton"] < self.baton or command["set"] != self.set:
            return 409, self.report()
        self.baton = command["baton"]
        for call in command["calls"]:
            self.execute(call)
        return 200, self.report()

    def execute(self, call: dict) -> None:
        """Carry out one command."""
        key = (call["beat"], call["take"])
        attempt = self.attempts.get(key)
        if call["call"] == "start" and attempt is None:
            self.begin_attempt(call["beat"], call["take"])
        elif call["call"] == "stop" and attempt is not None and attempt.stance != "ended":
            self.finish(attempt, "stopped")
        elif call["call"] == "forget" and attempt is not None and attempt.stance == "ended":
            del self.attempts[key]
            self.wake.set()

    def begin_attempt(self, beat: str, take: int) -> None:
        """Start an attempt, or refuse it."""
        active = [a for a in self.attempts.values() if a.stance != "ended"]
        attempt = self.attempts[beat, take] = Attempt(beat, take)
        self.wake.set()
        spec = self.world.rules.specs.get(attempt.job)
        cause = None
        if spec is None:
            cause = "unknown"
        elif any(a.beat == beat for a in active):
            cause = "busy"
        else:
            for field in ("vcpus", "accelerators", "memGb"):
                used = sum(self.world.rules.specs[a.job][field] for a in active)
                if used + spec[field] > self.build[field] + 1e-6:
                    cause = "full"
        if cause is not None:
            attempt.stance, attempt.cause = "ended", cause
            self.world.rules.log(f"{self.name}: {beat} take {take} refused: {cause}")
            return
        attempt.runner = asyncio.ensure_future(self.run(attempt, spec))

    async def run(self, attempt: Attempt, spec: dict) -> None:
        """Fetch the image, then run."""
        if spec["skin"] not in self.images:
            fetch = asyncio.sleep(spec["pullGb"] / self.build["fetchGbPerS"])
            self.images[spec["skin"]] = asyncio.ensure_future(fetch)
        await asyncio.shield(self.images[spec["skin"]])
        attempt.on_machine = True
        attempt.stance = "running"
        self.world.rules.started(self, attempt.job, attempt.number)
        self.world.note_start(self, attempt)
        self.wake.set()
        run_s = self.world.run_s(spec, attempt.number)
        if attempt.number in self.world.rules.done.get(attempt.job, ()):
            run_s = 0.0
        if attempt.job in self.world.broken_jobs:
            await asyncio.sleep(1)
            self.finish(attempt, "error")
            return
        await asyncio.sleep(run_s)
        self.finish(attempt, "done")

    def finish(self, attempt: Attempt, cause: str) -> None:
        """End an attempt; it stays in the reports."""
        self.leave(attempt, cause == "done")
        attempt.stance, attempt.cause = "ended", cause
        self.wake.set()


class Cloud:
    """Rents machines; the list is late by its lag."""

    def __init__(self, world: "World", builds: list[dict], capacity: int, lag_s: float) -> None:
        self.world, self.builds, self.capacity, self.lag_s = world, builds, capacity, lag_s
        self.machines: dict[str, Worker] = {}
        self.rented: dict[str, tuple[float, dict]] = {}
        self.hires: dict[str, list[str]] = {}
        self.history: list[tuple[float, list[dict]]] = []
        self.count = 0
        self.boot_s = 1.5
        self.cheap_capacity = capacity  # of the machines that may be taken back
        self.server = HttpServer(self.handle)

    def snapshot(self) -> None:
        """Keep the present list, which is shown later."""
        now = time.monotonic()
        rows = [
            row | {"stance": "running" if name in self.machines else "booting", "at": at}
            for name, (at, row) in sorted(self.rented.items())
        ]
        self.history.append((now, rows))

    async def handle(self, method: str, path: str, body: bytes) -> Reply:
        """Serve one request."""
        await asyncio.sleep(random.uniform(0.05, 0.15))
        path, _, query = path.partition("?")
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/rentals" and method == "POST":
            return self.rent(json.loads(body))
        if path == "/rentals/return":
            names = json.loads(body)["drums"]
            for name in names:
                self.drop(name)
            self.world.rules.log(f"cloud: returned {names}")
            return 200, {}
        args = dict(part.partition("=")[::2] for part in query.split("&") if part)
        seen = time.monotonic() - self.lag_s
        rows = next((rows for at, rows in reversed(self.history) if at <= seen), [])
        rows = [row for row in rows if row["id"] > args.get("from", "")]
        size = min(500, int(args.get("page", "500")))
        drums = [
            {k: v for k, v in row.items() if k != "at"} | {"ageS": max(0.0, seen - row["at"])}
            for row in rows[:size]
        ]
        return 200, {"drums": drums, "more": len(rows) > size}

    def rent(self, request: dict) -> Reply:
        """Rent machines."""
        if request["hire"] in self.hires:
            return 200, {"drums": self.hires[request["hire"]]}
        count = min(request["number"], self.capacity - len(self.rented))
        if request["loaners"]:
            cheap = sum(row["loaners"] for _, row in self.rented.values())
            count = min(count, self.cheap_capacity - cheap)
        if count <= 0:
            return 503, {"error": "no capacity"}
        build = next(b for b in self.builds if b["label"] == request["build"])
        names = [self.add(build, request["hall"], request["loaners"]) for _ in range(count)]
        self.hires[request["hire"]] = names
        self.world.rules.log(f"cloud: rented {names} as {request['hire']}")
        return 200, {"drums": names}

    def add(self, build: dict, hall: str, loaners: bool) -> str:
        """Rent one machine, which boots."""
        self.count += 1
        name = f"host-{self.count:06d}"
        worker = Worker(self.world, name, build, hall, loaners)
        row = {
            "id": name,
            "endpoint": worker.server.address,
            "build": build["label"],
            "hall": hall,
            "loaners": loaners,
        }
        self.rented[name] = (time.monotonic(), row)
        self.snapshot()
        self.world.background(self.boot(name, worker))
        return name

    async def boot(self, name: str, worker: Worker) -> None:
        """Bring a machine up."""
        await asyncio.sleep(self.boot_s)
        if name in self.rented:
            await worker.start()
            self.machines[name] = worker
            self.snapshot()

    def drop(self, name: str) -> None:
        """A machine is gone with all that was on it."""
        self.rented.pop(name, None)
        worker = self.machines.pop(name, None)
        if worker is not None:
            worker.end()
        self.snapshot()


# the controllers


class Controller:
    """One controller process."""

    def __init__(self, name: str, location: str) -> None:
        self.name, self.location = name, location
        self.serve_on = f"127.0.0.1:{free_port()}"
        self.back = f"127.0.0.1:{free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.path = Path()
        self.log = Path()

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "service.toml").read_text())
        command = [*shlex.split(deploy["run"]), str(self.path)]
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"LOG_LEVEL": "info"},
                start_new_session=True,
                preexec_fn=die_with_the_test,
            )

    def signal(self, number: int) -> None:
        """Send a signal if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()


DEFAULTS = {
    "report_s": 1.0,
    "lease_s": 11.0,
    "cancel_s": 41.0,
    "rps": 80.0,
    "write_rps": 30.0,
    "value_kb": 8.0,
    "txn_ops": 24,
    "cloud_rps": 1.5,
    "list_lag_s": 8.0,
    "capacity": 28,
    "halls": ["hervanta", "keskusta", "lielahti"],
    "team": "tulosryhma",
    "more_teams": [],
}
#: The machine types of tulos-tampere.
KUUSI = {
    "label": "kuusi",
    "vcpus": 8.0,
    "accelerators": 0.0,
    "memGb": 16.0,
    "cacheGb": 60.0,
    "fetchGbPerS": 1.0,
    "hourly": 0.5,
    "marketPrice": 0.11,
    "readyS": 15.0,
    "halls": ["hervanta", "keskusta", "lielahti"],
}
HONKA = KUUSI | {
    "label": "honka",
    "vcpus": 64.0,
    "memGb": 128.0,
    "cacheGb": 40.0,
    "hourly": 3.86,
    "marketPrice": 0.84,
    "readyS": 25.0,
}


class World:
    """A whole small deployment."""

    def __init__(self, case: Path, builds: list[dict] | None = None, **changes: object) -> None:
        config = DEFAULTS | changes
        self.config = config
        self.report_s, self.lease_s = config["report_s"], config["lease_s"]
        self.directory = Path(tempfile.mkdtemp(prefix="review-"))
        self.record = (case / "record.txt").open("w")
        self.rules = Rules(self.record, config["cancel_s"])
        self.store = Store(
            config["rps"], config["write_rps"], config["value_kb"], config["txn_ops"]
        )
        self.cloud = Cloud(
            self, builds or [KUUSI, HONKA], config["capacity"], config["list_lag_s"]
        )
        halls = config["halls"]
        self.controllers = {
            f"n-{i}": Controller(f"n-{i}", halls[i % len(halls)]) for i in range(3)
        }
        self.jobs: set[asyncio.Task] = set()
        self.report_share = (0.75, 1.25)  # "with up to a quarter more or less"
        self.broken_jobs: set[str] = set()  # submitted with a mistake: fail on every machine
        self.largest_report = 0
        self.refused_reports = 0

    def background(self, coroutine: Coroutine) -> asyncio.Task:
        """Run something beside the case."""
        task = asyncio.ensure_future(coroutine)
        self.jobs.add(task)
        task.add_done_callback(self.jobs.discard)
        return task

    def run_s(self, spec: dict, _number: int) -> float:
        """How long a task runs; cases may replace it."""
        return spec["expectedS"]

    def note_start(self, worker: Worker, attempt: Attempt) -> None:
        """Called when a task begins to run."""
        self.rules.log(f"{worker.name} set {worker.set}: {attempt.beat} take {attempt.take} runs")

    def note_report(self, worker: Worker, size: int, status: int | None) -> None:
        """Called for each report with its answer's status."""
        self.largest_report = max(self.largest_report, size)
        if status not in (200, 421, None):
            self.refused_reports += 1
            self.rules.log(f"{worker.name}: report of {size} bytes answered {status}")

    def settings(self, controller: Controller) -> dict:
        """Settings of one controller, as DEPLOY has them."""
        config = self.config
        return {
            "member": controller.name,
            "location": controller.location,
            "serve_on": controller.serve_on,
            "back": controller.back,
            "seeds": [
                {"member": other.name, "location": other.location, "endpoint": other.back}
                for other in self.controllers.values()
                if other is not controller
            ],
            "external": {
                "cloud": self.cloud.server.address,
                "state": self.store.server.address,
            },
            "params": {
                "initial_size": 0,
                "zones": config["halls"],
                "teams": [{"name": config["team"]}, *config["more_teams"]],
                "objectives": [],
                "workers": {
                    "report_s": self.report_s,
                    "lease_s": self.lease_s,
                    "cancel_s": config["cancel_s"],
                },
                "state": {k: config[k] for k in ("rps", "write_rps", "value_kb", "txn_ops")},
                "cloud": {"rps": config["cloud_rps"], "list_lag_s": config["list_lag_s"]},
                "machine_limits": {"cpu": 0.5, "memory_mb": 106.0, "max_sockets": 600},
                "clock_off_ms": 1000.0,
            },
        }

    async def start(self) -> None:
        """Start everything."""
        await self.store.server.start()
        await self.cloud.server.start()
        self.background(self.store.run_holds())
        for controller in self.controllers.values():
            controller.path = self.directory / f"{controller.name}.json"
            controller.log = self.directory / f"{controller.name}.log"
            controller.path.write_text(json.dumps(self.settings(controller)))
            await controller.start()

    async def stop(self) -> None:
        """End everything that was started."""
        for controller in self.controllers.values():
            await controller.kill()
        for name in list(self.cloud.machines):
            self.cloud.machines[name].end()
        for task in list(self.jobs):
            task.cancel()
        self.store.server.stop()
        self.cloud.server.stop()
        await asyncio.sleep(0.1)
        self.record.close()
        if not os.environ.get("KEEP"):
            for path in self.directory.iterdir():
                path.unlink()
            self.directory.rmdir()

    def leader(self) -> Controller | None:
        """The controller that the state service's workers have obeyed last, by its own log."""
        newest: tuple[float, Controller] | None = None
        for controller in self.controllers.values():
            text = controller.log.read_text(errors="replace")
            epochs = [
                int(line.partition("leading with epoch ")[2].split(" ")[0])
                for line in text.splitlines()
                if "WARNING" in line and ": leading with epoch " in line
            ]
            if epochs and (newest is None or epochs[-1] > newest[0]):
                newest = (epochs[-1], controller)
        return None if newest is None else newest[1]

    async def until(self, condition: Callable[[], object], timeout_s: float, what: str) -> None:
        """Wait for a condition; the case can't run if it does not come."""
        end = time.monotonic() + timeout_s
        while not condition():
            if time.monotonic() > end:
                raise CannotRunError(f"not within {timeout_s:g} s: {what}")
            await asyncio.sleep(0.02)

    async def ready(self) -> None:
        """Wait until every controller is ready."""
        end = time.monotonic() + 20
        for controller in self.controllers.values():
            link = Link(controller.serve_on)
            while (answer := await link.request("GET", "/ready", timeout=1.0)) is None or answer[
                0
            ] != 200:
                if time.monotonic() > end:
                    raise CannotRunError(f"{controller.name} is not ready")
                await asyncio.sleep(0.2)
            link.close()

    # users

    def job(self, number: int, **changes: object) -> dict:
        """A submission."""
        spec = {
            "id": f"j-{number:06d}",
            "pattern": "ottelusyote",
            "crew": self.config["team"],
            "form": "batch",
            "urgency": "standard",
            "beats": 1,
            "vcpus": 2.0,
            "accelerators": 0.0,
            "memGb": 3.3,
            "skin": "img-1",
            "pullGb": 0.2,
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
        return spec | changes

    async def ask(
        self, method: str, path: str, body: bytes = b"", timeout: float = 2.0, node: str = ""
    ) -> tuple[int, dict] | None:
        """Send one request to a node over a new connection, as through the load balancer."""
        name = node or random.choice(list(self.controllers))
        link = Link(self.controllers[name].serve_on)
        answer = await link.request(method, path, body, timeout)
        link.close()
        shown = "no answer" if answer is None else f"{answer[0]} {answer[2][:120].decode()}"
        self.rules.log(f"user: {method} {path} at {name}: {shown}")
        if answer is None:
            return None
        try:
            return answer[0], json.loads(answer[2])
        except ValueError:
            return answer[0], {}

    async def submit(self, spec: dict, for_s: float = 60.0) -> bool:
        """Submit a job until it is accepted."""
        self.rules.specs[spec["id"]] = spec
        body = compact(spec)
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            answer = await self.ask("POST", "/submissions", body, 5.0)
            if answer is not None and answer[0] in (200, 201, 400, 422):
                self.rules.answer(spec["id"], answer[0], answer[1].get("stance"))
                return answer[0] in (200, 201)
            await asyncio.sleep(1)
        return False

    async def poll(self, job: str, node: str = "") -> str | None:
        """Ask once for the state of a job."""
        answer = await self.ask("GET", f"/submissions/{job}", node=node)
        if answer is None:
            return None
        self.rules.answer(job, answer[0], answer[1].get("stance"))
        return answer[1].get("stance")

    async def cancel(self, job: str, for_s: float = 60.0) -> str | None:
        """Cancel a job until that is answered."""
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            answer = await self.ask("POST", f"/submissions/{job}/cancel", b"{}", 5.0)
            if answer is not None and answer[0] == 200:
                self.rules.answer(job, 200, answer[1].get("stance"))
                return answer[1].get("stance")
            await asyncio.sleep(1)
        return None


def main(case: str, play: Callable[[World], Awaitable[None]], **changes: object) -> None:
    """Run one case: exit code 1 if a rule was broken, 0 if not, 2 if it could not run."""
    signal.alarm(119)  # whatever happens; the controllers end with this process
    folder = Path(case).resolve().parent
    if not (ROOT / "target" / "deps").is_dir():
        print("target/deps is missing: run the build first")
        sys.exit(2)

    async def run() -> int:
        world = World(folder, **changes)
        code = 2
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            task = asyncio.current_task()
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                await world.start()
                await world.ready()
                await play(world)
                code = 1 if world.rules.broken else 0
        except CannotRunError as error:
            world.rules.log(f"the case could not run: {error}")
        except TimeoutError:
            world.rules.log("the case could not run: it took too long")
        finally:
            world.rules.log(f"result: exit code {code}, trouble={TROUBLE}")
            await world.stop()
        print(f"{folder.name}: exit code {code}; {'; '.join(world.rules.broken[:3])}")
        return code

    try:
        sys.exit(asyncio.run(run()))
    except asyncio.CancelledError:
        sys.exit(2)
