"""Interface to the accounting of what attempts cost."""

from typing import Protocol

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.placement import Placement


class CostRecorder(Protocol):
    """Accounts for the cost of attempts; implemented by `accounting.ledger.Ledger`."""

    def settle(self, placement: Placement, category: CostCategory) -> None:
        """Assign the whole cost of an ended attempt to a category."""
