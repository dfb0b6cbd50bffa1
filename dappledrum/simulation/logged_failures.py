"""Finds exceptions that the service logs and survives.

A loop of a controller that fails is logged and started again, so the jobs of a test may well end
as they should although the code behind the loop is wrong. Tests and drawn worlds therefore collect
what was logged with an exception.
"""

import logging
from types import TracebackType
from typing import Self

#: `asyncio` logs exceptions of tasks that nobody awaits.
LOGGERS = ("dappledrum", "asyncio")


class LoggedFailures(logging.Handler):
    """Collects, while it is entered, the messages of errors that were logged with an exception."""

    def __init__(self) -> None:
        super().__init__(logging.ERROR)
        self.messages: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep the message and the exception of a record; others are ignored."""
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
