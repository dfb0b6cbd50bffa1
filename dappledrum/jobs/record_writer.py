"""Writes the leader's changes to the store, many pages in one transaction.

Every transaction is guarded by the leader's key and by the version of each page. After a conflict
or an unknown outcome the pages concerned are read again before they are written again; writing
them moves their version on, so a delayed twin of the old transaction can't apply any more. While
an answer is late, one of the values is read that this transaction alone can have written: a
transaction is carried out whole, so that value is evidence for all of them.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from dappledrum.election.terms import Term
from dappledrum.jobs.garbage_collector import GarbageCollector
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import ended_key
from dappledrum.jobs.messages import EndedRecord, JobRecord, Outcome
from dappledrum.jobs.page import Page
from dappledrum.jobs.record_batch import RecordBatch
from dappledrum.jobs.term_committer import TermCommitter
from dappledrum.settings import StoreLimits
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, StoreError, TooLargeError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger(__name__)


WRITE_BATCH_WINDOW = timedelta(milliseconds=15)  # for changes that arrive together
MAX_COMMIT_DELAY = timedelta(seconds=2)  # of ends of tasks, while starts need the rate
MAX_ENDING_JOBS_MOVED_AT_ONCE = 16  # with more, cancellations are only recorded at first
CHANGES_PER_ENDED_JOB = 2  # its head is removed, its final state put
RECHECK_INTERVAL = timedelta(milliseconds=100)
SUPERVISOR = Supervisor(
    log,
    fault_pause_s=0.5,
    transient_errors=(StoreError,),
    transient_pause_s=lambda: 0.1,
    transient_level=logging.INFO,
)


class RecordWriter:
    """The writer of one term of leadership."""

    def __init__(
        self,
        store: StoreClient,
        term: Term,
        limits: StoreLimits,
        value_limit: ValueLimit,
        clock: Clock,
    ) -> None:
        self.store = store
        self.term = term
        self.limits = limits
        self.value_limit = value_limit
        self.clock = clock
        self.dirty: dict[Page, timedelta] = {}  # since when each waits to be written
        self.ending: dict[Job, None] = {}  # to be moved to the ended ones
        self.committer = TermCommitter(store, term, clock)
        self.garbage: OrderedDict[str, None] = OrderedDict()  # keys to be removed
        self.garbage_collector = GarbageCollector(self.committer, self.garbage)
        self.shrunk = False
        self.wake = asyncio.Event()
        self.stored = asyncio.Condition()
        self.on_stored: Callable[[], None] = lambda: None
        self.on_ended: Callable[[Job], None] = _ignore
        self.on_cancelled: Callable[[Job], None] = _ignore

    def mark_dirty(self, page: Page) -> None:
        """Have a page that has changed written, or the end of its job."""
        job = page.job
        if job.finished:
            return
        # All tasks may be done while an attempt still runs: its task was completed by an earlier
        # attempt, whose heartbeat was held back. It counts for the team's limit, also for the next
        # leader, so the job stays until the attempt is proven gone.
        if (job.complete() or job.cancelled) and not job.placement_count():
            job.ended_at = job.ended_at or self.clock.utc_now()
            self.ending[job] = None
        elif page.dirty:
            now = self.clock.now()
            self.dirty.setdefault(page, now)
            if page.index > 0:
                # Users are answered from the head, so its totals follow.
                job.page(0).bump_revision()
                self.dirty.setdefault(job.page(0), now)
        self.wake.set()

    def shrink(self, jobs: Iterable[Job]) -> None:
        """Write again what is stored in one value that would now be refused: a controller that
        cancels a job writes its head as it is."""
        if self.shrunk or not self.value_limit.is_reduced:
            return
        self.shrunk = True
        for job in jobs:
            for page in job.pages.values():
                if page.stored_bytes > self.value_limit.reduced_bytes and not job.finished:
                    page.bump_revision()
                    self.mark_dirty(page)

    def unstored_start_count(self) -> int:
        """Pages with starts that are not stored yet."""
        return sum(page.has_unstored_start for page in self.dirty)

    async def run(self) -> None:
        """Write until the term is over."""
        while not self.term.ended.is_set():
            await self.wake.wait()
            self.wake.clear()
            await asyncio.sleep(WRITE_BATCH_WINDOW.total_seconds())
            while (self.dirty or self.ending or self.garbage) and not self.term.ended.is_set():
                await SUPERVISOR.attempt("writing progress", self._flush_or_pause)

    async def _flush_or_pause(self) -> None:
        if not await self._flush():
            await self._pause()

    async def _pause(self) -> None:
        """Sleep until something changes, or what waits has waited a little longer."""
        try:
            async with asyncio.timeout(RECHECK_INTERVAL.total_seconds()):
                await self.wake.wait()
            await asyncio.sleep(WRITE_BATCH_WINDOW.total_seconds())
        except TimeoutError:
            pass
        self.wake.clear()

    async def _flush(self) -> bool:
        """Write what is most urgent; False when all that is left had better wait.

        Workers wait for the records of starts, and users for a job's end. Ends of single tasks
        only accumulate: written with each of them, a hundred live jobs would use up the rate of
        changes, and every start would queue behind them.
        """
        selection = _Selection(self._capacity())
        if not self.dirty and not self.ending:
            await self.garbage_collector.collect(selection.capacity)
            return True
        urgent = self._urgent_pages()
        deferrable = self._deferrable_pages(urgent, selection.capacity)
        cancelled_heads = self._cancelled_heads()
        await self._select_heads(selection, cancelled_heads, bool(urgent))
        await self._select_ended(selection, bool(cancelled_heads), bool(urgent))
        await self._select_pages(selection, urgent + deferrable)
        if selection.pages or selection.jobs:
            await self._write(selection)
        return bool(selection.pages or selection.jobs)

    def _urgent_pages(self) -> list[Page]:
        """Pages with starts, or that have waited too long.

        Starts of urgent jobs go before others': a swarm of small jobs must not delay them.
        """
        now = self.clock.now()
        urgent = [
            page
            for page, since in self.dirty.items()
            if page.has_unstored_start or now - since > MAX_COMMIT_DELAY
        ]
        urgent.sort(key=lambda page: (not page.has_unstored_start, page.job.effective_rank))
        return urgent

    def _deferrable_pages(self, urgent: list[Page], capacity: int) -> list[Page]:
        """Further pages, as many as leave half of the rate limiter's burst to urgent ones."""
        spare = min(
            capacity,
            int(
                self.store.budget.write_limiter.level - 0.5 * self.store.budget.write_limiter.size
            ),
        )
        chosen = set(urgent)
        return [page for page in self.dirty if page not in chosen][: max(0, spare)]

    def _cancelled_heads(self) -> list[Page]:
        """Heads of jobs cancelled with others, when there are too many to be moved to the ended
        ones in time: that takes two changes for each, and recording the cancellation one."""
        if len(self.ending) <= MAX_ENDING_JOBS_MOVED_AT_ONCE:
            return []
        return [job.page(0) for job in self.ending if job.cancelled and not job.cancel_stored]

    async def _select_heads(
        self, selection: "_Selection", heads: list[Page], has_urgent: bool
    ) -> None:
        limit = max(1, selection.capacity // 2 if has_urgent else selection.capacity)
        for page in heads[:limit]:
            if await self._verify_version(page):
                selection.add_page(page)

    async def _select_ended(
        self, selection: "_Selection", only_done: bool, has_urgent: bool
    ) -> None:
        for job in list(self.ending):
            if only_done and job.cancelled:
                continue
            if selection.capacity >= CHANGES_PER_ENDED_JOB and await self._verify_version(
                job.page(0)
            ):
                selection.add_job(job)
                # Half of the transaction is left to urgent pages.
                changes = len(selection.jobs) * CHANGES_PER_ENDED_JOB
                if has_urgent and changes * 2 >= self.limits.txn_ops:
                    break

    async def _select_pages(self, selection: "_Selection", pages: list[Page]) -> None:
        for page in pages:
            if page.job.finished or page.job in self.ending:
                self.dirty.pop(page, None)
            elif selection.capacity >= 1 and await self._verify_version(page):
                selection.add_page(page)

    def _capacity(self) -> int:
        """Number of changes for the next transaction: what the rate allows now, but always a
        few."""
        allowed = int(
            self.store.budget.write_limiter.level - 0.2 * self.store.budget.write_limiter.size
        )
        return max(4, min(self.limits.txn_ops, allowed))

    async def _write(self, selection: "_Selection") -> None:
        """Write what fits into one transaction."""
        batch = self._batch(selection)
        try:
            revision = await self.committer.commit(batch.guards, batch.changes, batch.evidence)
        except ConflictError as error:
            batch.mark_conflicts(set(error.conflicting_keys))
            return
        except TooLargeError as error:
            if not self.value_limit.record_refusal(batch.largest_value_bytes(), str(error)):
                raise
            return  # certainly not executed: again, in parts
        except StoreError:
            batch.mark_outcome_unknown()
            raise
        batch.mark_stored(revision)
        for written in batch.pages:
            self.dirty.pop(written.page, None)
            if written.page.dirty:
                self.dirty[written.page] = self.clock.now()
        for job in batch.ended:
            self._finish(job)
        await self._notify_stored()

    def _batch(self, selection: "_Selection") -> RecordBatch:
        """As much of a selection as fits into one transaction."""
        batch = RecordBatch(self.limits, self.value_limit)
        for job in selection.jobs:
            batch.add_ended(job)
        for page in selection.pages:
            if not batch.add_page(page):
                break
        return batch

    async def _notify_stored(self) -> None:
        self.on_stored()
        async with self.stored:
            self.stored.notify_all()

    async def _verify_version(self, page: Page) -> bool:
        """Make sure of the page's stored version; False when its job turns out to be finished."""
        if not page.version_uncertain:
            return True
        job = page.job
        entry = await self.store.get(page.key, RequestPriority.RECORD)
        if entry is not None:
            page.version = entry.version
            if (
                page.index == 0
                and msgspec.json.decode(entry.value, type=JobRecord).cancelled
                and not job.cancelled
            ):
                job.cancelled = job.cancel_stored = True
                log.info("%s was cancelled meanwhile", job.id)
                self.on_cancelled(job)
        elif page.index == 0:
            await self._read_end(job)
            self._finish(job)
            await self._notify_stored()
            return False
        else:
            page.version = 0
        page.version_uncertain = False
        return True

    async def _read_end(self, job: Job) -> None:
        """Read how a job without a head has ended.

        A leader that has been replaced, and has not noticed yet, finds that its successor has
        removed heads: of jobs that it had taken for done and that users have cancelled since.
        It once answered users from what it remembered of them.
        """
        entry = await self.store.get(ended_key(job.id), RequestPriority.RECORD)
        if entry is None:
            log.error("how %s has ended can't be read: no record", job.id)
            return
        try:
            stored = msgspec.json.decode(entry.value, type=EndedRecord)
        except msgspec.DecodeError as error:  # must not keep everything else from being written
            log.error("how %s has ended can't be read: %s", job.id, error)  # noqa: TRY400 - no bug
            return
        job.cancelled = stored.state is Outcome.CANCELLED

    def _finish(self, job: Job) -> None:
        """The final state of the job is stored."""
        if job.finished:
            return
        job.finished = True
        self.ending.pop(job, None)
        for page in job.pages.values():
            self.dirty.pop(page, None)
        self.garbage_collector.add(job)
        self.on_ended(job)


class _Selection:
    """What is to be written, as long as `capacity` for changes is left."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.pages: list[Page] = []
        self.jobs: list[Job] = []

    def add_page(self, page: Page) -> None:
        self.pages.append(page)
        self.capacity -= 1

    def add_job(self, job: Job) -> None:
        self.jobs.append(job)
        self.capacity -= CHANGES_PER_ENDED_JOB


def _ignore(job: Job) -> None:
    """Stand for a callback that nobody has set."""
