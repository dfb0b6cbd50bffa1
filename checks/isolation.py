"""Undoes what a test may change for the whole process, since workers run tests in any company."""

import logging
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def logging_enabled() -> Iterator[None]:
    """Command-line tools turn logging off for their process; the next test has it again."""
    yield
    logging.disable(logging.NOTSET)
