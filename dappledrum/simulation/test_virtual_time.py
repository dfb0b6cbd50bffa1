"""Frozen processes in virtual time."""

import asyncio
import contextvars

import pytest

from dappledrum.simulation.virtual_time import PROCESS, run


@pytest.mark.parametrize("cancelled", [False, True])
@pytest.mark.parametrize("as_timer", [False, True])
def test_a_callback_that_is_cancelled_when_its_process_resumes_does_not_run(as_timer, cancelled):
    """Guards against a timeout that fires after it was left: it was due while the process was
    frozen, and cancelled between the end of the freeze and its turn."""

    async def main():
        loop = asyncio.get_running_loop()
        context = contextvars.copy_context()
        context.run(PROCESS.set, "controller")
        ran = []
        loop.freeze("controller")
        if as_timer:
            handle = loop.call_at(loop.time() + 0.1, ran.append, 1, context=context)
        else:
            handle = loop.call_soon(ran.append, 1, context=context)
        await asyncio.sleep(1)
        assert not ran
        loop.thaw("controller")
        if cancelled:
            handle.cancel()
        await asyncio.sleep(1)
        assert ran == ([] if cancelled else [1])

    run(main())
