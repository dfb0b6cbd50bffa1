"""Processes that end at a chosen step of what they do, and are there again within a second.

A step is told by the request that it sends, or by the one that it is about to answer. When the
chosen one comes by, its sender (or whoever should answer) ends: before anything has left, right
after the request has, or so that the request is executed a while later, when the next process of
the same name runs already. That one begins after a span drawn from 0 to 1 s.
"""

import asyncio
import random
import re
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.network import Sent, host

BACK = (0.0, 0.01, 0.1, 0.3, 1.0)
MAX_LATENESS = 5.0


class Step(NamedTuple):
    """A kind of request, and whether it is who answers it that ends."""

    matches: Callable[[Sent], bool]
    answering: bool = False


def _writes(sent: Sent, key: bytes) -> bool:
    return sent.path == "/multi" and b'"write":"' + key in sent.body


def _asks(sent: Sent, kind: bytes) -> bool:
    return sent.target.startswith("back-") and kind in sent.body


def _step(target: str, path: str) -> Step:
    return Step(lambda sent: sent.target == target and sent.path.startswith(path))


def _peer(kind: bytes, answering: bool = False) -> Step:
    return Step(lambda sent: _asks(sent, kind), answering)


STEPS: dict[str, Step] = {
    "first look": _step("state", "/keys?prefix=leader"),
    "lease": Step(lambda sent: sent.target == "state" and sent.path == "/holds"),
    "end of the former hold": Step(
        lambda sent: sent.target == "state" and re.fullmatch(r"/holds/\d+", sent.path) is not None
    ),
    "candidate asks": _peer(b"standing"),
    "candidate is answered": _peer(b"standing", True),
    "election": Step(lambda sent: _writes(sent, b"leader")),
    "renewal": Step(lambda sent: sent.target == "state" and sent.path.endswith("/touch")),
    "first read": _step("state", "/keys?prefix=job/"),
    "records": Step(lambda sent: _writes(sent, b"job/")),
    "end of a job": Step(lambda sent: _writes(sent, b"ended/")),
    "rental": Step(lambda sent: sent.target == "cloud" and sent.path == "/rentals"),
    "return": _step("cloud", "/rentals/return"),
    "promise asked": _peer(b"promise"),
    "promise given": _peer(b"promise", True),
    "handover": _peer(b"hand_over"),
    "handover taken": _peer(b"hand_over", True),
    "word": _peer(b"reach"),
    "report": Step(lambda sent: sent.path == "/hello", True),
}


class CrashPoints:
    """Ends controllers of a world at one step, now and then."""

    def __init__(
        self, cluster: SimulatedCluster, step: Step, rng: random.Random, most: int
    ) -> None:
        self.cluster = cluster
        self.step = step
        self.rng = rng
        self.most = most
        self.next = rng.randint(1, 2)  # of those that come by, until one is chosen
        self.fates: Counter[str] = Counter()
        cluster.network.watcher = self._sees

    def _sees(self, sent: Sent) -> float | None:
        if self.fates.total() >= self.most or not self.step.matches(sent):
            return None
        member = host(sent.target if self.step.answering else sent.source)
        if member not in self.cluster.members or not self.cluster.alive(member):
            return None
        self.next -= 1
        if self.next > 0:
            return None
        self.next = self.rng.randint(1, 8)
        fate = self.rng.choice(("before", "after", "late"))
        self.fates[fate] += 1
        loop = asyncio.get_running_loop()
        if fate == "after":
            loop.call_later(self.rng.uniform(0.0, 0.01), self._end, member)
            return None
        self._end(member)
        if self.step.answering:
            return None  # nobody is there, or the next process
        return self.rng.uniform(0.0, MAX_LATENESS) if fate == "late" else 3600.0

    def _end(self, member: str) -> None:
        if self.cluster.alive(member):
            self.cluster.kill(member)
            asyncio.get_running_loop().call_later(
                self.rng.choice(BACK), self.cluster.start, member
            )


async def play_ends(step: str, seed: int) -> int:
    """Play five controllers at work that end at one step, now and then, until every job is over;
    how often one did."""
    rng = random.Random(f"{step} {seed}")
    cluster = await led_cluster(seed, members=FIVE)
    ends = CrashPoints(cluster, STEPS[step], rng, most=10)
    names = []
    for number in range(6):
        spec = job(number, beats=6, dueS=None, crew="red" if number == 5 else "blue")
        names.append(spec["id"])
        assert await cluster.submit(spec) in (200, 201)
    await cluster.until(lambda: cluster.rules.starts >= 4)
    names.append(await _make_each_step_come_by(cluster, rng))
    cluster.network.watcher = None
    await cluster.wait(2)
    await cluster.finish(names, most=400)
    return ends.fates.total()


async def _make_each_step_come_by(cluster: SimulatedCluster, rng: random.Random) -> str:
    """An outage, leaders that end or must hand over, machines taken; the name of a job that was
    submitted meanwhile."""
    for _ in range(2):
        await cluster.wait(rng.uniform(1, 3))
        if cluster.leader() is not None:
            await cluster.restart(cluster.leader(), rng.uniform(0, 4))
    cluster.store.out = True
    await cluster.wait(rng.uniform(2, 4))
    cluster.store.end_outage()
    await cluster.wait(rng.uniform(14, 16))  # a term that is long enough to be handed over
    leader = cluster.leader()
    if leader is not None:
        cluster.store.refused.add(leader)
    for name in list(cluster.cloud.machines)[::3]:
        cluster.cloud.take(name)
    await cluster.wait(rng.uniform(5, 8))
    cluster.store.refused.clear()
    late = job(900, dueS=None)
    assert await cluster.submit(late) in (200, 201)
    await cluster.wait(60)  # and idle machines for long enough to be returned
    if cluster.leader() is not None:
        cluster.store.refused.add(cluster.leader())
    await cluster.wait(6)
    cluster.store.refused.clear()
    return str(late["id"])
