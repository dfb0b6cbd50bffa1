"""Starts the longest tests first, so that no worker runs one of them alone at the end.

Tests are marked by hand (`@pytest.mark.long`) rather than by measured durations, so that the order
is the same on every machine and in every run.
"""

import pytest


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Move marked tests to the front, and keep the order otherwise."""
    items.sort(key=lambda item: item.get_closest_marker("long") is None)
