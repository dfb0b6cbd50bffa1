"""Fails a test in which the service logs an exception and goes on, unless the test says so.

A test that brings such an exception about is marked with the pattern that its message must match:
`@pytest.mark.logs_failure("reading for polls failed")`. It fails if nothing of the kind is logged.
"""

import re
from collections.abc import Iterator

import pytest

from dappledrum.simulation.logged_failures import LoggedFailures

MARK = "logs_failure"


@pytest.fixture(autouse=True)
def no_unexpected_failures(request: pytest.FixtureRequest) -> Iterator[None]:
    """Compare what was logged with an exception with what the test expects."""
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
