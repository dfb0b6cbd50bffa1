"""Runs every test with the same hash seed, so that sets are iterated in the same order.

Python reads the seed from the environment when a process starts. Workers of pytest-xdist inherit
it; a run without workers (`-n 0`, `--pdb`) must be started with it.
"""

import os
import sys

import pytest

VARIABLE = "PYTHONHASHSEED"
SEED = "0"


def pytest_configure() -> None:
    """Set the seed before any worker process starts."""
    os.environ[VARIABLE] = SEED


@pytest.hookimpl(tryfirst=True)
def pytest_runtestloop(session: pytest.Session) -> None:
    """Refuse to run tests in a process that started with another seed."""
    config = session.config
    is_xdist_controller = config.getoption("dist", "no") != "no" and not hasattr(
        config, "workerinput"
    )
    if config.option.collectonly or is_xdist_controller:
        return
    if sys.flags.hash_randomization:
        raise pytest.UsageError(f"without worker processes, start pytest with {VARIABLE}={SEED}")
