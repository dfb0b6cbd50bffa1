"""Shared state of the reconciliation during one term of a leader."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from dappledrum.jobs.job import Job
from dappledrum.jobs.page import Page
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.workers.machine_registry import MachineRegistry

#: The protocol's bound of tokens.
MAX_TOKEN = 2**64 - 1


class ReconciliationObserver(Protocol):
    """Is notified of changes that result from a heartbeat, or from missing ones."""

    def page_changed(self, page: Page) -> None:
        """The progress or the placements of a page have changed and must be stored."""

    def planning_needed(self, reason: str) -> None:
        """Something that a plan depends on has changed; `reason` is for debugging."""

    def placement_lost(self, reason: str) -> None:
        """A placement was removed, since it is proven to have terminated without an end."""


@dataclass(frozen=True)
class ReconciliationContext:
    """Records, limits and clock of one term.

    `token` and `last_token` are the lowest and the highest fencing token of the term.
    `others_stopped_at` returns the time since which no other controller has answered a worker, or
    None if that is not known. `running_since` returns when the last pause of this process ended.
    """

    jobs: dict[str, Job]
    registry: MachineRegistry
    limits: WorkerLimits
    clock: Clock
    token: int
    others_stopped_at: Callable[[], timedelta | None] = lambda: ZERO
    running_since: Callable[[], timedelta] = lambda: ZERO
    last_token: int = MAX_TOKEN

    def gives(self, token: int) -> bool:
        """Whether a fencing token belongs to this term."""
        return self.token <= token <= self.last_token
