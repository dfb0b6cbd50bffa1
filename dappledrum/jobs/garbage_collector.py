"""Removes what is left in the store of jobs that are finished, or never were."""

import logging
from collections import OrderedDict

from dappledrum.election.terms import LEADER_KEY
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key, job_of_key, rows_key, spec_key
from dappledrum.jobs.term_committer import TermCommitter
from dappledrum.store.errors import ConflictError
from dappledrum.store.messages import Guard

log = logging.getLogger(__name__)


class GarbageCollector:
    """The collector for one term of leadership; `keys` are to be removed, oldest first."""

    def __init__(self, committer: TermCommitter, keys: OrderedDict[str, None]) -> None:
        self.committer = committer
        self.keys = keys

    def add(self, job: Job) -> None:
        """Schedule the removal of what a finished job leaves beside its final state."""
        for page in job.pages.values():
            if page.index > 0 and page.version:
                self.keys[page.key] = None
            for part in range(page.parts):
                self.keys[rows_key(job.id, page.index, part)] = None
        for part in range(job.spec_parts):
            self.keys[spec_key(job.id, part)] = None

    async def collect(self, capacity: int) -> None:
        """Remove some keys, in one transaction of at most `capacity` guards and changes.

        Only while their jobs have no head, whenever this is carried out: a job that was submitted
        while a new leader read the records was in the list of parts and not in that of jobs, and
        lost its parts; and a removal that is carried out late may meet a job that was submitted
        since. Raises a `StoreError` other than a conflict.
        """
        keys = list(self.keys)[: max(1, capacity // 2)]
        heads = {key: head_key(job_of_key(key)) for key in keys}
        guards = [Guard(head, 0) for head in sorted(set(heads.values()))]
        try:
            await self.committer.delete(guards, keys)
        except ConflictError as error:
            if LEADER_KEY in error.conflicting_keys:
                return
            keys = [key for key in keys if heads[key] in error.conflicting_keys]
            log.info("not removed, as their jobs live: %s", ", ".join(keys))
        for key in keys:
            del self.keys[key]
