"""Placement of a task on a machine."""

from datetime import datetime, timedelta
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dappledrum.jobs.page import Page


class Placement:
    """One attempt of one task on one machine in one session.

    It counts as on the machine until the attempt is proven terminated.
    """

    __slots__ = (
        "accrued_cost",
        "attempt",
        "lost",
        "machine",
        "name",
        "observed",
        "offered_sequence",
        "page",
        "placed_at",
        "renewed_at",
        "revision",
        "running_since",
        "session",
        "task",
        "waiting_for_gang",
        "zone",
    )

    def __init__(
        self,
        page: "Page",
        task: int,
        attempt: int,
        machine: str,
        session: int,
        zone: str,
        placed_at: datetime,
    ) -> None:
        self.page = page
        self.task = task
        self.name = f"{page.job.id}/{task}"  # name of the task in heartbeats and commands
        self.attempt = attempt
        self.machine = machine
        self.session = session
        self.zone = zone
        self.placed_at = placed_at
        self.revision = page.revision  # must be stored before the start is sent
        self.observed = False  # whether a heartbeat has reported the attempt
        self.running_since: timedelta | None = None
        #: Latest time at which an answer may have been given to a worker process that has the
        #: attempt, or gets it by that answer; None: not in this term.
        self.renewed_at: timedelta | None = None
        # Sequence number of the newest heartbeat whose response contained the start.
        self.offered_sequence = -1
        self.lost = False  # to be stopped; it stays placed until its termination is proven
        self.waiting_for_gang = False  # the image is fetched, the rest of the gang is not ready
        self.accrued_cost = 0.0  # cost of its run time so far, see `accounting`
