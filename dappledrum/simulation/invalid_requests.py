"""Invalid requests with the answers that every controller must give: submissions that can never
run or lack a field, repeated ones that differ from the first, polls and cancellations of unknown
jobs.
"""

import asyncio
import json
from typing import Any

from dappledrum.http.messages import Request, Response
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.users import encode_submission

ABSENT = object()  # a field that is left out
#: Method, path, changes to a valid submission (None: the body is not JSON), and the status
#: when the controller can decide.
INVALID_REQUESTS: list[tuple[str, str, dict[str, Any] | None, int]] = [
    ("POST", "/submissions", {"vcpus": 400.0}, 422),
    ("POST", "/submissions", {"crew": "nobody"}, 422),
    ("POST", "/submissions", {"crew": "red", "vcpus": 4.0, "form": "service"}, 422),
    ("POST", "/submissions", {"builds": ["large"], "hall": "b"}, 422),
    ("POST", "/submissions", {"waitsOn": ["j-000950"]}, 422),
    ("POST", "/submissions", {"vcpus": ABSENT}, 400),
    ("POST", "/submissions", {"id": ABSENT}, 400),
    ("POST", "/submissions", {"beats": 0}, 400),
    ("POST", "/submissions", None, 400),
    ("GET", "/submissions/j-000950", None, 404),
    ("POST", "/submissions/j-000950/cancel", None, 404),
]
#: Changes with which the submission of an accepted job is repeated.
REPEATED_CHANGES: tuple[dict[str, Any], ...] = (
    {},
    {"vcpus": ABSENT},
    {"vcpus": 400.0},
    {"waitsOn": ["j-000950"]},
)


def encoded_submission(number: int, changes: dict[str, Any]) -> bytes:
    """Encode a submission with some fields changed or left out."""
    spec = job(number, **changes)
    return encode_submission({key: value for key, value in spec.items() if value is not ABSENT})


class InvalidRequests:
    """Sends invalid requests about a finished, a running and an unknown job, and checks the
    answers."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.longest_s = 0.0  # duration of the slowest response

    async def prepare(self) -> None:
        """Submit a short job and a long one, and wait for the end of the short one."""
        await self.cluster.submit(job(960, beats=1, runS=1.0, dueS=None))
        await self.cluster.submit(job(961, beats=1, runS=300.0, expectedS=300.0, dueS=None))
        await self.cluster.until(lambda: "ended/j-000960" in self.cluster.store.keys)

    async def ask(
        self, member: str, method: str, path: str, body: bytes = b""
    ) -> tuple[Response, str | None]:
        """Send one request to one controller; returns the response and the job's state in it."""
        controller = self.cluster.controllers[member]
        sent_at = asyncio.get_running_loop().time()
        response = await controller.serve(Request(method, path, body))
        self.longest_s = max(self.longest_s, asyncio.get_running_loop().time() - sent_at)
        state = None
        if response.status in (200, 201):
            state = json.loads(response.body)["stance"]
        return response, state

    async def check(self, member: str, undecided: tuple[int, ...] = ()) -> None:
        """Send all invalid requests to one controller, and check the responses.

        `undecided` are the statuses that are allowed instead when the controller can't decide.
        """
        for method, path, changes, status in INVALID_REQUESTS:
            body = b"{" if changes is None else encoded_submission(950, changes)
            response, _ = await self.ask(member, method, path, body)
            self._check_response(response, {status}, undecided, (member, path, changes))
        for number, states in ((960, {"done"}), (961, {"pending", "running"})):
            for changes in REPEATED_CHANGES:
                body = encoded_submission(number, changes)
                response, state = await self.ask(member, "POST", "/submissions", body)
                self._check_response(response, {200}, undecided, (member, number, changes))
                assert response.status == 503 or state in states
        response, state = await self.ask(member, "POST", "/submissions/j-000960/cancel")
        self._check_response(response, {200}, undecided, (member, "cancel of a finished job"))
        assert response.status == 503 or state == "done"

    @staticmethod
    def _check_response(
        response: Response, statuses: set[int], undecided: tuple[int, ...], request: object
    ) -> None:
        """Check the status, and that a 503 has a `Retry-After` of 1 to 30 s."""
        assert response.status in {*statuses, *undecided}, (response, request)
        assert response.status != 503 or response.retry_after in range(1, 31), (response, request)
