"""State and settings that all modules of dispatch read."""

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
    """State of one term of leadership that plans are made from, and the settings."""

    jobs: dict[str, Job]
    registry: MachineRegistry
    estimates: Estimates
    autoscaler: Autoscaler
    params: Params
    clock: Clock
    tuning: Tuning


class StartRecorder(Protocol):
    """Writes the records of placements; workers get a start only once its record is stored."""

    def mark_dirty(self, page: Page) -> None:
        """Queue a changed page to be stored."""

    def unstored_start_count(self) -> int:
        """Number of starts whose records are not stored yet."""
