"""Progress of a range of tasks of a job, the unit in which progress is stored.

Every change of a page increments its revision. Actions that depend on a change (sending a start,
dropping an ended task, finishing the job) must wait until a record of at least that revision is
known to be stored.
"""

from collections.abc import Iterator
from datetime import datetime
from typing import TYPE_CHECKING

from dappledrum.jobs.keys import head_key, page_key
from dappledrum.jobs.placement import Placement

if TYPE_CHECKING:
    from dappledrum.jobs.job import Job


class Page:
    """Progress of the tasks from `first` on; `index` counts the pages of the job."""

    def __init__(self, job: "Job", index: int) -> None:
        self.job = job
        self.index = index
        self.first = index * job.page_size
        self.count = min(job.page_size, job.spec.tasks - self.first)
        self.attempt = 1  # number of the next attempt
        self.done = 0  # bitmap of the tasks that have completed
        self.placements: dict[int, Placement] = {}  # by task
        #: Number of placements whose task completed in an earlier attempt that was presumed lost.
        self.superfluous = 0
        self.revision = 0
        self.last_placement_revision = 0  # must be stored before the newest start is sent
        self.stored_revision = 0
        self.stored_bytes = 0
        self.version = 0  # of the stored key; 0 if it is not stored
        self.parts = 0  # number of additional values that may exist
        # Whether the version must be read before the next write, as the last outcome is unknown.
        self.version_uncertain = False
        self.delayed_write_possible = False  # an unanswered write may still be executed

    @property
    def key(self) -> str:
        """Key of the page's record; the first page is part of the job's head."""
        return head_key(self.job.id) if self.index == 0 else page_key(self.job.id, self.index)

    @property
    def dirty(self) -> bool:
        """Whether the page has changes that are not stored yet."""
        return self.revision > self.stored_revision

    @property
    def has_unstored_start(self) -> bool:
        """Whether a start is waiting for the page to be stored."""
        return self.last_placement_revision > self.stored_revision

    def bump_revision(self) -> int:
        """Record a change; returns the revision that contains it."""
        self.revision += 1
        return self.revision

    def placed(self) -> int:
        """Bitmap of the tasks that count as being on a machine."""
        result = 0
        for task in self.placements:
            result |= 1 << (task - self.first)
        return result

    def free_tasks(self) -> Iterator[int]:
        """Tasks that are neither done nor on a machine."""
        left = ~(self.done | self.placed()) & ((1 << self.count) - 1)
        while left:
            low = left & -left
            yield self.first + low.bit_length() - 1
            left ^= low

    def place(
        self,
        task: int,
        machine: str,
        session: int,
        zone: str,
        now: datetime,
        attempt: int | None = None,
    ) -> Placement:
        """Record a task as placed on a machine, which must precede sending its start.

        `attempt` must be at least the page's next attempt number, which is the default.
        """
        attempt = self.attempt if attempt is None else attempt
        self.attempt = attempt + 1
        self.last_placement_revision = self.bump_revision()
        placement = Placement(self, task, attempt, machine, session, zone, now)
        self.placements[task] = placement
        return placement

    def restore(self, placement: Placement) -> None:
        """Add a placement that is stored already."""
        task = placement.task
        self.superfluous += self.is_done(task) and task not in self.placements
        self.placements[task] = placement

    def remove(self, task: int) -> None:
        """Drop the placement of a task whose attempt is proven terminated."""
        if self.placements.pop(task, None) is not None:
            self.superfluous -= self.is_done(task)
            self.bump_revision()

    def finish(self, task: int) -> None:
        """Record that a task has completed."""
        bit = 1 << (task - self.first)
        if not self.done & bit:
            self.done |= bit
            self.superfluous += task in self.placements
            self.job.done += 1
            self.bump_revision()

    def is_done(self, task: int) -> bool:
        """Whether the task has completed."""
        return bool(self.done >> (task - self.first) & 1)
