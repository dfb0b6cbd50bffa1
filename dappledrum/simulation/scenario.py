"""One scenario over five whole controllers: users, a trouble that a test brings about, and the end
at which every accepted job must be known and over.

A test calls `play` with a seed and a coroutine that makes the trouble; users, moments and machines
are drawn from the seed, and the rules are checked at each step. `day` is smaller: any world, and a
few jobs before and after one trouble.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.fault_combinations import FIVE, submission, user
from dappledrum.simulation.faults import end_all
from dappledrum.simulation.virtual_time import run

LEASE_S = 9.0
CANCEL_S = 30.0
USERS = 10
MACHINES = 9


def now() -> float:
    """Virtual time in seconds."""
    return asyncio.get_running_loop().time()


def later(seconds: float, act: Callable[..., object], *arguments: object) -> None:
    """Call something after so many seconds."""
    asyncio.get_running_loop().call_later(seconds, act, *arguments)


@dataclass
class Scenario:
    """A world in which something goes wrong, and the jobs that the test itself submitted."""

    cluster: SimulatedCluster
    rng: random.Random
    names: list[str] = field(default_factory=list)

    def others(self) -> list[str]:
        """Controllers that do not lead."""
        return [member for member in FIVE if member != self.cluster.leader()]

    async def submit_long(self, *numbers: int, **changes: Any) -> None:  # noqa: ANN401 - any field
        """Submit jobs whose three tasks end after 2 s, 25 s and 60 s."""
        for number in numbers:
            spec = job(900 + number, beats=3, runS=[2.0, 25.0, 60.0], expectedS=60.0, dueS=None)
            self.names.append(spec["id"])
            assert await self.cluster.submit(spec | changes, 60) in (200, 201)

    async def cancel(self, number: int, member: str) -> None:
        """Cancel one of these jobs at a controller that must answer at once."""
        path = f"/submissions/j-{900 + number:06d}/cancel"
        reply = await self.cluster._ask("POST", path, b"", member)
        assert reply is not None and reply.status == 200 and b'"cancelled"' in reply.body

    def machines_of(self, number: int) -> set[str]:
        """Machines on which tasks of one of these jobs run."""
        name = f"j-{900 + number:06d}"
        running = self.cluster.rules.running.items()
        return {machine for (job_id, _), where in running if job_id == name for machine in where}

    async def until_led(self, *besides: str) -> None:
        """Wait until somebody leads who is none of these."""
        await self.cluster.until(lambda: self.cluster.leader() not in (None, *besides), most=60)


def end_faults(cluster: SimulatedCluster) -> None:
    """End everything that a test may have left broken; the rules' quiet time begins."""
    end_all(cluster)


def play(
    seed: int,
    act: Callable[[Scenario], Awaitable[None]],
    machines: int = MACHINES,
    users: int = USERS,
    **of_cluster: Any,  # noqa: ANN401 - any field of the world
) -> None:
    """Play one scenario to its end, at which all jobs are over and the same at each controller."""

    async def main() -> None:
        cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=LEASE_S, **of_cluster)
        cluster.cloud.most = machines + 4
        rng = random.Random(f"meeting {seed}")
        for _ in range(machines):
            cluster.cloud.add(("small", rng.choice(("a", "b")), rng.random() < 0.8))
        await cluster.until(lambda: cluster.leader() is not None)
        asking = []
        for number in range(users):
            one = random.Random(f"{seed} {number}")
            asking.append(asyncio.ensure_future(user(cluster, submission(number, one), one)))
        scenario = Scenario(cluster, rng)
        await cluster.wait(10)
        await act(scenario)
        end_faults(cluster)
        while cluster.acting or not all(one.done() for one in asking):
            await cluster.wait(1)
        accepted = [name for one in asking if (name := one.result()) is not None]
        names = accepted + scenario.names
        await cluster.finish(names, most=500)
        for name in names:
            for member in FIVE:
                await cluster.poll(name, member)
        assert not cluster.rules.broken, cluster.rules.broken

    run(main())


async def day(
    cluster: SimulatedCluster,
    fault: Callable[[SimulatedCluster], Awaitable[None]],
    jobs: int = 6,
    **changes: Any,  # noqa: ANN401 - any field of the jobs
) -> None:
    """Submit jobs, let something go wrong while they run, submit more, and see them all end."""
    await cluster.until_led()
    names = await cluster.accept_jobs(jobs, **changes)
    await cluster.until(lambda: cluster.rules.starts >= 4)
    await fault(cluster)
    cluster.network.heal()
    late = job(900)
    assert await cluster.submit(late) in (200, 201)
    await cluster.finish([*names, late["id"]])
    for name in names:
        for member in cluster.members:
            assert await cluster.poll(name, member) in ("done", None)


async def busy_cluster(**settings: Any) -> SimulatedCluster:  # noqa: ANN401 - any field of a world
    """Five controllers, and machines with work that lasts longer than any trouble."""
    cluster = await led_cluster(members=FIVE, **settings)
    await cluster.accept_jobs(3, beats=6, runS=200.0, expectedS=200.0, dueS=400.0)
    await cluster.until(lambda: len(cluster.rules.running) == 18)
    await cluster.wait(3)
    return cluster


def sessions(cluster: SimulatedCluster) -> dict[str, int]:
    """The sessions of all workers: one that has lost its lease is in a later one."""
    return {worker.name: worker.session for worker in cluster.cloud.workers()}


async def nothing_lost(cluster: SimulatedCluster, seconds: float) -> None:
    """Let time pass, in which no worker may lose its lease."""
    before = sessions(cluster)
    await cluster.wait(seconds)
    lost = [name for name, session in sessions(cluster).items() if session > before.get(name, 1)]
    assert lost == []
