"""Collects the records that the leader writes in one transaction."""

from typing import NamedTuple

from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import ROWS_PREFIX, ended_key, head_key
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import page_changes
from dappledrum.jobs.staged_write import change_bytes
from dappledrum.settings import StoreLimits
from dappledrum.store.client import MAX_TRANSACTION_BYTES
from dappledrum.store.hedged_commit import Evidence
from dappledrum.store.messages import Delete, Guard, Put, encode_value
from dappledrum.store.value_limit import ValueLimit
from dappledrum.store.value_size import value_size

ENDED_JOB_BYTES = 600  # upper bound for the changes that end a job


class WrittenPage(NamedTuple):
    """State of a page in the transaction; the page may change before the response arrives."""

    page: Page
    revision: int
    existing_parts: int  # with those whose removal has to wait
    value_bytes: int
    cancelled: bool  # whether the record shows the job as cancelled


class RecordBatch:
    """Changes that fit into one transaction, with the guards they need."""

    def __init__(self, limits: StoreLimits, value_limit: ValueLimit) -> None:
        self.limits = limits
        self.value_limit = value_limit
        self.guards: list[Guard] = []
        self.changes: list[Put | Delete] = []
        self.evidence: list[Evidence] = []
        self.pages: list[WrittenPage] = []
        self.ended: list[Job] = []
        self.oversized: list[Page] = []  # that exceed a transaction by themselves
        self._bytes = 0

    def add_ended(self, job: Job) -> None:
        """Replace a job's head by its final state."""
        head = job.page(0)
        self.guards.append(Guard(head_key(job.id), head.version))
        final = Put(ended_key(job.id), encode_value(job.ended_record()))
        self.changes += [Delete(head_key(job.id)), final]
        self.ended.append(job)
        self._bytes += ENDED_JOB_BYTES
        if not head.delayed_write_possible:
            self.evidence.append(Evidence(final.key, 0, final.value))

    def add_page(self, page: Page) -> bool:
        """Add a page; returns False if the transaction has no capacity left for it.

        A page that exceeds any transaction is only added to `oversized`.
        """
        changes = page_changes(
            page, self.value_limit.max_whole_bytes, self.value_limit.reduced_bytes
        )
        changes = _with_fewer_removals(changes, self.limits.txn_ops)
        if len(changes) > self.limits.txn_ops:
            self.oversized.append(page)
            return True
        size = sum(map(change_bytes, changes))
        too_many = len(self.changes) + len(changes) > self.limits.txn_ops
        if self.changes and (too_many or self._bytes + size > MAX_TRANSACTION_BYTES):
            return False
        self._bytes += size
        page_put = changes[0]
        assert isinstance(page_put, Put)
        self.guards.append(Guard(page.key, page.version))
        self.changes += changes
        if _identifies_transaction(page):
            self.evidence.append(Evidence(page.key, page.version, page_put.value))
        self.pages.append(_written_page(page, changes, page_put))
        return True

    def guarded_pages(self) -> list[Page]:
        """Pages whose versions the transaction guards."""
        return [written.page for written in self.pages] + [job.page(0) for job in self.ended]

    def largest_value_bytes(self) -> int:
        """Length of the longest value of a page's own key."""
        return max((written.value_bytes for written in self.pages), default=0)

    def mark_conflicts(self, failed_keys: set[str]) -> None:
        """Record which guards have failed; those versions are read before the next write."""
        for page in self.guarded_pages():
            page.version_uncertain |= page.key in failed_keys

    def mark_outcome_unknown(self) -> None:
        """Record that the transaction may have been executed, or may still be."""
        for written in self.pages:
            # Count all parts that may exist, so that unneeded ones are deleted by a later write.
            page = written.page
            page.parts = max(page.parts, written.existing_parts)
            if page.index == 0:
                page.job.stored_spec.mark_outcome_unknown()
        for page in self.guarded_pages():
            page.version_uncertain = page.delayed_write_possible = True

    def mark_stored(self, revision: int) -> None:
        """Record that the pages are stored; `revision` is that of the transaction."""
        for written in self.pages:
            page = written.page
            page.parts, page.stored_bytes = written.existing_parts, written.value_bytes
            if page.index == 0:
                page.job.stored_spec.mark_stored()
                page.job.cancel_stored |= written.cancelled
            page.version = max(page.version, revision)
            page.delayed_write_possible = False  # the guard of an older write now fails
            page.stored_revision = max(page.stored_revision, written.revision)


def _with_fewer_removals(changes: list[Put | Delete], max_changes: int) -> list[Put | Delete]:
    """The changes of a page with only as many removals of parts as `max_changes` have room for,
    the last ones first. Parts that the page does not count are ignored until they are removed."""
    puts = [change for change in changes if isinstance(change, Put)]
    removals = [change for change in changes if isinstance(change, Delete)]
    surplus = min(len(removals), max(0, len(changes) - max_changes))
    return [*puts, *removals[surplus:]]


def _written_page(page: Page, changes: list[Put | Delete], page_put: Put) -> WrittenPage:
    parts = sum(isinstance(c, Put) and c.key.startswith(ROWS_PREFIX) for c in changes)
    removed = sum(isinstance(change, Delete) for change in changes)
    return WrittenPage(
        page,
        page.revision,
        max(parts, page.parts - removed),
        value_size(bytes(page_put.value)),
        page.job.cancelled,
    )


def _identifies_transaction(page: Page) -> bool:
    """Whether only the transaction about to be sent can write the page's next stored form, not an
    earlier unanswered one nor a user's cancellation."""
    return not page.delayed_write_possible and not (page.index == 0 and page.job.cancelled)
