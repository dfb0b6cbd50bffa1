"""Pooled HTTP client for one destination.

A failure is reported as one of two things: the request was never sent, or nobody knows whether it
was executed.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple, Protocol

import httptools

from dappledrum.timing.timeouts import PauseTolerantTimeout

MAX_REPLY_BYTES = 64 * 1024 * 1024


class Reply(NamedTuple):
    """A complete answer."""

    status: int
    body: bytes


class NoResponseError(Exception):
    """No answer came: the request may have been executed, or may still be."""


class NotSentError(NoResponseError):
    """No connection could be made, so the request was certainly not executed."""


class HttpClient(Protocol):
    """What the rest of the program needs of a client; the test stand-ins offer it too."""

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request and wait for the answer."""
        ...


class _Connection(asyncio.Protocol):
    """One connection with at most one request on it."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.waiter: asyncio.Future[Reply] | None = None
        self.body = bytearray()
        self.usable = True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:
        self.usable = False
        self._fail("connection lost")

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed answer")
            self.close()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_REPLY_BYTES:
            self._fail("answer too large")
            self.close()

    def on_message_complete(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(Reply(self.parser.get_status_code(), bytes(self.body)))
        else:
            self.usable = False
        if not self.parser.should_keep_alive():
            self.usable = False

    def send(self, data: bytes) -> asyncio.Future[Reply]:
        self.body = bytearray()
        self.waiter = asyncio.get_running_loop().create_future()
        assert self.transport is not None
        self.transport.write(data)
        return self.waiter

    def close(self) -> None:
        self.usable = False
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, why: str) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_exception(NoResponseError(why))


class PooledClient:
    """Requests to one address over a few kept connections."""

    def __init__(self, host: str, port: int, max_idle: int = 4, max_open: int = 64) -> None:
        self.host = host
        self.port = port
        self.max_idle = max_idle
        self.max_open = max_open
        self.open = 0
        self.idle: list[_Connection] = []

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request; a kept connection that turns out closed is replaced for reads only."""
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        data = head.encode("latin-1") + b"\r\n" + (body or b"")
        try:
            async with PauseTolerantTimeout(timeout):
                return await self._request(data, again=method == "GET")
        except TimeoutError as error:
            raise NoResponseError(f"no answer within {timeout.total_seconds():g} s") from error

    async def _request(self, data: bytes, again: bool) -> Reply:
        kept = self._kept()
        if kept is not None:
            try:
                return await self._exchange(kept, data)
            except NoResponseError:
                if not again:
                    raise
        return await self._exchange(await self._connect(), data)

    def _kept(self) -> _Connection | None:
        while self.idle:
            connection = self.idle.pop()
            if connection.usable:
                return connection
        return None

    async def _connect(self) -> _Connection:
        if self.open >= self.max_open:
            raise NotSentError("too many connections")
        self.open += 1
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(_Connection, self.host, self.port)
        except OSError as error:
            raise NotSentError(str(error)) from error
        finally:
            self.open -= 1
        return connection

    async def _exchange(self, connection: _Connection, data: bytes) -> Reply:
        self.open += 1
        try:
            reply = await connection.send(data)
        except BaseException:
            connection.close()
            raise
        finally:
            self.open -= 1
        if connection.usable and len(self.idle) < self.max_idle:
            self.idle.append(connection)
        else:
            connection.close()
        return reply
