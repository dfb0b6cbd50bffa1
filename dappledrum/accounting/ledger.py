"""Books the costs of one term of leadership by category.

Costs are computed every two seconds from the leader's memory; no message and no record depends on
them. The cost of an attempt accrues with the attempt until its end shows whether it was kept or
lost. Invariant: the sum of all categories is the cost of the machines that the leader knows. The
amounts are in the currency of the catalog.
"""

import logging
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from dappledrum.accounting.idle_categories import Demand, idle_category
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.timeline import InstanceKind, Size
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.machine_registry import Machine, MachineRegistry

log = logging.getLogger(__name__)

#: How often elapsed time should be booked.
BOOKING_INTERVAL = timedelta(seconds=2)
LOG_INTERVAL = timedelta(minutes=1)
#: Categories with a smaller share of the cost are left out of the log.
MIN_LOGGED_SHARE = 0.005
#: Shares of a machine below this are rounding errors.
MIN_IDLE_SHARE = 1e-9

Costs = defaultdict[CostCategory, float]

#: Categories of attempts on a machine, in the order in which they are booked.
PLACEMENT_CATEGORIES = (
    CostCategory.RUNNING,
    CostCategory.GANG_WAIT,
    CostCategory.FETCH,
    CostCategory.START_PENDING,
)


def format_shares(costs: Mapping[CostCategory, float]) -> str:
    """The share of each category as text for the log, largest share first."""
    total = sum(costs.values())
    if total <= 0:
        return "nothing"
    rows = sorted(costs.items(), key=lambda row: -row[1])
    return "; ".join(
        f"{category} {cost / total:.1%}"
        for category, cost in rows
        if cost / total >= MIN_LOGGED_SHARE
    )


def _placement_category(placement: Placement) -> CostCategory:
    """The category in which an attempt's time is booked until the attempt has ended."""
    if placement.running_since is not None:
        return CostCategory.RUNNING
    if placement.waiting_for_gang:
        return CostCategory.GANG_WAIT
    return CostCategory.FETCH if placement.observed else CostCategory.START_PENDING


class _Account:
    """The account of one machine."""

    __slots__ = ("booked_until", "costs", "kind")

    def __init__(self, booked_until: timedelta, kind: InstanceKind) -> None:
        self.booked_until = booked_until
        self.costs: Costs = defaultdict(float)
        self.kind = kind


class Ledger:
    """Books what machines cost; `book_elapsed` is called every `BOOKING_INTERVAL`."""

    def __init__(self, registry: MachineRegistry, clock: Clock) -> None:
        self.registry = registry
        self.clock = clock
        self.began = clock.now()
        self.accounts: dict[str, _Account] = {}  # by machine name
        self.unlogged: Costs = defaultdict(float)  # costs since the last logged totals
        self.unlogged_on_demand = 0.0  # part of these on on-demand machines
        self.logged_at = self.began

    def book_elapsed(
        self,
        types: Mapping[str, MachineType],
        demands: Sequence[Demand],
        available: Iterable[str] | None = None,
    ) -> None:
        """Book the time since the last call.

        `types`: machine types of the catalog by name; machines of other types are left out.
        `demands`: the waiting tasks.
        `available`: names of the machines that new tasks may use; None means all.
        """
        now = self.clock.now()
        usable = None if available is None else set(available)
        for machine in self.registry:
            machine_type = types.get(machine.kind.type) if machine.kind is not None else None
            if machine.kind is None or machine_type is None:
                continue
            account = self.accounts.get(machine.name)
            if account is None:
                # Costs before this term were booked by the previous leader.
                start = max(machine.rented_at, self.began)
                account = self.accounts[machine.name] = _Account(start, machine.kind)
            elapsed = max(now - account.booked_until, ZERO)
            account.booked_until = now
            cost = elapsed / timedelta(hours=1) * machine_type.hourly(machine.kind.spot)
            is_usable = usable is None or machine.name in usable
            self._book_machine(account, machine, machine_type, cost, demands, is_usable)
        self._close_accounts()

    def _close_accounts(self) -> None:
        for name in [name for name in self.accounts if name not in self.registry.machines]:
            account = self.accounts.pop(name)
            total = sum(account.costs.values())
            log.debug("%s terminated: cost=%.4f, %s", name, total, format_shares(account.costs))

    def _book_machine(
        self,
        account: _Account,
        machine: Machine,
        machine_type: MachineType,
        cost: float,
        demands: Sequence[Demand],
        is_usable: bool,
    ) -> None:
        """Divide the cost of a machine's elapsed time among the categories."""
        if machine.returning:
            self._add(account, CostCategory.RETURNING, cost)
            return
        if not machine.up:
            self._add(account, CostCategory.BOOT, cost)
            return
        free, idle_share = self._book_placements(account, machine, machine_type, cost)
        if idle_share > MIN_IDLE_SHARE:
            category = idle_category(account.kind, free, not machine.placements, demands)
            without_demand = (CostCategory.IDLE_EMPTY, CostCategory.IDLE_BESIDE_WORK)
            if not is_usable and category not in without_demand:
                category = CostCategory.IDLE_UNUSABLE
            self._add(account, category, cost * idle_share)

    def _book_placements(
        self, account: _Account, machine: Machine, machine_type: MachineType, cost: float
    ) -> tuple[Size, float]:
        """Book the attempts on a machine by their CPUs.

        Returns the machine's free capacity and the share of the cost that is left.
        """
        free = Size(machine_type.cpus, machine_type.gpus, machine_type.memory_gb)
        left = 1.0
        shares = dict.fromkeys(PLACEMENT_CATEGORIES, 0.0)
        for placement in machine.placements.values():
            size = placement.page.job.size
            free = free.minus(size)
            share = min(left, size.cpus / machine_type.cpus) if machine_type.cpus > 0 else left
            left -= share
            category = _placement_category(placement)
            shares[category] += share
            if category is CostCategory.RUNNING:
                placement.accrued_cost += cost * share
        for category, share in shares.items():
            if share > 0:
                self._add(account, category, cost * share)
        return free, left

    def _add(self, account: _Account, category: CostCategory, cost: float) -> None:
        account.costs[category] += cost
        self.unlogged[category] += cost
        if not account.kind.spot:
            self.unlogged_on_demand += cost

    def settle(self, placement: Placement, category: CostCategory) -> None:
        """Move the accrued cost of an ended attempt to a category of kept or lost cost."""
        account = self.accounts.get(placement.machine)
        if account is not None and placement.accrued_cost > 0:
            for costs in (account.costs, self.unlogged):
                costs[CostCategory.RUNNING] -= placement.accrued_cost
                costs[category] += placement.accrued_cost
        placement.accrued_cost = 0.0

    def log_totals(self, at_once: bool = False) -> bool:
        """Log the costs booked since the last logged totals, every `LOG_INTERVAL` or `at_once`.

        The totals of all leaders add up to the whole cost. Returns whether totals were due.
        """
        now = self.clock.now()
        if not at_once and now - self.logged_at < LOG_INTERVAL:
            return False
        total = sum(self.unlogged.values())
        if total > 0:
            log.info(
                "costs of the last %.0f s: total=%.3f machines=%d on_demand=%.0f%%, %s",
                (now - self.logged_at).total_seconds(),
                total,
                len(self.accounts),
                100 * self.unlogged_on_demand / total,
                format_shares({key: max(cost, 0.0) for key, cost in self.unlogged.items()}),
            )
        self.logged_at = now
        self.unlogged.clear()
        self.unlogged_on_demand = 0.0
        return True
