"""A trace of the messages in the simulated network, and its digest.

Each line describes one event of one message, in columns separated by tabs:

    time  event  sender  receiver  method and path  status  body

Time is virtual, in seconds. The events are listed in `Event`; status is that of a response, the
reason of a failure, or "-". The body is written as a Python bytes literal, so a line never
contains a raw line break. Two runs that exchange the same messages in the same order at the same
times have the same digest.
"""

import asyncio
import hashlib
from collections.abc import Coroutine
from enum import StrEnum
from typing import Any, BinaryIO, NamedTuple

from dappledrum.http.client import NoResponseError, NotSentError, Reply

NO_STATUS = "-"
NOT_SENT = "not-sent"
NO_RESPONSE = "no-response"


class Event(StrEnum):
    """What happened to a message."""

    REQUEST_SENT = "request-sent"
    #: Reached the receiver; possibly late or as a copy, when no sender waits for the answer.
    REQUEST_DELIVERED = "request-delivered"
    RESPONSE_SENT = "response-sent"  # it may still be lost
    RESPONSE_DELIVERED = "response-delivered"
    #: The sender got an error instead of a response. Not written for a sender that stopped waiting
    #: by itself or whose process has ended, since no message is involved.
    REQUEST_FAILED = "request-failed"


class Request(NamedTuple):
    """A request as the network sees it."""

    sender: str
    receiver: str
    method: str
    path: str
    body: bytes


class MessageTrace:
    """Computes the digest of a trace line by line, and copies the lines to a file if given one."""

    def __init__(self, file: BinaryIO | None = None) -> None:
        self.lines = 0
        self._file = file
        self._hash = hashlib.sha256()
        self._stopped = False

    @property
    def sha256(self) -> str:
        """Digest of all lines so far, in hexadecimal."""
        return self._hash.hexdigest()

    def resume(self) -> None:
        """Record messages again, at the start of the next simulation."""
        self._stopped = False

    def stop(self) -> None:
        """Stop recording: the order in which remaining tasks are cancelled at the end of a
        simulation is not repeatable."""
        self._stopped = True

    def close(self) -> None:
        """Close the file, if any."""
        if self._file is not None:
            self._file.close()

    async def exchange(self, request: Request, response: Coroutine[Any, Any, Reply]) -> Reply:
        """Await the response on behalf of the sender, and record both as the sender sees them."""
        self._record_request(Event.REQUEST_SENT, request)
        try:
            reply = await response
        except NoResponseError as error:
            reason = NOT_SENT if isinstance(error, NotSentError) else NO_RESPONSE
            self._record_request(Event.REQUEST_FAILED, request, reason)
            raise
        self._record_response(Event.RESPONSE_DELIVERED, request, reply)
        return reply

    async def serve(self, request: Request, response: Coroutine[Any, Any, Reply]) -> Reply:
        """Let the receiver process a request, and record both as the receiver sees them."""
        self._record_request(Event.REQUEST_DELIVERED, request)
        reply = await response
        self._record_response(Event.RESPONSE_SENT, request, reply)
        return reply

    def _record_request(self, event: Event, request: Request, status: str = NO_STATUS) -> None:
        self._record(event, request.sender, request.receiver, request, status, request.body)

    def _record_response(self, event: Event, request: Request, reply: Reply) -> None:
        """The sender of a response is the receiver of the request."""
        status = str(reply.status)
        self._record(event, request.receiver, request.sender, request, status, reply.body)

    def _record(
        self,
        event: Event,
        sender: str,
        receiver: str,
        request: Request,
        status: str,
        body: bytes,
    ) -> None:
        if self._stopped:
            return
        time = f"{asyncio.get_running_loop().time():.6f}"
        target = f"{request.method} {request.path}"
        columns = (time, event.value, sender, receiver, target, status, repr(bytes(body)))
        line = ("\t".join(columns) + "\n").encode()
        self.lines += 1
        self._hash.update(line)
        if self._file is not None:
            self._file.write(line)
