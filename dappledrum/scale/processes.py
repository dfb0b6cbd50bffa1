"""Processes that the coordinator starts, and what they use."""

import asyncio
import contextlib
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import psutil

from dappledrum.scale.messages import Counters, Event, encode_line

READY_S = 30.0
ROOT = Path(__file__).parents[2]


class Usage(msgspec.Struct):
    """What one process has used, or uses, at one moment."""

    cpu_s: float
    memory_mb: float
    sockets: int


class ProcessNotReadyError(Exception):
    """A process ended, or said nothing, before it was ready."""


def usage(pid: int) -> Usage | None:
    """What a process uses, or None when it is gone."""
    try:
        process = psutil.Process(pid)
        with process.oneshot():
            times = process.cpu_times()
            memory = process.memory_info().rss
        sockets = process.num_fds()
    except psutil.Error:
        return None
    return Usage(times.user + times.system, memory / 2**20, sockets)


class Companion:
    """A process of this package that takes commands and sends events."""

    def __init__(self, module: str, settings: msgspec.Struct, path: Path) -> None:
        self.module = module
        self.path = path
        path.write_bytes(msgspec.json.encode(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.counters = Counters()
        self._counted = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Of the running process."""
        assert self.process is not None
        return self.process.pid

    async def start(self, act: Callable[[Event], None]) -> None:
        """Start the process, wait until it is ready, and have its events acted on."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            self.module,
            str(self.path),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
            limit=1 << 20,
        )
        self._reading = asyncio.get_running_loop().create_task(self._read(act))
        try:
            async with asyncio.timeout(READY_S):
                await self._counted.wait()
        except TimeoutError as error:
            raise ProcessNotReadyError(self.module) from error

    async def _read(self, act: Callable[[Event], None]) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
        while line := await self.process.stdout.readline():
            event = decoder.decode(line)
            if isinstance(event, Counters):
                self.counters = event
                self._counted.set()
            else:
                act(event)

    def send(self, message: msgspec.Struct) -> None:
        """Send one command."""
        assert self.process is not None
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(encode_line(message))

    async def next_counters(self, message: msgspec.Struct, within_s: float = 5.0) -> Counters:
        """Ask for counters; the former ones when no answer comes in time."""
        self._counted.clear()
        self.send(message)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(within_s):
                await self._counted.wait()
        return self.counters

    async def stop(self) -> None:
        """End the process."""
        if self._reading is not None:
            self._reading.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
