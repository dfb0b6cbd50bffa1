"""A simulated network that can delay, hold back, lose, refuse and duplicate requests."""

import asyncio
import contextvars
import json
import random
from collections import Counter
from collections.abc import Callable, Coroutine, Iterator
from datetime import timedelta
from typing import Any, NamedTuple

from dappledrum.election.terms import TOKENS_PER_TERM
from dappledrum.http.client import NoResponseError, NotSentError, Reply
from dappledrum.simulation.trace import MessageTrace, Request
from dappledrum.timing.timeouts import PauseTolerantTimeout

#: Longer than anybody waits for a response.
NO_RESPONSE_S = 3_600
RESTART_CHECK_INTERVAL_S = 0.02

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
    """Duplicates a share of the requests: each copy arrives later on a new connection, and its
    answer is dropped."""

    share: float
    min_delay_s: float
    max_delay_s: float
    targets: tuple[str, ...]  # drawn for heartbeats; other copies go to the original target
    paths: tuple[str, ...] = ("/hello",)
    #: Copies of heartbeats are kept until a heartbeat is answered with a fencing token of a new
    #: term, and are then delivered to the controller that gave this answer.
    for_next: bool = False


class StartCopies(NamedTuple):
    """Repeats a share of the requests whose answers carried starts, after these were received:
    heartbeats of workers, and those that controllers forward to each other.

    The copies arrive at each of the delays, heartbeats at a drawn target; a copy for a controller
    that is down arrives as soon as it is back.
    """

    share: float
    delays_s: tuple[float, ...]
    targets: tuple[str, ...]
    max_wait_s: float  # for a controller to be back


class LateWrites(NamedTuple):
    """Executes a share of the transactions late and without an answer, possibly after newer ones
    of the same sender; or executes them at once and loses only their answers."""

    share: float
    min_delay_s: float
    max_delay_s: float
    at_once: bool = False  # executed without delay; only the answer is lost


class LateCommands(NamedTuple):
    """Executes a share of the direct commands to workers late and without an answer."""

    share: float
    min_delay_s: float
    max_delay_s: float


def host(name: str) -> str:
    """The host of a target name; a controller has two: one for users and workers, and one with
    the prefix `back-` for peers."""
    return name.removeprefix("back-")


class Network:
    """Services by host name, and the faults of the links between hosts.

    A cut between two hosts holds requests back, and delivers them when it ends.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.services: dict[str, Service] = {}
        self.addresses: dict[str, str] = {}  # host names by address
        self.cuts: set[frozenset[str]] = set()
        self.answers_dropped: set[frozenset[str]] = set()  # requests arrive, answers are lost
        self.refusing: set[frozenset[str]] = set()  # connections are refused
        self.blocked: set[tuple[str, str]] = set()  # one way: requests held back, answers lost
        #: The first host can't open connections to the second, which may open them to the first.
        self.muted: set[tuple[str, str]] = set()
        self.extra_latency_s: dict[tuple[str, str], float] = {}  # from one host to another
        #: Called with each request as it arrives. Returns None to execute it normally, or the
        #: seconds after which it is executed without an answer to its sender.
        self.watcher: Callable[[Sent], float | None] | None = None
        self.copies: Copies | None = None
        self.start_copies: StartCopies | None = None
        self.copied = 0  # copies drawn so far
        self.copies_for_next_leader: list[tuple[str, bytes]] = []  # source and heartbeat
        #: No earlier term than the newest that has answered a worker has a higher fencing token.
        self.last_token_of_newest_term = 0
        self.late_writes: LateWrites | None = None
        self.late_commands: LateCommands | None = None
        self.held_requests: list[tuple[str, str, str, str, bytes]] = []
        self.late_deliveries = 0  # held requests released so far
        self.trace: MessageTrace | None = None  # records every message, if set
        self.sent: Counter[str] = Counter()  # requests by the first part of their path

    def cut(self, a: str, b: str) -> None:
        """Hold back everything between two hosts."""
        self.cuts.add(frozenset((a, b)))

    def heal(self) -> None:
        """End all link faults, and deliver all requests that were held back."""
        self.cuts.clear()
        self.answers_dropped.clear()
        self.refusing.clear()
        self.blocked.clear()
        self.muted.clear()
        self.extra_latency_s.clear()
        self._deliver_held()

    def heal_links(self, pairs: set[frozenset[str]]) -> None:
        """End the cuts and refusals between these pairs of hosts only."""
        self.cuts -= pairs
        self.refusing -= pairs
        self._deliver_held()

    def _deliver_held(self) -> None:
        held, self.held_requests = self.held_requests, []
        for source, target, method, path, body in held:
            cut = frozenset((source, target)) in self.cuts
            if cut or (host(source), host(target)) in self.blocked:
                self.held_requests.append((source, target, method, path, body))
                continue
            self.late_deliveries += 1
            if target in self.services:
                asyncio.get_running_loop().create_task(
                    self.deliver_later(source, target, method, path, body)
                )

    async def deliver_later(
        self, source: str, target: str, method: str, path: str, body: bytes, delay_s: float = 0.0
    ) -> None:
        """Deliver a request after a delay; nobody receives the answer."""
        await asyncio.sleep(delay_s)
        if target in self.services:
            await self._serve(self.services[target], Request(source, target, method, path, body))

    def _serve(self, service: Service, request: Request) -> Coroutine[Any, Any, Reply]:
        """Pass a request to a service, and record it and its response in the trace, if any."""
        response = service(request.sender, request.method, request.path, request.body)
        return response if self.trace is None else self.trace.serve(request, response)

    def maybe_duplicate(
        self, source: str, target: str, method: str, path: str, body: bytes
    ) -> None:
        """Draw whether a request is duplicated, and when and where the copy arrives."""
        copies = self.copies
        if copies is None or not path.startswith(copies.paths):
            return
        if self.rng.random() >= copies.share:
            return
        self.copied += 1
        if path == "/hello" and copies.for_next:
            self.copies_for_next_leader.append((source, body))
            return
        if path == "/hello":
            target = self.rng.choice(copies.targets)
        delay_s = self.rng.uniform(copies.min_delay_s, copies.max_delay_s)
        asyncio.get_running_loop().create_task(
            self.deliver_later(source, target, method, path, body, delay_s),
            context=contextvars.Context(),
        )

    def maybe_repeat_start(self, sent: Sent, reply: Reply) -> None:
        """Draw whether a request is repeated whose answer carried starts."""
        copies = self.start_copies
        if copies is None or b'"start"' not in reply.body or self.rng.random() >= copies.share:
            return
        for delay_s in copies.delays_s:
            self.copied += 1
            to_any = sent.path == "/hello"
            target = self.rng.choice(copies.targets) if to_any else sent.target
            asyncio.get_running_loop().create_task(
                self._repeat(sent._replace(target=target), delay_s, copies.max_wait_s),
                context=contextvars.Context(),
            )

    async def _repeat(self, sent: Sent, delay_s: float, max_wait_s: float) -> None:
        await asyncio.sleep(delay_s)
        waited_s = 0.0
        while sent.target not in self.services and waited_s < max_wait_s:
            await asyncio.sleep(RESTART_CHECK_INTERVAL_S)
            waited_s += RESTART_CHECK_INTERVAL_S
        await self.deliver_later(sent.source, sent.target, "POST", sent.path, sent.body)

    def _deliver_kept_copies(self, controller: str, answer: bytes) -> None:
        """Process the answer to a heartbeat: deliver the kept copies, in order, to a controller
        that answers with a fencing token of a new term."""
        token = json.loads(answer).get("baton", 0)
        if token <= self.last_token_of_newest_term:
            return
        self.last_token_of_newest_term = token + TOKENS_PER_TERM - 1
        kept, self.copies_for_next_leader = self.copies_for_next_leader, []
        for source, body in kept:
            asyncio.get_running_loop().create_task(
                self.deliver_later(source, controller, "POST", "/hello", body),
                context=contextvars.Context(),
            )

    def caller(self, source: str, target: str) -> "Link":
        """Create a client at one host for a service at another."""
        return Link(self, source, target)


class Link:
    """The client of one pair of hosts."""

    def __init__(self, network: Network, source: str, target: str) -> None:
        self.network = network
        self.source = source
        self.target = target
        self.ended = False  # whether the source process was killed: it must not exchange messages

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send a request; raises NoResponseError like the real client."""
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
        """Yield, for each fault that delays the request, the seconds after which it arrives
        without a response."""
        network = self.network
        if network.watcher is not None:
            delay = network.watcher(Sent(self.source, self.target, path, body))
            if delay is not None:
                yield delay
        writes = network.late_writes
        if writes is not None and path == "/multi" and network.rng.random() < writes.share:
            at_once = writes.at_once
            yield 0.0 if at_once else network.rng.uniform(writes.min_delay_s, writes.max_delay_s)
        commands = network.late_commands
        if commands is not None and path == "/do" and network.rng.random() < commands.share:
            yield network.rng.uniform(commands.min_delay_s, commands.max_delay_s)

    async def _request(self, method: str, path: str, body: bytes) -> Reply:
        network = self.network
        if self.ended:
            await asyncio.sleep(NO_RESPONSE_S)
        network.sent[path.partition("?")[0].split("/")[1]] += 1
        pair = frozenset((self.source, self.target))
        forward = (host(self.source), host(self.target))
        backward = (forward[1], forward[0])
        await asyncio.sleep(
            network.rng.uniform(0.0005, 0.004) + network.extra_latency_s.get(forward, 0.0)
        )
        if pair in network.cuts or forward in network.blocked:
            network.held_requests.append((self.source, self.target, method, path, body))
            await asyncio.sleep(NO_RESPONSE_S)
        network.maybe_duplicate(self.source, self.target, method, path, body)
        for delay in self._delays(path, body):
            asyncio.get_running_loop().create_task(
                network.deliver_later(self.source, self.target, method, path, body, delay),
                context=contextvars.Context(),
            )
            await asyncio.sleep(NO_RESPONSE_S)
        service = network.services.get(self.target)
        if service is None or pair in network.refusing or forward in network.muted:
            raise NotSentError("connection refused")
        # Served in a separate context, so that it continues when the sender's process is frozen
        # or gives up.
        serving = asyncio.get_running_loop().create_task(
            network._serve(service, Request(self.source, self.target, method, path, body)),
            context=contextvars.Context(),
        )
        reply = await asyncio.shield(serving)
        if path == "/hello" and reply.status == 200:
            network._deliver_kept_copies(self.target, reply.body)
        await asyncio.sleep(
            network.rng.uniform(0.0005, 0.004) + network.extra_latency_s.get(backward, 0.0)
        )
        if pair in network.cuts or pair in network.answers_dropped or backward in network.blocked:
            await asyncio.sleep(NO_RESPONSE_S)
        if self.ended:
            await asyncio.sleep(NO_RESPONSE_S)
        if network.services.get(self.target) is not service:
            raise NoResponseError("connection lost")
        network.maybe_repeat_start(Sent(self.source, self.target, path, body), reply)
        return reply
