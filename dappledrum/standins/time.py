"""An event loop whose time jumps to the next timer, so a day passes in seconds and always in the
same way."""

import asyncio
import selectors
from collections.abc import Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from dappledrum.clock import Clock

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        assert self.loop is not None
        if timeout is None:
            raise RuntimeError("every task waits for something that never comes")
        self.loop.virtual += max(timeout, 0.0)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Waits take no real time."""

    def __init__(self) -> None:
        self.virtual = 0.0
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self.virtual


class SkewedClock(Clock):
    """A clock that is off: its rate for the steady time, a constant for the time of day."""

    def __init__(self, rate: float = 0.0, off: timedelta = timedelta(0)) -> None:
        self.rate = rate
        self.off = off

    def now(self) -> timedelta:
        return super().now() * (1 + self.rate)

    def today(self) -> datetime:
        return EPOCH + super().now() + self.off


def run(main: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401 - whatever the coroutine returns
    """Run a coroutine in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
