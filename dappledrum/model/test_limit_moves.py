"""What the regions of a team may use together never grows, and each condition is needed."""

import pytest

from dappledrum.model.limit_moves import Condition, search


def test_no_interleaving_raises_the_sum_of_the_limits():
    assert search((1, 1), 3) == {0, 1, 2}, "and units that were in hand may be lost"


@pytest.mark.parametrize("condition", Condition)
def test_each_condition_is_needed(condition):
    assert max(search((1, 1), 3, condition)) > 2
