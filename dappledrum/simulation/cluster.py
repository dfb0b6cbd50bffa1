"""A simulated cluster: real controllers with a simulated environment, in one process and in
virtual time."""

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
from dappledrum.simulation.renewal_check import uncounted_renewals
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
    """Build a submission; `runS` is the actual run time of its tasks, which is not sent."""
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


class PreviousVersionClient:
    """Sends requests as the version without job dependencies did: records lack later fields."""

    def __init__(self, link: HttpClient) -> None:
        self.link = link

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send a request in the form that the previous version would have written."""
        if path == "/multi" and body is not None:
            transaction = json.loads(body)
            if any(guard["key"] == "gangs" for guard in transaction.get("guards", ())):
                return Reply(409, b'{"failed":["gangs"],"tally":1}')  # gangs are unknown to it
            for change in transaction.get("then", ()):
                self._remove_new_fields(change.get("write", ""), change.get("value"))
            body = json.dumps(transaction, separators=(",", ":")).encode()
        return await self.link.request(method, path, body, timeout)

    @staticmethod
    def _remove_new_fields(key: str, value: Any) -> None:  # noqa: ANN401 - any JSON
        if key.startswith("ended/"):
            value.pop("at_ms", None)
        if key.startswith("job/"):
            value.pop("begun_ms", None)
            value["spec"].pop("waitsOn", None)
            for field_name in ("builds", "hall", "dueS"):
                value["spec"].setdefault(field_name, None)


@dataclass
class SimulatedCluster:
    """Controllers, network, store and cloud, with methods that inject faults and act as users.

    `rules` checks the invariants on every step.
    """

    seed: int = 1
    teams: tuple[Team, ...] = (Team("blue"), Team("red", cpus_max=8.0))
    members: tuple[str, ...] = ("drummer-0", "drummer-1", "drummer-2")
    lease_s: float = 9.0
    rps: float = 200.0
    write_rps: float = 100.0
    limited: bool = False  # whether the store enforces these rates
    next: NextLimits | None = None
    reach: bool = True
    # Controllers that run the previous version, without job dependencies.
    on_previous_version: set[str] = field(default_factory=set)
    rng: random.Random = field(init=False)
    controllers: dict[str, Controller] = field(default_factory=dict)
    processes: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    links: dict[str, list[Link]] = field(default_factory=dict)  # clients of each controller
    extra_user_tasks: set[asyncio.Task[None]] = field(default_factory=set)  # users added by faults
    # Users added by faults that send requests until they are cancelled.
    invalid_request_tasks: set[asyncio.Task[None]] = field(default_factory=set)

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
        peer_clients = {peer.member: self._link(member, "back-" + peer.member) for peer in peers}
        environment = Environment(
            settings,
            Tuning(peer_heartbeats_enabled=self.reach and member not in self.on_previous_version),
            clock,
            random.Random(self.rng.random()),
        )
        connections = Connections(
            self._store_client(member),
            self._link(member, "cloud"),
            dict(peer_clients),
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
            self._peer_handler(controller, member), context
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
        """Settings as a controller reads them; the previous version ignores `next` limits."""
        if member not in self.on_previous_version:
            return self.params
        return msgspec.structs.replace(
            self.params, state=msgspec.structs.replace(self.params.state, next=None)
        )

    def _peer_handler(self, controller: Controller, member: str) -> Handler:
        """The handler of peer requests; the previous version refuses kinds unknown to it."""
        if member not in self.on_previous_version:
            return controller.serve_peer

        async def refuse(request: Request) -> Response:
            new_kinds = (b"version", b"holding", b"reach", b"passed", b"hand_over")
            if any(kind in request.body for kind in new_kinds):
                return Response(400)
            return await controller.serve_peer(request)

        return refuse

    def _store_client(self, member: str) -> HttpClient:
        link = self._link(member, "state")
        return PreviousVersionClient(link) if member in self.on_previous_version else link

    async def restart_all(self, after: float = 3.0) -> None:
        """Kill all controllers at once, and start them again after some seconds."""
        for member in self.members:
            self.kill(member)
        await self.wait(after)
        for member in self.members:
            self.start(member)

    async def upgrade(self, member: str, after: float = 3.0) -> None:
        """Kill a controller, and start it again with the current version."""
        self.on_previous_version.discard(member)
        await self.restart(member, after)

    def drop_limits(self) -> None:
        """Lower the store's limits to the `next` ones without notice."""
        assert self.next is not None
        self.store.value_bytes = int((self.next.value_kb or 8.0) * 1024)
        self.store.txn_ops = self.next.txn_ops or 24
        self.store.write_rps = self.next.write_rps

    @staticmethod
    def _service(handler: Handler, context: contextvars.Context) -> Service:
        """Wrap a handler for the network; it runs in the controller's process, so it is frozen
        together with it."""

        async def serve(source: str, method: str, path: str, body: bytes) -> Reply:
            loop = asyncio.get_running_loop()
            task = loop.create_task(handler(Request(method, path, body)), context=context.copy())
            response = await asyncio.shield(task)
            return Reply(response.status, response.body)

        return serve

    def freeze(self, member: str) -> None:
        """Suspend a controller's process; its clocks and everything else continue."""
        self._loop().freeze(member)

    def thaw(self, member: str) -> None:
        """Resume a suspended process."""
        self._loop().thaw(member)

    @staticmethod
    def _loop() -> VirtualLoop:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        return loop

    def kill(self, member: str) -> None:
        """Kill a controller's process without a graceful shutdown."""
        self.thaw(member)
        self.processes[member].cancel()
        for link in self.links[member]:
            link.ended = True  # its remaining tasks must not send anything
        self.network.services.pop(member, None)
        self.network.services.pop("back-" + member, None)

    async def restart(self, member: str, after: float = 3.0) -> None:
        """Kill a controller, and start it again after some seconds."""
        self.kill(member)
        await self.wait(after)
        self.start(member)

    def leader(self) -> str | None:
        """The controller that leads now, if any; asserts that there is at most one."""
        leading = [
            member
            for member, controller in self.controllers.items()
            if self.alive(member) and controller.elector.leading_term()
        ]
        assert len(leading) <= 1, f"two leaders: {leading}"
        return leading[0] if leading else None

    def alive(self, member: str) -> bool:
        """Whether a controller's process is running."""
        return not self.processes[member].done() and member in self.network.services

    def others(self, member: str | None) -> list[str]:
        """All controllers but this one."""
        return [other for other in self.members if other != member]

    def cut_off(self, member: str, *targets: str) -> None:
        """Cut a controller off from some hosts, on its public and its peer address."""
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
        """Let heartbeats of these machines arrive while answers and commands to them are lost;
        returns the pairs added to `network.blocked`."""
        pairs = {(member, name) for name in names for member in self.members}
        self.network.blocked |= pairs
        return pairs

    def drop_heartbeats(self, names: list[str]) -> set[tuple[str, str]]:
        """Let these machines open no connection to any controller, while controllers reach them;
        returns the pairs added to `network.muted`."""
        pairs = {(name, member) for name in names for member in self.members}
        self.network.muted |= pairs
        return pairs

    # time

    @staticmethod
    def now() -> float:
        """Virtual time in seconds."""
        return asyncio.get_running_loop().time()

    async def wait(self, seconds: float) -> None:
        """Let time pass, and check the invariants every 0.25 s."""
        end = asyncio.get_running_loop().time() + seconds
        while (now := asyncio.get_running_loop().time()) < end:
            await asyncio.sleep(min(0.25, end - now))
            self.rules.tick(self.now())
            self.rules.check_waiting(self.now(), self.cloud.free_machines)
            self._check_renewals()
            assert not self.rules.broken, self.rules.broken

    def _check_renewals(self) -> None:
        member = self.leader()
        leader = None if member is None else self.controllers[member].leader
        if leader is not None:
            uncounted = uncounted_renewals(leader, self.cloud.workers())
            assert not uncounted, f"renewals are not counted: {uncounted}"

    async def until(self, check: Callable[[], bool], timeout_s: float = 120.0) -> float:
        """Wait until a condition holds, checked every 0.25 s; returns the seconds waited."""
        began = asyncio.get_running_loop().time()
        while not check():
            assert asyncio.get_running_loop().time() - began < timeout_s, (
                "the condition did not hold in time"
            )
            await self.wait(0.25)
        return asyncio.get_running_loop().time() - began

    async def until_led(self, timeout_s: float = 120.0) -> float:
        """Wait until a controller leads; returns the seconds waited."""
        return await self.until(lambda: self.leader() is not None, timeout_s)

    def running(self, name: str) -> int:
        """Number of running tasks of a job."""
        return sum(job_id == name for job_id, _ in self.rules.running)

    async def readiness(self, member: str) -> int | None:
        """The status of a controller's readiness check, if it answers."""
        reply = await self.send_user_request("GET", "/ready", None, member)
        return None if reply is None else reply.status

    # users

    def start_user(self, user: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run another user concurrently; an exception in it counts as a broken invariant."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(user, context=contextvars.Context())
        self.extra_user_tasks.add(task)
        task.add_done_callback(self._user_finished)
        return task

    def _user_finished(self, task: asyncio.Task[None]) -> None:
        self.extra_user_tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None:
            self.rules.broken.append(f"a user failed: {error!r}")

    async def send_user_request(
        self, method: str, path: str, body: bytes | None = None, member: str | None = None
    ) -> Reply | None:
        """Send one request as a user, and record it and its answer in the history; without a
        given controller, one that runs is drawn."""
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
        """Submit a job, retrying every second until it is accepted or refused; the status."""
        self.rules.submitted(spec, asyncio.get_running_loop().time())
        body = json.dumps(
            {key: value for key, value in spec.items() if key not in ("runS", "broken")}
        ).encode()
        for _ in range(tries):
            reply = await self.send_user_request("POST", "/submissions", body, member)
            if reply is not None and reply.status in (*ACCEPTED, *REFUSED):
                return reply.status
            await asyncio.sleep(1)
        return None

    async def accept(self, *specs: dict[str, Any]) -> list[str]:
        """Submit new jobs, each of which must be accepted; returns their names."""
        for spec in specs:
            status = await self.submit(spec)
            assert status == 201, f"{spec['id']} was answered with {status}"
        return [spec["id"] for spec in specs]

    async def accept_jobs(self, count: int, **changes: Any) -> list[str]:  # noqa: ANN401 - any field
        """Submit `count` similar new jobs, each of which must be accepted; returns their
        names."""
        return await self.accept(*(job(number, **changes) for number in range(count)))

    async def poll(self, name: str, member: str | None = None) -> str | None:
        """Request a job's state once; None without a successful answer."""
        reply = await self.send_user_request("GET", f"/submissions/{name}", None, member)
        if reply is None or reply.status != 200:
            return None
        return str(json.loads(reply.body)["stance"])

    async def cancel(self, name: str, tries: int = 40, member: str | None = None) -> str | None:
        """Cancel a job, retrying every second until a request succeeds; the job's state."""
        for _ in range(tries):
            reply = await self.send_user_request(
                "POST", f"/submissions/{name}/cancel", b"", member
            )
            if reply is not None and reply.status == 200:
                return str(json.loads(reply.body)["stance"])
            await asyncio.sleep(1)
        return None

    async def finish(self, names: list[str], timeout_s: float = 240.0) -> float:
        """Poll until all jobs are done or cancelled; returns the seconds waited."""
        began = asyncio.get_running_loop().time()
        left = list(names)
        while left:
            assert asyncio.get_running_loop().time() - began < timeout_s, (
                f"not finished in time: {left}"
            )
            await self.wait(1.0)
            left = [name for name in left if await self.poll(name) not in ("done", "cancelled")]
        assert not self.rules.broken, self.rules.broken
        return asyncio.get_running_loop().time() - began


async def led_cluster(seed: int = 1, **settings: Any) -> SimulatedCluster:  # noqa: ANN401 - any field of the cluster
    """A simulated cluster in which a controller leads already."""
    cluster = SimulatedCluster(seed=seed, **settings)
    await cluster.until_led()
    return cluster
