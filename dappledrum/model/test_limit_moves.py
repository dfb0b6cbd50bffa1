"""Moving a limit between regions never raises its sum, and each condition is necessary."""

import pytest

from dappledrum.model.limit_moves import Condition, search


def test_no_interleaving_raises_the_sum_of_the_limits():
    assert search((1, 1), 3) == {0, 1, 2}, "only units that were taken and not given may be lost"


@pytest.mark.parametrize("condition", Condition)
def test_leaving_out_any_condition_raises_the_sum(condition):
    assert max(search((1, 1), 3, condition)) > 2
