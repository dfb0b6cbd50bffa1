"""Logs once in each term what became of the machines and tasks from before it, when all of them
have reported or are given up."""

import logging
from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import Machine, MachineRegistry

log = logging.getLogger(__name__)

LEASES = 2  # by then everything that could be proven is, and what is missing stays so


class RecoveryProgress:
    """Watches the recovery of one term; it changes nothing."""

    def __init__(
        self, registry: MachineRegistry, clock: Clock, lease: timedelta, listed: Callable[[], bool]
    ) -> None:
        self.registry = registry
        self.clock = clock
        self.most = lease * LEASES
        self.listed = listed
        self.gone: Counter[str] = Counter()  # placements given up, by why
        self.placed: set[str] = set()  # machines that the records name
        self.began: timedelta | None = None  # None: nothing to tell (any more)

    def begin(self) -> None:
        """Start when the records are read."""
        self.began = self.clock.now()
        self.placed = {machine.name for machine in self.registry if machine.placements}

    def lost(self, why: str) -> None:
        """Count a placement that was given up."""
        self.gone[why] += 1

    def look(self) -> None:
        """Log the outcome once nothing is awaited any more."""
        if self.began is None:
            return
        waited = self.clock.now() - self.began
        awaited = [machine for machine in self.registry if self._awaited(machine)]
        if (awaited or not self.listed()) and waited <= self.most:
            return
        back = [m for m in self.registry if m.up and (m.listed_up or m.name in self.placed)]
        at = max((m.up_at for m in back if m.up_at is not None), default=self.began)
        missing = len(awaited) + sum(self.registry.get(name) is None for name in self.placed)
        gone = "; ".join(f"{count} for {why}" for why, count in self.gone.most_common())
        log.info(
            "the start is over: %d machines back within %.1f s, %d missing; tasks given up: %s",
            len(back),
            (at - self.began).total_seconds(),
            missing,
            gone or "none",
        )
        self.began = None

    def _awaited(self, machine: Machine) -> bool:
        known = machine.awaiting_heartbeat or (machine.name in self.placed and not machine.up)
        return known and not machine.returning and not machine.failed
