"""Requests and responses of the server, and the encoding of responses."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import NamedTuple


class Request(NamedTuple):
    """One complete request; the path includes the query."""

    method: str
    path: str
    body: bytes


class Response(NamedTuple):
    """A response; the body is JSON unless `content_type` says otherwise."""

    status: int
    body: bytes = b"{}"
    retry_after: int | None = None  # seconds
    content_type: str = "application/json"
    close: bool = False  # the connection is closed after it


Handler = Callable[[Request], Awaitable[Response]]


def encode_response(response: Response, keep_alive: bool) -> bytes:
    """Encode a response for the wire."""
    try:
        phrase = HTTPStatus(response.status).phrase
    except ValueError:
        phrase = "Status"
    retry = f"Retry-After: {response.retry_after}\r\n" if response.retry_after is not None else ""
    end = "" if keep_alive else "Connection: close\r\n"
    head = (
        f"HTTP/1.1 {response.status} {phrase}\r\nContent-Type: {response.content_type}\r\n"
        f"Content-Length: {len(response.body)}\r\n{retry}{end}\r\n"
    )
    return head.encode("latin-1") + response.body
