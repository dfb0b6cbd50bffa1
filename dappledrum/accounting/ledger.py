"""The accounts of one term of leadership.

They are computed every second or two from what the leader knows anyway; no message and no record
depends on them. The time of an attempt is booked with the attempt until its end shows whether it
was kept or lost. Invariant: the sum of all lines is the money spent on the known machines.
"""

import logging
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta

from dappledrum.accounting.entries import Demand, Entry, why_idle
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.timeline import InstanceKind, Size
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.machine_registry import Machine, MachineRegistry

log = logging.getLogger(__name__)

STEP = timedelta(seconds=2)
LOG_EVERY = timedelta(minutes=1)
SHOWN = 0.005  # lines below this share are left out of the log

#: Money in the currency of the catalog.
Lines = Counter[Entry]


def shown(lines: Mapping[Entry, float]) -> str:
    """Lines as text for the log, largest first."""
    total = sum(lines.values())
    if total <= 0:
        return "nothing"
    rows = sorted(lines.items(), key=lambda row: -row[1])
    return "; ".join(
        f"{entry} {amount / total:.1%}" for entry, amount in rows if amount / total >= SHOWN
    )


class _Account:
    """The account of one machine."""

    __slots__ = ("at", "kind", "lines")

    def __init__(self, at: timedelta, kind: InstanceKind) -> None:
        self.at = at
        self.lines: Lines = Counter()
        self.kind = kind


#: Of attempts that are on a machine.
OF_PLACEMENTS = (Entry.RUNNING, Entry.GATHER, Entry.FETCH, Entry.BOOKED)


def _entry_of(placement: Placement) -> Entry:
    """What the time of an attempt on a machine is booked as, until it has ended."""
    if placement.running_since is not None:
        return Entry.RUNNING
    if placement.waiting_for_gang:
        return Entry.GATHER
    return Entry.FETCH if placement.observed else Entry.BOOKED


class Ledger:
    """Books what is spent; `step` is called every second or two."""

    def __init__(self, registry: MachineRegistry, clock: Clock) -> None:
        self.registry = registry
        self.clock = clock
        self.began = clock.now()
        self.accounts: dict[str, _Account] = {}
        self.recent: Lines = Counter()  # since it was last told
        self.ordinary = 0.0  # of that on machines that are not spot
        self.logged_at = self.began

    def step(
        self,
        types: Mapping[str, MachineType],
        demands: Sequence[Demand],
        available: Iterable[str] | None = None,
    ) -> None:
        """Book the time since the last step; `available`: machines that new work may use."""
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
            span = max(now - account.at, ZERO)
            account.at = now
            money = span / timedelta(hours=1) * model.hourly(machine.kind.spot)
            free = usable is None or machine.name in usable
            self._book(account, machine, model, money, demands, free)
        for name in [name for name in self.accounts if name not in self.registry.machines]:
            account = self.accounts.pop(name)
            total = sum(account.lines.values())
            log.debug("%s is gone, %.4f spent on it: %s", name, total, shown(account.lines))

    def _book(
        self,
        account: _Account,
        machine: Machine,
        model: MachineType,
        money: float,
        demands: Sequence[Demand],
        usable: bool,
    ) -> None:
        if machine.returning:
            self._add(account, Entry.RETURNING, money)
            return
        if not machine.up:
            self._add(account, Entry.BOOT, money)
            return
        free = Size(model.cpus, model.gpus, model.memory_gb)
        left = 1.0
        shares = dict.fromkeys(OF_PLACEMENTS, 0.0)
        assert machine.kind is not None
        for placement in machine.placements.values():
            size = placement.page.job.size
            free = free.minus(size)
            share = min(left, size.cpus / model.cpus) if model.cpus > 0 else left
            left -= share
            entry = _entry_of(placement)
            shares[entry] += share
            if entry is Entry.RUNNING:
                placement.accrued_cost += money * share
        for entry, share in shares.items():
            if share > 0:
                self._add(account, entry, money * share)
        if left > 1e-9:
            reason = why_idle(machine.kind, free, not machine.placements, demands)
            if not usable and reason not in (Entry.IDLE, Entry.REST):
                reason = Entry.UNUSABLE
            self._add(account, reason, money * left)

    def _add(self, account: _Account, entry: Entry, money: float) -> None:
        account.lines[entry] += money
        self.recent[entry] += money
        if not account.kind.spot:
            self.ordinary += money

    def settle(self, placement: Placement, entry: Entry) -> None:
        """Book an attempt that is over as kept, or as lost in one way."""
        account = self.accounts.get(placement.machine)
        if account is not None and placement.accrued_cost > 0:
            for lines in (account.lines, self.recent):
                lines[Entry.RUNNING] -= placement.accrued_cost
                lines[entry] += placement.accrued_cost
        placement.accrued_cost = 0.0

    def log_totals(self, at_once: bool = False) -> bool:
        """Log what was booked since the last line, once a minute, so that the lines of all leaders
        add up; returns whether a line was due."""
        now = self.clock.now()
        if not at_once and now - self.logged_at < LOG_EVERY:
            return False
        total = sum(self.recent.values())
        if total > 0:
            log.info(
                "%.3f spent in %.0f s on %d machines, %.0f%% on ordinary ones: %s",
                total,
                (now - self.logged_at).total_seconds(),
                len(self.accounts),
                100 * self.ordinary / total,
                shown({entry: max(amount, 0.0) for entry, amount in self.recent.items()}),
            )
        self.logged_at = now
        self.recent.clear()
        self.ordinary = 0.0
        return True
