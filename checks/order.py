"""Starts the longest tests first, so that no worker is left with one of them at the end.

Tests are marked by hand (`@pytest.mark.long`), not by measured durations: the order is the same on
every machine and in every run.
"""

import pytest


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Move marked tests to the front; the order is kept otherwise."""
    items.sort(key=lambda item: item.get_closest_marker("long") is None)
