"""Stores cancellations of users, on any controller and without the leader."""

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from dappledrum.jobs.cancelled_head import cancelled_head
from dappledrum.jobs.keys import ended_key, head_key
from dappledrum.jobs.messages import JobRecord
from dappledrum.jobs.staged_write import stage, write_early
from dappledrum.jobs.stored_job import StoredJob
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, RateLimitedError, StoreError, TooLargeError
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.store.value_size import value_size

log = logging.getLogger(__name__)

MAX_ATTEMPTS = 6  # each after another controller has changed the head
MAX_QUEUEING_DELAY = timedelta(milliseconds=300)  # beyond it, users are asked to try again


class Canceller:
    """Cancellations of one controller; `find` reads a job, and a transaction has at most
    `max_changes`."""

    def __init__(
        self,
        store: StoreClient,
        max_changes: int,
        value_limit: ValueLimit,
        find: Callable[[str, RequestPriority], Awaitable[StoredJob]],
    ) -> None:
        self.store = store
        self.max_changes = max_changes
        self.value_limit = value_limit
        self.find = find

    async def cancel(self, job: str) -> StoredJob:
        """Cancel a job unless it has ended; returns the job as it is then, or None if it was never
        accepted.

        Raises a `StoreError` if the cancellation is not known to be stored.
        """
        for _ in range(MAX_ATTEMPTS):
            found = await self.find(job, RequestPriority.SUBMISSION)
            if not isinstance(found, tuple) or found[0].cancelled:
                return found
            record, version = found
            changes = cancelled_head(
                record, self.value_limit.max_whole_bytes, self.value_limit.reduced_bytes
            )
            try:
                return await self._store(job, record, version, changes)
            except ConflictError:
                continue
            except TooLargeError as error:
                size = value_size(bytes(changes[0].value))
                if not self.value_limit.record_refusal(size, str(error)):
                    raise
        raise StoreError("its record was changed at each attempt")

    async def _store(
        self, job: str, record: JobRecord, version: int, changes: list[Put]
    ) -> StoredJob:
        """Store the changes that cancel a job whose head has this version."""
        if self.store.budget.queueing_delay(RequestPriority.SUBMISSION, 1) > MAX_QUEUEING_DELAY:
            raise RateLimitedError("the rate of changes is used up")
        # Several changes wait for their rate: a user who is sent away would find the rate used up
        # by others again and again.
        priority = RequestPriority.SUBMISSION if len(changes) == 1 else RequestPriority.RECORD
        write = stage(changes, self.max_changes)
        guards = [Guard(head_key(job), version), Guard(ended_key(job), 0)]
        part_guards = await write_early(
            write.early, lambda puts: self.store.commit(guards, puts, priority)
        )
        stored: int | StoredJob = await commit_or_find(
            self.store,
            guards + part_guards,
            write.final,
            priority,
            partial(self._find_cancelled, job),
        )
        if not isinstance(stored, int):
            log.info("%s is cancelled or has ended, as a read of the store shows", job)
            return stored
        log.info("cancelled %s", job)
        record.cancelled = True
        return record, version

    async def _find_cancelled(self, job: str) -> StoredJob:
        """Return the stored job if it is cancelled or has ended, whoever wrote that; else None."""
        found = await self.find(job, RequestPriority.SUBMISSION)
        if isinstance(found, tuple) and not found[0].cancelled:
            return None
        return found
