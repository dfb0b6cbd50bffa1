"""Checks that the dependencies named by a submission were accepted.

An accepted job stays accepted, so a controller may use its memory of that. A dependency is only
refused after a read that began after the request arrived. One transaction with guards checks many
jobs at once, and both keys of each: a job that ends meanwhile is found under one of them.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

from dappledrum.jobs.keys import ended_key, head_key
from dappledrum.jobs.messages import Form, JobRecord
from dappledrum.jobs.stored_job import LiveRecord
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, RateLimitedError, StoreError
from dappledrum.store.hedged_commit import commit_idempotent
from dappledrum.store.messages import Guard
from dappledrum.store.rate_limiter import RequestPriority

MAX_CACHED_ARRAYS = 20_000
REQUEST_TIMEOUT = timedelta(seconds=1)
MAX_SINGLE_READS = 4  # above this, heads are read from the list of all live jobs


class DependencyLookup:
    """Dependency checks of one controller, with a cache of accepted jobs."""

    def __init__(
        self,
        store: StoreClient,
        max_guards: int,
        read_head: Callable[[str], Awaitable[JobRecord | None]],
        read_heads: Callable[[set[str]], Awaitable[dict[str, LiveRecord]]],
    ) -> None:
        self.store = store
        self.max_names = max(1, max_guards // 2)
        self.read_head = read_head
        self.read_heads = read_heads
        #: Accepted jobs that are arrays or have ended, least recently confirmed first.
        self.arrays: OrderedDict[str, None] = OrderedDict()

    def note(self, job: str, form: Form) -> None:
        """Remember that a job was accepted, if it is an array."""
        if form is Form.ARRAY:
            self.arrays[job] = None
            self.arrays.move_to_end(job)
            while len(self.arrays) > MAX_CACHED_ARRAYS:
                self.arrays.popitem(last=False)

    async def refusal_reason(self, needs: Collection[str], own: str) -> str | None:
        """Why a submission with these dependencies is refused; None if it is valid.

        `own` is the ID of the submitted job.
        """
        if own in needs:
            return "a job can't wait for itself"
        names = sorted(need for need in needs if need not in self.arrays)
        live: set[str] = set()
        for first in range(0, len(names), self.max_names):
            batch = names[first : first + self.max_names]
            found = await self._existing_keys(batch)
            for name in batch:
                if not found & {head_key(name), ended_key(name)}:
                    return f"waits for {name}, which was never accepted"
                if head_key(name) in found:
                    live.add(name)
                else:
                    # Its form is unknown, but a dependency on an ended job is valid for any form.
                    self.note(name, Form.ARRAY)
        for name, form in (await self._forms(live)).items():
            if form is Form.SERVICE:
                return f"waits for {name}, which is a service and never done"
            self.note(name, form)
        return None

    async def _existing_keys(self, names: Collection[str]) -> set[str]:
        """Those head keys and final state keys of the jobs that exist in the store."""
        if self.store.budget.queueing_delay(RequestPriority.SUBMISSION) > REQUEST_TIMEOUT / 2:
            raise RateLimitedError
        guards = [Guard(key(name), 0) for name in names for key in (head_key, ended_key)]
        try:
            await commit_idempotent(
                self.store, guards, [], RequestPriority.SUBMISSION, REQUEST_TIMEOUT
            )
        except ConflictError as error:
            return set(error.conflicting_keys)
        return set()

    async def _forms(self, names: set[str]) -> dict[str, Form]:
        """Forms of live jobs by ID, without jobs that have ended meanwhile."""
        if len(names) > MAX_SINGLE_READS:
            many = await self.read_heads(names)
            return {n: v[0].spec.form for n, v in many.items() if not isinstance(v, StoreError)}
        records = await asyncio.gather(*(self.read_head(name) for name in names))
        return {record.spec.id: record.spec.form for record in records if record is not None}
