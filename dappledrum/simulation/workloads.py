"""Five whole controllers with work, for tests that bring about one meeting: the set-up, what a
test does to machines and jobs, and the final checks.

`play_long_work` has jobs that outlast any trouble, of which the test cancels some;
`begin_short_work` has jobs that end by themselves.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from dappledrum.controller.controller import Controller
from dappledrum.leader.leader import Leader
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.network import Copies
from dappledrum.simulation.scenario import LEASE_S, end_faults, later, now
from dappledrum.simulation.virtual_time import run

LOOK_EVERY_S = 0.25
CLOCKS_OFF = timedelta(seconds=0.5)  # and the steps in which the worlds are looked at


def job_name(number: int) -> str:
    """The name of a job by its number."""
    return f"j-{number:06d}"


class GhostWatchingCluster(SimulatedCluster):
    """Notes when the leader takes a machine that is gone for one that is there."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.gone_at: dict[str, float] = {}
        self.ghosts: list[str] = []
        take = self.cloud.take

        def taken(name: str) -> None:
            self.gone_at.setdefault(name, now())
            take(name)

        self.cloud.take = taken  # type: ignore[method-assign]

    async def wait(self, seconds: float) -> None:
        """Look on the way."""
        end = now() + seconds
        while now() < end:
            await super().wait(min(LOOK_EVERY_S, end - now()))
            member = self.leader()
            leader = self.controllers[member].leader if member is not None else None
            if leader is not None:
                self._look(leader)

    def _look(self, leader: Leader) -> None:
        time = leader.clock.now()
        began = now() - (time - leader.began).total_seconds()
        planned = {view.machine for view in leader.dispatcher.machines.timelines(time)}
        for machine in leader.registry:
            gone = self.gone_at.get(machine.name)
            if gone is None or gone > began - CLOCKS_OFF.total_seconds():
                continue
            # The cloud's list may show it for a while, and a record say that it boots.
            told = machine.listed_at is not None or machine.rented_at != machine.seen_at
            counted = machine.name in planned and not told
            if machine.up or counted and not machine.placements:
                self.ghosts.append(machine.name)


@dataclass
class Busy:
    """A world with jobs that it must finish."""

    cluster: SimulatedCluster
    rng: random.Random
    names: list[str] = field(default_factory=list)  # jobs that end by themselves
    cancelled: set[int] = field(default_factory=set)

    def leader(self) -> Leader:
        """What the controller that leads now does as a leader."""
        member = self.cluster.leader()
        assert member is not None
        leader = self.cluster.controllers[member].leader
        assert leader is not None
        return leader

    def leading_controller(self) -> Controller:
        """The controller that leads now."""
        member = self.cluster.leader()
        assert member is not None
        return self.cluster.controllers[member]

    def others(self) -> list[str]:
        """Controllers that do not lead."""
        return [member for member in FIVE if member != self.cluster.leader()]

    def sessions(self) -> dict[str, int]:
        """The session of each worker: a new one has lost all its tasks."""
        return {worker.name: worker.session for worker in self.cluster.cloud.workers()}

    def running(self, number: int) -> list[int]:
        """Tasks of a job that are on machines."""
        return [task for name, task in self.cluster.rules.running if name == job_name(number)]

    async def submit(self, number: int, tries: int = 40, **changes: Any) -> str:  # noqa: ANN401
        """Submit a job that must be over in the end; its name."""
        spec = job(number, **({"dueS": None} | changes))
        self.names.append(spec["id"])
        assert await self.cluster.submit(spec, tries) in (200, 201)
        return str(spec["id"])

    async def cancel(self, number: int, member: str) -> None:
        """Cancel a job at a controller that must answer at once."""
        self.cancelled.add(number)
        path = f"/submissions/{job_name(number)}/cancel"
        reply = await self.cluster._ask("POST", path, b"", member)
        assert reply is not None and reply.status == 200 and b'"cancelled"' in reply.body

    def hang(self, worker: Worker, seconds: float) -> None:
        """A machine stands still for so long."""
        worker.hung = True
        later(seconds, setattr, worker, "hung", False)

    async def finish(self, most: float) -> float:
        """All troubles but late copies are over: the jobs end in time; how long it took."""
        self.cluster.rules.faults_over_at = now()
        return await self.cluster.finish(self.names, most)


def play_long_work(seed: int, act: Callable[[Busy], Awaitable[None]], jobs: int = 4) -> None:
    """Jobs of three tasks that outlast any trouble. In the end what the test has cancelled stays
    so, and has no task left; the others run, until they are cancelled here."""

    async def main() -> None:
        cluster = SimulatedCluster(members=FIVE, seed=seed, lease_s=LEASE_S)
        work = Busy(cluster, cluster.rng)
        await cluster.until(lambda: cluster.leader() is not None)
        for number in range(jobs):
            spec = job(number, beats=3, runS=400.0, expectedS=400.0, dueS=900.0)
            assert await cluster.submit(spec) == 201
        await cluster.until(lambda: len(cluster.rules.running) == 3 * jobs)
        await cluster.wait(4)
        await act(work)
        end_faults(cluster)
        await cluster.wait(20)
        for number in range(jobs):
            if number in work.cancelled:
                assert await cluster.poll(job_name(number)) == "cancelled"
                assert not work.running(number)
            else:
                assert await cluster.cancel(job_name(number)) == "cancelled"
        await cluster.finish([job_name(number) for number in range(jobs)], most=60)

    run(main())


async def begin_short_work(
    seed: int, copies: tuple[str, ...] = (), machines: int = 8, jobs: int = 5
) -> Busy:
    """Some machines, and jobs of six tasks of which some have started; requests to these paths
    come again, from 1 s to three leases late."""
    cluster = GhostWatchingCluster(seed=seed, members=FIVE, lease_s=LEASE_S)
    work = Busy(cluster, random.Random(seed))
    for _ in range(machines):
        cluster.cloud.add(("small", "a", True))
    cluster.cloud.most = machines + 4
    await cluster.until(lambda: cluster.leader() is not None)
    if copies:
        cluster.network.copies = Copies(0.6, 1.0, 3 * LEASE_S, cluster.members, copies)
    for number in range(jobs):
        await work.submit(number, beats=6, crew="red" if number == 4 else "blue")
    await cluster.until(lambda: cluster.rules.starts >= 6)
    return work
