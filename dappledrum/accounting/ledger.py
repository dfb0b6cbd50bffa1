"""The cost accounts of one term of leadership.

They are computed every two seconds from what the leader has in memory anyway; no message and no
record depends on them. The cost of an attempt is booked with the attempt until its end shows
whether it was kept or lost. Invariant: the sum of all categories is the cost of the machines that
the leader is aware of. The amounts are in the currency of the catalog.
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

#: How often the time that has passed should be booked.
BOOKING_INTERVAL = timedelta(seconds=2)
LOG_INTERVAL = timedelta(minutes=1)
#: Categories with a smaller share of the cost are left out of the log.
MIN_LOGGED_SHARE = 0.005
#: Shares of a machine below this are errors of rounding.
MIN_IDLE_SHARE = 1e-9

Costs = defaultdict[CostCategory, float]

#: Categories of attempts that are on a machine, in the order in which they are booked.
PLACEMENT_CATEGORIES = (
    CostCategory.RUNNING,
    CostCategory.GANG_WAIT,
    CostCategory.FETCH,
    CostCategory.START_PENDING,
)


def format_shares(costs: Mapping[CostCategory, float]) -> str:
    """The share of each category as text for the log, largest first."""
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
    """What the time of an attempt on a machine is booked as, until it has ended."""
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
        self.accounts: dict[str, _Account] = {}  # by the names of the machines
        self.unlogged: Costs = defaultdict(float)  # since the last line of the log
        self.unlogged_ordinary = 0.0  # of that on machines that are not spot
        self.logged_at = self.began

    def book_elapsed(
        self,
        types: Mapping[str, MachineType],
        demands: Sequence[Demand],
        available: Iterable[str] | None = None,
    ) -> None:
        """Book the time since the last call.

        `types`: the catalog, by name; machines of other types are left out.
        `demands`: the waiting tasks.
        `available`: names of the machines that new work may use; None: all.
        """
        now = self.clock.now()
        usable = None if available is None else set(available)
        for machine in self.registry:
            model = types.get(machine.kind.type) if machine.kind is not None else None
            if machine.kind is None or model is None:
                continue
            account = self.accounts.get(machine.name)
            if account is None:
                # What was spent under a predecessor is in the predecessor's account.
                start = max(machine.rented_at, self.began)
                account = self.accounts[machine.name] = _Account(start, machine.kind)
            elapsed = max(now - account.booked_until, ZERO)
            account.booked_until = now
            cost = elapsed / timedelta(hours=1) * model.hourly(machine.kind.spot)
            is_usable = usable is None or machine.name in usable
            self._book_machine(account, machine, model, cost, demands, is_usable)
        self._close_accounts()

    def _close_accounts(self) -> None:
        for name in [name for name in self.accounts if name not in self.registry.machines]:
            account = self.accounts.pop(name)
            total = sum(account.costs.values())
            log.debug("%s terminated, cost %.4f: %s", name, total, format_shares(account.costs))

    def _book_machine(
        self,
        account: _Account,
        machine: Machine,
        model: MachineType,
        cost: float,
        demands: Sequence[Demand],
        is_usable: bool,
    ) -> None:
        """Divide the cost of some time of one machine among the categories."""
        if machine.returning:
            self._add(account, CostCategory.RETURNING, cost)
            return
        if not machine.up:
            self._add(account, CostCategory.BOOT, cost)
            return
        free, idle_share = self._book_placements(account, machine, model, cost)
        if idle_share > MIN_IDLE_SHARE:
            category = idle_category(account.kind, free, not machine.placements, demands)
            without_demand = (CostCategory.IDLE_EMPTY, CostCategory.IDLE_BESIDE_WORK)
            if not is_usable and category not in without_demand:
                category = CostCategory.IDLE_UNUSABLE
            self._add(account, category, cost * idle_share)

    def _book_placements(
        self, account: _Account, machine: Machine, model: MachineType, cost: float
    ) -> tuple[Size, float]:
        """Book the attempts on a machine by their CPUs; returns its free capacity and the share of
        the cost that is left."""
        free = Size(model.cpus, model.gpus, model.memory_gb)
        left = 1.0
        shares = dict.fromkeys(PLACEMENT_CATEGORIES, 0.0)
        for placement in machine.placements.values():
            size = placement.page.job.size
            free = free.minus(size)
            share = min(left, size.cpus / model.cpus) if model.cpus > 0 else left
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
            self.unlogged_ordinary += cost

    def settle(self, placement: Placement, category: CostCategory) -> None:
        """Move the run time of an attempt that has ended to a category of kept or lost cost."""
        account = self.accounts.get(placement.machine)
        if account is not None and placement.accrued_cost > 0:
            for costs in (account.costs, self.unlogged):
                costs[CostCategory.RUNNING] -= placement.accrued_cost
                costs[category] += placement.accrued_cost
        placement.accrued_cost = 0.0

    def log_totals(self, at_once: bool = False) -> bool:
        """Log what was booked since the last line, once a minute or `at_once`.

        The lines of all leaders add up to what was spent. Returns whether a line was due.
        """
        now = self.clock.now()
        if not at_once and now - self.logged_at < LOG_INTERVAL:
            return False
        total = sum(self.unlogged.values())
        if total > 0:
            log.info(
                "%.3f spent in %.0f s on %d machines, %.0f%% on ordinary ones: %s",
                total,
                (now - self.logged_at).total_seconds(),
                len(self.accounts),
                100 * self.unlogged_ordinary / total,
                format_shares({key: max(cost, 0.0) for key, cost in self.unlogged.items()}),
            )
        self.logged_at = now
        self.unlogged.clear()
        self.unlogged_ordinary = 0.0
        return True
