"""Responses to users."""

from http import HTTPStatus

import msgspec

from dappledrum.http.messages import Response
from dappledrum.jobs.messages import StatusResponse


def answer(status: int, body: StatusResponse) -> Response:
    """A response with this HTTP status that says in which state a job is."""
    return Response(status, msgspec.json.encode(body))


def busy(seconds: int = 1) -> Response:
    """Ask the user to try again in so many seconds."""
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, b'{"error":"try again"}', retry_after=seconds)


def refusal(status: int, why: str) -> Response:
    """Refuse a request for good; `why` is the text of the error in the body."""
    return Response(status, msgspec.json.encode({"error": why}))
