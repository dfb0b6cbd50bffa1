"""Keeps background loops running: logs their failures and restarts them after a pause.

Neither an unexpected response of a service nor a programming error may end one of a controller's
loops while the others continue: a leader whose planning loop had ended would keep its lease but
place no tasks.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Supervisor:
    """Handles failures of one component's loops.

    `log`: the component's logger.
    `fault_pause_s`: seconds until the next attempt after an unexpected exception, which is logged
        with its traceback.
    `transient_errors`: exceptions that are expected to pass, as when a service is unreachable.
    `transient_pause_s`: returns the seconds until the next attempt after a transient error. Not a
        `timedelta`, which would round a random pause to microseconds.
    `transient_level`: log level of a transient error, which is logged without a traceback.
    """

    log: logging.Logger
    fault_pause_s: float
    transient_errors: tuple[type[Exception], ...] = ()
    transient_pause_s: Callable[[], float] = lambda: 0.0
    transient_level: int = logging.DEBUG

    async def attempt(self, name: str, step: Callable[[], Awaitable[None]]) -> bool:
        """Await `step()` once; returns whether it completed.

        A failure is logged under `name`, and False is returned after the pause. Raises only
        cancellation and other exceptions that are not derived from `Exception`.
        """
        try:
            await step()
        except self.transient_errors as error:
            self.log.log(self.transient_level, "%s: retrying after error: %s", name, error)
            await asyncio.sleep(self.transient_pause_s())
        except Exception:
            self.log.exception("%s failed, going on", name)
            await asyncio.sleep(self.fault_pause_s)
        else:
            return True
        return False

    async def repeat(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Await `step()` repeatedly, whether it fails or completes, until cancelled."""
        while True:
            await self.attempt(name, step)

    async def run_to_completion(
        self, name: str, loop: Callable[[], Awaitable[None]], stopped: asyncio.Event
    ) -> None:
        """Await `loop()` until it completes, again after each failure unless `stopped` is set."""
        while not stopped.is_set() and not await self.attempt(name, loop):
            pass
