"""Where the run time of attempts is settled when they end."""

from typing import Protocol

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.placement import Placement


class CostRecorder(Protocol):
    """Accounts for what attempts have cost, as `accounting.ledger.Ledger` does."""

    def settle(self, placement: Placement, category: CostCategory) -> None:
        """Assign all that an ended attempt has cost to a category."""
