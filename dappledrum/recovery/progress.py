"""Logs the outcome of the recovery once in each term, when all machines from before the term have
sent a heartbeat or are given up."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import Machine, MachineRegistry

log = logging.getLogger(__name__)

#: After so many leases every loss that can be proven has been, and missing machines stay missing.
MAX_RECOVERY_LEASES = 2


class RecoveryProgress:
    """Observes the recovery of one term, without any influence on it."""

    def __init__(
        self,
        registry: MachineRegistry,
        clock: Clock,
        lease: timedelta,
        is_fleet_listed: Callable[[], bool],
    ) -> None:
        """`lease`: how long a worker keeps its tasks without an answer.

        `is_fleet_listed`: whether the cloud has given a list of machines in this term.
        """
        self.registry = registry
        self.clock = clock
        self.max_duration = lease * MAX_RECOVERY_LEASES
        self.is_fleet_listed = is_fleet_listed
        self._lost_placements: Counter[str] = Counter()  # by reason
        self._recorded_machines: set[str] = set()  # machines with placements in the records
        self._started_at: timedelta | None = None  # None: not started yet, or finished

    def begin(self) -> None:
        """Start observing; to be called when the records are read."""
        self._started_at = self.clock.now()
        self._recorded_machines = {machine.name for machine in self.registry if machine.placements}

    def count_lost(self, reason: str) -> None:
        """Count a placement that was given up for this reason."""
        self._lost_placements[reason] += 1

    def check(self) -> None:
        """Log the outcome once no machine is awaited any more, or after the maximum duration."""
        if self._started_at is None:
            return
        elapsed = self.clock.now() - self._started_at
        awaited = [machine for machine in self.registry if self._is_awaited(machine)]
        if (awaited or not self.is_fleet_listed()) and elapsed <= self.max_duration:
            return
        self._log_outcome(self._started_at, len(awaited))
        self._started_at = None

    def _log_outcome(self, started_at: timedelta, awaited: int) -> None:
        recorded = self._recorded_machines
        returned = [m for m in self.registry if m.up and (m.listed_up or m.name in recorded)]
        last_up_at = max((m.up_at for m in returned if m.up_at is not None), default=started_at)
        missing = awaited + sum(self.registry.get(name) is None for name in recorded)
        lost = "; ".join(
            f"{count} for {reason}" for reason, count in self._lost_placements.most_common()
        )
        log.info(
            "recovery finished: %d machines back within %.1f s, %d missing; tasks lost: %s",
            len(returned),
            (last_up_at - started_at).total_seconds(),
            missing,
            lost or "none",
        )

    def _is_awaited(self, machine: Machine) -> bool:
        was_up = machine.awaiting_heartbeat or (
            machine.name in self._recorded_machines and not machine.up
        )
        return was_up and not machine.returning and not machine.failed
