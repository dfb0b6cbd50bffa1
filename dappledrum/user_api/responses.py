"""HTTP responses to users."""

from http import HTTPStatus

import msgspec

from dappledrum.http.messages import Response
from dappledrum.jobs.messages import StatusResponse


def answer(status: int, body: StatusResponse) -> Response:
    """Return a response with this HTTP status and the state of a job."""
    return Response(status, msgspec.json.encode(body))


def busy(seconds: int = 1) -> Response:
    """Ask the user to try again after this number of seconds."""
    return Response(HTTPStatus.SERVICE_UNAVAILABLE, b'{"error":"try again"}', retry_after=seconds)


def refusal(status: int, reason: str) -> Response:
    """Refuse a request permanently; `reason` is the error text in the body."""
    return Response(status, msgspec.json.encode({"error": reason}))
