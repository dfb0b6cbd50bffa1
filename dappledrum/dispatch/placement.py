"""Places the tasks that a plan starts; a placement counts before its worker is informed."""

import logging

from dappledrum.dispatch.context import DispatchContext, StartRecorder
from dappledrum.dispatch.pending_work import PendingWork
from dappledrum.gangs.all_or_nothing import is_gang
from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import PRIORITY_RANKS, Priority
from dappledrum.jobs.page_encoding import max_row_bytes, max_value_bytes

log = logging.getLogger(__name__)

MAX_RECORD_BACKLOG_S = 1.0  # seconds of queued record writes; low-priority starts wait above it


class Placer:
    """Places tasks. Their records are written afterwards, and only then are workers informed."""

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
        """Place the tasks that one step of the plan starts: bag, machine, number of tasks."""
        gangs: dict[str, list[tuple[str, int]]] = {}
        for bag, machine_name, count in starts:
            job = self.jobs.get(bag)
            if job is not None and is_gang(job):
                gangs.setdefault(bag, []).append((machine_name, count))
            else:
                self._place_bag(bag, machine_name, count)
        for bag, shares in gangs.items():
            self._place_gang(self.jobs[bag], shares)

    def _place_gang(self, job: Job, shares: list[tuple[str, int]]) -> None:
        """Place all tasks of a gang, or none. The event loop runs nothing else meanwhile, so a
        partial placement is never written."""
        if job.placement_count() or sum(count for _, count in shares) < job.waiting():
            return
        # Workers run a gang once all tasks of one attempt are there, so they share its number.
        attempt = job.next_attempt()
        placed = sum(
            self._place_on_machine(job.id, machine_name, count, attempt)
            for machine_name, count in shares
        )
        if job.waiting() == 0 or placed == 0:
            return
        log.info("gang %s not placed: capacity for %d of %d tasks", job.id, placed, job.spec.tasks)
        for placement in list(job.placements()):
            machine = self.registry.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
            placement.page.remove(placement.task)

    def _place_bag(self, bag: str, machine_name: str, count: int) -> None:
        """Place tasks of a bag, which may combine several jobs."""
        members = self.work.combined_jobs.get(bag)
        if members is None:
            self._place_on_machine(bag, machine_name, count)
            return
        while members and count > 0:
            count -= self._place_on_machine(members[0].id, machine_name, count)
            if count > 0 or members[0].waiting() <= 0:
                members.pop(0)

    def _place_on_machine(
        self, job_id: str, machine_name: str, count: int, attempt: int | None = None
    ) -> int:
        """Place tasks of a job on a machine, unless a change since the plan began prevents it.
        Returns how many were placed."""
        job = self.jobs.get(job_id)
        machine = self.registry.get(machine_name)
        if machine is None or machine.kind is None or not machine.usable:
            return 0
        if job is None or job.cancelled or job.finished or job.unmet_dependencies:
            return 0
        if job.effective_rank >= PRIORITY_RANKS[Priority.LOW] and self._record_backlog_too_long():
            return 0  # a start that can't be recorded soon would only hold capacity
        requested = count
        utc_now = self.clock.utc_now()
        max_page_bytes = self.page_bytes
        for page in job.pages_with_free_tasks():
            page_bytes_bound, row_bytes_bound = (
                max_value_bytes(page, machine_name, utc_now),
                max_row_bytes(page, utc_now),
            )
            for task in page.free_tasks():
                if count <= 0 or page_bytes_bound > max_page_bytes:
                    break
                placement = page.place(
                    task, machine_name, machine.session, machine.kind.zone, utc_now, attempt
                )
                machine.placements[(job.id, task)] = placement
                machine.placement_added.set()
                count -= 1
                page_bytes_bound += row_bytes_bound
            self.start_recorder.mark_dirty(page)
            if count <= 0:
                break
        return requested - count

    def _record_backlog_too_long(self) -> bool:
        """Whether more starts wait to be recorded than `MAX_RECORD_BACKLOG_S` allows."""
        return self.start_recorder.unstored_start_count() > max(
            8.0, self.params.state.write_rps * MAX_RECORD_BACKLOG_S
        )
