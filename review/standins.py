"""Stand-ins for the platform of a small deployment: state service, cloud, workers, TCP proxy.

They follow PROTOCOL and need nothing but the standard library. All of them run in the process of
the test; only the controllers are processes of their own.
"""

import asyncio
import contextlib
import json
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

HOST = "127.0.0.1"
Answer = tuple[int, Any] | None  # status and JSON body; None: no answer at all
Handler = Callable[[str, str, bytes], Awaitable[Answer]]


def now() -> float:
    """Steady time in seconds."""
    return time.monotonic()


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Read one HTTP message: first line, headers in lower case, body; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return first, headers, body


class Server:
    """HTTP server on a free loopback port."""

    def __init__(self, handler: Handler) -> None:
        self.handler = handler
        self.port = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> "Server":
        """Start to serve."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, path, _ = first.split(" ", 2)
                answer = await self.handler(method, path, body)
                if answer is None:
                    await reader.read()  # until the client gives up
                    return
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                head += f"Content-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass  # the client is gone, or the test ends
        finally:
            writer.close()


class Client:
    """HTTP client with one kept connection to one address."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def request(
        self, method: str, path: str, body: object = None, timeout: float = 5.0
    ) -> tuple[int, Any] | None:
        """Send a request; None if there is no answer."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(method, path, data)
        except (TimeoutError, ConnectionError, OSError, ValueError):
            self.close()
            return None
        except asyncio.CancelledError:
            self.close()
            raise

    async def _exchange(self, method: str, path: str, data: bytes) -> tuple[int, Any]:
        if self._streams is not None and self._streams[0].at_eof():
            self.close()
        if self._streams is None:
            self._streams = await asyncio.open_connection(self.host, self.port, limit=1 << 20)
        reader, writer = self._streams
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
        writer.write(head.encode() + data)
        message = await read_message(reader)
        if message is None:
            raise ConnectionError
        first, headers, body = message
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(first.split(" ")[1]), json.loads(body or b"{}")

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None


class Proxy:
    """TCP proxy in front of one address; `open` says whether bytes pass now.

    While it is not open, connections are accepted and stay silent; what was sent is held back and
    delivered in order later, as PROTOCOL, "Delayed messages", says.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.port = 0
        self.passing = asyncio.Event()
        self.passing.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """IP number and port."""
        return f"{HOST}:{self.port}"

    async def start(self) -> "Proxy":
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await self.passing.wait()
            host, _, port = self.target.rpartition(":")
            try:
                there_reader, there_writer = await asyncio.open_connection(host, int(port))
            except OSError:
                writer.transport.abort()
                return
            self._writers.add(there_writer)
            await asyncio.gather(
                self._copy(reader, there_writer), self._copy(there_reader, writer)
            )
            self._writers.discard(there_writer)
        except (ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while data := await reader.read(65536):
                await self.passing.wait()
                writer.write(data)
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    def reset(self) -> None:
        """Reset all connections."""
        for writer in list(self._writers):
            writer.transport.abort()


class Bucket:
    """Token bucket with one second's worth of burst."""

    def __init__(self, rate: float, burst_s: float = 1.0) -> None:
        self.rate, self.size = rate, rate * burst_s
        self.level, self.at = self.size, now()

    def take(self, amount: float) -> bool:
        """Take an amount if it is there."""
        at = now()
        self.level = min(self.size, self.level + (at - self.at) * self.rate)
        self.at = at
        if amount > self.level:
            return False
        self.level -= amount
        return True


class StateService:
    """Key-value store with transactions, leases and watches. One port for each controller, so that
    it can refuse one of them alone."""

    def __init__(self, limits: dict[str, Any], rng: random.Random) -> None:
        self.limits = limits
        self.rng = rng
        self.tally = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}
        self.holds: dict[int, tuple[float, float]] = {}  # end, life
        self.events: list[dict[str, Any]] = []
        self.last_hold = 0
        self.outage = False
        self.refused: set[str] = set()
        self.servers: dict[str, Server] = {}
        self.requests = Bucket(limits["rps"])
        self.writes = Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        self.latency = 0.004
        #: Called with member and transaction; returns seconds to wait before the execution and
        #: whether the answer is lost.
        self.transaction_fault: Callable[[str, dict[str, Any]], tuple[float, bool]] | None = None
        self.log: Callable[[str], None] = lambda _line: None

    async def open_port(self, member: str) -> str:
        """Open the port of one controller; returns its address."""
        server = Server(lambda m, p, b: self._handle(member, m, p, b))
        self.servers[member] = await server.start()
        return server.address

    def begin_outage(self) -> None:
        """Every request gets 503 from now on."""
        self.outage = True

    def end_outage(self) -> None:
        """The outage is over: every lease has its full time again."""
        self.outage = False
        self.holds = {hold: (now() + life, life) for hold, (_, life) in self.holds.items()}
        self._notify()

    def lower_limits(self, limits: dict[str, Any]) -> None:
        """Apply lower limits from now on; what is stored stays readable."""
        self.limits = self.limits | limits
        self.writes = Bucket(self.limits["write_rps"])

    def unavailable(self, member: str) -> bool:
        """Whether this controller is refused now."""
        return self.outage or member in self.refused

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self) -> None:
        """End the leases whose time is over."""
        if not self.outage:
            for hold in [h for h, (end, _) in self.holds.items() if end < now()]:
                self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        del self.holds[hold]
        names = [key for key, (_, _, attached) in self.keys.items() if attached == hold]
        if names:
            self._apply([{"remove": name} for name in names])

    async def _handle(self, member: str, method: str, path: str, body: bytes) -> Answer:
        refusal = self._refusal(member)
        if refusal is not None:
            return refusal
        await asyncio.sleep(self.latency * self.rng.uniform(0.5, 1.5))
        if self.unavailable(member):
            return 503, {"error": "trouble"}
        self.expire()
        route, _, query = path.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        if route == "/watch":
            return await self._watch(member, options)
        if route == "/multi":
            return await self._multi(member, json.loads(body))
        if route.startswith("/holds"):
            return self._hold(method, route, body)
        return self._list(options) if route == "/keys" else self._get(route[len("/keys/") :])

    def _refusal(self, member: str) -> Answer:
        """The answer that refuses a request; None: serve it."""
        if self.unavailable(member):
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            return 429, {"error": "too many requests"}
        return None

    def _get(self, key: str) -> Answer:
        if key not in self.keys:
            return 404, {"tally": self.tally}
        value, stamp, hold = self.keys[key]
        return 200, {"key": key, "value": value, "stamp": stamp, "hold": hold}

    def _list(self, options: dict[str, str]) -> Answer:
        prefix, after = options["prefix"], options.get("from", "")
        page = min(int(options.get("page", "1000")), 1000)
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        pairs, size = [], 0
        for name in names[:page]:
            value, stamp, hold = self.keys[name]
            size += len(json.dumps(value)) + len(name) + 60
            if size > 500 * 1024:
                break
            pairs.append({"key": name, "value": value, "stamp": stamp, "hold": hold})
        return 200, {"pairs": pairs, "more": len(pairs) < len(names), "tally": self.tally}

    def _hold(self, method: str, route: str, body: bytes) -> Answer:
        parts = route.split("/")
        if len(parts) == 2:
            life = json.loads(body)["lifeMs"] / 1000
            self.last_hold += 1
            self.holds[self.last_hold] = (now() + life, life)
            return 200, {"hold": self.last_hold}
        hold = int(parts[2])
        if hold not in self.holds:
            return 404, {}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            life = self.holds[hold][1]
            self.holds[hold] = (now() + life, life)
        return 200, {}

    async def _multi(self, member: str, body: dict[str, Any]) -> Answer:
        delay, lost = 0.0, False
        if self.transaction_fault is not None:
            delay, lost = self.transaction_fault(member, body)
        if delay:
            await asyncio.sleep(delay)
            self.expire()
        answer = self._transact(body)
        return None if lost else answer

    def _transact(self, body: dict[str, Any]) -> Answer:
        changes = body.get("then") or []
        if (
            len(changes) > self.limits["txn_ops"]
            or len(body["guards"]) > 4 * self.limits["txn_ops"]
        ):
            return 400, {"error": "too many"}
        if not self.writes.take(len(changes)):
            return 429, {"error": "too many changes"}
        for change in changes:
            if "write" in change:
                value = json.dumps(change.get("value"), separators=(",", ":"))
                if len(value) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                if change.get("hold") is not None and change["hold"] not in self.holds:
                    return 400, {"error": "no such lease"}
        failed = [
            g["key"] for g in body["guards"] if self.keys.get(g["key"], (0, 0, 0))[1] != g["stamp"]
        ]
        if failed:
            return 409, {"failed": failed, "tally": self.tally}
        if changes:
            self._apply(changes)
        return 200, {"tally": self.tally}

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        self.tally += 1
        for change in changes:
            if "write" in change:
                key, value = change["write"], change["value"]
                self.keys[key] = (value, self.tally, change.get("hold"))
                self.events.append({"write": key, "value": value, "stamp": self.tally})
            elif self.keys.pop(change["remove"], None) is not None:
                self.events.append({"remove": change["remove"], "stamp": self.tally})
        self._notify()

    async def _watch(self, member: str, options: dict[str, str]) -> Answer:
        after, prefix = int(options["from"]), options.get("prefix", "")
        end = now() + int(options.get("waitMs", "0")) / 1000
        while True:
            if not self.unavailable(member):
                self.expire()
                events = [
                    event
                    for event in self.events
                    if event["stamp"] > after
                    and (event.get("write") or event["remove"]).startswith(prefix)
                ]
                if events or now() >= end:
                    return 200, {"tally": self.tally, "events": events}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.05):
                    await self.changed.wait()


@dataclass(eq=False)
class Attempt:
    """One attempt of a task on a worker."""

    beat: str
    take: int
    stance: str = "fetching"
    cause: str | None = None
    stored: bool | None = None
    run: "asyncio.Task[None] | None" = None

    def row(self) -> dict[str, Any]:
        """The attempt in a report."""
        row: dict[str, Any] = {"beat": self.beat, "take": self.take, "stance": self.stance}
        if self.cause is not None:
            row["cause"] = self.cause
        if self.stored is not None:
            row["stored"] = self.stored
        return row

    @property
    def job(self) -> str:
        """Id of the job."""
        return self.beat.rpartition("/")[0]


@dataclass
class Timing:
    """Times of workers, from the settings."""

    report_s: float
    lease_s: float


class Observer:
    """What the test sees of tasks; replaced by the checker."""

    jobs: dict[str, dict[str, Any]]

    def started(self, worker: "Worker", attempt: Attempt) -> None:
        """A task has its image and is on its machine."""

    def ended(self, worker: "Worker", attempt: Attempt) -> None:
        """A task is no longer on its machine."""


class Worker:
    """One worker, as PROTOCOL, "Workers -> controller nodes", describes it."""

    def __init__(
        self,
        name: str,
        kind: tuple[str, str, bool],
        size: dict[str, Any],
        nodes: dict[str, str],
        timing: Timing,
        observer: Observer,
        run_times: Callable[[str], float],
        rng: random.Random,
    ) -> None:
        self.name, self.kind, self.size = name, kind, size
        self.nodes, self.timing, self.observer = nodes, timing, observer
        self.run_times, self.rng = run_times, rng
        self.server = Server(self._direct)
        self.set, self.tick, self.baton = 1, 0, 0
        self.recall_at: float | None = None
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.images: dict[str, asyncio.Task[None]] = {}
        self.began = self.answered_sent = now()
        self.changed = asyncio.Event()
        self.node = rng.choice(sorted(nodes))
        self.token_change_at = -1e9
        self.tasks: list[asyncio.Task[None]] = []
        self.alive = True
        self.cut = False  # no traffic with any controller
        self.deaf = False  # answers to its reports are lost
        self.refusals: dict[int, int] = {}  # answers by status other than 200 and 421
        self.largest_report = 0

    async def start(self) -> None:
        """Start to report."""
        await self.server.start()
        self.began = self.answered_sent = now()
        self.tasks = [
            asyncio.ensure_future(self._report_loop()),
            asyncio.ensure_future(self._lease_loop()),
        ]

    def stop(self) -> None:
        """The machine is gone with all that was on it."""
        self.alive = False
        for task in self.tasks:
            task.cancel()
        for attempt in list(self.attempts.values()):
            self._kill(attempt)
        self.attempts.clear()
        self.server.stop()

    async def _direct(self, _method: str, path: str, body: bytes) -> Answer:
        if self.cut or not self.alive:
            return None
        if path == "/inspect":
            return 200, self._report()
        message = json.loads(body)
        if "baton" not in message or "set" not in message:
            return 400, {}
        if message["baton"] < self.baton or message["set"] != self.set:
            return 409, self._report()
        self._see_token(message["baton"])
        for call in message.get("calls", []):
            self._execute(call)
        return 200, self._report()

    def _report(self) -> dict[str, Any]:
        self.tick += 1
        recall = None if self.recall_at is None else max(0.0, self.recall_at - now())
        return {
            "drum": self.name,
            "endpoint": self.server.address,
            "build": self.kind[0],
            "hall": self.kind[1],
            "loaners": self.kind[2],
            "set": self.set,
            "tick": self.tick,
            "baton": self.baton,
            "recallS": recall,
            "beats": [attempt.row() for attempt in self.attempts.values()],
        }

    async def _report_loop(self) -> None:
        client: Client | None = None
        client_node = ""
        while True:
            self.changed.clear()
            if client is None or client_node != self.node:
                if client is not None:
                    client.close()
                client, client_node = Client(self.nodes[self.node]), self.node
            sent, session = now(), self.set
            report = self._report()
            self.largest_report = max(self.largest_report, len(json.dumps(report)))
            answer = None
            if self.cut:
                await asyncio.sleep(4.0)
            else:
                answer = await client.request("POST", "/hello", report, 4.0)
                if self.deaf and answer is not None:
                    await asyncio.sleep(max(0.0, sent + 4.0 - now()))
                    answer = None
            if answer is not None and answer[0] == 200:
                self._accept(answer[1], sent, session)
                wait = self.timing.report_s * self.rng.uniform(0.75, 1.25)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(max(0.0, sent + wait - now())):
                        await self.changed.wait()
                continue
            client.close()
            named = answer[1].get("conductor") if answer is not None and answer[0] == 421 else None
            if named is not None and named in self.nodes and named != self.node:
                self.node = named
                await asyncio.sleep(self.rng.uniform(0.0, 0.5))
                continue
            if answer is not None and answer[0] != 421:
                self.refusals[answer[0]] = self.refusals.get(answer[0], 0) + 1
            names = sorted(self.nodes)
            self.node = names[(names.index(self.node) + 1) % len(names)]
            await asyncio.sleep(1.0)

    def _accept(self, answer: dict[str, Any], sent: float, session: int) -> None:
        baton = answer.get("baton")
        if session != self.set or baton is None or baton < self.baton:
            return
        self.answered_sent = max(self.answered_sent, sent)
        self._see_token(baton)
        for call in answer.get("calls", []):
            self._execute(call)

    def _see_token(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            if now() - self.token_change_at > self.timing.lease_s / 2:
                self.token_change_at = now()
                self.changed.set()

    async def _lease_loop(self) -> None:
        while True:
            await asyncio.sleep(0.05)
            if now() - max(self.answered_sent, self.began) > self.timing.lease_s:
                for attempt in list(self.attempts.values()):
                    self._kill(attempt)
                self.attempts.clear()
                self.set += 1
                self.began = now()
                self.changed.set()

    def _execute(self, call: dict[str, Any]) -> None:
        key = (call["beat"], call["take"])
        attempt = self.attempts.get(key)
        if call["call"] == "start" and attempt is None:
            attempt = self.attempts[key] = Attempt(*key)
            refusal = self._refusal(attempt)
            if refusal is not None:
                attempt.stance, attempt.cause = "ended", refusal
            else:
                attempt.run = asyncio.ensure_future(self._run(attempt))
            self.changed.set()
        elif call["call"] == "stop" and attempt is not None and attempt.stance != "ended":
            self._kill(attempt)
            attempt.stance, attempt.cause, attempt.stored = "ended", "stopped", False
            self.changed.set()
        elif call["call"] == "forget" and attempt is not None and attempt.stance == "ended":
            del self.attempts[key]

    def _refusal(self, new: Attempt) -> str | None:
        spec = self.observer.jobs.get(new.job)
        if spec is None:
            return "unknown"
        active = [a for a in self.attempts.values() if a is not new and a.stance != "ended"]
        if any(a.beat == new.beat for a in active):
            return "busy"
        for name in ("vcpus", "accelerators", "memGb"):
            used = sum(self.observer.jobs[a.job][name] for a in active)
            if used + spec[name] > self.size[name] + 1e-6:
                return "full"
        return None

    def _kill(self, attempt: Attempt) -> None:
        if attempt.run is not None:
            attempt.run.cancel()
        if attempt.stance == "running":
            self.observer.ended(self, attempt)

    async def _run(self, attempt: Attempt) -> None:
        spec = self.observer.jobs[attempt.job]
        image = self.images.get(spec["skin"])
        if image is None:
            image = asyncio.ensure_future(asyncio.sleep(spec["pullGb"] / self.size["fetchGbPerS"]))
            self.images[spec["skin"]] = image
        await asyncio.shield(image)
        attempt.stance = "running"
        self.observer.started(self, attempt)
        self.changed.set()
        if attempt.beat not in spec.get("_done", ()):  # else the result was kept
            await asyncio.sleep(self.run_times(attempt.beat))
        attempt.stance, attempt.cause = "ended", "done"
        self.observer.ended(self, attempt)
        self.changed.set()


@dataclass(eq=False)
class Rented:
    """A rented machine."""

    name: str
    kind: tuple[str, str, bool]
    rented_at: float
    worker: Worker | None = None
    gone_at: float | None = None
    up_at: float | None = None


@dataclass
class Cloud:
    """Rents machines; `builds` is the catalog."""

    builds: list[dict[str, Any]]
    limits: dict[str, Any]
    make_worker: Callable[[str, tuple[str, str, bool], dict[str, Any]], Worker]
    boot_s: float = 2.0
    capacity: int = 20  # machines at a time
    machines: dict[str, Rented] = field(default_factory=dict)
    hires: dict[str, list[str]] = field(default_factory=dict)
    outage: bool = False
    log: Callable[[str], None] = lambda _line: None

    def __post_init__(self) -> None:
        self.calls = Bucket(self.limits["rps"], 2.0)
        self.count = 0
        self.boots: set[asyncio.Task[None]] = set()

    async def handle(self, _method: str, path: str, body: bytes) -> Answer:
        """Answer one request."""
        if self.outage:
            return 503, {"error": "trouble"}
        if not self.calls.take(1):
            return 429, {"error": "too many requests"}
        await asyncio.sleep(0.02)
        if path == "/catalog":
            return 200, {"builds": self.builds}
        if path == "/rentals":
            return self._rent(json.loads(body))
        if path == "/rentals/return":
            for name in json.loads(body)["drums"]:
                self.take(name)
            return 200, {}
        return self._list(path)

    def _rent(self, request: dict[str, Any]) -> Answer:
        if request["hire"] in self.hires:
            return 200, {"drums": self.hires[request["hire"]]}
        live = sum(machine.gone_at is None for machine in self.machines.values())
        number = min(request["number"], 50, self.capacity - live)
        if number <= 0:
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(number):
            self.count += 1
            name = f"host-{self.count:06d}"
            kind = (request["build"], request["hall"], request["loaners"])
            self.machines[name] = Rented(name, kind, now())
            names.append(name)
            task = asyncio.ensure_future(self._boot(self.machines[name]))
            self.boots.add(task)
            task.add_done_callback(self.boots.discard)
        self.hires[request["hire"]] = names
        self.log(f"cloud rents {', '.join(names)} for {request['hire']}")
        return 200, {"drums": names}

    async def _boot(self, machine: Rented) -> None:
        await asyncio.sleep(self.boot_s)
        if machine.gone_at is None:
            size = next(build for build in self.builds if build["label"] == machine.kind[0])
            machine.worker = self.make_worker(machine.name, machine.kind, size)
            machine.up_at = now()
            await machine.worker.start()

    def take(self, name: str) -> None:
        """The machine is gone."""
        machine = self.machines.get(name)
        if machine is not None and machine.gone_at is None:
            machine.gone_at = now()
            self.log(f"{name} is gone")
            if machine.worker is not None:
                machine.worker.stop()

    def _list(self, path: str) -> Answer:
        at = now() - self.limits["list_lag_s"]
        rows = []
        for machine in self.machines.values():
            if machine.rented_at > at or (machine.gone_at is not None and machine.gone_at <= at):
                continue
            up = machine.up_at is not None and machine.up_at <= at
            rows.append(
                {
                    "id": machine.name,
                    "endpoint": machine.worker.server.address if machine.worker else f"{HOST}:9",
                    "build": machine.kind[0],
                    "hall": machine.kind[1],
                    "loaners": machine.kind[2],
                    "stance": "running" if up else "booting",
                    "ageS": round(at - machine.rented_at, 3),
                }
            )
        options = dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if part)
        rows = [row for row in rows if row["id"] > options.get("from", "")]
        page = int(options.get("page", "500"))
        return 200, {"drums": rows[:page], "more": len(rows) > page}

    def workers(self) -> list[Worker]:
        """All workers that are up."""
        return [
            m.worker for m in self.machines.values() if m.worker is not None and m.worker.alive
        ]
