"""Converts users' requests and their responses to events of the history."""

import json

from dappledrum.http.client import Reply
from dappledrum.model.admissible import refusal_reason
from dappledrum.model.history import ACCEPTED, Answer, Question, UserRequest
from dappledrum.simulation.fleet import CloudService


def question(
    number: int,
    at: float,
    path: str,
    body: bytes | None,
    controller: str | None,
    cloud: CloudService,
) -> Question | None:
    """The event of a user's request; None if it is not about a job."""
    match path.removeprefix("/").split("/"):
        case ["submissions"] if body:
            return _submission(number, at, body, controller, cloud)
        case ["submissions", job]:
            return Question(number, at, UserRequest.QUESTION, job, controller)
        case ["submissions", job, "cancel"]:
            return Question(number, at, UserRequest.CANCELLATION, job, controller)
    return None


def _submission(
    number: int, at: float, body: bytes, controller: str | None, cloud: CloudService
) -> Question:
    try:
        spec = json.loads(body)
    except (ValueError, RecursionError):
        spec = None
    name = spec.get("id") if isinstance(spec, dict) else None
    wrong = refusal_reason(spec, cloud.types, cloud.rules.limits)
    return Question(number, at, UserRequest.SUBMISSION, str(name), controller, wrong)


def answer(number: int, at: float, reply: Reply | None) -> Answer:
    """The event of the response to a user, or of its absence."""
    if reply is None:
        return Answer(number, at, None)
    if reply.status not in ACCEPTED:
        return Answer(number, at, reply.status)
    body = json.loads(reply.body)
    done, running = body.get("done"), body.get("running")
    return Answer(number, at, reply.status, body.get("stance"), done, running)
