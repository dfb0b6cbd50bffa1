"""Writes the leader's changes to the store, many pages in one transaction.

Every transaction is guarded by the leader's key and by the version of each page. After a conflict
or an unknown outcome the pages concerned are read again before they are written again; writing
them moves their version on, so a delayed twin of the old transaction can't apply any more. While
an answer is late, one of the values is read that this transaction alone can have written: a
transaction is carried out whole, so that value tells of all of them.
"""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from datetime import timedelta

import msgspec

from dappledrum.election.terms import LEADER_KEY, Term
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import ROWS_PREFIX, ended_key, head_key, rows_key, spec_key
from dappledrum.jobs.messages import EndedRecord, JobRecord, Outcome
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import page_changes
from dappledrum.settings import StoreLimits
from dappledrum.store.client import MAX_TRANSACTION_BYTES, StoreClient
from dappledrum.store.errors import ConflictError, StoreError, TooLargeError
from dappledrum.store.hedged_commit import Evidence, commit_idempotent, commit_or_find
from dappledrum.store.messages import Delete, Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import Clock
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger(__name__)


GATHER = timedelta(milliseconds=15)  # changes that come together are written together
LAZY = timedelta(seconds=2)  # the most that ends of tasks wait while starts need the rate
MANY = 16  # jobs to be ended, from which on cancellations are only noted at first
LOOK = timedelta(milliseconds=100)
SUPERVISOR = Supervisor(
    log,
    fault_pause_s=0.5,
    transient_errors=(StoreError,),
    transient_pause_s=lambda: 0.1,
    transient_level=logging.INFO,
)


class RecordWriter:
    """One for each term of leadership."""

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
        self.dirty: dict[Page, timedelta] = {}  # since when
        self.ending: dict[Job, None] = {}
        self.garbage: OrderedDict[str, None] = OrderedDict()
        self.shrunk = False
        self.wake = asyncio.Event()
        self.stored = asyncio.Condition()
        self.on_saved: Callable[[], None] = lambda: None
        self.on_ended: Callable[[Job], None] = lambda job: None
        self.on_cancelled: Callable[[Job], None] = lambda job: None

    def mark_dirty(self, page: Page) -> None:
        """A page has changed, or its job is over."""
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
        return sum(page.last_placement_revision > page.stored_revision for page in self.dirty)

    async def run(self) -> None:
        """Write until the term is over."""
        while not self.term.ended.is_set():
            await self.wake.wait()
            self.wake.clear()
            await asyncio.sleep(GATHER.total_seconds())
            while (self.dirty or self.ending or self.garbage) and not self.term.ended.is_set():
                await SUPERVISOR.attempt("writing progress", self._flush_or_pause)

    async def _flush_or_pause(self) -> None:
        if not await self._flush():
            await self._pause()

    async def _pause(self) -> None:
        """Until something changes, or what waits has waited a little longer."""
        try:
            async with asyncio.timeout(LOOK.total_seconds()):
                await self.wake.wait()
            await asyncio.sleep(GATHER.total_seconds())
        except TimeoutError:
            pass
        self.wake.clear()

    async def _flush(self) -> bool:
        """Write what is most urgent; False when all that is left had better wait.

        Workers wait for the records of starts, and users for a job's end. Ends of single tasks
        only accumulate: written with each of them, a hundred live jobs would use up the rate of
        changes, and every start would queue behind them.
        """
        capacity = self._capacity()
        if not self.dirty and not self.ending:
            await self._collect(capacity)
            return True
        now = self.clock.now()
        urgent = [
            p
            for p, since in self.dirty.items()
            if p.last_placement_revision > p.stored_revision or now - since > LAZY
        ]
        # Starts of urgent jobs before others': a swarm of small jobs must not delay them.
        urgent.sort(
            key=lambda page: (
                page.last_placement_revision <= page.stored_revision,
                page.job.effective_rank,
            )
        )
        spare = min(
            capacity,
            int(
                self.store.budget.write_limiter.level - 0.5 * self.store.budget.write_limiter.size
            ),
        )
        hurried = set(urgent)
        lazy = [page for page in self.dirty if page not in hurried][: max(0, spare)]
        pages: list[Page] = []
        jobs: list[Job] = []
        noted = self._to_note()
        for page in noted[: max(1, capacity // 2 if urgent else capacity)]:
            if await self._certain(page):
                pages.append(page)
                capacity -= 1
        for job in list(self.ending):
            if noted and job.cancelled:
                continue
            if capacity >= 2 and await self._certain(job.page(0)):
                jobs.append(job)
                capacity -= 2
                if urgent and len(jobs) * 4 >= self.limits.txn_ops:
                    break
        for page in urgent + lazy:
            if page.job.finished or page.job in self.ending:
                self.dirty.pop(page, None)
            elif capacity >= 1 and await self._certain(page):
                pages.append(page)
                capacity -= 1
        if pages or jobs:
            await self._write(pages, jobs)
        return bool(pages or jobs)

    def _to_note(self) -> list[Page]:
        """Heads of jobs that a cancellation has taken along, when there are too many to be moved
        to the ended ones in time: that takes two changes for each, and noting it one."""
        if len(self.ending) <= MANY:
            return []
        return [job.page(0) for job in self.ending if job.cancelled and not job.cancel_stored]

    def _capacity(self) -> int:
        """Number of changes for the next transaction: what the rate allows now, but always a
        few."""
        allowed = int(
            self.store.budget.write_limiter.level - 0.2 * self.store.budget.write_limiter.size
        )
        return max(4, min(self.limits.txn_ops, allowed))

    async def _write(self, pages: list[Page], jobs: list[Job]) -> None:
        guards = [self.term.guard()]
        changes: list[Put | Delete] = []
        size = 0
        written: list[tuple[Page, int, int, int, bool]] = []
        evidence: list[Evidence] = []
        for job in jobs:
            guards.append(Guard(head_key(job.id), job.page(0).version))
            ended = Put(ended_key(job.id), encode_value(job.ended_record()))
            changes += [Delete(head_key(job.id)), ended]
            size += 600
            if not job.page(0).delayed_write_possible:
                evidence.append(Evidence(ended.key, 0, ended.value))
        for page in pages:
            own = page_changes(
                page, self.value_limit.max_whole_bytes, self.value_limit.reduced_bytes
            )
            length = sum(len(bytes(c.value)) + 400 for c in own if isinstance(c, Put))
            main = own[0]
            assert isinstance(main, Put)
            many = len(changes) + len(own) > self.limits.txn_ops
            if changes and (many or size + length > MAX_TRANSACTION_BYTES):
                break
            size += length
            guards.append(Guard(page.key, page.version))
            changes += own
            if self._unmistakable(page):
                evidence.append(Evidence(page.key, page.version, main.value))
            parts = sum(c.key.startswith(ROWS_PREFIX) for c in own if isinstance(c, Put))
            written.append(
                (page, page.revision, parts, len(bytes(main.value)), page.job.cancelled)
            )
        try:
            revision = await self._commit(guards, changes, evidence)
        except ConflictError as error:
            if LEADER_KEY in error.conflicting_keys:
                self._replaced()
            failed = set(error.conflicting_keys)
            for page in [row[0] for row in written] + [job.page(0) for job in jobs]:
                page.version_uncertain |= page.key in failed
            return
        except TooLargeError as error:
            if not self.value_limit.record_refusal(
                max((row[3] for row in written), default=0), str(error)
            ):
                raise
            return  # certainly not executed: again, in parts
        except StoreError:
            for page, _, parts, _, _ in written:
                page.parts = max(page.parts, parts)  # whatever may be there is removed later
                page.version_uncertain = page.delayed_write_possible = True
            for job in jobs:
                job.page(0).version_uncertain = job.page(0).delayed_write_possible = True
            raise
        for page, stored, parts, length, cancelled in written:
            page.parts, page.stored_bytes = parts, length
            if page.index == 0:
                page.job.unstored_spec_parts = []
                page.job.cancel_stored |= cancelled
            page.version = max(page.version, revision)
            page.delayed_write_possible = False  # it would meet another version
            page.stored_revision = max(page.stored_revision, stored)
            self.dirty.pop(page, None)
            if page.dirty:
                self.dirty[page] = self.clock.now()
        for job in jobs:
            self._ended(job)
        await self._notify_saved()

    @staticmethod
    def _unmistakable(page: Page) -> bool:
        """Whether the page's next stored form can only come from the transaction that is about to
        be sent: not from an earlier one without an answer, nor from a user's cancellation."""
        return not page.delayed_write_possible and not (page.index == 0 and page.job.cancelled)

    async def _commit(
        self, guards: list[Guard], changes: list[Put | Delete], evidence: list[Evidence]
    ) -> int:
        """Store the changes; returns the revision."""
        if not evidence:
            return await self.store.commit(guards, changes, RequestPriority.RECORD)
        return await commit_or_find(
            self.store, guards, changes, RequestPriority.RECORD, lambda: self._find(evidence[0])
        )

    async def _find(self, evidence: Evidence) -> int | None:
        """The revision of the transaction that this is evidence of, if it was carried out.

        Read while the lease certainly lasted, so no other leader can have written the value.
        """
        entry = await self.store.get(evidence.key, RequestPriority.RECORD)
        led = not self.term.ended.is_set() and self.clock.now() < self.term.lease_valid_until
        if entry is None or not led or not evidence.shown_by(entry):
            return None
        return entry.version

    async def _notify_saved(self) -> None:
        self.on_saved()
        async with self.stored:
            self.stored.notify_all()

    async def _certain(self, page: Page) -> bool:
        """Make sure of the page's stored version; False when its job turns out to be over."""
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
            self._ended(job)
            await self._notify_saved()
            return False
        else:
            page.version = 0
        page.version_uncertain = False
        return True

    async def _read_end(self, job: Job) -> None:
        """Take over how a job without a head has ended, as it is stored.

        A leader that has been replaced, and does not know it yet, finds heads gone that its
        successor has removed: jobs that it had taken for done and that users have cancelled since.
        It once answered users from what it remembered of them.
        """
        entry = await self.store.get(ended_key(job.id), RequestPriority.RECORD)
        try:
            if entry is None:
                raise msgspec.DecodeError("no record")
            stored = msgspec.json.decode(entry.value, type=EndedRecord)
        except msgspec.DecodeError as error:  # must not keep everything else from being written
            log.error("how %s has ended can't be read: %s", job.id, error)
            return
        job.cancelled = stored.state is Outcome.CANCELLED

    def _ended(self, job: Job) -> None:
        if job.finished:
            return
        job.finished = True
        self.ending.pop(job, None)
        for page in job.pages.values():
            self.dirty.pop(page, None)
            if page.index > 0 and page.version:
                self.garbage[page.key] = None
            for part in range(page.parts):
                self.garbage[rows_key(job.id, page.index, part)] = None
        for part in range(job.spec_parts):
            self.garbage[spec_key(job.id, part)] = None
        self.on_ended(job)

    async def _collect(self, capacity: int) -> None:
        """Remove what is left of jobs that are over, or never were.

        Only while they have no head, whenever this is carried out: a job that was submitted while
        a new leader read the records was in the list of parts and not in that of jobs, and lost
        its parts; and a removal that is carried out late may meet a job that has come since.
        """
        keys = list(self.garbage)[: max(1, capacity // 2)]
        heads = {key: head_key(key.split("/")[1]) for key in keys}
        guards = [self.term.guard(), *(Guard(head, 0) for head in sorted(set(heads.values())))]
        try:
            await commit_idempotent(
                self.store, guards, [Delete(key) for key in keys], RequestPriority.POLL
            )
        except ConflictError as error:
            if LEADER_KEY in error.conflicting_keys:
                self._replaced()
                return
            keys = [key for key in keys if heads[key] in error.conflicting_keys]
            log.info("not removed, as their jobs live: %s", ", ".join(keys))
        for key in keys:
            del self.garbage[key]

    def _replaced(self) -> None:
        log.warning("leader key changed, stepping down")
        self.term.ended.set()
