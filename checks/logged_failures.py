"""Fails a test during which the service logs an exception, unless the test expects it.

A test that causes such an exception is marked with a pattern that the message must match:
`@pytest.mark.logs_failure("reading for polls failed")`. It fails if no such message is logged.
"""

import re
from collections.abc import Iterator

import pytest

from dappledrum.simulation.logged_failures import LoggedFailures

MARK = "logs_failure"


@pytest.fixture(autouse=True)
def no_unexpected_failures(request: pytest.FixtureRequest) -> Iterator[None]:
    """Compare the messages logged with an exception with the patterns of the test."""
    patterns = [mark.args[0] for mark in request.node.iter_markers(MARK)]
    with LoggedFailures() as failures:
        yield
    unexpected = [
        message
        for message in failures.messages
        if not any(re.search(pattern, message) for pattern in patterns)
    ]
    missing = [
        pattern
        for pattern in patterns
        if not any(re.search(pattern, message) for message in failures.messages)
    ]
    assert not unexpected, f"logged with an exception: {unexpected[0]}"
    assert not missing, f"expected to be logged with an exception: {missing[0]}"
