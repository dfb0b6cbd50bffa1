"""No team exceeds its limit across the partitions of a fleet, and each condition is necessary."""

import pytest

from dappledrum.model.allotments import Condition, search


@pytest.mark.parametrize(("limit", "max_in_flight"), [(1, 4), (2, 3)])
def test_no_interleaving_exceeds_the_limit(limit, max_in_flight):
    found = search(limit, max_in_flight)
    assert found.violation is None
    assert found.max_on_machines == limit, "the limit must remain usable in full"


@pytest.mark.parametrize("condition", Condition)
def test_leaving_out_any_condition_violates_an_invariant(condition):
    assert search(1, 2, condition).violation is not None
