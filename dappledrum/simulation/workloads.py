"""Simulated clusters of five controllers with jobs, for tests of concurrent faults: the set-up,
actions on machines and jobs, and the final checks.

`long_running_jobs` has jobs that outlast any fault, of which the test cancels some;
`start_short_jobs` has jobs that finish by themselves.
"""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any

from dappledrum.controller.controller import Controller
from dappledrum.leader.leader import Leader
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.network import Copies
from dappledrum.simulation.scenario import LEASE_S, call_later, end_faults, now

CHECK_INTERVAL_S = 0.25
#: Bound on the difference of clocks plus the interval between two checks of a cluster.
MAX_CLOCK_DIFFERENCE = timedelta(seconds=0.5)


def job_name(number: int) -> str:
    """The name of a job by its number."""
    return f"j-{number:06d}"


class TerminationCheckingCluster(SimulatedCluster):
    """Records machines that the leader counts as up after they have terminated."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.terminated_at: dict[str, float] = {}
        self.kept_after_termination: list[str] = []
        terminate = self.cloud.terminate

        def terminate_and_record(name: str) -> None:
            self.terminated_at.setdefault(name, now())
            terminate(name)

        self.cloud.terminate = terminate_and_record  # type: ignore[method-assign]

    async def wait(self, seconds: float) -> None:
        """Let time pass, and check the leader's machines on the way."""
        end = now() + seconds
        while now() < end:
            await super().wait(min(CHECK_INTERVAL_S, end - now()))
            member = self.leader()
            leader = self.controllers[member].leader if member is not None else None
            if leader is not None:
                self._check_machines(leader)

    def _check_machines(self, leader: Leader) -> None:
        time = leader.clock.now()
        began = now() - (time - leader.began).total_seconds()
        planned = {view.machine for view in leader.dispatcher.machines.timelines(time)}
        for machine in leader.registry:
            terminated = self.terminated_at.get(machine.name)
            if terminated is None or terminated > began - MAX_CLOCK_DIFFERENCE.total_seconds():
                continue
            # The cloud's list may still show it, and a record may say that it boots.
            reported = machine.listed_at is not None or machine.rented_at != machine.seen_at
            counted = machine.name in planned and not reported
            if machine.up or (counted and not machine.placements):
                self.kept_after_termination.append(machine.name)


@dataclass
class LoadedCluster:
    """A simulated cluster with jobs that it must finish."""

    cluster: SimulatedCluster
    rng: random.Random
    names: list[str] = field(default_factory=list)  # jobs that finish by themselves
    cancelled: set[int] = field(default_factory=set)

    def leader(self) -> Leader:
        """The leader's part of the controller that leads now."""
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
        """The session of each worker; a worker in a new session has lost all its tasks."""
        return {worker.name: worker.session for worker in self.cluster.cloud.workers()}

    def running(self, number: int) -> list[int]:
        """Tasks of a job that are on machines."""
        return [task for name, task in self.cluster.rules.running if name == job_name(number)]

    async def submit(self, number: int, tries: int = 40, **changes: Any) -> str:  # noqa: ANN401
        """Submit a job that must finish before the test ends; returns its name."""
        spec = job(number, **({"dueS": None} | changes))
        self.names.append(spec["id"])
        assert await self.cluster.submit(spec, tries) in (200, 201)
        return str(spec["id"])

    async def cancel(self, number: int, member: str) -> None:
        """Cancel a job at a controller that must answer the first request."""
        self.cancelled.add(number)
        path = f"/submissions/{job_name(number)}/cancel"
        reply = await self.cluster.send_user_request("POST", path, b"", member)
        assert reply is not None, f"{member} does not answer"
        assert reply.status == 200
        assert b'"cancelled"' in reply.body

    def hang(self, worker: Worker, seconds: float) -> None:
        """Let a machine hang for some seconds."""
        worker.hung = True
        call_later(seconds, setattr, worker, "hung", False)

    async def finish(self, timeout_s: float) -> float:
        """Wait until all jobs have finished, after all faults but late copies have ended; returns
        the seconds waited."""
        self.cluster.rules.faults_over_at = now()
        return await self.cluster.finish(self.names, timeout_s)


@asynccontextmanager
async def long_running_jobs(seed: int, jobs: int = 4) -> AsyncIterator[LoadedCluster]:
    """Run jobs of three tasks that outlast any fault, during the body of the `async with`.

    After the body all faults end. Then the jobs cancelled by the body must be cancelled and have
    no running task, and the others must still run; they are cancelled here.
    """
    cluster = SimulatedCluster(members=FIVE, seed=seed, lease_s=LEASE_S)
    work = LoadedCluster(cluster, cluster.rng)
    await cluster.until(lambda: cluster.leader() is not None)
    for number in range(jobs):
        spec = job(number, beats=3, runS=400.0, expectedS=400.0, dueS=900.0)
        assert await cluster.submit(spec) == 201
    await cluster.until(lambda: len(cluster.rules.running) == 3 * jobs)
    await cluster.wait(4)
    yield work
    end_faults(cluster)
    await cluster.wait(20)
    for number in range(jobs):
        if number in work.cancelled:
            assert await cluster.poll(job_name(number)) == "cancelled"
            assert not work.running(number), f"tasks of {job_name(number)}, which is cancelled"
        else:
            assert await cluster.cancel(job_name(number)) == "cancelled"
    await cluster.finish([job_name(number) for number in range(jobs)], timeout_s=60)


async def start_short_jobs(
    seed: int, copies: tuple[str, ...] = (), machines: int = 8, jobs: int = 5
) -> LoadedCluster:
    """Start machines, and jobs of six tasks of which some have started; requests to the paths in
    `copies` are duplicated, with a delay of 1 s to three leases."""
    cluster = TerminationCheckingCluster(seed=seed, members=FIVE, lease_s=LEASE_S)
    work = LoadedCluster(cluster, random.Random(seed))
    for _ in range(machines):
        cluster.cloud.add(("small", "a", True))
    cluster.cloud.max_machines = machines + 4
    await cluster.until(lambda: cluster.leader() is not None)
    if copies:
        cluster.network.copies = Copies(0.6, 1.0, 3 * LEASE_S, cluster.members, copies)
    for number in range(jobs):
        await work.submit(number, beats=6, crew="red" if number == 4 else "blue")
    await cluster.until(lambda: cluster.rules.starts >= 6)
    return work
