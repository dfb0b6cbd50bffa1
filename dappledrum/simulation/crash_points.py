"""Crashes controllers at a chosen step of their work, and restarts them within a second.

A step is recognised by a request that is sent, or by one that is about to be answered. The sender
(or the answering process) crashes before the request is sent, right after it was sent, or so that
the request is executed up to `MAX_REQUEST_DELAY_S` later, when the restarted process may already
run. An answering process crashes as the request arrives, or right after. The restart delay is
drawn from `RESTART_DELAYS_S`.
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

RESTART_DELAYS_S = (0.0, 0.01, 0.1, 0.3, 1.0)
MAX_REQUEST_DELAY_S = 5.0
NEVER_S = 3600.0  # a delay longer than any test


class Step(NamedTuple):
    """A kind of request; `answering`: the process that answers it crashes, not the sender."""

    matches: Callable[[Sent], bool]
    answering: bool = False


def _writes_key(sent: Sent, key: bytes) -> bool:
    return sent.path == "/multi" and b'"write":"' + key in sent.body


def _is_peer_request(sent: Sent, kind: bytes) -> bool:
    return sent.target.startswith("back-") and kind in sent.body


def _request_to(target: str, path: str) -> Step:
    return Step(lambda sent: sent.target == target and sent.path.startswith(path))


def _peer_request(kind: bytes, answering: bool = False) -> Step:
    return Step(lambda sent: _is_peer_request(sent, kind), answering)


STEPS: dict[str, Step] = {
    "read of the leader key": _request_to("state", "/keys?prefix=leader"),
    "lease": Step(lambda sent: sent.target == "state" and sent.path == "/holds"),
    "end of the former lease": Step(
        lambda sent: sent.target == "state" and re.fullmatch(r"/holds/\d+", sent.path) is not None
    ),
    "pre-vote sent": _peer_request(b"standing"),
    "pre-vote answered": _peer_request(b"standing", True),
    "election": Step(lambda sent: _writes_key(sent, b"leader")),
    "renewal": Step(lambda sent: sent.target == "state" and sent.path.endswith("/touch")),
    "read of the jobs": _request_to("state", "/keys?prefix=job/"),
    "records": Step(lambda sent: _writes_key(sent, b"job/")),
    "end of a job": Step(lambda sent: _writes_key(sent, b"ended/")),
    "rental": Step(lambda sent: sent.target == "cloud" and sent.path == "/rentals"),
    "return": _request_to("cloud", "/rentals/return"),
    "lease grant requested": _peer_request(b"promise"),
    "lease grant given": _peer_request(b"promise", True),
    "leadership transfer sent": _peer_request(b"hand_over"),
    "leadership transfer accepted": _peer_request(b"hand_over", True),
    "peer heartbeat": _peer_request(b"reach"),
    "heartbeat": Step(lambda sent: sent.path == "/hello", True),
}


#: Former names of steps; they seed the random generator, so that a seed still draws the same
#: crashes.
SEED_NAMES = {
    "read of the leader key": "first look",
    "end of the former lease": "end of the former hold",
    "pre-vote sent": "candidate asks",
    "pre-vote answered": "candidate is answered",
    "read of the jobs": "first read",
    "lease grant requested": "promise asked",
    "lease grant given": "promise given",
    "leadership transfer sent": "handover",
    "leadership transfer accepted": "handover taken",
    "peer heartbeat": "word",
    "heartbeat": "report",
}


class CrashPoints:
    """Crashes controllers of a cluster at some of the requests of one step.

    A crash is drawn for one of the first two requests, then for one of the next eight each time.
    """

    def __init__(
        self, cluster: SimulatedCluster, step: Step, rng: random.Random, max_crashes: int
    ) -> None:
        self.cluster = cluster
        self.step = step
        self.rng = rng
        self.max_crashes = max_crashes
        self.until_crash = rng.randint(1, 2)  # matching requests until the next crash
        self.crashes: Counter[str] = Counter()  # by moment: before, after, late
        cluster.network.watcher = self._observe

    def _observe(self, sent: Sent) -> float | None:
        if self.crashes.total() >= self.max_crashes or not self.step.matches(sent):
            return None
        member = host(sent.target if self.step.answering else sent.source)
        if member not in self.cluster.members or not self.cluster.alive(member):
            return None
        self.until_crash -= 1
        if self.until_crash > 0:
            return None
        self.until_crash = self.rng.randint(1, 8)
        moment = self.rng.choice(("before", "after", "late"))
        self.crashes[moment] += 1
        loop = asyncio.get_running_loop()
        if moment == "after":
            loop.call_later(self.rng.uniform(0.0, 0.01), self._crash, member)
            return None
        self._crash(member)
        if self.step.answering:
            return None  # the connection is refused, since no process serves the target
        return self.rng.uniform(0.0, MAX_REQUEST_DELAY_S) if moment == "late" else NEVER_S

    def _crash(self, member: str) -> None:
        if self.cluster.alive(member):
            self.cluster.kill(member)
            asyncio.get_running_loop().call_later(
                self.rng.choice(RESTART_DELAYS_S), self.cluster.start, member
            )


async def run_with_crashes(step: str, seed: int) -> int:
    """Run five controllers with crashes at one step until every job has finished; returns the
    number of crashes."""
    rng = random.Random(f"{SEED_NAMES.get(step, step)} {seed}")
    cluster = await led_cluster(seed, members=FIVE)
    crash_points = CrashPoints(cluster, STEPS[step], rng, max_crashes=10)
    names = []
    for number in range(6):
        spec = job(number, beats=6, dueS=None, crew="red" if number == 5 else "blue")
        names.append(spec["id"])
        assert await cluster.submit(spec) in (200, 201)
    await cluster.until(lambda: cluster.rules.starts >= 4)
    names.append(await _reach_each_step(cluster, rng))
    cluster.network.watcher = None
    await cluster.wait(2)
    await cluster.finish(names, timeout_s=400)
    return crash_points.crashes.total()


async def _reach_each_step(cluster: SimulatedCluster, rng: random.Random) -> str:
    """Bring about crashes of leaders, an outage, leadership transfers and terminated machines, so
    that each step occurs; returns the name of a job that was submitted meanwhile."""
    for _ in range(2):
        await cluster.wait(rng.uniform(1, 3))
        leader = cluster.leader()
        if leader is not None:
            await cluster.restart(leader, rng.uniform(0, 4))
    cluster.store.in_outage = True
    await cluster.wait(rng.uniform(2, 4))
    cluster.store.end_outage()
    await cluster.wait(rng.uniform(14, 16))  # the term must be old enough for a transfer
    leader = cluster.leader()
    if leader is not None:
        cluster.store.refused.add(leader)
    for name in list(cluster.cloud.machines)[::3]:
        cluster.cloud.terminate(name)
    await cluster.wait(rng.uniform(5, 8))
    cluster.store.refused.clear()
    late = job(900, dueS=None)
    assert await cluster.submit(late) in (200, 201)
    await cluster.wait(60)  # until idle machines are returned
    leader = cluster.leader()
    if leader is not None:
        cluster.store.refused.add(leader)
    await cluster.wait(6)
    cluster.store.refused.clear()
    return str(late["id"])
