"""Simulated users over sockets: they submit jobs, poll their state and cancel some of them."""

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

POLL_INTERVAL_S = 5.0
REQUEST_TIMEOUT = timedelta(seconds=5)
RETRY_INTERVAL_S = 1.0
MAX_SUBMIT_ATTEMPTS = 60
FINAL_STATES = ("done", "cancelled")
URGENCIES = ("prod", "high", "standard")
MAX_RECORDED_MS = 600_000


def latency_histogram() -> HdrHistogram:
    """Return an empty histogram of milliseconds with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED_MS, 3)


def to_histogram_ms(seconds: float) -> int:
    """Convert seconds to whole milliseconds within the range of `latency_histogram`."""
    return min(MAX_RECORDED_MS, max(1, round(seconds * 1000)))


@dataclass
class UserCounts:
    """Jobs and answers of all users so far."""

    submitted: int = 0
    accepted: int = 0
    done: int = 0
    cancelled: int = 0
    gave_up: int = 0
    refused: int = 0  # answers with status 503, which ask for a retry
    unanswered: int = 0  # requests without a response
    submit_ms: HdrHistogram = field(default_factory=latency_histogram)
    poll_ms: HdrHistogram = field(default_factory=latency_histogram)


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
        self.invariants = ordered.invariants
        self.rng = rng
        self.counts = UserCounts()
        self.submitted_at: dict[str, float] = {}
        self.job_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def waiting(self) -> int:
        """Number of users that still submit or poll a job."""
        return len(self._tasks)

    def start_user(self, tasks: int, cpus: float, run_s: float, cancels: bool = False) -> None:
        """Start a user that submits one job and polls it until it ends, or cancels it."""
        self.job_count += 1
        spec = self._spec(self.job_count, tasks, cpus, run_s)
        self.cloud.send_job_spec(spec)
        task = asyncio.get_running_loop().create_task(self._run_user(spec, cancels))
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

    async def _run_user(self, spec: dict[str, Any], cancels: bool) -> None:
        job = spec["id"]
        if not await self._submit(spec):
            self.counts.gave_up += 1
            return
        self.counts.accepted += 1
        while True:
            await asyncio.sleep(POLL_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            if cancels and await self._cancel(job):
                self.counts.cancelled += 1
                return
            if await self._poll(job) in FINAL_STATES:
                self.counts.done += 1
                return

    async def _request(self, method: str, path: str, body: bytes | None = None) -> Reply | None:
        link = self.network.caller("user", self.rng.choice(self.controllers))
        try:
            reply = await link.request(method, path, body, REQUEST_TIMEOUT)
        except NoResponseError:
            self.counts.unanswered += 1
            return None
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            self.counts.refused += 1
        return reply

    async def _submit(self, spec: dict[str, Any]) -> bool:
        loop = asyncio.get_running_loop()
        self.counts.submitted += 1
        started_at = self.submitted_at[spec["id"]] = loop.time()
        self.invariants.submitted(spec, started_at)
        submission = {name: value for name, value in spec.items() if name != "runS"}
        body = json.dumps(submission).encode()
        for _ in range(MAX_SUBMIT_ATTEMPTS):
            reply = await self._request("POST", "/submissions", body)
            if reply is not None and reply.status in (HTTPStatus.OK, HTTPStatus.CREATED):
                state = json.loads(reply.body).get("stance")
                now, status = loop.time(), reply.status
                answer = partial(self.invariants.submit_answer, now, spec["id"], status, state)
                self.ordered.add_call(now, answer)
                self.counts.submit_ms.record_value(to_histogram_ms(loop.time() - started_at))
                return True
            await asyncio.sleep(RETRY_INTERVAL_S)
        return False

    async def _poll(self, job: str) -> str | None:
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        reply = await self._request("GET", f"/submissions/{job}")
        if reply is None or reply.status not in (HTTPStatus.OK, HTTPStatus.NOT_FOUND):
            self.ordered.add_call(
                loop.time(), partial(self.invariants.not_answered, asked_at, job)
            )
            return None
        self.counts.poll_ms.record_value(to_histogram_ms(loop.time() - asked_at))
        state = json.loads(reply.body).get("stance") if reply.status == HTTPStatus.OK else None
        self._record_answer(job, reply.status, state)
        return state

    def _record_answer(self, job: str, status: int, state: str | None) -> None:
        now = asyncio.get_running_loop().time()
        self.ordered.add_call(now, partial(self.invariants.poll_answer, now, job, status, state))

    async def _cancel(self, job: str) -> bool:
        self.invariants.cancel_asked(job)
        reply = await self._request("POST", f"/submissions/{job}/cancel", b"")
        if reply is None or reply.status != HTTPStatus.OK:
            return False
        state = json.loads(reply.body)["stance"]
        self._record_answer(job, reply.status, state)
        return True

    async def stop(self) -> None:
        """Cancel all users."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
