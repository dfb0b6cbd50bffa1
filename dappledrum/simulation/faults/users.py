"""Faults that users make: they cancel, ask and repeat themselves at the worst moments.

All their requests go through the world's `submit`, `poll` and `cancel`, so the rules see them.
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
    later,
)
from dappledrum.simulation.faults.machines import hang
from dappledrum.simulation.fleet import Worker

CANCEL_WITHIN_S = 0.2
LONG_TO_GO_S = 10.0
MAX_HUNG = 8
#: Until the end of a last task is reported, recorded and told, a cancellation may meet it.
AT_END_S = 1.0
LOOK_WITHIN_S = 0.005
LOOKS = 2  # at each controller
REPEATED = 0.3  # of the looks: the submission is repeated, too
CANCELLED_AT_ONCE = 0.1  # of the jobs just accepted
ODD_PAUSE_S = (0.1, 0.8)
ODD_TRIES = 3
TOO_MANY_CPUS = 1e6
OPTIONAL = ("id", "builds", "hall", "dueS", "waitsOn", "runS", "broken")  # or chosen by the test


class CancelNow(Fault, tag="cancel_now"):
    """Users call off jobs that have long to go, all at once; machines of theirs may hang."""

    count: Count
    hang_s: Seconds = 0.0

    @property
    def lasts_s(self) -> float:
        return CANCEL_WITHIN_S + self.hang_s

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        jobs = _jobs_with_long_to_go(cluster)
        chosen = cluster.rng.sample(jobs, min(self.count, len(jobs)))
        if self.hang_s > 0:
            workers = [
                w for w in cluster.cloud.workers() if any(_runs(w, name) for name in chosen)
            ]
            hang(cluster.rng.sample(workers, min(MAX_HUNG, len(workers))), self.hang_s)
        for name in chosen:
            after = cluster.rng.uniform(0, CANCEL_WITHIN_S)
            cluster.start_user(_cancel(cluster, name, after))


class CancelAtEnd(LastingFault, tag="cancel_at_end"):
    """A share of the jobs is called off at the moment at which their last task ends."""

    share: Share

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        def listen(name: str, event: JobEvent) -> None:
            if event is JobEvent.COMPLETED and cluster.rng.random() < self.share:
                after = cluster.rng.choice((0.0, cluster.rng.uniform(0, AT_END_S)))
                cluster.start_user(_cancel(cluster, name, after))

        _listen(cluster, listen, self.for_s)


class OddRequests(LastingFault, tag="odd_requests"):
    """Users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
    fit no machine or lack a field."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        task = cluster.start_user(self._ask(cluster))
        cluster.invalid_request_tasks.add(task)
        task.add_done_callback(cluster.invalid_request_tasks.discard)

    async def _ask(self, cluster: SimulatedCluster) -> None:
        end = cluster.now() + self.for_s
        while cluster.now() < end:
            ask = cluster.rng.choice((_repeat_submission, _cancel_done, _submit_invalid))
            cluster.start_user(ask(cluster))
            await asyncio.sleep(cluster.rng.uniform(*ODD_PAUSE_S))


class CloseLooks(LastingFault, tag="close_looks"):
    """Users ask at all controllers within milliseconds after a job was accepted, ended or was
    cancelled; some repeat the submission, and some cancel at once."""

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        def listen(name: str, event: JobEvent) -> None:
            for member in cluster.members:
                for _ in range(LOOKS):
                    cluster.start_user(_look(cluster, name, member))
            if cluster.rng.random() < REPEATED:
                cluster.start_user(_submit_again(cluster, name))
            if event is JobEvent.ACCEPTED and cluster.rng.random() < CANCELLED_AT_ONCE:
                cluster.start_user(_cancel(cluster, name, cluster.rng.uniform(0, LOOK_WITHIN_S)))

        _listen(cluster, listen, self.for_s)


def _listen(
    cluster: SimulatedCluster, listen: Callable[[str, JobEvent], None], for_s: float
) -> None:
    """Be told of what happens to jobs for some time."""
    listeners = cluster.rules.listeners
    listeners.append(listen)
    later(for_s, lambda: listen in listeners and listeners.remove(listen))


def _runs(worker: Worker, name: str) -> bool:
    """Whether a task of a job is on a machine."""
    return any(a.job == name and a.state != "ended" for a in worker.attempts.values())


def _left_s(cluster: SimulatedCluster, name: str, number: int, progress: float) -> float:
    """How long a running task still takes."""
    spec = cluster.rules.jobs[name].spec
    if spec["form"] == "service":
        return math.inf
    run_s = spec["runS"]
    return (run_s[number] if isinstance(run_s, list) else run_s) - progress


def _jobs_with_long_to_go(cluster: SimulatedCluster) -> list[str]:
    """Jobs that run, that nobody has cancelled, and that take a while yet."""
    jobs = {
        attempt.job
        for worker in cluster.cloud.workers()
        for attempt in worker.attempts.values()
        if attempt.state == "running"
        and _left_s(cluster, attempt.job, attempt.number, attempt.progress) >= LONG_TO_GO_S
    }
    rules = cluster.rules
    facts = [rules.jobs[name] for name in sorted(jobs)]
    return [one.spec["id"] for one in facts if one.accepted and not rules.called_off(one)]


async def _cancel(cluster: SimulatedCluster, name: str, after: float) -> None:
    await asyncio.sleep(after)
    await cluster.cancel(name)


async def _look(cluster: SimulatedCluster, name: str, member: str) -> None:
    await asyncio.sleep(cluster.rng.uniform(0, LOOK_WITHIN_S))
    await cluster.poll(name, member)


async def _submit_again(cluster: SimulatedCluster, name: str) -> None:
    await asyncio.sleep(cluster.rng.uniform(0, LOOK_WITHIN_S))
    await cluster.submit(cluster.rules.jobs[name].spec, ODD_TRIES)


async def _repeat_submission(cluster: SimulatedCluster) -> None:
    facts = cluster.rules.jobs
    names = [name for name in facts if facts[name].accepted and facts[name].reported is None]
    if names:
        await cluster.submit(facts[cluster.rng.choice(names)].spec, ODD_TRIES)


async def _cancel_done(cluster: SimulatedCluster) -> None:
    names = [name for name, facts in cluster.rules.jobs.items() if facts.reported == "done"]
    if names:
        await cluster.cancel(cluster.rng.choice(names), ODD_TRIES)


async def _submit_invalid(cluster: SimulatedCluster) -> None:
    """A job that can never run (422), or one without a field (400)."""
    spec = job(500_000 + len(cluster.rules.jobs))
    if cluster.rng.random() < 0.5:
        spec["vcpus"], expected = TOO_MANY_CPUS, 422
    else:
        required = sorted(spec.keys() - set(OPTIONAL))
        del spec[cluster.rng.choice(required)]
        expected = 400
    status = await cluster.submit(spec, ODD_TRIES)
    cluster.rules.invalid_answered(cluster.now(), spec["id"], status, expected)
