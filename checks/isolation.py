"""Resets process-wide state that tests change, since a worker process runs many tests."""

import logging
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def logging_enabled() -> Iterator[None]:
    """Enable logging after each test: command-line tools that tests run disable it."""
    yield
    logging.disable(logging.NOTSET)
