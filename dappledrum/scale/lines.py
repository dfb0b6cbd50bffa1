"""Standard input and output of a child process: commands in, events out."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable

import msgspec

from dappledrum.scale.messages import Command, encode_line

MAX_LINE_BYTES = 1 << 20


async def serve_commands(execute: Callable[[Command], Awaitable[None]]) -> None:
    """Execute commands until the coordinator exits or closes standard input."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MAX_LINE_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    decoder = msgspec.json.Decoder(Command)
    while line := await reader.readline():
        await execute(decoder.decode(line))


class EventSender:
    """Sends events to the coordinator, all those of one event loop iteration in one write."""

    def __init__(self) -> None:
        self._unsent: list[bytes] = []

    def send(self, event: msgspec.Struct) -> None:
        """Add an event to the next write."""
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(encode_line(event))

    def _flush(self) -> None:
        data, self._unsent = b"".join(self._unsent), []
        descriptor = sys.stdout.fileno()
        while data:
            data = data[os.write(descriptor, data) :]
