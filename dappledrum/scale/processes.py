"""Child processes of the coordinator, and their resource usage."""

import asyncio
import contextlib
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec
import psutil

from dappledrum.scale.messages import Counters, Event, encode_line

READY_TIMEOUT_S = 30.0
ROOT = Path(__file__).parents[2]


class Usage(msgspec.Struct):
    """Resource usage of a process at one moment."""

    cpu_s: float  # since the process started
    memory_mb: float
    sockets: int  # all open file descriptors


class ProcessNotReadyError(Exception):
    """A child process sent no counters within `READY_TIMEOUT_S` of its start."""


def read_usage(pid: int) -> Usage | None:
    """Return the usage of a process, or None if it has ended."""
    try:
        process = psutil.Process(pid)
        with process.oneshot():
            times = process.cpu_times()
            memory = process.memory_info().rss
        sockets = process.num_fds()
    except psutil.Error:
        return None
    return Usage(times.user + times.system, memory / 2**20, sockets)


class ChildProcess:
    """A process that runs a module of this package, takes commands and sends events."""

    def __init__(self, module: str, settings: msgspec.Struct, path: Path) -> None:
        self.module = module
        self.path = path
        path.write_bytes(msgspec.json.encode(settings))
        self.process: asyncio.subprocess.Process | None = None
        self.counters = Counters()
        self._counters_received = asyncio.Event()
        self._reading: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id; the process must have been started."""
        assert self.process is not None
        return self.process.pid

    async def start(self, handle_event: Callable[[Event], None]) -> None:
        """Start the process and wait until it is ready; its events go to `handle_event`.

        Raises ProcessNotReadyError.
        """
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
        self._reading = asyncio.get_running_loop().create_task(self._read(handle_event))
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self._counters_received.wait()
        except TimeoutError as error:
            raise ProcessNotReadyError(
                f"{self.module}: not ready in {READY_TIMEOUT_S:g} s"
            ) from error

    async def _read(self, handle_event: Callable[[Event], None]) -> None:
        assert self.process is not None
        assert self.process.stdout is not None
        decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
        while line := await self.process.stdout.readline():
            event = decoder.decode(line)
            if isinstance(event, Counters):
                self.counters = event
                self._counters_received.set()
            else:
                handle_event(event)

    def send(self, message: msgspec.Struct) -> None:
        """Send a command; it is dropped if the pipe is closing."""
        assert self.process is not None
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(encode_line(message))

    async def request_counters(self, message: msgspec.Struct, timeout_s: float = 5.0) -> Counters:
        """Request counters and return the answer, or the previous counters after the timeout."""
        self._counters_received.clear()
        self.send(message)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._counters_received.wait()
        return self.counters

    async def stop(self) -> None:
        """Kill the process and wait until it has ended."""
        if self._reading is not None:
            self._reading.cancel()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
