"""A network that delays, cuts, holds back and loses."""

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from dappledrum.http.client import NoResponseError, NotSentError, Reply
from dappledrum.simulation.trace import MessageTrace, Request
from dappledrum.timing.timeouts import PauseTolerantTimeout

#: Longer than anybody waits for a response.
NO_RESPONSE_S = 3_600

Service = Callable[
    [str, str, str, bytes], Coroutine[Any, Any, Reply]
]  # source, method, path, body


class Sent(NamedTuple):
    """A request on its way."""

    source: str
    target: str
    path: str
    body: bytes


class Copies(NamedTuple):
    """Requests that are delivered again, by a new connection, to any of some hosts; nobody hears
    the answer."""

    share: float
    least_s: float
    most_s: float
    targets: tuple[str, ...]  # of heartbeats; anything else comes again where it came before
    paths: tuple[str, ...] = ("/hello",)
    #: Heartbeats: the copy is kept until a heartbeat was answered with a higher token than any
    #: before, and then reaches the controller that gave that answer.
    for_next: bool = False


class LateWrites(NamedTuple):
    """A share of the transactions gets no answer, and is carried out so much later, after newer
    ones of the same sender; or at once, so that only the answer is lost."""

    share: float
    least_s: float
    most_s: float
    at_once: bool = False  # carried out when it arrives; only the answer is lost


class LateCommands(NamedTuple):
    """A share of the direct commands to workers gets no answer, and is carried out so much
    later."""

    share: float
    least_s: float
    most_s: float


def host(name: str) -> str:
    """The machine of an address: controllers have two, for users and workers and for peers."""
    return name.removeprefix("back-")


class Network:
    """Hosts by name; a cut between two of them holds requests back and delivers them when it
    ends."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.addresses: dict[str, str] = {}  # hosts that are asked by address
        self.cuts: set[frozenset[str]] = set()
        self.answers_dropped: set[frozenset[str]] = set()  # requests arrive, answers are lost
        self.refusing: set[frozenset[str]] = set()  # connections are refused or reset
        self.blocked: set[tuple[str, str]] = set()  # one way: from one host to another
        #: From a host that can't open connections to the other; the other may open them to it.
        self.muted: set[tuple[str, str]] = set()
        self.slow: dict[tuple[str, str], float] = {}  # seconds more, one way
        #: Told of each request as it arrives; seconds until it is executed, after its sender has
        #: given up on it, or None: as ever.
        self.watcher: Callable[[Sent], float | None] | None = None
        self.copies: Copies | None = None
        self.copied = 0
        self.kept: list[tuple[str, bytes]] = []  # copies for the next leader: source and heartbeat
        self.token = 0  # the highest that a worker was answered with
        self.late_writes: LateWrites | None = None
        self.late_commands: LateCommands | None = None
        self.held: list[tuple[str, str, str, str, bytes]] = []
        self.late = 0
        self.trace: MessageTrace | None = None  # records every message, if set

    def cut(self, a: str, b: str) -> None:
        """Hold back everything between two hosts."""
        self.cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """End all cuts; what was held back arrives now."""
        self.cuts.clear()
        self.answers_dropped.clear()
        self.refusing.clear()
        self.blocked.clear()
        self.muted.clear()
        self.slow.clear()
        self._deliver()

    def mend(self, pairs: set[frozenset[str]]) -> None:
        """End the cuts between these, and no others."""
        self.cuts -= pairs
        self.refusing -= pairs
        self._deliver()

    def _deliver(self) -> None:
        held, self.held = self.held, []
        for source, target, method, path, body in held:
            cut = frozenset((source, target)) in self.cuts
            if cut or (host(source), host(target)) in self.blocked:
                self.held.append((source, target, method, path, body))
                continue
            self.late += 1
            if target in self.services:
                asyncio.get_running_loop().create_task(
                    self._late(source, target, method, path, body)
                )

    async def _late(
        self, source: str, target: str, method: str, path: str, body: bytes, after: float = 0.0
    ) -> None:
        await asyncio.sleep(after)
        if target in self.services:
            await self._serve(self.services[target], Request(source, target, method, path, body))

    def _serve(self, service: Service, request: Request) -> Coroutine[Any, Any, Reply]:
        """Hand a request to a service, and record it and its response in the trace, if any."""
        response = service(request.sender, request.method, request.path, request.body)
        return response if self.trace is None else self.trace.serve(request, response)

    def _copy(self, source: str, target: str, method: str, path: str, body: bytes) -> None:
        """Draw whether a request comes again, when and where."""
        copies = self.copies
        if copies is None or not path.startswith(copies.paths):
            return
        if self.rng.random() >= copies.share:
            return
        self.copied += 1
        if path == "/hello" and copies.for_next:
            self.kept.append((source, body))
            return
        if path == "/hello":
            target = self.rng.choice(copies.targets)
        after = self.rng.uniform(copies.least_s, copies.most_s)
        asyncio.get_running_loop().create_task(
            self._late(source, target, method, path, body, after), context=contextvars.Context()
        )

    def _answered(self, controller: str, answer: bytes) -> None:
        """A heartbeat was answered; if by a new leader, it gets the copies kept for it, in
        order."""
        token = json.loads(answer).get("baton", 0)
        if token <= self.token:
            return
        self.token = token
        kept, self.kept = self.kept, []
        for source, body in kept:
            asyncio.get_running_loop().create_task(
                self._late(source, controller, "POST", "/hello", body),
                context=contextvars.Context(),
            )

    def caller(self, source: str, target: str) -> "Link":
        """A client at one host for a service at another."""
        return Link(self, source, target)


class Link:
    """The client of one pair of hosts."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.ended = False  # the process at the source: it sends and hears nothing any more

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """As the real client: an answer, or NoResponseError."""
        response = self._request_in_time(method, path, body, timeout)
        trace = self.network.trace
        if trace is None:
            return await response
        request = Request(self.source, self.target, method, path, body or b"")
        return await trace.exchange(request, response)

    async def _request_in_time(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        try:
            async with PauseTolerantTimeout(timeout):
                return await self._request(method, path, body or b"")
        except TimeoutError as error:
            raise NoResponseError("no answer") from error

    def _delays(self, path: str, body: bytes) -> Iterator[float]:
        """Seconds after which the request arrives without a response, once for each fault that
        holds it back."""
        network = self.network
        if network.watcher is not None:
            delay = network.watcher(Sent(self.source, self.target, path, body))
            if delay is not None:
                yield delay
        writes = network.late_writes
        if writes is not None and path == "/multi" and network.rng.random() < writes.share:
            at_once = writes.at_once
            yield 0.0 if at_once else network.rng.uniform(writes.least_s, writes.most_s)
        commands = network.late_commands
        if commands is not None and path == "/do" and network.rng.random() < commands.share:
            yield network.rng.uniform(commands.least_s, commands.most_s)

    async def _request(self, method: str, path: str, body: bytes) -> Reply:
        network = self.network
        if self.ended:
            await asyncio.sleep(NO_RESPONSE_S)
        pair = frozenset((self.source, self.target))
        there = (host(self.source), host(self.target))
        back = (there[1], there[0])
        await asyncio.sleep(network.rng.uniform(0.0005, 0.004) + network.slow.get(there, 0.0))
        if pair in network.cuts or there in network.blocked:
            network.held.append((self.source, self.target, method, path, body))
            await asyncio.sleep(NO_RESPONSE_S)
        network._copy(self.source, self.target, method, path, body)
        for delay in self._delays(path, body):
            asyncio.get_running_loop().create_task(
                network._late(self.source, self.target, method, path, body, delay),
                context=contextvars.Context(),
            )
            await asyncio.sleep(NO_RESPONSE_S)
        service = network.services.get(self.target)
        if service is None or pair in network.refusing or there in network.muted:
            raise NotSentError("connection refused")
        # In a context of its own: what a service does is no part of the process that asked, and
        # goes on when that stands still or gives up.
        served = asyncio.get_running_loop().create_task(
            network._serve(service, Request(self.source, self.target, method, path, body)),
            context=contextvars.Context(),
        )
        reply = await asyncio.shield(served)
        if path == "/hello" and reply.status == 200:
            network._answered(self.target, reply.body)
        await asyncio.sleep(network.rng.uniform(0.0005, 0.004) + network.slow.get(back, 0.0))
        if pair in network.cuts or pair in network.answers_dropped or back in network.blocked:
            await asyncio.sleep(NO_RESPONSE_S)
        if self.ended:
            await asyncio.sleep(NO_RESPONSE_S)
        if network.services.get(self.target) is not service:
            raise NoResponseError("connection lost")
        return reply
