"""Wakes the planning loop after a change that a plan depends on."""

import asyncio
import contextlib
from datetime import timedelta


class PlanTrigger:
    """Requests for a planning round; those made before the round begins are merged."""

    def __init__(self) -> None:
        self._requested = asyncio.Event()

    @property
    def pending(self) -> bool:
        """Whether a round has been requested that has not begun yet."""
        return self._requested.is_set()

    def request(self, reason: str) -> None:  # noqa: ARG002 - shows in a debugger who asked
        """Request a planning round."""
        self._requested.set()

    async def wait(self, timeout: timedelta) -> None:
        """Wait up to `timeout` for a request, and clear all requests made so far."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout.total_seconds()):
                await self._requested.wait()
        self._requested.clear()
