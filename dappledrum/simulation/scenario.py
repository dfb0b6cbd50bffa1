"""Runs scenarios in a simulated cluster of five complete controllers: users submit jobs, the test
injects faults, and in the end every accepted job must have finished and be the same at each
controller.

A test injects faults in the body of `async with running_scenario(seed)`; users, times and machines
are drawn from the seed, and the invariants are checked on each step. `run_day` is smaller: any
simulated cluster, one fault, and a few jobs before and after it.
"""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.fault_combinations import FIVE, submission, user
from dappledrum.simulation.faults import end_all

LEASE_S = 9.0
CANCEL_S = 30.0
USERS = 10
MACHINES = 9


def now() -> float:
    """Virtual time in seconds."""
    return asyncio.get_running_loop().time()


def call_later(seconds: float, callback: Callable[..., object], *arguments: object) -> None:
    """Call a function after some seconds of virtual time."""
    asyncio.get_running_loop().call_later(seconds, callback, *arguments)


@dataclass
class Scenario:
    """A simulated cluster, and the jobs that the test itself submitted."""

    cluster: SimulatedCluster
    rng: random.Random
    names: list[str] = field(default_factory=list)

    def others(self) -> list[str]:
        """Controllers that do not lead."""
        return [member for member in FIVE if member != self.cluster.leader()]

    async def submit_long(self, *numbers: int, **changes: Any) -> None:  # noqa: ANN401 - any field
        """Submit jobs whose three tasks run for 2 s, 25 s and 60 s."""
        for number in numbers:
            spec = job(900 + number, beats=3, runS=[2.0, 25.0, 60.0], expectedS=60.0, dueS=None)
            self.names.append(spec["id"])
            assert await self.cluster.submit(spec | changes, 60) in (200, 201)

    async def cancel(self, number: int, member: str) -> None:
        """Cancel one of these jobs at a controller that must answer the first request."""
        path = f"/submissions/j-{900 + number:06d}/cancel"
        reply = await self.cluster.send_user_request("POST", path, b"", member)
        assert reply is not None, f"{member} does not answer"
        assert reply.status == 200
        assert b'"cancelled"' in reply.body

    def machines_of(self, number: int) -> set[str]:
        """Machines that run tasks of one of these jobs."""
        name = f"j-{900 + number:06d}"
        running = self.cluster.rules.running.items()
        return {machine for (job_id, _), where in running if job_id == name for machine in where}

    async def until_led(self, *besides: str) -> None:
        """Wait until a controller other than these leads."""
        await self.cluster.until(
            lambda: self.cluster.leader() not in (None, *besides), timeout_s=60
        )


def end_faults(cluster: SimulatedCluster) -> None:
    """End all faults that a test may have left; from now on the invariants expect progress."""
    end_all(cluster)


@asynccontextmanager
async def running_scenario(
    seed: int,
    machines: int = MACHINES,
    users: int = USERS,
    **settings: Any,  # noqa: ANN401 - any field of the cluster
) -> AsyncIterator[Scenario]:
    """Run a scenario in which the body of the `async with` injects faults.

    After the body all faults end; then every accepted job must finish, and be the same at each
    controller. If the body raises, nothing more is checked.
    """
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=LEASE_S, **settings)
    cluster.cloud.max_machines = machines + 4
    rng = random.Random(f"meeting {seed}")
    for _ in range(machines):
        cluster.cloud.add(("small", rng.choice(("a", "b")), rng.random() < 0.8))
    await cluster.until(lambda: cluster.leader() is not None)
    user_tasks = []
    for number in range(users):
        user_rng = random.Random(f"{seed} {number}")
        submitting = user(cluster, submission(number, user_rng), user_rng)
        user_tasks.append(asyncio.ensure_future(submitting))
    scenario = Scenario(cluster, rng)
    await cluster.wait(10)
    yield scenario
    end_faults(cluster)
    while cluster.extra_user_tasks or not all(task.done() for task in user_tasks):
        await cluster.wait(1)
    accepted = [name for task in user_tasks if (name := task.result()) is not None]
    names = accepted + scenario.names
    await cluster.finish(names, timeout_s=500)
    for name in names:
        for member in FIVE:
            await cluster.poll(name, member)
    assert not cluster.rules.broken, cluster.rules.broken


async def run_day(
    cluster: SimulatedCluster,
    fault: Callable[[SimulatedCluster], Awaitable[None]],
    jobs: int = 6,
    **changes: Any,  # noqa: ANN401 - any field of the jobs
) -> None:
    """Submit jobs, inject a fault while they run, submit one more, and wait until all have
    finished."""
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


async def cluster_with_long_jobs(**settings: Any) -> SimulatedCluster:  # noqa: ANN401 - any field of a cluster
    """A cluster of five controllers whose running tasks outlast any fault."""
    cluster = await led_cluster(members=FIVE, **settings)
    await cluster.accept_jobs(3, beats=6, runS=200.0, expectedS=200.0, dueS=400.0)
    await cluster.until(lambda: len(cluster.rules.running) == 18)
    await cluster.wait(3)
    return cluster


def sessions(cluster: SimulatedCluster) -> dict[str, int]:
    """The session of each worker; it increases when the worker's lease expires."""
    return {worker.name: worker.session for worker in cluster.cloud.workers()}


async def wait_without_lost_leases(cluster: SimulatedCluster, seconds: float) -> None:
    """Let time pass, and check that no worker's lease expires."""
    before = sessions(cluster)
    await cluster.wait(seconds)
    lost = [name for name, session in sessions(cluster).items() if session > before.get(name, 1)]
    assert lost == [], "workers whose lease has expired"
