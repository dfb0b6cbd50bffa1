"""Requests that nobody should send, and what each controller has to answer: submissions that can
never run or lack a field, repeated ones that differ from the first, questions about unknown jobs.
"""

import asyncio
import json
from typing import Any

from dappledrum.http.messages import Request, Response
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.users import sent_form

ABSENT = object()  # a field that is left out
#: Requests that nobody should send: method, path, changes of a submission (None: another body),
#: and what is answered when the controller can decide.
ODD: list[tuple[str, str, dict[str, Any] | None, int]] = [
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
#: How a submission of an accepted job may differ from the first one.
KNOWN_CHANGES: tuple[dict[str, Any], ...] = (
    {},
    {"vcpus": ABSENT},
    {"vcpus": 400.0},
    {"waitsOn": ["j-000950"]},
)


def changed(number: int, changes: dict[str, Any]) -> bytes:
    """A submission as it is sent, changed."""
    spec = job(number, **changes)
    return sent_form({key: value for key, value in spec.items() if value is not ABSENT})


class OddRequests:
    """Requests about a finished, a running and an unknown job, and jobs that can never run."""

    def __init__(self, cluster: SimulatedCluster) -> None:
        self.cluster = cluster
        self.longest_s = 0.0  # that any answer took

    async def prepare(self) -> None:
        """One job is done, one runs for long."""
        await self.cluster.submit(job(960, beats=1, runS=1.0, dueS=None))
        await self.cluster.submit(job(961, beats=1, runS=300.0, expectedS=300.0, dueS=None))
        await self.cluster.until(lambda: "ended/j-000960" in self.cluster.store.keys)

    async def ask(
        self, member: str, method: str, path: str, body: bytes = b""
    ) -> tuple[Response, str | None]:
        """One request to one controller; the answer as it goes over the wire, and the state."""
        controller = self.cluster.controllers[member]
        asked = asyncio.get_running_loop().time()
        response = await controller.serve(Request(method, path, body))
        self.longest_s = max(self.longest_s, asyncio.get_running_loop().time() - asked)
        state = None
        if response.status in (200, 201):
            state = json.loads(response.body)["stance"]
        return response, state

    async def check(self, member: str, undecided: tuple[int, ...] = ()) -> None:
        """All of them; `undecided`: the statuses that may be answered instead, with a time to
        come back."""
        for method, path, changes, status in ODD:
            body = b"{" if changes is None else changed(950, changes)
            response, _ = await self.ask(member, method, path, body)
            self.right(response, {status}, undecided, (member, path, changes))
        for number, states in ((960, {"done"}), (961, {"pending", "running"})):
            for changes in KNOWN_CHANGES:
                body = changed(number, changes)
                response, state = await self.ask(member, "POST", "/submissions", body)
                self.right(response, {200}, undecided, (member, number, changes))
                assert response.status == 503 or state in states
        response, state = await self.ask(member, "POST", "/submissions/j-000960/cancel")
        self.right(response, {200}, undecided, (member, "cancel of a finished job"))
        assert response.status == 503 or state == "done"

    @staticmethod
    def right(
        response: Response, statuses: set[int], undecided: tuple[int, ...], what: object
    ) -> None:
        """The protocol's answer, or a time to come back."""
        assert response.status in {*statuses, *undecided}, (response, what)
        assert response.status != 503 or response.retry_after in range(1, 31), (response, what)
