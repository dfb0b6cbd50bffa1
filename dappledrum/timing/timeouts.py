"""Timeouts that tolerate pauses of the whole process.

A controller may be suspended for seconds while its clocks run on. When it continues, every timeout
that passed meanwhile is due at once, while answers still lie unread in the sockets. A timeout that
fires late is therefore extended a little, so that arrived data is read before anybody is taken for
silent. Code that judges machines by their silence asks `PauseDetector` since when this process has
been running without a pause.
"""

import asyncio
import logging
from datetime import timedelta
from types import TracebackType

from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

LATE = timedelta(milliseconds=250)  # a limit this late is a sign of a pause
GRACE = timedelta(milliseconds=150)
BEAT_INTERVAL = timedelta(milliseconds=500)
PAUSE = timedelta(seconds=1)  # a beat this late was a pause


class PauseTolerantTimeout:
    """Like `asyncio.timeout`, for waits after which another machine is considered silent."""

    def __init__(self, span: timedelta) -> None:
        self.span = span
        self._timeout = asyncio.timeout(None)
        self._timer: asyncio.TimerHandle | None = None
        self._due = 0.0

    async def __aenter__(self) -> "PauseTolerantTimeout":
        await self._timeout.__aenter__()
        self._set(max(self.span, ZERO))
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        if self._timer is not None:
            self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, trace)

    def _set(self, span: timedelta) -> None:
        loop = asyncio.get_running_loop()
        self._due = loop.time() + span.total_seconds()
        self._timer = loop.call_at(self._due, self._expire)

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        if now - self._due > LATE.total_seconds():
            self._set(GRACE)
        else:
            self._timeout.reschedule(now)


class PauseDetector:
    """Detects pauses of this process."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last_beat = clock.now()
        self.since = self.last_beat

    def running_since(self) -> timedelta:
        """Since when this process has been running without a pause."""
        now = self.clock.now()
        gap = now - self.last_beat
        self.last_beat = now
        if gap > BEAT_INTERVAL + PAUSE:
            self.since = now
            log.warning(
                "stood still for about %.1f s, nobody is blamed for it", gap.total_seconds()
            )
        return self.since

    async def run(self) -> None:
        """Check for pauses periodically, for ever."""
        while True:
            self.running_since()
            await asyncio.sleep(BEAT_INTERVAL.total_seconds())
