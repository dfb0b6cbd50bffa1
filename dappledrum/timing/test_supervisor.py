"""Failing loops are logged and restarted with the configured pauses and log levels."""

import asyncio
import logging

import pytest

from dappledrum.simulation.virtual_time import run
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger("dappledrum.timing.test_supervisor")

FAULT_PAUSE_S = 2.0
TRANSIENT_PAUSE_S = 0.5


class UnreachableError(Exception):
    """A service is unreachable."""


class FakeStep:
    """A step that raises the given errors in turn, then completes, and records its call times."""

    def __init__(self, *errors):
        self.errors = list(errors)
        self.called_at = []

    async def __call__(self):
        self.called_at.append(asyncio.get_running_loop().time())
        if self.errors:
            raise self.errors.pop(0)


@pytest.fixture
def supervisor(caplog):
    caplog.set_level(logging.DEBUG, log.name)
    return Supervisor(
        log, FAULT_PAUSE_S, (UnreachableError,), lambda: TRANSIENT_PAUSE_S, logging.INFO
    )


def test_an_attempt_reports_whether_the_step_completed(supervisor, caplog):
    async def main():
        assert await supervisor.attempt("planning", FakeStep())

    run(main())
    assert not caplog.records


def test_a_transient_error_is_logged_without_traceback_at_its_own_level(supervisor, caplog):
    async def main():
        assert not await supervisor.attempt("planning", FakeStep(UnreachableError("no answer")))
        assert asyncio.get_running_loop().time() == pytest.approx(TRANSIENT_PAUSE_S)

    run(main())
    (record,) = caplog.records
    assert record.levelno == logging.INFO
    assert record.exc_info is None
    assert record.getMessage() == "planning: retrying after error: no answer"


@pytest.mark.logs_failure("failed, going on")
def test_an_unexpected_exception_is_logged_with_its_traceback(supervisor, caplog):
    async def main():
        assert not await supervisor.attempt("planning", FakeStep(ValueError("wrong")))
        assert asyncio.get_running_loop().time() == pytest.approx(FAULT_PAUSE_S)

    run(main())
    (record,) = caplog.records
    assert record.levelno == logging.ERROR
    assert isinstance(record.exc_info[1], ValueError)
    assert record.getMessage() == "planning failed, going on"


@pytest.mark.logs_failure("failed, going on")
def test_without_transient_errors_every_exception_is_a_fault(caplog):
    async def main():
        supervisor = Supervisor(log, FAULT_PAUSE_S)
        assert not await supervisor.attempt("planning", FakeStep(UnreachableError()))
        assert asyncio.get_running_loop().time() == pytest.approx(FAULT_PAUSE_S)

    run(main())
    assert [record.levelno for record in caplog.records] == [logging.ERROR]


@pytest.mark.logs_failure("failed, going on")
def test_a_loop_runs_until_it_completes_once(supervisor):
    loop = FakeStep(UnreachableError(), ValueError())

    async def main():
        await supervisor.run_to_completion("planning", loop, asyncio.Event())

    run(main())
    assert loop.called_at == pytest.approx([0.0, 0.5, 2.5])


@pytest.mark.logs_failure("failed, going on")
def test_a_loop_that_fails_is_not_restarted_once_stopped(supervisor):
    loop = FakeStep(ValueError(), ValueError())

    async def main():
        stopped = asyncio.Event()
        asyncio.get_running_loop().call_later(1, stopped.set)
        await supervisor.run_to_completion("planning", loop, stopped)

    run(main())
    assert loop.called_at == [0.0]


@pytest.mark.logs_failure("failed, going on")
def test_a_step_is_repeated_until_cancelled(supervisor):
    calls = 0

    async def step():
        nonlocal calls
        calls += 1
        if calls == 2:
            raise ValueError
        await asyncio.sleep(1)

    async def main():
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(4.5):
                await supervisor.repeat("planning", step)

    run(main())
    assert calls == 4  # at 0 s, 1 s, 3 s (after the pause of FAULT_PAUSE_S) and 4 s
