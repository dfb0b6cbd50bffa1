"""Runs tests that are coroutines in virtual time (dappledrum/simulation/virtual_time.py)."""

import inspect

import pytest

from dappledrum.simulation.virtual_time import run


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Run the test if it is a coroutine; pytest calls all others."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames  # noqa: SLF001 - pytest has no public API for this
    run(pyfuncitem.obj(**{name: pyfuncitem.funcargs[name] for name in names}))
    return True
