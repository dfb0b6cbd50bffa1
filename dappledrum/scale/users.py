"""Users over sockets: they submit, ask every few seconds, and cancel some of their jobs."""

import asyncio
import json
import random
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from http import HTTPStatus
from typing import Any

from hdrh.histogram import HdrHistogram

from dappledrum.http.client import NoResponseError, Reply
from dappledrum.scale.fleet import RemoteCloud
from dappledrum.scale.order import OrderedEvents
from dappledrum.scale.sockets import SocketNetwork

ASK_EVERY_S = 5.0
ANSWER_WITHIN = timedelta(seconds=5)
RETRY_S = 1.0
TRIES = 60
FINAL = ("done", "cancelled")
URGENCIES = ("prod", "high", "standard")
MAX_MS = 600_000


def histogram() -> HdrHistogram:
    """Of milliseconds, to three digits."""
    return HdrHistogram(1, MAX_MS, 3)


def milliseconds(seconds: float) -> int:
    """As a histogram takes it."""
    return min(MAX_MS, max(1, round(seconds * 1000)))


@dataclass
class UserCounts:
    """What users have seen so far."""

    submitted: int = 0
    accepted: int = 0
    done: int = 0
    cancelled: int = 0
    gave_up: int = 0
    refused: int = 0  # answers that ask to come again
    unanswered: int = 0
    submit_ms: HdrHistogram = field(default_factory=histogram)
    poll_ms: HdrHistogram = field(default_factory=histogram)


class Users:
    """All users of a run."""

    def __init__(
        self,
        network: SocketNetwork,
        controllers: list[str],
        cloud: RemoteCloud,
        ordered: OrderedEvents,
        rng: random.Random,
    ) -> None:
        self.network = network
        self.controllers = controllers
        self.cloud = cloud
        self.ordered = ordered
        self.rules = ordered.rules
        self.rng = rng
        self.counts = UserCounts()
        self.submitted_at: dict[str, float] = {}
        self.number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def waiting(self) -> int:
        """Users whose job is not over."""
        return len(self._tasks)

    def begin(self, tasks: int, cpus: float, run_s: float, cancels: bool = False) -> None:
        """One more user with a job."""
        self.number += 1
        spec = self._spec(self.number, tasks, cpus, run_s)
        self.cloud.describe(spec)
        task = asyncio.get_running_loop().create_task(self._live(spec, cancels))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _spec(self, number: int, tasks: int, cpus: float, run_s: float) -> dict[str, Any]:
        runs = [round(run_s * self.rng.uniform(0.6, 1.4), 1) for _ in range(tasks)]
        return {
            "id": f"j-{number:06d}",
            "pattern": "plain",
            "crew": f"team-{number % 4}",
            "form": "batch",
            "urgency": URGENCIES[number % len(URGENCIES)],
            "beats": tasks,
            "vcpus": cpus,
            "accelerators": 0.0,
            "memGb": 1.0,
            "skin": f"img-{number % 3}",
            "pullGb": 0.2,
            "builds": None,
            "hall": None,
            "oneZone": False,
            "spread": False,
            "loaners": True,
            "expectedS": run_s,
            "markEveryS": 0.0,
            "markTakeS": 0.0,
            "dueS": None,
            "runS": runs,
        }

    async def _live(self, spec: dict[str, Any], cancels: bool) -> None:
        job = spec["id"]
        if not await self._submit(spec):
            self.counts.gave_up += 1
            return
        self.counts.accepted += 1
        while True:
            await asyncio.sleep(ASK_EVERY_S * self.rng.uniform(0.8, 1.2))
            if cancels and await self._cancel(job):
                self.counts.cancelled += 1
                return
            if await self._poll(job) in FINAL:
                self.counts.done += 1
                return

    async def _ask(self, method: str, path: str, body: bytes | None = None) -> Reply | None:
        link = self.network.caller("user", self.rng.choice(self.controllers))
        try:
            reply = await link.request(method, path, body, ANSWER_WITHIN)
        except NoResponseError:
            self.counts.unanswered += 1
            return None
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.counts.refused += 1
        return reply

    async def _submit(self, spec: dict[str, Any]) -> bool:
        loop = asyncio.get_running_loop()
        self.counts.submitted += 1
        began = self.submitted_at[spec["id"]] = loop.time()
        self.rules.submitted(spec, began)
        sent = {name: value for name, value in spec.items() if name != "runS"}
        body = json.dumps(sent).encode()
        for _ in range(TRIES):
            reply = await self._ask("POST", "/submissions", body)
            if reply is not None and reply.status in (HTTPStatus.OK, HTTPStatus.CREATED):
                state = json.loads(reply.body).get("stance")
                now, status = loop.time(), reply.status
                answer = partial(self.rules.submit_answer, now, spec["id"], status, state)
                self.ordered.at(now, answer)
                self.counts.submit_ms.record_value(milliseconds(loop.time() - began))
                return True
            await asyncio.sleep(RETRY_S)
        return False

    async def _poll(self, job: str) -> str | None:
        loop = asyncio.get_running_loop()
        asked = loop.time()
        reply = await self._ask("GET", f"/submissions/{job}")
        if reply is None or reply.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            self.ordered.at(loop.time(), partial(self.rules.not_answered, asked, job))
            return None
        self.counts.poll_ms.record_value(milliseconds(loop.time() - asked))
        state = json.loads(reply.body).get("stance") if reply.status == HTTPStatus.OK else None
        self._answered(job, reply.status, state)
        return state

    def _answered(self, job: str, status: int, state: str | None) -> None:
        now = asyncio.get_running_loop().time()
        self.ordered.at(now, partial(self.rules.poll_answer, now, job, status, state))

    async def _cancel(self, job: str) -> bool:
        self.rules.cancel_asked(job)
        reply = await self._ask("POST", f"/submissions/{job}/cancel", b"")
        if reply is None or reply.status != HTTPStatus.OK:
            return False
        state = json.loads(reply.body)["stance"]
        self._answered(job, reply.status, state)
        return True

    async def stop(self) -> None:
        """All users go away."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
