"""Three controllers and all that is around them, in one process and in virtual time."""

import asyncio
import contextvars
import json
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec

from dappledrum.controller.assembly import build_controller
from dappledrum.controller.controller import Controller
from dappledrum.controller.environment import Connections, Environment
from dappledrum.http.client import HttpClient, NoResponseError, Reply
from dappledrum.http.messages import Handler, Request, Response
from dappledrum.model.history import ACCEPTED, REFUSED
from dappledrum.model.invariants import Invariants
from dappledrum.settings import (
    CloudLimits,
    External,
    NextLimits,
    Params,
    Peer,
    Settings,
    StoreLimits,
    Team,
    Tuning,
    WorkerLimits,
)
from dappledrum.simulation import history_recording
from dappledrum.simulation.fleet import CloudService, Timing
from dappledrum.simulation.key_value_store import KeyValueStore
from dappledrum.simulation.network import Link, Network, Service
from dappledrum.simulation.virtual_time import PROCESS, SkewedClock, VirtualLoop

TYPES = [
    {
        "label": "small",
        "vcpus": 4.0,
        "accelerators": 0.0,
        "memGb": 16.0,
        "cacheGb": 20.0,
        "fetchGbPerS": 1.0,
        "hourly": 0.3,
        "marketPrice": 0.1,
        "readyS": 8.0,
        "halls": ["a", "b"],
    },
    {
        "label": "large",
        "vcpus": 16.0,
        "accelerators": 1.0,
        "memGb": 64.0,
        "cacheGb": 40.0,
        "fetchGbPerS": 1.0,
        "hourly": 1.4,
        "marketPrice": 0.5,
        "readyS": 12.0,
        "halls": ["a"],
    },
]


def job(number: int, **changes: Any) -> dict[str, Any]:  # noqa: ANN401 - any field of a submission
    """A submission; `runS` is what its tasks really take, and not sent."""
    spec: dict[str, Any] = {
        "id": f"j-{number:06d}",
        "pattern": "plain",
        "crew": "blue",
        "form": "batch",
        "urgency": "standard",
        "beats": 4,
        "vcpus": 2.0,
        "accelerators": 0.0,
        "memGb": 2.0,
        "skin": "img-1",
        "pullGb": 0.5,
        "builds": None,
        "hall": None,
        "oneZone": False,
        "spread": False,
        "loaners": True,
        "expectedS": 6.0,
        "markEveryS": 0.0,
        "markTakeS": 0.0,
        "dueS": 120.0,
        "runS": 6.0,
    }
    return spec | changes


class OldCaller:
    """Requests of a controller of the version before chains: its records lack what came later."""

    def __init__(self, link: HttpClient) -> None:
        self.link = link

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """As that version would have written it."""
        if path == "/multi" and body is not None:
            transaction = json.loads(body)
            if any(guard["key"] == "gangs" for guard in transaction.get("guards", ())):
                return Reply(409, b'{"failed":["gangs"],"tally":1}')  # it knows nothing of them
            for change in transaction.get("then", ()):
                self._age(change.get("write", ""), change.get("value"))
            body = json.dumps(transaction, separators=(",", ":")).encode()
        return await self.link.request(method, path, body, timeout)

    @staticmethod
    def _age(key: str, value: Any) -> None:  # noqa: ANN401 - any JSON
        if key.startswith("ended/"):
            value.pop("at_ms", None)
        if key.startswith("job/"):
            value.pop("begun_ms", None)
            value["spec"].pop("waitsOn", None)
            for field_name in ("builds", "hall", "dueS"):
                value["spec"].setdefault(field_name, None)


@dataclass
class SimulatedCluster:
    """Everything, with handles for what can go wrong."""

    seed: int = 1
    teams: tuple[Team, ...] = (Team("blue"), Team("red", cpus_max=8.0))
    members: tuple[str, ...] = ("drummer-0", "drummer-1", "drummer-2")
    lease_s: float = 9.0
    rps: float = 200.0
    write_rps: float = 100.0
    limited: bool = False  # the store refuses what exceeds these rates
    next: NextLimits | None = None
    reach: bool = True
    old: set[str] = field(default_factory=set)  # controllers that run the version before chains
    rng: random.Random = field(init=False)
    controllers: dict[str, Controller] = field(default_factory=dict)
    processes: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    links: dict[str, list[Link]] = field(default_factory=dict)  # of each controller's process
    acting: set[asyncio.Task[None]] = field(default_factory=set)  # users that troubles have added
    odd_users: set[asyncio.Task[None]] = field(default_factory=set)  # that go on until cancelled

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.network = Network(self.rng)
        self.rules = Invariants(
            30.0, {team.name: (team.cpus_max, team.gpus_max) for team in self.teams}
        )
        self.store = KeyValueStore()
        if self.limited:
            self.store.rps, self.store.write_rps = self.rps, self.write_rps
        timing = Timing(1.0, self.lease_s)
        self.timing = timing
        types = [dict(kind) for kind in TYPES]
        self.cloud = CloudService(
            types, self.network, self.rules, timing, list(self.members), self.rng, 4.0
        )
        self.network.services["state"] = self.store
        self.network.services["cloud"] = self.cloud
        self.params = Params(
            teams=list(self.teams),
            workers=WorkerLimits(1.0, self.lease_s, 30.0),
            state=StoreLimits(self.rps, self.write_rps, 8.0, 24, self.next),
            cloud=CloudLimits(4.0, 4.0),
            zones=["a", "b"],
        )
        for member in self.members:
            self.start(member)

    # controllers

    def start(self, member: str) -> None:
        """Start a controller's process."""
        peers = [Peer(other, "a", "127.0.0.1:1") for other in self.members if other != member]
        settings = Settings(
            member,
            "a",
            "127.0.0.1:1",
            "127.0.0.1:2",
            External("127.0.0.1:3", "127.0.0.1:4"),
            self._params(member),
            peers,
        )
        index = self.members.index(member)
        clock = SkewedClock(
            (-0.0005, 0.0, 0.0005)[index % 3], timedelta(seconds=(-0.2, 0.2, 0.0)[index % 3])
        )
        self.links[member] = []
        callers = {peer.member: self._link(member, "back-" + peer.member) for peer in peers}
        environment = Environment(
            settings,
            Tuning(peer_heartbeats_enabled=self.reach and member not in self.old),
            clock,
            random.Random(self.rng.random()),
        )
        connections = Connections(
            self._state_caller(member),
            self._link(member, "cloud"),
            dict(callers),
            partial(self._probe, member),
        )
        controller = build_controller(environment, connections)
        self.controllers[member] = controller
        context = contextvars.copy_context()
        context.run(PROCESS.set, member)
        loop = asyncio.get_running_loop()
        self.processes[member] = loop.create_task(controller.run(), context=context)
        self.network.services[member] = self._service(controller.serve, context)
        self.network.services["back-" + member] = self._service(
            self._peer(controller, member), context
        )

    def _link(self, member: str, target: str) -> Link:
        link = self.network.caller(member, target)
        self.links[member].append(link)
        return link

    async def _probe(self, member: str, address: str, timeout: timedelta) -> bool:
        link = self.network.caller(member, self.network.addresses[address])
        try:
            return (await link.request("GET", "/inspect", None, timeout)).status == 200
        except NoResponseError:
            return False

    def _params(self, member: str) -> Params:
        """What a controller makes of the settings: an old one knows nothing of later limits."""
        if member not in self.old:
            return self.params
        return msgspec.structs.replace(
            self.params, state=msgspec.structs.replace(self.params.state, next=None)
        )

    def _peer(self, controller: Controller, member: str) -> Handler:
        """What peers reach; the version before refuses questions that it does not know."""
        if member not in self.old:
            return controller.serve_peer

        async def refuse(request: Request) -> Response:
            news = (b"version", b"holding", b"reach", b"passed", b"hand_over")
            if any(kind in request.body for kind in news):
                return Response(400)
            return await controller.serve_peer(request)

        return refuse

    def _state_caller(self, member: str) -> HttpClient:
        link = self._link(member, "state")
        return OldCaller(link) if member in self.old else link

    async def restart_all(self, after: float = 3.0) -> None:
        """All controllers end at once, and start again a little later."""
        for member in self.members:
            self.kill(member)
        await self.wait(after)
        for member in self.members:
            self.start(member)

    async def upgrade(self, member: str, after: float = 3.0) -> None:
        """End a controller's process; it comes back with the new version."""
        self.old.discard(member)
        await self.restart(member, after)

    def drop_limits(self) -> None:
        """The store takes less from now on, and tells nobody."""
        assert self.next is not None
        self.store.value_bytes = int((self.next.value_kb or 8.0) * 1024)
        self.store.txn_ops = self.next.txn_ops or 24
        self.store.write_rps = self.next.write_rps

    @staticmethod
    def _service(handler: Handler, context: contextvars.Context) -> Service:
        """What the network calls; it runs in the controller's process, so it stands still with
        it."""

        async def serve(source: str, method: str, path: str, body: bytes) -> Reply:
            loop = asyncio.get_running_loop()
            task = loop.create_task(handler(Request(method, path, body)), context=context.copy())
            response = await asyncio.shield(task)
            return Reply(response.status, response.body)

        return serve

    def freeze(self, member: str) -> None:
        """A controller's process stands still; its clocks and everything else go on."""
        self._loop().freeze(member)

    def thaw(self, member: str) -> None:
        """It goes on where it stopped."""
        self._loop().thaw(member)

    @staticmethod
    def _loop() -> VirtualLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        return loop

    def kill(self, member: str) -> None:
        """End a controller's process without a word."""
        self.thaw(member)
        self.processes[member].cancel()
        for link in self.links[member]:
            link.ended = True  # what it had begun to do sends nothing any more
        self.network.services.pop(member, None)
        self.network.services.pop("back-" + member, None)

    async def restart(self, member: str, after: float = 3.0) -> None:
        """Kill, and start again a little later."""
        self.kill(member)
        await self.wait(after)
        self.start(member)

    def leader(self) -> str | None:
        """The controller that leads at this moment."""
        leading = [
            member
            for member, controller in self.controllers.items()
            if self.alive(member) and controller.elector.leading_term()
        ]
        assert len(leading) <= 1, f"two leaders: {leading}"
        return leading[0] if leading else None

    def alive(self, member: str) -> bool:
        """Whether a controller's process runs."""
        return not self.processes[member].done() and member in self.network.services

    def others(self, member: str | None) -> list[str]:
        """All controllers but this one."""
        return [other for other in self.members if other != member]

    def cut_off(self, member: str, *targets: str) -> None:
        """Cut a controller off from some hosts, on its public and its private address."""
        for target in targets:
            self.network.cut(member, target)
            self.network.cut("back-" + member, target)

    def isolate(self, member: str) -> None:
        """Cut a controller off from the store and the other controllers, not from its
        workers."""
        self.cut_off(member, "state")
        self.cut_from_peers(member)

    def cut_from_peers(self, member: str) -> None:
        """Cut a controller off from the other controllers."""
        others = self.others(member)
        self.cut_off(member, *others, *("back-" + other for other in others))

    def drop_answers(self, names: list[str]) -> set[tuple[str, str]]:
        """Heartbeats of these machines arrive, answers and commands don't reach them; returns what
        is blocked for it."""
        pairs = {(member, name) for name in names for member in self.members}
        self.network.blocked |= pairs
        return pairs

    def drop_heartbeats(self, names: list[str]) -> set[tuple[str, str]]:
        """These machines open no connection to any controller, while controllers reach them;
        returns what is in `network.muted` for it."""
        pairs = {(name, member) for name in names for member in self.members}
        self.network.muted |= pairs
        return pairs

    # time

    @staticmethod
    def now() -> float:
        """Virtual time."""
        return asyncio.get_running_loop().time()

    async def wait(self, seconds: float) -> None:
        """Let time pass, and check the rules on the way."""
        end = asyncio.get_running_loop().time() + seconds
        while (now := asyncio.get_running_loop().time()) < end:
            await asyncio.sleep(min(0.25, end - now))
            self.rules.tick(self.now())
            self.rules.check_waiting(self.now(), self.cloud.free_machines)
            self.leader()
            assert not self.rules.broken, self.rules.broken

    async def until(self, check: Callable[[], bool], most: float = 120.0) -> float:
        """Let time pass until something holds; how long it took."""
        began = asyncio.get_running_loop().time()
        while not check():
            assert asyncio.get_running_loop().time() - began < most, (
                "it did not come about in time"
            )
            await self.wait(0.25)
        return asyncio.get_running_loop().time() - began

    async def until_led(self, most: float = 120.0) -> float:
        """Let time pass until some controller leads; how long it took."""
        return await self.until(lambda: self.leader() is not None, most)

    def running(self, name: str) -> int:
        """How many tasks of a job run."""
        return sum(job_id == name for job_id, _ in self.rules.running)

    async def readiness(self, member: str) -> int | None:
        """The status of a controller's readiness check, if it answers."""
        reply = await self._ask("GET", "/ready", None, member)
        return None if reply is None else reply.status

    # users

    def act(self, user: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Let a further user act beside the others; what goes wrong there breaks the rules."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(user, context=contextvars.Context())
        self.acting.add(task)
        task.add_done_callback(self._acted)
        return task

    def _acted(self, task: asyncio.Task[None]) -> None:
        self.acting.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.rules.broken.append(f"a user failed: {error!r}")

    async def _ask(
        self, method: str, path: str, body: bytes | None = None, member: str | None = None
    ) -> Reply | None:
        """Send one request as a user, and record what it is answered."""
        alive = [m for m in self.members if m in self.network.services]
        if member is None and alive:
            member = self.rng.choice(alive)
        number = self.rules.history.next_number()
        asked = history_recording.question(number, self.now(), path, body, member, self.cloud)
        if asked is not None:
            self.rules.record(asked)
        reply = await self._request(method, path, body, member)
        if asked is not None:
            self.rules.record(history_recording.answer(number, self.now(), reply))
        return reply

    async def _request(
        self, method: str, path: str, body: bytes | None, member: str | None
    ) -> Reply | None:
        if not any(other in self.network.services for other in self.members):
            return None
        assert member is not None
        link = self.network.caller("user", member)
        try:
            return await link.request(method, path, body, timedelta(seconds=5))
        except NoResponseError:
            return None

    async def submit(
        self, spec: dict[str, Any], tries: int = 40, member: str | None = None
    ) -> int | None:
        """Submit a job, and again until there is an answer."""
        self.rules.submitted(spec, asyncio.get_running_loop().time())
        body = json.dumps(
            {key: value for key, value in spec.items() if key not in ("runS", "broken")}
        ).encode()
        for _ in range(tries):
            reply = await self._ask("POST", "/submissions", body, member)
            if reply is not None and reply.status in (*ACCEPTED, *REFUSED):
                return reply.status
            await asyncio.sleep(1)
        return None

    async def accept(self, *specs: dict[str, Any]) -> list[str]:
        """Submit new jobs, each of which must be accepted; their names."""
        for spec in specs:
            status = await self.submit(spec)
            assert status == 201, f"{spec['id']} was answered with {status}"
        return [spec["id"] for spec in specs]

    async def accept_jobs(self, count: int, **changes: Any) -> list[str]:  # noqa: ANN401 - any field
        """Submit so many new jobs that are alike, each of which must be accepted; their names."""
        return await self.accept(*(job(number, **changes) for number in range(count)))

    async def poll(self, name: str, member: str | None = None) -> str | None:
        """Ask for a job's state once."""
        reply = await self._ask("GET", f"/submissions/{name}", None, member)
        if reply is None or reply.status != 200:
            return None
        return str(json.loads(reply.body)["stance"])

    async def cancel(self, name: str, tries: int = 40, member: str | None = None) -> str | None:
        """Cancel a job, and again until there is an answer."""
        for _ in range(tries):
            reply = await self._ask("POST", f"/submissions/{name}/cancel", b"", member)
            if reply is not None and reply.status == 200:
                return str(json.loads(reply.body)["stance"])
            await asyncio.sleep(1)
        return None

    async def finish(self, names: list[str], most: float = 240.0) -> float:
        """Poll until all jobs are over; how long it took."""
        began = asyncio.get_running_loop().time()
        left = list(names)
        while left:
            assert asyncio.get_running_loop().time() - began < most, f"not over in time: {left}"
            await self.wait(1.0)
            left = [name for name in left if await self.poll(name) not in ("done", "cancelled")]
        assert not self.rules.broken, self.rules.broken
        return asyncio.get_running_loop().time() - began


async def led_cluster(seed: int = 1, **settings: Any) -> SimulatedCluster:  # noqa: ANN401 - any field of a world
    """A world in which some controller leads already."""
    cluster = SimulatedCluster(seed=seed, **settings)
    await cluster.until_led()
    return cluster
