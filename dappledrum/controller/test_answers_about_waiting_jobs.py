"""Answers about jobs that wait for others, around outages of the store (docs/design.md, "Answers
about waiting jobs").

Users poll all jobs at all controllers. The invariant: once a user was told that a job is
cancelled, no answer to a later request calls a job that waits for it, directly or through others,
anything but cancelled, and no other job is called cancelled.
"""

import asyncio
import json
import random

import pytest

from dappledrum.settings import NextLimits
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.scenario import CANCEL_S, call_later, now

#: Of the smallest deployment.
STORE_RPS = 80.0
STORE_WRITE_RPS = 30.0
POLL_INTERVAL_S = 5.0
POLL_TIMEOUT_S = 2.0
MAX_TIME_WITHOUT_ANSWER_S = 15.0
LONG_RUN = {"beats": 1, "vcpus": 0.25, "memGb": 0.1, "runS": 400.0, "expectedS": 400.0}


def name(number):
    return f"j-{number:06d}"


def long_job(number, *needs, **changes):
    needs = {"waitsOn": [name(need) for need in needs]} if needs else {}
    return job(number, **(LONG_RUN | {"dueS": None} | needs | changes))


class Users:
    """Users who submit jobs, poll them and check the invariant on each answer."""

    def __init__(self, cluster, rng):
        self.cluster = cluster
        self.rng = rng
        self.needs = {}
        self.cancel_told = {}  # when it was first answered that a job is cancelled
        self.cancel_asked = set()
        self.answered = {}  # when the last poll of each job that was sent after it was answered
        self.polling = []
        self.wrong = []

    async def submit(self, spec):
        self.needs[spec["id"]] = list(spec.get("waitsOn") or ())
        assert await self.cluster.submit(spec, 60) in (200, 201)

    async def cancel(self, job_name, member=None):
        self.cancel_asked.add(job_name)
        assert await self.cluster.cancel(job_name, member=member) == "cancelled"
        self.cancel_told.setdefault(job_name, now())

    def before(self, job_name):
        """The job and all that it waits for, directly or through others."""
        found, stack = {job_name}, [job_name]
        while stack:
            for need in self.needs[stack.pop()]:
                if need not in found:
                    found.add(need)
                    stack.append(need)
        return found

    def must_be_cancelled(self, job_name, at):
        return any(self.cancel_told.get(need, at) < at for need in self.before(job_name))

    async def poll(self, job_name, member):
        asked = now()
        reply = await self.cluster.send_user_request(
            "GET", f"/submissions/{job_name}", None, member
        )
        if reply is None or reply.status != 200:
            return None
        state = json.loads(reply.body)["stance"]
        if state != "cancelled" and self.must_be_cancelled(job_name, asked):
            self.wrong.append(f"{job_name} is {state} at {member}, asked at {asked:.3f}")
        if state == "cancelled":
            if not self.before(job_name) & self.cancel_asked:
                self.wrong.append(f"{job_name} is cancelled, asked at {asked:.3f}")
            self.cancel_told.setdefault(job_name, now())
        self.answered[job_name] = asked
        return state

    async def _poll_again_and_again(self, job_name, interval_s):
        while True:
            await asyncio.sleep(interval_s * self.rng.uniform(0.9, 1.1))
            await self.poll(job_name, self.rng.choice(self.cluster.members))

    def start_polling(self, names, interval_s=POLL_INTERVAL_S):
        for job_name in names:
            polling = self._poll_again_and_again(job_name, interval_s)
            self.polling.append(asyncio.ensure_future(polling))

    async def check_all(self):
        """Every job has got an answer again, and each controller gives the right one."""
        for polling in self.polling:
            polling.cancel()
        late = {n: now() - at for n, at in self.answered.items()}
        assert max(late.values(), default=0) < MAX_TIME_WITHOUT_ANSWER_S, late
        for job_name in self.needs:
            for member in self.cluster.members:
                for _ in range(20):
                    if await self.poll(job_name, member) is not None:
                        break
                    await asyncio.sleep(0.5)
                else:
                    raise AssertionError(f"{member} does not answer about {job_name}")
        assert not self.wrong, f"{len(self.wrong)}: {self.wrong[:5]}"
        assert not self.cluster.rules.broken


async def led_cluster(seed, **settings):
    cluster = SimulatedCluster(
        seed=seed, rps=STORE_RPS, write_rps=STORE_WRITE_RPS, limited=True, **settings
    )
    await cluster.until_led()
    await cluster.wait(2)
    return cluster


async def test_waiting_jobs_are_cancelled_right_after_an_outage_with_the_job_before_them():
    """Guards against a job that is called pending long after its user was told that the job before
    it is cancelled: answers rested on the record of the job alone, which only the leader changes,
    and which it could not write in an outage longer than `cancel_s`."""
    cluster = await led_cluster(3)
    users = Users(cluster, random.Random(3))
    pipelines = [range(10 * first, 10 * first + 4) for first in range(1, 13)]
    for pipeline in pipelines:
        for number in pipeline:
            needs = () if number == pipeline[0] else (number - 1,)
            await users.submit(long_job(number, *needs))
    await cluster.wait(20)
    leader = cluster.leader()
    cluster.store.refused.add(leader)
    for pipeline in pipelines:
        await users.cancel(name(pipeline[0]), cluster.others(leader)[0])
    await cluster.wait(1)
    cluster.store.in_outage = True
    await cluster.wait(CANCEL_S + 3)
    cluster.store.refused.clear()
    cluster.store.end_outage()
    waiting = [name(number) for pipeline in pipelines for number in pipeline[1:]]
    users.start_polling(waiting, interval_s=0.3)
    await cluster.wait(10)
    await users.check_all()


# Drawn graphs: lists of jobs, each with the jobs that it waits for, which come before it.


def chain(rng):
    return [[number - 1] if number else [] for number in range(rng.randint(5, 30))]


def fan_out(rng):
    return [[]] + [[0] for _ in range(rng.randint(20, 120))]


def fan_in(rng):
    width = rng.randint(20, 60)
    return [[] for _ in range(width)] + [list(range(width)), [width]]


def diamonds(rng):
    graph = [[]]
    for _ in range(rng.randint(2, 6)):
        last = len(graph) - 1
        graph += [[last], [last], [last + 1, last + 2]]
    return graph


def any_graph(rng):
    size = rng.randint(10, 40)
    return [rng.sample(range(number), rng.randint(0, min(3, number))) for number in range(size)]


GRAPHS = (chain, fan_out, fan_in, diamonds, any_graph)


def specs_of(graph, rng):
    """The submissions of a graph; some of its jobs are short, and done when the outage begins."""
    for number, needs in enumerate(graph):
        changes = {}
        if rng.random() < 0.3:
            changes = {"runS": 3.0, "expectedS": 3.0}
        if rng.random() < 0.1:
            changes["form"] = "ensemble"
        if rng.random() < 0.1:  # its lists are stored in parts
            changes["builds"] = ["small", *(f"type-{n}-" + "x" * 30 for n in range(30))]
        yield long_job(number, *needs, **changes)


async def restart_some(cluster, rng):
    """None, one or all of the controllers restart, so that all may have forgotten everything."""
    for member in rng.sample(cluster.members, rng.choice((0, 1, 3, 3))):
        cluster.kill(member)
        call_later(rng.choice((0.1, 0.5, 3.0)), cluster.start, member)


async def outage(cluster, users, rng, seed):
    """An outage with the moments that are drawn; jobs are cancelled before it."""
    leader = cluster.leader()
    refused_first = rng.random() < 0.6
    if refused_first:
        cluster.store.refused.add(leader)
    follower = rng.choice(cluster.others(leader))
    waiting = [n for n, needs in users.needs.items() if needs]
    heads = [n for n, needs in users.needs.items() if not needs]
    cancelled = rng.sample(heads, min(len(heads), rng.choice((1, 1, 3))))
    cancelled += rng.sample(waiting, rng.choice((0, 1)))
    for job_name in cancelled:
        users.cancel_asked.add(job_name)
        state = await cluster.cancel(job_name, member=follower)
        assert state in ("cancelled", "done")
        if state == "cancelled":
            users.cancel_told.setdefault(job_name, now())
    # While the leader writes the final states, or before it may.
    await cluster.wait(rng.choice((0.0, 0.1, 0.3, 1.0)))
    cluster.store.in_outage = True
    await cluster.wait(rng.uniform(1, 10))
    await restart_some(cluster, rng)
    await cluster.wait(CANCEL_S + rng.uniform(0, 5))
    if not (refused_first and rng.random() < 0.4):
        cluster.store.refused.clear()
    cluster.store.end_outage()
    if rng.random() < 0.3:
        await cluster.wait(rng.uniform(0, 1))
        await restart_some(cluster, rng)
    after = long_job(900 + seed, int(cancelled[0].removeprefix("j-")))
    await users.submit(after)  # it waits for a job that was cancelled long before
    await cluster.wait(12)
    cluster.store.refused.clear()
    await cluster.wait(8)


@pytest.mark.parametrize("seed", range(15))
async def test_no_answer_calls_a_job_pending_once_a_job_before_it_was_called_cancelled(seed):
    rng = random.Random(f"waiting {seed}")
    limits = NextLimits(write_rps=20.0, value_kb=2.0, txn_ops=8)
    cluster = await led_cluster(seed, next=limits if seed % 3 == 0 else None)
    users = Users(cluster, rng)
    for spec in specs_of(GRAPHS[seed % len(GRAPHS)](rng), rng):
        await users.submit(spec)
    users.start_polling(users.needs)
    await cluster.wait(rng.uniform(5, 25))
    if seed % 3 == 0:
        cluster.drop_limits()
    await outage(cluster, users, rng, seed)
    await users.check_all()
    if users.cancel_told:
        assert any(users.must_be_cancelled(n, now()) for n in users.needs if users.needs[n])
