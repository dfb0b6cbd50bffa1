"""Keeps a background loop running: its failures are logged, and it is started again after a pause.

A controller's loops must outlive whatever a service answers and whatever is wrong in the code of
one of them, since the others go on all the same: a leader whose planning loop had ended would keep
its lease and place nothing.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class Supervisor:
    """How the loops of one component are treated when they fail.

    `log`: the component's logger.
    `fault_pause_s`: seconds until the next attempt after an unexpected exception, which is logged
        with its traceback.
    `transient_errors`: exceptions that are expected to pass, as of a service that is not reached.
    `transient_pause_s`: gives the seconds until the next attempt after one of them. Not a
        `timedelta`, which would round a random pause to microseconds.
    `transient_level`: the log level of such an error, which is logged without a traceback.
    """

    log: logging.Logger
    fault_pause_s: float
    transient_errors: tuple[type[Exception], ...] = ()
    transient_pause_s: Callable[[], float] = lambda: 0.0
    transient_level: int = logging.DEBUG

    async def attempt(self, name: str, step: Callable[[], Awaitable[None]]) -> bool:
        """Await `step()` once; returns whether it completed.

        After a failure, which is logged under `name`, it returns when the pause has passed. Only
        cancellation and other exceptions that are no `Exception` are raised.
        """
        try:
            await step()
        except self.transient_errors as error:
            self.log.log(self.transient_level, "%s: trying again after: %s", name, error)
            await asyncio.sleep(self.transient_pause_s())
        except Exception:
            self.log.exception("%s failed, going on", name)
            await asyncio.sleep(self.fault_pause_s)
        else:
            return True
        return False

    async def repeat(self, name: str, step: Callable[[], Awaitable[None]]) -> None:
        """Await `step()` again and again, whether it fails or completes, until cancelled."""
        while True:
            await self.attempt(name, step)

    async def run_to_completion(
        self, name: str, loop: Callable[[], Awaitable[None]], stopped: asyncio.Event
    ) -> None:
        """Await `loop()` until it completes once, unless `stopped` is set after a failure."""
        while not stopped.is_set() and not await self.attempt(name, loop):
            pass
