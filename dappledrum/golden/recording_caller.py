"""Test double of a connection that records requests and returns prepared replies."""

from collections.abc import Iterable
from datetime import timedelta

from dappledrum.golden.entries import GoldenEntry
from dappledrum.http.client import Reply

SentRequest = tuple[str, str, bytes | None]  # method, path, body


class RecordingCaller:
    """Records requests to another component, and returns the given replies in order."""

    def __init__(self, replies: Iterable[GoldenEntry]) -> None:
        self.replies = list(replies)
        self.sent: list[SentRequest] = []

    async def request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        timeout: timedelta,  # noqa: ARG002 - part of the caller interface
    ) -> Reply:
        """Record the request and return the next reply."""
        self.sent.append((method, path, body))
        entry = self.replies.pop(0)
        assert entry.status is not None
        return Reply(entry.status, entry.data or b"")


def as_sent(entry: GoldenEntry) -> SentRequest:
    """The request that an entry describes."""
    assert entry.method is not None
    assert entry.path is not None
    return entry.method, entry.path, entry.data
