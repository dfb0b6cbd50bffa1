"""Writes the leader's changes to the store, many pages in one transaction.

Every transaction is guarded by the leader's key and by the version of each page. After a conflict
or an unknown outcome the pages concerned are read again before they are rewritten. Rewriting them
changes their versions, so a delayed copy of the old transaction can no longer apply. While a
response is late, one value is read that only this transaction can have written: transactions are
atomic, so that value is evidence that all of it was executed.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from datetime import timedelta

import msgspec

from dappledrum.election.terms import Term
from dappledrum.jobs.garbage_collector import GarbageCollector
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import ended_key
from dappledrum.jobs.messages import EndedRecord, JobRecord, Outcome
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import reserved_bytes
from dappledrum.jobs.page_parts_writer import PagePartsWriter
from dappledrum.jobs.record_batch import RecordBatch
from dappledrum.jobs.term_committer import TermCommitter
from dappledrum.settings import StoreLimits
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, StoreError, TooLargeError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger(__name__)


WRITE_BATCH_WINDOW = timedelta(milliseconds=15)  # collects changes that arrive together
MAX_COMMIT_DELAY = timedelta(seconds=2)  # for ends of tasks, while starts need the write rate
MAX_ENDING_JOBS_MOVED_AT_ONCE = 16  # above this, cancellations are recorded before jobs are moved
CHANGES_PER_ENDED_JOB = 2  # the head is deleted, the final state is put
REFUSED_RETRY_INTERVAL = timedelta(seconds=5)  # for a page that the store refuses
RECHECK_INTERVAL = timedelta(milliseconds=100)
SUPERVISOR = Supervisor(
    log,
    fault_pause_s=0.5,
    transient_errors=(StoreError,),
    transient_pause_s=lambda: 0.1,
    transient_level=logging.INFO,
)


class RecordWriter:
    """Record writer of one term of leadership."""

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
        self.dirty: dict[Page, timedelta] = {}  # when each page became due for writing
        self.ending: dict[Job, None] = {}  # jobs whose head is to be replaced by a final state
        #: Pages and ends of jobs that the store has refused alone, and when they are tried again.
        self.refused: dict[Page | Job, timedelta] = {}
        self.committer = TermCommitter(store, term, clock)
        self.page_parts_writer = PagePartsWriter(store, self.committer, limits, value_limit)
        self.garbage: OrderedDict[str, None] = OrderedDict()  # keys to be removed
        self.garbage_collector = GarbageCollector(self.committer, self.garbage)
        self.shrunk = False
        self.wake = asyncio.Event()
        self.stored = asyncio.Condition()
        self.on_stored: Callable[[], None] = lambda: None
        self.on_ended: Callable[[Job], None] = _no_callback
        self.on_cancelled: Callable[[Job], None] = _no_callback

    def mark_dirty(self, page: Page) -> None:
        """Schedule the writing of a changed page, or of its job's final state."""
        job = page.job
        if job.finished:
            return
        # All tasks may be done while an attempt still runs, if an earlier attempt completed its
        # task and the heartbeat was delayed. The attempt counts towards the team's limit, also
        # for the next leader, so the job stays live until the attempt is proven terminated.
        if (job.complete() or job.cancelled) and not job.placement_count():
            job.ended_at = job.ended_at or self.clock.utc_now()
            self.ending[job] = None
        elif page.dirty:
            now = self.clock.now()
            self.dirty.setdefault(page, now)
            if page.index > 0:
                # User requests are answered from the head, so its totals must be updated.
                job.page(0).bump_revision()
                self.dirty.setdefault(job.page(0), now)
        self.wake.set()

    def shrink(self, jobs: Iterable[Job]) -> None:
        """Rewrite pages that the store would now refuse, and heads without room for what other
        controllers may add to them: versions up to 0.7.1 cancel a job without splitting its
        head."""
        if self.shrunk or not self.value_limit.is_reduced:
            return
        self.shrunk = True
        limit = self.value_limit.reduced_bytes
        for job in jobs:
            for page in job.pages.values():
                if page.stored_bytes > limit - reserved_bytes(page) and not job.finished:
                    log.info(
                        "%s is rewritten in parts, it is too large: bytes=%d max=%d",
                        page.key,
                        page.stored_bytes,
                        limit,
                    )
                    page.bump_revision()
                    self.mark_dirty(page)

    def unstored_start_count(self) -> int:
        """Number of pages with starts that are not stored yet."""
        return sum(page.has_unstored_start and not self._is_refused(page) for page in self.dirty)

    def has_unstored_changes(self) -> bool:
        """Whether changes of pages wait to be stored, other than those that the store refuses."""
        return any(not self._is_refused(page) for page in self.dirty)

    async def run(self) -> None:
        """Write changes until the term is over."""
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
        """Wait for a change, at most for `RECHECK_INTERVAL`."""
        try:
            async with asyncio.timeout(RECHECK_INTERVAL.total_seconds()):
                await self.wake.wait()
            await asyncio.sleep(WRITE_BATCH_WINDOW.total_seconds())
        except TimeoutError:
            pass
        self.wake.clear()

    async def _flush(self) -> bool:
        """Write the most urgent changes; returns False if all remaining ones should wait.

        Starts and ends of jobs are written at once, since workers and users wait for them. Ends
        of single tasks are batched: if each were written at once, a hundred live jobs would use
        up the rate of changes, and every start would queue behind them.
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
        """Pages with starts, then pages that have waited too long.

        Starts of jobs with a high priority come first, so that many small jobs do not delay them.
        """
        now = self.clock.now()
        urgent = [
            page
            for page, since in self.dirty.items()
            if (page.has_unstored_start or now - since > MAX_COMMIT_DELAY)
            and not self._is_refused(page)
        ]
        urgent.sort(key=lambda page: (not page.has_unstored_start, page.job.effective_rank))
        return urgent

    def _deferrable_pages(self, urgent: list[Page], capacity: int) -> list[Page]:
        """Other dirty pages, as many as leave half of the rate limiter's burst to urgent ones."""
        spare = min(
            capacity,
            int(
                self.store.budget.write_limiter.level - 0.5 * self.store.budget.write_limiter.size
            ),
        )
        chosen = set(urgent)
        others = [page for page in self.dirty if page not in chosen and not self._is_refused(page)]
        return others[: max(0, spare)]

    def _cancelled_heads(self) -> list[Page]:
        """Heads in which a cancellation is recorded first, if many jobs are ending at once.

        Recording a cancellation takes one change, moving the job to its final state takes two.
        """
        if len(self.ending) <= MAX_ENDING_JOBS_MOVED_AT_ONCE:
            return []
        return [job.page(0) for job in self.ending if job.cancelled and not job.cancel_stored]

    async def _select_heads(
        self, selection: "_Selection", heads: list[Page], has_urgent: bool
    ) -> None:
        limit = max(1, selection.capacity // 2 if has_urgent else selection.capacity)
        for page in heads[:limit]:
            if not self._is_refused(page) and await self._verify_version(page):
                selection.add_page(page)

    async def _select_ended(
        self, selection: "_Selection", only_done: bool, has_urgent: bool
    ) -> None:
        for job in list(self.ending):
            if (only_done and job.cancelled) or self._is_refused(job):
                continue
            if selection.capacity >= CHANGES_PER_ENDED_JOB and await self._verify_version(
                job.page(0)
            ):
                selection.add_job(job)
                # Leave half of the transaction to urgent pages.
                changes = len(selection.jobs) * CHANGES_PER_ENDED_JOB
                if has_urgent and changes * 2 >= self.limits.txn_ops:
                    break

    async def _select_pages(self, selection: "_Selection", pages: list[Page]) -> None:
        for page in pages:
            if page.job.finished or page.job in self.ending:
                self.dirty.pop(page, None)
            elif selection.capacity >= 1 and await self._verify_version(page):
                selection.add_page(page)

    def _is_refused(self, item: Page | Job) -> bool:
        """Whether the store has refused a page, or the end of a job, so recently that it is not
        tried again yet."""
        return self.refused.get(item, ZERO) > self.clock.now()

    def _capacity(self) -> int:
        """Number of changes allowed in the next transaction by the write rate; at least four."""
        allowed = int(
            self.store.budget.write_limiter.level - 0.2 * self.store.budget.write_limiter.size
        )
        return max(4, min(self.limits.txn_ops, allowed))

    async def _write(self, selection: "_Selection") -> None:
        """Write as much of a selection as fits into one transaction, and after it pages that
        exceed one by themselves."""
        batch = self._batch(selection)
        if batch.changes:
            await self._write_batch(batch)
        for page in batch.oversized:
            await self._write_oversized(page)

    async def _write_batch(self, batch: RecordBatch) -> None:
        try:
            revision = await self.committer.commit(batch.guards, batch.changes, batch.evidence)
        except ConflictError as error:
            batch.mark_conflicts(set(error.conflicting_keys))
            return
        except TooLargeError as error:
            # Not executed. If the limit has dropped, the retry splits the values.
            if not self.value_limit.record_refusal(batch.largest_value_bytes(), str(error)):
                await self._write_separately(batch, error)
            return
        except StoreError:
            batch.mark_outcome_unknown()
            raise
        batch.mark_stored(revision)
        for written in batch.pages:
            self._update_dirty(written.page)
        for job in batch.ended:
            self._finish(job)
        await self._notify_stored()

    async def _write_oversized(self, page: Page) -> None:
        """Write a page that exceeds a transaction by itself."""
        try:
            await self.page_parts_writer.write(page)
        except TooLargeError as error:
            self._postpone(page, page, error)
            return
        except ConflictError:
            return
        self._update_dirty(page)
        await self._notify_stored()

    def _update_dirty(self, page: Page) -> None:
        """Note that a page was written; it stays dirty if it has changed since."""
        self.dirty.pop(page, None)
        self.refused.pop(page, None)
        if page.dirty:
            self.dirty[page] = self.clock.now()

    def _postpone(self, refused: Page | Job, page: Page, error: TooLargeError) -> None:
        """Try what the store refuses again later; `page` is the one at fault."""
        log.error("%s is not stored, the store refuses it: %s", page.key, error)
        self.refused[refused] = self.clock.now() + REFUSED_RETRY_INTERVAL

    async def _write_separately(self, batch: RecordBatch, error: TooLargeError) -> None:
        """Write the records of a refused batch one by one, so that the one that is too large
        keeps no other from being stored."""
        if len(batch.guarded_pages()) > 1:
            for written in batch.pages:
                await self._write(_Selection.of(pages=[written.page]))
            for job in batch.ended:
                await self._write(_Selection.of(jobs=[job]))
            return
        [page] = batch.guarded_pages()
        self._postpone(page.job if batch.ended else page, page, error)

    def _batch(self, selection: "_Selection") -> RecordBatch:
        """The part of a selection that fits into one transaction."""
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
        """Read the page's stored version if uncertain; returns False if the job has ended."""
        if not page.version_uncertain:
            return True
        job = page.job
        entry = await self.store.get(page.key, RequestPriority.RECORD)
        if entry is not None:
            page.version = entry.version
            if page.index == 0:
                self._adopt_head(job, msgspec.json.decode(entry.value, type=JobRecord))
        elif page.index == 0:
            await self._read_final_state(job)
            self._finish(job)
            await self._notify_stored()
            return False
        else:
            page.version = 0
        page.version_uncertain = False
        return True

    def _adopt_head(self, job: Job, record: JobRecord) -> None:
        """Take over a user's cancellation from the stored head."""
        job.adopt_head(record)
        if record.cancelled and not job.cancelled:
            job.cancelled = job.cancel_stored = True
            log.info("cancellation of %s found in the store", job.id)
            self.on_cancelled(job)

    async def _read_final_state(self, job: Job) -> None:
        """Read the final state of a job without a head.

        A leader that does not know yet that it was replaced may believe a job to be done that a
        user has cancelled and whose head its successor has removed. Without this read, it
        answered users from its outdated memory.
        """
        entry = await self.store.get(ended_key(job.id), RequestPriority.RECORD)
        if entry is None:
            log.error("final state of %s not read: no record", job.id)
            return
        try:
            stored = msgspec.json.decode(entry.value, type=EndedRecord)
        except msgspec.DecodeError as error:  # one bad record must not block all other writes
            log.error("final state of %s not read: %s", job.id, error)  # noqa: TRY400 - not a bug
            return
        job.cancelled = stored.state is Outcome.CANCELLED

    def _finish(self, job: Job) -> None:
        """Mark a job as finished, after its final state was stored."""
        if job.finished:
            return
        job.finished = True
        self.ending.pop(job, None)
        for page in job.pages.values():
            self.dirty.pop(page, None)
            self.refused.pop(page, None)
        self.refused.pop(job, None)
        self.garbage_collector.add(job)
        self.on_ended(job)


class _Selection:
    """Pages and jobs to be written next; `capacity` is the number of changes that still fit."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.pages: list[Page] = []
        self.jobs: list[Job] = []

    @classmethod
    def of(cls, pages: Sequence[Page] = (), jobs: Sequence[Job] = ()) -> "_Selection":
        """Just these pages and jobs."""
        selection = cls(0)
        selection.pages += pages
        selection.jobs += jobs
        return selection

    def add_page(self, page: Page) -> None:
        self.pages.append(page)
        self.capacity -= 1

    def add_job(self, job: Job) -> None:
        self.jobs.append(job)
        self.capacity -= CHANGES_PER_ENDED_JOB


def _no_callback(job: Job) -> None:
    """Do nothing; default of the callbacks."""
