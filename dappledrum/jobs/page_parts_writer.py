"""Writes pages whose own value and parts exceed one transaction.

Only the parts that have changed are written, and as many of them as one transaction may change
together with the page's own value, which then holds no rows. Parts that the page does not count
yet are written before it, see `staged_write`.
"""

import logging

import msgspec

from dappledrum.jobs.keys import rows_key
from dappledrum.jobs.messages import JobRecord, PageRecord, RowsRecord
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_distribution import Distribution, Part, distribute
from dappledrum.jobs.page_encoding import encode_page, rows_record, task_rows, task_rows_of
from dappledrum.jobs.staged_write import stage, write_early
from dappledrum.jobs.term_committer import TermCommitter
from dappledrum.settings import StoreLimits
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import StoreError
from dappledrum.store.messages import Delete, Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.store.value_size import value_size

log = logging.getLogger(__name__)


class PagePartsWriter:
    """Writer of large pages, for one term of leadership."""

    def __init__(
        self,
        store: StoreClient,
        committer: TermCommitter,
        limits: StoreLimits,
        value_limit: ValueLimit,
    ) -> None:
        self.store = store
        self.committer = committer
        self.limits = limits
        self.value_limit = value_limit

    async def write(self, page: Page) -> None:
        """Write as many changes of a page as one transaction has room for; more are left if the
        page is still dirty.

        Raises:
            StoreError: the changes are not stored, or not known to be; the version of the page has
                to be read before the next call.
        """
        revision, cancelled = page.revision, page.job.cancelled
        stored = await self._stored_parts(page)
        step = distribute(
            stored, task_rows(page), self.limits.txn_ops - 1, self.value_limit.reduced_bytes
        )
        puts = self._puts(page, step)
        page.parts = max(page.parts, len(stored), len(step.parts))
        page.version_uncertain = page.delayed_write_possible = True
        page.version = await self._commit(page, puts)
        page.version_uncertain = page.delayed_write_possible = False
        page.stored_bytes = value_size(bytes(puts[0].value))
        if page.index == 0:
            page.job.stored_spec.mark_stored()
            page.job.cancel_stored |= cancelled
        if step.complete:
            page.stored_revision = max(page.stored_revision, revision)

    async def _stored_parts(self, page: Page) -> list[Part]:
        """Read the parts that the stored page counts.

        They change only together with the page, so they are current if its version is.
        """
        entry = await self.store.get(page.key, RequestPriority.RECORD)
        if entry is None or entry.version != page.version:
            page.version_uncertain = True
            raise StoreError("changed by another controller", page.key)
        if page.index == 0:
            record = msgspec.json.decode(entry.value, type=JobRecord).page
        else:
            record = msgspec.json.decode(entry.value, type=PageRecord)
        return [await self._stored_part(page, number) for number in range(record.parts)]

    async def _stored_part(self, page: Page, number: int) -> Part:
        key = rows_key(page.job.id, page.index, number)
        entry = await self.store.get(key, RequestPriority.RECORD)
        if entry is None:
            log.error("part %s is missing, its placements are written again", key)
            return {}
        record = msgspec.json.decode(entry.value, type=RowsRecord)
        return {row.figures.offset: row for row in task_rows_of(record)}

    def _puts(self, page: Page, step: Distribution) -> list[Put]:
        """The values to be written: the page's own one, changed parts, then new ones."""
        if page.index == 0:
            page.job.stored_spec.split(self.value_limit.reduced_bytes)
        record = PageRecord(page.attempt, f"{page.done:x}", parts=len(step.parts))
        puts: list[Put | Delete] = [Put(page.key, msgspec.Raw(encode_page(page, record)))]
        for number in [*step.changed, *step.added]:
            rows = rows_record(step.parts[number].values())
            puts.append(Put(rows_key(page.job.id, page.index, number), encode_value(rows)))
        if page.index == 0:
            puts += page.job.stored_spec.changes()
        return [put for put in puts if isinstance(put, Put)]

    async def _commit(self, page: Page, puts: list[Put]) -> int:
        """Store the values, the page's own one last; returns its version."""
        guard = Guard(page.key, page.version)
        write = stage(puts, self.limits.txn_ops)
        part_guards = await write_early(
            write.early, lambda group: self.committer.commit([guard], group, [])
        )
        if page.index == 0:
            page.job.stored_spec.mark_outcome_unknown()
        return await self.committer.commit([guard, *part_guards], write.final, [])
