"""Users that send requests to all controllers within milliseconds, and a check that answers never
go back in time.

An answer must not show an older state than any answer that was received before its request was
sent, whichever controllers gave them. Answers whose requests overlap in time may differ.
"""

import asyncio
import json
import random
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, NamedTuple

from dappledrum.http.client import NoResponseError, Reply
from dappledrum.simulation import history_recording
from dappledrum.simulation.cluster import SimulatedCluster, job

REQUEST_TIMEOUT = timedelta(seconds=2)
UNKNOWN, ACCEPTED, FINAL = range(3)
FINAL_STATES = ("done", "cancelled")
OK, CREATED, BAD_REQUEST, NOT_FOUND, UNPROCESSABLE = 200, 201, 400, 404, 422


class Answer(NamedTuple):
    """The answer to one request about a job, with the times of the request and of the answer.

    `level` orders the states: `UNKNOWN`, `ACCEPTED`, `FINAL`.
    """

    asked: float
    answered: float
    member: str
    level: int
    state: str | None


@dataclass
class AnswerOrder:
    """Checks that no answer about a job is older than the answers received before its request,
    and that final states agree."""

    answers: dict[str, list[Answer]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)

    def add(self, name: str, answer: Answer) -> None:
        """Check a further answer against all earlier ones."""
        earlier_answers = self.answers.setdefault(name, [])
        for before in earlier_answers:
            if before.answered < answer.asked and before.level > answer.level:
                self.broken.append(f"{name}: {before}, then {answer}")
            both_final = before.level == answer.level == FINAL
            if both_final and before.state != answer.state:
                self.broken.append(f"{name}: {before} and {answer}")
        earlier_answers.append(answer)

    def level(self, name: str) -> int:
        """The highest level in any answer about a job."""
        return max((answer.level for answer in self.answers.get(name, ())), default=UNKNOWN)


def _now() -> float:
    return asyncio.get_running_loop().time()


def encode_submission(spec: dict[str, Any]) -> bytes:
    """Encode a submission, without the fields that only the simulation uses."""
    return json.dumps({k: v for k, v in spec.items() if k not in ("runS", "broken")}).encode()


class ImpatientUser:
    """Submits one job, and polls it every few milliseconds around its acceptance, cancellation
    and end."""

    def __init__(
        self,
        cluster: SimulatedCluster,
        order: AnswerOrder,
        spec: dict[str, Any],
        rng: random.Random,
    ) -> None:
        self.cluster = cluster
        self.order = order
        self.spec = spec
        self.name = str(spec["id"])
        self.rng = rng
        self.has_cancelled = False

    def alive(self) -> list[str]:
        """Controllers that accept requests."""
        return [m for m in self.cluster.members if m in self.cluster.network.services]

    async def _request(self, method: str, path: str, body: bytes, member: str) -> Reply | None:
        """Send one request to one controller, and record it and its answer in the history."""
        history = self.cluster.rules.history
        asked, number = _now(), history.next_number()
        question = history_recording.question(
            number, asked, path, body, member, self.cluster.cloud
        )
        assert question is not None
        self.cluster.rules.record(question)
        try:
            caller = self.cluster.network.caller("user", member)
            reply = await caller.request(method, path, body, REQUEST_TIMEOUT)
        except NoResponseError:
            self.cluster.rules.record(history_recording.answer(number, _now(), None))
            return None
        self.cluster.rules.record(history_recording.answer(number, _now(), reply))
        self._check_answer(reply, asked, member)
        return reply

    def _check_answer(self, reply: Reply, asked: float, member: str) -> None:
        """Add an answer to the checked order; other errors than a refusal say nothing."""
        level, state = UNKNOWN, None
        if reply.status in (OK, CREATED):
            state = json.loads(reply.body)["stance"]
            level = FINAL if state in FINAL_STATES else ACCEPTED
        elif reply.status not in (BAD_REQUEST, NOT_FOUND, UNPROCESSABLE):
            return
        self.order.add(self.name, Answer(asked, _now(), member, level, state))

    async def poll(self, member: str) -> Reply | None:
        """Request the job's state from one controller."""
        return await self._request("GET", f"/submissions/{self.name}", b"", member)

    async def submit(self, member: str) -> Reply | None:
        """Submit the job to one controller, for the first time or again."""
        self.cluster.rules.submitted(self.spec, _now())
        return await self._request("POST", "/submissions", encode_submission(self.spec), member)

    async def cancel(self, member: str) -> Reply | None:
        """Cancel the job at one controller."""
        self.has_cancelled = True
        self.cluster.rules.cancel_asked(self.name)
        return await self._request("POST", f"/submissions/{self.name}/cancel", b"", member)

    async def until(
        self, ask: Callable[[str], Awaitable[Reply | None]], *accepted_statuses: int
    ) -> str | None:
        """Repeat a request at drawn controllers until it has one of these statuses; returns the
        job's state in the answer."""
        while True:
            reply = await ask(self.rng.choice(self.alive() or list(self.cluster.members)))
            if reply is not None and reply.status in accepted_statuses:
                return str(json.loads(reply.body)["stance"])
            await asyncio.sleep(self.rng.uniform(0.05, 1.0))

    async def poll_closely(self, duration_s: float) -> None:
        """Poll all controllers every few milliseconds for some seconds, and sometimes submit
        again."""
        requests: list[asyncio.Future[Reply | None]] = []
        end = _now() + duration_s
        while _now() < end:
            for member in self.alive():
                ask = self.submit if self.rng.random() < 0.15 else self.poll
                requests.append(asyncio.ensure_future(ask(member)))
            await asyncio.sleep(self.rng.uniform(0.001, 0.02))
        await asyncio.gather(*requests)

    async def until_tasks_end(self, share: float = 1.0, timeout_s: float = 90.0) -> None:
        """Wait until a share of the job's tasks has completed on the workers."""
        end = _now() + timeout_s
        facts = self.cluster.rules.jobs[self.name]
        while len(facts.done) < share * self.spec["beats"] and _now() < end:
            await asyncio.sleep(0.003)

    async def until_end_is_written(self, timeout_s: float = 90.0) -> None:
        """Wait until the leader is about to write the job's end."""
        end = _now() + timeout_s
        while _now() < end:
            leaders = [
                controller.leader
                for controller in self.cluster.controllers.values()
                if controller.leader
            ]
            if any(
                job.id == self.name for leader in leaders for job in leader.record_writer.ending
            ):
                return
            await asyncio.sleep(0.001)

    async def race_end(self, written: bool, after: float) -> str:
        """Submit the job, and cancel, poll and submit again around its end; the final state.

        The cancellation starts `after` seconds after the last task has completed, or (`written`)
        after the leader is about to write the end.
        """
        await asyncio.sleep(self.rng.uniform(0, 8))
        await self.until(self.submit, OK, CREATED)
        await (self.until_end_is_written() if written else self.until_tasks_end())
        await asyncio.sleep(after)
        cancelling = asyncio.ensure_future(self.until(self.cancel, OK))
        await self.poll_closely(0.05)
        state = await cancelling
        await self.poll_closely(0.02)
        return str(state)

    async def run(self, cancel_probability: float = 0.4, duration_s: float = 0.12) -> str:
        """Submit the job, poll closely, wait for its end or cancel it, and poll closely again;
        returns the final state."""
        await asyncio.sleep(self.rng.uniform(0, 8))
        polls = []
        if self.rng.random() < 0.5:
            polls.append(asyncio.ensure_future(self.poll_closely(duration_s)))  # before acceptance
            await asyncio.sleep(self.rng.uniform(0, duration_s))
        await self.until(self.submit, OK, CREATED)
        at_once = self.rng.random() < cancel_probability / 2
        polls.append(asyncio.ensure_future(self.poll_closely(duration_s)))
        if at_once:
            await asyncio.sleep(self.rng.uniform(0, duration_s))
            await self.until(self.cancel, OK)
            polls.append(asyncio.ensure_future(self.poll_closely(duration_s)))
        else:
            await self.until_tasks_end()
            await asyncio.sleep(self.rng.uniform(0, 0.1))
            if self.rng.random() < cancel_probability:
                polls.append(asyncio.ensure_future(self.until(self.cancel, OK)))
            polls.append(asyncio.ensure_future(self.poll_closely(2 * duration_s)))
        await asyncio.gather(*polls)
        while (state := await self.until(self.poll, OK)) not in FINAL_STATES:
            await asyncio.sleep(self.rng.uniform(0.02, 0.5))
        await self.poll_closely(duration_s)
        return str(state)


async def one_task_user(
    cluster: SimulatedCluster,
    number: int,
    rng: random.Random,
    accepted_after: list[float],
    cancel_probability: float,
) -> str | None:
    """Submit a job of one task, and cancel it with the given probability within 12 s, or else poll
    it every few seconds; returns the final state.

    Appends the seconds until acceptance to `accepted_after`.
    """
    run_s = rng.uniform(2, 15)
    spec = job(number, beats=1, vcpus=0.5, memGb=0.5, runS=run_s, expectedS=8.0, dueS=None)
    began = _now()
    if await cluster.submit(spec, 60) not in (OK, CREATED):
        return None
    accepted_after.append(_now() - began)
    if rng.random() < cancel_probability:
        await asyncio.sleep(rng.uniform(0, 12))
        return await cluster.cancel(spec["id"], 60)
    while True:
        await asyncio.sleep(rng.uniform(4, 6))
        if (state := await cluster.poll(spec["id"])) in FINAL_STATES:
            return state


async def vary_latency(
    cluster: SimulatedCluster, rng: random.Random, hosts: Iterable[str], max_delay_s: float
) -> None:
    """Vary the latency between these hosts and the store every few milliseconds, so that a later
    request may overtake an earlier one; runs until cancelled."""
    members = list(hosts)
    extra_delay = cluster.network.extra_latency_s
    try:
        while True:
            for member in members:
                for pair in ((member, "state"), ("state", member)):
                    extra_delay[pair] = rng.uniform(0, max_delay_s) if rng.random() < 0.5 else 0.0
            await asyncio.sleep(rng.uniform(0.002, 0.02))
    finally:
        for member in members:
            extra_delay.pop((member, "state"), None)
            extra_delay.pop(("state", member), None)
