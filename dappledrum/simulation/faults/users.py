"""Troubles that users make: they cancel, ask and repeat themselves at the worst moments.

All their requests go through the world's `submit`, `poll` and `cancel`, so the rules see them.
"""

import asyncio
import math
from collections.abc import Callable

from dappledrum.model.invariants import JobEvent
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.faults.base import (
    Count,
    FaultLog,
    LastingTrouble,
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


class CancelNow(FaultLog, tag="cancel_now"):
    """Users call off jobs that have long to go, all at once; machines of theirs may hang."""

    count: Count
    hang_s: Seconds = 0.0

    @property
    def lasts_s(self) -> float:
        return CANCEL_WITHIN_S + self.hang_s

    def begin(self, world: World, back: float) -> None:
        jobs = _jobs_with_long_to_go(world)
        chosen = world.rng.sample(jobs, min(self.count, len(jobs)))
        if self.hang_s > 0:
            workers = [w for w in world.cloud.workers() if any(_runs(w, name) for name in chosen)]
            hang(world.rng.sample(workers, min(MAX_HUNG, len(workers))), self.hang_s)
        for name in chosen:
            after = world.rng.uniform(0, CANCEL_WITHIN_S)
            world.act(_cancel(world, name, after))


class CancelAtEnd(LastingTrouble, tag="cancel_at_end"):
    """A share of the jobs is called off at the moment at which their last task ends."""

    share: Share

    def begin(self, world: World, back: float) -> None:
        def listen(name: str, event: JobEvent) -> None:
            if event is JobEvent.COMPLETED and world.rng.random() < self.share:
                after = world.rng.choice((0.0, world.rng.uniform(0, AT_END_S)))
                world.act(_cancel(world, name, after))

        _listen(world, listen, self.for_s)


class OddRequests(LastingTrouble, tag="odd_requests"):
    """Users repeat submissions of unfinished jobs, cancel jobs that are done, and send jobs that
    fit no machine or lack a field."""

    def begin(self, world: World, back: float) -> None:
        task = world.act(self._ask(world))
        world.odd_users.add(task)
        task.add_done_callback(world.odd_users.discard)

    async def _ask(self, world: World) -> None:
        end = world.now() + self.for_s
        while world.now() < end:
            ask = world.rng.choice((_repeat_submission, _cancel_done, _submit_invalid))
            world.act(ask(world))
            await asyncio.sleep(world.rng.uniform(*ODD_PAUSE_S))


class CloseLooks(LastingTrouble, tag="close_looks"):
    """Users ask at all controllers within milliseconds after a job was accepted, ended or was
    cancelled; some repeat the submission, and some cancel at once."""

    def begin(self, world: World, back: float) -> None:
        def listen(name: str, event: JobEvent) -> None:
            for member in world.members:
                for _ in range(LOOKS):
                    world.act(_look(world, name, member))
            if world.rng.random() < REPEATED:
                world.act(_submit_again(world, name))
            if event is JobEvent.ACCEPTED and world.rng.random() < CANCELLED_AT_ONCE:
                world.act(_cancel(world, name, world.rng.uniform(0, LOOK_WITHIN_S)))

        _listen(world, listen, self.for_s)


def _listen(world: World, listen: Callable[[str, JobEvent], None], for_s: float) -> None:
    """Be told of what happens to jobs for some time."""
    listeners = world.rules.listeners
    listeners.append(listen)
    later(for_s, lambda: listen in listeners and listeners.remove(listen))


def _runs(worker: Worker, name: str) -> bool:
    """Whether a task of a job is on a machine."""
    return any(a.job == name and a.state != "ended" for a in worker.attempts.values())


def _left_s(world: World, name: str, number: int, progress: float) -> float:
    """How long a running task still takes."""
    spec = world.rules.jobs[name].spec
    if spec["form"] == "service":
        return math.inf
    run_s = spec["runS"]
    return (run_s[number] if isinstance(run_s, list) else run_s) - progress


def _jobs_with_long_to_go(world: World) -> list[str]:
    """Jobs that run, that nobody has cancelled, and that take a while yet."""
    jobs = {
        attempt.job
        for worker in world.cloud.workers()
        for attempt in worker.attempts.values()
        if attempt.state == "running"
        and _left_s(world, attempt.job, attempt.number, attempt.progress) >= LONG_TO_GO_S
    }
    rules = world.rules
    facts = [rules.jobs[name] for name in sorted(jobs)]
    return [one.spec["id"] for one in facts if one.accepted and not rules.called_off(one)]


async def _cancel(world: World, name: str, after: float) -> None:
    await asyncio.sleep(after)
    await world.cancel(name)


async def _look(world: World, name: str, member: str) -> None:
    await asyncio.sleep(world.rng.uniform(0, LOOK_WITHIN_S))
    await world.poll(name, member)


async def _submit_again(world: World, name: str) -> None:
    await asyncio.sleep(world.rng.uniform(0, LOOK_WITHIN_S))
    await world.submit(world.rules.jobs[name].spec, ODD_TRIES)


async def _repeat_submission(world: World) -> None:
    facts = world.rules.jobs
    names = [name for name in facts if facts[name].accepted and facts[name].reported is None]
    if names:
        await world.submit(facts[world.rng.choice(names)].spec, ODD_TRIES)


async def _cancel_done(world: World) -> None:
    names = [name for name, facts in world.rules.jobs.items() if facts.reported == "done"]
    if names:
        await world.cancel(world.rng.choice(names), ODD_TRIES)


async def _submit_invalid(world: World) -> None:
    """A job that can never run (422), or one without a field (400)."""
    spec = job(500_000 + len(world.rules.jobs))
    if world.rng.random() < 0.5:
        spec["vcpus"], expected = TOO_MANY_CPUS, 422
    else:
        required = sorted(spec.keys() - set(OPTIONAL))
        del spec[world.rng.choice(required)]
        expected = 400
    status = await world.submit(spec, ODD_TRIES)
    world.rules.invalid_answered(world.now(), spec["id"], status, expected)
