"""Difficult user behavior: users cancel, poll and repeat requests at critical moments.

All requests go through the cluster's `submit`, `poll` and `cancel`, so the invariants check them.
"""

import asyncio
import math
from collections.abc import Callable

from dappledrum.model.invariants import JobEvent
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.faults.base import (
    Count,
    Fault,
    LastingFault,
    Seconds,
    Share,
    call_later,
)
from dappledrum.simulation.faults.machines import hang
from dappledrum.simulation.fleet import Worker

MAX_CANCEL_DELAY_S = 0.2
MIN_REMAINING_S = 10.0
MAX_HUNG_MACHINES = 8
#: How long a cancellation may race the end of a job, until the end of its last task is reported,
#: recorded and shown to users.
MAX_RACE_S = 1.0
MAX_POLL_DELAY_S = 0.005
POLLS_PER_CONTROLLER = 2
RESUBMIT_PROBABILITY = 0.3
IMMEDIATE_CANCEL_PROBABILITY = 0.1  # of a job that was just accepted
ODD_REQUEST_INTERVAL_S = (0.1, 0.8)
MAX_TRIES = 3
TOO_MANY_CPUS = 1e6
#: Fields that a submission may lack, that are chosen here, or that only the simulation uses.
OPTIONAL_FIELDS = (
    "id",
    "builds",
    "hall",
    "dueS",
    "waitsOn",
    "runS",
    "broken",
)


class CancelNow(Fault, tag="cancel_now"):
    """Users cancel jobs with much work left, all at once; some machines of these jobs may hang."""

    count: Count
    hang_s: Seconds = 0.0

    @property
    def lasts_s(self) -> float:
        return MAX_CANCEL_DELAY_S + self.hang_s

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        jobs = _jobs_with_much_left(cluster)
        chosen = cluster.rng.sample(jobs, min(self.count, len(jobs)))
        if self.hang_s > 0:
            workers = [
                w
                for w in cluster.cloud.workers()
                if any(_runs_task_of(w, name) for name in chosen)
            ]
            hang(cluster.rng.sample(workers, min(MAX_HUNG_MACHINES, len(workers))), self.hang_s)
        for name in chosen:
            delay_s = cluster.rng.uniform(0, MAX_CANCEL_DELAY_S)
            cluster.start_user(_cancel(cluster, name, delay_s))


class CancelAtEnd(LastingFault, tag="cancel_at_end"):
    """Users cancel a share of the jobs just when their last task ends."""

    share: Share

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        def on_event(name: str, event: JobEvent) -> None:
            if event is JobEvent.COMPLETED and cluster.rng.random() < self.share:
                delay_s = cluster.rng.choice((0.0, cluster.rng.uniform(0, MAX_RACE_S)))
                cluster.start_user(_cancel(cluster, name, delay_s))

        _listen(cluster, on_event, self.for_s)


class OddRequests(LastingFault, tag="odd_requests"):
    """Users repeat submissions of unfinished jobs, cancel jobs that are done, and submit jobs that
    fit no machine or lack a field."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        task = cluster.start_user(self._send_requests(cluster))
        cluster.invalid_request_tasks.add(task)
        task.add_done_callback(cluster.invalid_request_tasks.discard)

    async def _send_requests(self, cluster: SimulatedCluster) -> None:
        end = cluster.now() + self.for_s
        while cluster.now() < end:
            send = cluster.rng.choice((_repeat_submission, _cancel_done, _submit_invalid))
            cluster.start_user(send(cluster))
            await asyncio.sleep(cluster.rng.uniform(*ODD_REQUEST_INTERVAL_S))


class CloseLooks(LastingFault, tag="close_looks"):
    """Users poll all controllers within milliseconds after a job was accepted, ended or was
    cancelled; some repeat the submission, and some cancel at once."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        def on_event(name: str, event: JobEvent) -> None:
            for member in cluster.members:
                for _ in range(POLLS_PER_CONTROLLER):
                    cluster.start_user(_poll(cluster, name, member))
            if cluster.rng.random() < RESUBMIT_PROBABILITY:
                cluster.start_user(_submit_again(cluster, name))
            if event is JobEvent.ACCEPTED and cluster.rng.random() < IMMEDIATE_CANCEL_PROBABILITY:
                cluster.start_user(
                    _cancel(cluster, name, cluster.rng.uniform(0, MAX_POLL_DELAY_S))
                )

        _listen(cluster, on_event, self.for_s)


def _listen(
    cluster: SimulatedCluster, on_event: Callable[[str, JobEvent], None], for_s: float
) -> None:
    """Listen to events of jobs for some seconds."""
    listeners = cluster.rules.listeners
    listeners.append(on_event)
    call_later(for_s, lambda: on_event in listeners and listeners.remove(on_event))


def _runs_task_of(worker: Worker, name: str) -> bool:
    """Whether a task of a job is on a machine."""
    return any(a.job == name and a.state != "ended" for a in worker.attempts.values())


def _remaining_s(cluster: SimulatedCluster, name: str, number: int, progress: float) -> float:
    """Remaining run time of a running task in seconds."""
    spec = cluster.rules.jobs[name].spec
    if spec["form"] == "service":
        return math.inf
    run_s = spec["runS"]
    return (run_s[number] if isinstance(run_s, list) else run_s) - progress


def _jobs_with_much_left(cluster: SimulatedCluster) -> list[str]:
    """Accepted jobs with a running task that has much work left, and that nobody has cancelled."""
    jobs = {
        attempt.job
        for worker in cluster.cloud.workers()
        for attempt in worker.attempts.values()
        if attempt.state == "running"
        and _remaining_s(cluster, attempt.job, attempt.task_number, attempt.progress)
        >= MIN_REMAINING_S
    }
    rules = cluster.rules
    candidates = [rules.jobs[name] for name in sorted(jobs)]
    return [
        facts.spec["id"] for facts in candidates if facts.accepted and not rules.called_off(facts)
    ]


async def _cancel(cluster: SimulatedCluster, name: str, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await cluster.cancel(name)


async def _poll(cluster: SimulatedCluster, name: str, member: str) -> None:
    await asyncio.sleep(cluster.rng.uniform(0, MAX_POLL_DELAY_S))
    await cluster.poll(name, member)


async def _submit_again(cluster: SimulatedCluster, name: str) -> None:
    await asyncio.sleep(cluster.rng.uniform(0, MAX_POLL_DELAY_S))
    await cluster.submit(cluster.rules.jobs[name].spec, MAX_TRIES)


async def _repeat_submission(cluster: SimulatedCluster) -> None:
    facts = cluster.rules.jobs
    names = [name for name in facts if facts[name].accepted and facts[name].reported is None]
    if names:
        await cluster.submit(facts[cluster.rng.choice(names)].spec, MAX_TRIES)


async def _cancel_done(cluster: SimulatedCluster) -> None:
    names = [name for name, facts in cluster.rules.jobs.items() if facts.reported == "done"]
    if names:
        await cluster.cancel(cluster.rng.choice(names), MAX_TRIES)


async def _submit_invalid(cluster: SimulatedCluster) -> None:
    """Submit a job that can never run (422), or one that lacks a field (400)."""
    spec = job(500_000 + len(cluster.rules.jobs))
    if cluster.rng.random() < 0.5:
        spec["vcpus"], expected = TOO_MANY_CPUS, 422
    else:
        required = sorted(spec.keys() - set(OPTIONAL_FIELDS))
        del spec[cluster.rng.choice(required)]
        expected = 400
    status = await cluster.submit(spec, MAX_TRIES)
    cluster.rules.invalid_answered(cluster.now(), spec["id"], status, expected)
