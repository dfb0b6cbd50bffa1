"""Places the tasks that a plan starts; a placement counts before its worker is told."""

import logging

from dappledrum.dispatch.context import DispatchContext, StartRecorder
from dappledrum.dispatch.pending_work import PendingWork
from dappledrum.gangs.all_or_nothing import is_gang
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Priority
from dappledrum.jobs.page_encoding import max_row_bytes, max_value_bytes

log = logging.getLogger(__name__)

MAX_RECORD_BACKLOG_S = 1.0  # seconds of writing that starts of low urgency may queue up


class Placer:
    """Places tasks; their records are written afterwards, and only then workers are told."""

    def __init__(
        self,
        context: DispatchContext,
        work: PendingWork,
        start_recorder: StartRecorder,
        page_bytes: int,
    ) -> None:
        self.work = work
        self.jobs = context.jobs
        self.registry = context.registry
        self.params = context.params
        self.clock = context.clock
        self.start_recorder = start_recorder
        self.page_bytes = page_bytes

    def start(self, starts: list[tuple[str, str, int]]) -> None:
        """Place what one step of the plan starts."""
        gangs: dict[str, list[tuple[str, int]]] = {}
        for bag, name, count in starts:
            job = self.jobs.get(bag)
            if job is not None and is_gang(job):
                gangs.setdefault(bag, []).append((name, count))
            else:
                self._place_bag(bag, name, count)
        for bag, shares in gangs.items():
            self._place_gang(self.jobs[bag], shares)

    def _place_gang(self, job: Job, shares: list[tuple[str, int]]) -> None:
        """Place all tasks of a gang, or none. Nothing of it is written in between, because the
        event loop runs nothing else meanwhile."""
        if job.placement_count() or sum(count for _, count in shares) < job.waiting():
            return
        # Workers run a gang once all of one attempt are there, so its members share the number.
        attempt = job.next_attempt()
        placed = sum(self._place(job.id, name, count, attempt) for name, count in shares)
        if job.waiting() == 0 or placed == 0:
            return
        log.info("%s is not placed: room for %d of %d tasks", job.id, placed, job.spec.tasks)
        for placement in list(job.placements()):
            machine = self.registry.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
            placement.page.remove(placement.task)

    def _place_bag(self, bag: str, name: str, count: int) -> None:
        """Place tasks of a bag, which may belong to several jobs."""
        members = self.work.combined_jobs.get(bag)
        if members is None:
            self._place(bag, name, count)
            return
        while members and count > 0:
            count -= self._place(members[0].id, name, count)
            if count > 0 or members[0].waiting() <= 0:
                members.pop(0)

    def _place(self, job_id: str, name: str, count: int, attempt: int | None = None) -> int:
        """Place tasks of a job on a machine, if both are still as they were when the plan began;
        returns how many were placed."""
        job = self.jobs.get(job_id)
        machine = self.registry.get(name)
        if machine is None or machine.kind is None or not machine.usable:
            return 0
        if job is None or job.cancelled or job.finished or job.unmet_dependencies:
            return 0
        if job.effective_rank >= PRIORITY_RANKS[Priority.LOW] and self._record_backlog_too_long():
            return 0  # capacity held for a start that can't be recorded yet is wasted
        asked = count
        utc_now = self.clock.utc_now()
        limit = self.page_bytes
        for page in job.pages_with_free_tasks():
            bound, row = max_value_bytes(page, name, utc_now), max_row_bytes(page, utc_now)
            for task in page.free_tasks():
                if count <= 0 or bound > limit:
                    break
                placement = page.place(
                    task, name, machine.session, machine.kind.zone, utc_now, attempt
                )
                machine.placements[(job.id, task)] = placement
                machine.placement_added.set()
                count -= 1
                bound += row
            self.start_recorder.mark_dirty(page)
            if count <= 0:
                break
        return asked - count

    def _record_backlog_too_long(self) -> bool:
        """Whether more starts wait to be recorded than can be written in a short time."""
        return self.start_recorder.unstored_start_count() > max(
            8.0, self.params.state.write_rps * MAX_RECORD_BACKLOG_S
        )
