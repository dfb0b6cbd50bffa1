"""Timeouts that tolerate pauses of the whole process.

A controller may be suspended for seconds while its clocks continue. When it resumes, all timeouts
that passed meanwhile fire at once, while responses are still unread in the sockets. A timeout that
fires late is therefore extended a little, so that received data is read before another machine is
considered silent. Code that draws conclusions from the silence of machines asks `PauseDetector`
since when this process has been running without a pause.
"""

import asyncio
import logging
from datetime import timedelta
from types import TracebackType

from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

MIN_PAUSE_LATENESS = timedelta(milliseconds=250)  # a timeout firing later shows a pause
EXTENSION_AFTER_PAUSE = timedelta(milliseconds=150)
PAUSE_CHECK_INTERVAL = timedelta(milliseconds=500)
MIN_DETECTED_PAUSE = timedelta(seconds=1)  # a check running later shows a pause


class PauseTolerantTimeout:
    """Variant of `asyncio.timeout` for waits after which another machine is considered silent."""

    def __init__(self, duration: timedelta) -> None:
        self.duration = duration
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    async def __aenter__(self) -> "PauseTolerantTimeout":
        await self._timeout.__aenter__()
        self._schedule(max(self.duration, ZERO))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._timer is not None:
            self._timer.cancel()
        await self._timeout.__aexit__(kind, error, trace)

    def _schedule(self, duration: timedelta) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + duration.total_seconds()
        self._timer = loop.call_at(self._due, self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._due > MIN_PAUSE_LATENESS.total_seconds():
            self._schedule(EXTENSION_AFTER_PAUSE)
        else:
            self._timeout.reschedule(now)


class PauseDetector:
    """Detects pauses of this process by the lateness of its own checks."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._last_check = clock.now()
        self._running_since = self._last_check

    def running_since(self) -> timedelta:
        """Time since which this process has been running without a pause."""
        now = self.clock.now()
        gap = now - self._last_check
        self._last_check = now
        if gap > PAUSE_CHECK_INTERVAL + MIN_DETECTED_PAUSE:
            self._running_since = now
            log.warning(
                "process was paused for about %.1f s, silence during it is not counted",
                gap.total_seconds(),
            )
        return self._running_since

    async def run(self) -> None:
        """Check for pauses periodically; never returns."""
        while True:
            self.running_since()
            await asyncio.sleep(PAUSE_CHECK_INTERVAL.total_seconds())
