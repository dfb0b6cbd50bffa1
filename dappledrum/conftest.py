"""What holds for all tests."""

import logging
from collections.abc import Iterator

import pytest


@pytest.fixture(autouse=True)
def _logging_enabled() -> Iterator[None]:
    """A command of the stand-ins switches logging off for its process; the next test, which may
    look at what is logged, must not depend on the order."""
    yield
    logging.disable(logging.NOTSET)
