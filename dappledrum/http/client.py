"""Pooled HTTP client for one destination.

Failures are of two kinds: the request was certainly not sent, or it may have been executed.
"""

import asyncio
from datetime import timedelta
from typing import NamedTuple, Protocol

import httptools

from dappledrum.timing.timeouts import PauseTolerantTimeout

MAX_REPLY_BYTES = 64 * 1024 * 1024


class Reply(NamedTuple):
    """A complete response."""

    status: int
    body: bytes


class NoResponseError(Exception):
    """There was no response: the request may have been executed, or may still be."""


class NotSentError(NoResponseError):
    """No connection could be made, so the request was certainly not executed."""


class HttpClient(Protocol):
    """Sends requests to one destination; the simulated network has its own implementation."""

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request and wait for the response.

        Raises NotSentError if it was certainly not executed, else NoResponseError.
        """
        ...


class _ClientConnection(asyncio.Protocol):
    """Connection with at most one request at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.reply: asyncio.Future[Reply] | None = None
        self.body = bytearray()
        self.reusable = True  # for another request

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def connection_lost(self, exc: Exception | None) -> None:  # noqa: ARG002 - asyncio's signature
        self.reusable = False
        self._fail("connection lost")

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("malformed answer")
            self.close()

    def on_message_begin(self) -> None:
        if self.reply is None or self.reply.done():
            # Nobody has asked for this answer, and the next request must not get it.
            self.close()

    def on_body(self, body: bytes) -> None:
        self.body += body
        if len(self.body) > MAX_REPLY_BYTES:
            self._fail("answer too large")
            self.close()

    def on_message_complete(self) -> None:
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(Reply(self.parser.get_status_code(), bytes(self.body)))
        if not self.parser.should_keep_alive():
            self.reusable = False

    def send(self, data: bytes) -> asyncio.Future[Reply]:
        """Send an encoded request; the future gets the response, or NoResponseError."""
        self.body = bytearray()
        self.reply = asyncio.get_running_loop().create_future()
        assert self.transport is not None
        self.transport.write(data)
        return self.reply

    def close(self) -> None:
        """Close the connection at once."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()

    def _fail(self, reason: str) -> None:
        if self.reply is not None and not self.reply.done():
            self.reply.set_exception(NoResponseError(reason))


class PooledClient:
    """HTTP client for one address; keeps a few idle connections open for reuse."""

    def __init__(self, host: str, port: int, max_idle: int = 4, max_open: int = 64) -> None:
        self.host = host
        self.port = port
        self.max_idle = max_idle  # connections kept open without a request
        self.max_open = max_open  # connections being opened or with a request
        self._active_count = 0
        self._idle: list[_ClientConnection] = []

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request and wait for the response, as `HttpClient.request`.

        If a reused connection fails, the request is retried on a new one, but only if it is a GET:
        any other request may have been executed.
        """
        head = f"{method} {path} HTTP/1.1\r\nHost: {self.host}:{self.port}\r\n"
        if body is not None:
            head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        data = head.encode("latin-1") + b"\r\n" + (body or b"")
        try:
            async with PauseTolerantTimeout(timeout):
                return await self._send(data, retry=method == "GET")
        except TimeoutError as error:
            raise NoResponseError(f"no answer within {timeout.total_seconds():g} s") from error

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in self._idle:
            connection.close()

    async def _send(self, data: bytes, retry: bool) -> Reply:
        connection = self._pop_idle()
        if connection is not None:
            try:
                return await self._exchange(connection, data)
            except NoResponseError:
                if not retry:
                    raise
        return await self._exchange(await self._connect(), data)

    def _pop_idle(self) -> _ClientConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        return None

    async def _connect(self) -> _ClientConnection:
        if self._active_count >= self.max_open:
            raise NotSentError("too many connections")
        self._active_count += 1
        try:
            loop = asyncio.get_running_loop()
            _, connection = await loop.create_connection(_ClientConnection, self.host, self.port)
        except OSError as error:
            raise NotSentError(str(error)) from error
        finally:
            self._active_count -= 1
        return connection

    async def _exchange(self, connection: _ClientConnection, data: bytes) -> Reply:
        self._active_count += 1
        try:
            reply = await connection.send(data)
        except BaseException:
            connection.close()
            raise
        finally:
            self._active_count -= 1
        if connection.reusable and len(self._idle) < self.max_idle:
            self._idle.append(connection)
        else:
            connection.close()
        return reply
