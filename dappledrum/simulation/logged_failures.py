"""Collects exceptions that controllers log and survive.

When a loop of a controller fails, the exception is logged and the loop restarts, so the jobs of a
test may still finish although the code is wrong. Tests and drawn fault combinations therefore
also check for logged exceptions.
"""

import logging
from types import TracebackType
from typing import Self

#: `asyncio` logs exceptions of tasks that nobody awaits.
LOGGERS = ("dappledrum", "asyncio")


class LoggedFailures(logging.Handler):
    """A context manager that collects the messages of errors logged with an exception."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the message and the exception of a record; ignore records without one."""
        if record.exc_info and record.exc_info[1] is not None:
            self.messages.append(f"{record.getMessage()}: {record.exc_info[1]!r}")

    def __enter__(self) -> Self:
        for name in LOGGERS:
            logging.getLogger(name).addHandler(self)
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for name in LOGGERS:
            logging.getLogger(name).removeHandler(self)
