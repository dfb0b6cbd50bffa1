"""Reads the commands of the coordinator from a process's standard input."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable

import msgspec

from dappledrum.scale.messages import Command, encode_line

LINE_BYTES = 1 << 20


async def serve_commands(act: Callable[[Command], Awaitable[None]]) -> None:
    """Carry out commands until the coordinator closes the pipe or ends."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(Command)
    while line := await reader.readline():
        await act(decoder.decode(line))


class Events:
    """Sends events to the coordinator, many in one write."""

    def __init__(self) -> None:
        self._waiting: list[bytes] = []

    def send(self, event: msgspec.Struct) -> None:
        """Put an event into the next write."""
        if not self._waiting:
            asyncio.get_running_loop().call_soon(self._flush)
        self._waiting.append(encode_line(event))

    def _flush(self) -> None:
        data, self._waiting = b"".join(self._waiting), []
        descriptor = sys.stdout.fileno()
        while data:
            data = data[os.write(descriptor, data) :]
