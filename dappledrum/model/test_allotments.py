"""No team exceeds its limit over the partitions of a fleet, and each condition is needed."""

import pytest

from dappledrum.model.allotments import Condition, search


@pytest.mark.parametrize(("limit", "most_sent"), [(1, 4), (2, 3)])
def test_no_interleaving_exceeds_the_limit(limit, most_sent):
    found = search(limit, most_sent)
    assert found.broken is None
    assert found.most_on_machines == limit, "the limit can be used in full"


@pytest.mark.parametrize("condition", Condition)
def test_each_condition_is_needed(condition):
    assert search(1, 2, condition).broken is not None
