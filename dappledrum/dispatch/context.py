"""What all parts of dispatch read: the jobs and machines of a term, and the settings."""

from dataclasses import dataclass
from typing import Protocol

from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.jobs.job import Job
from dappledrum.jobs.page import Page
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import Params, Tuning
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry


@dataclass(frozen=True)
class DispatchContext:
    """The state of one term of leadership that planning rests on."""

    jobs: dict[str, Job]
    registry: MachineRegistry
    estimates: Estimates
    autoscaler: Autoscaler
    params: Params
    clock: Clock
    tuning: Tuning


class StartRecorder(Protocol):
    """Writes the records of placements, after which their starts may be sent."""

    def mark_dirty(self, page: Page) -> None:
        """Store a changed page soon."""

    def unstored_start_count(self) -> int:
        """Number of starts whose records are not stored yet."""
