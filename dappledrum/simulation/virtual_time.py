"""An event loop with virtual time, which jumps to the next timer, so that long simulations take
seconds and are repeatable."""

import asyncio
import contextvars
import selectors
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from typing import Any

from dappledrum.timing.clock import Clock

EPOCH = datetime(2026, 1, 1, tzinfo=UTC)


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.loop: VirtualLoop | None = None

    def select(self, timeout: float | None = None) -> list[Any]:
        assert self.loop is not None
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait, and no timer is set")
        self.loop.virtual_time += max(timeout, 0.0)
        return super().select(0)


#: The controller's process that a callback belongs to; inherited by everything that it starts.
PROCESS: contextvars.ContextVar[str | None] = contextvars.ContextVar("process", default=None)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop in which waits take no real time, and in which single processes can be frozen
    while time passes."""

    def __init__(self) -> None:
        self.virtual_time = 0.0
        # Deferred callbacks of each frozen process: whether it is a timer, handle, callback.
        self.frozen: dict[str, list[tuple[bool, asyncio.Handle, Callable[[], Any]]]] = {}
        selector = _Selector()
        super().__init__(selector)
        selector.loop = self

    def time(self) -> float:
        return self.virtual_time

    def freeze(self, process: str) -> None:
        """Defer all callbacks of this process."""
        self.frozen.setdefault(process, [])

    def thaw(self, process: str) -> None:
        """Resume this process: first with what has arrived, then with the timers that expired."""
        for _, handle, callback in sorted(self.frozen.pop(process, []), key=lambda item: item[0]):
            if not handle.cancelled():
                callback()

    def call_soon(self, callback: Any, *args: Any, context: Any = None) -> asyncio.Handle:  # noqa: ANN401
        context = contextvars.copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handle_cell: list[asyncio.Handle] = []

        def reschedule() -> None:
            self.call_soon(_run_unless_cancelled, handle_cell[0], callback, *args, context=context)

        handle = super().call_soon(
            self._run_or_defer,
            False,
            process,
            handle_cell,
            reschedule,
            callback,
            *args,
            context=context,
        )
        handle_cell.append(handle)
        return handle

    def call_at(self, when: float, callback: Any, *args: Any, context: Any = None) -> Any:  # noqa: ANN401
        context = contextvars.copy_context() if context is None else context
        process = context.get(PROCESS)
        if process is None:
            return super().call_at(when, callback, *args, context=context)
        handle_cell: list[asyncio.Handle] = []

        def reschedule() -> None:
            self.call_soon(_run_unless_cancelled, handle_cell[0], callback, *args, context=context)

        handle = super().call_at(
            when,
            self._run_or_defer,
            True,
            process,
            handle_cell,
            reschedule,
            callback,
            *args,
            context=context,
        )
        handle_cell.append(handle)
        return handle

    def _run_or_defer(
        self,
        timer: bool,
        process: str,
        handle_cell: list[asyncio.Handle],
        reschedule: Callable[[], Any],
        callback: Callable[..., Any],
        *args: Any,  # noqa: ANN401
    ) -> None:
        if process in self.frozen:
            self.frozen[process].append((timer, handle_cell[0], reschedule))
        else:
            callback(*args)


def _run_unless_cancelled(
    handle: asyncio.Handle,
    callback: Callable[..., Any],
    *args: Any,  # noqa: ANN401
) -> None:
    """Run a deferred callback, unless it was cancelled after its process had resumed."""
    if not handle.cancelled():
        callback(*args)


class SkewedClock(Clock):
    """A clock with a rate error in its steady time, and a constant error in its time of day."""

    def __init__(self, rate: float = 0.0, offset: timedelta = timedelta(0)) -> None:
        self.rate = rate
        self.offset = offset

    def now(self) -> timedelta:
        return super().now() * (1 + self.rate)

    def utc_now(self) -> datetime:
        return EPOCH + super().now() + self.offset


def run(main: Coroutine[Any, Any, Any]) -> Any:  # noqa: ANN401 - whatever the coroutine returns
    """Run a coroutine in virtual time."""

    async def run_and_thaw() -> Any:  # noqa: ANN401
        try:
            return await main
        finally:
            # A test that fails while a process is frozen would never end, because tasks of a
            # frozen process can't be cancelled.
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualLoop)
            for process in list(loop.frozen):
                loop.thaw(process)

    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(run_and_thaw())
