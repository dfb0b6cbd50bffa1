"""Removes the leftover records of jobs that are finished, or whose submission failed."""

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
    """Garbage collector of one term of leadership; `keys` are to be removed, oldest first."""

    def __init__(self, committer: TermCommitter, keys: OrderedDict[str, None]) -> None:
        self.committer = committer
        self.keys = keys

    def add(self, job: Job) -> None:
        """Schedule the removal of a finished job's records other than its final state."""
        for page in job.pages.values():
            if page.index > 0 and page.version:
                self.keys[page.key] = None
            for part in range(page.parts):
                self.keys[rows_key(job.id, page.index, part)] = None
        for part in range(job.stored_spec.existing_parts):
            self.keys[spec_key(job.id, part)] = None

    async def collect(self, capacity: int) -> None:
        """Remove some keys, in one transaction of at most `capacity` guards and changes.

        The guards require that the jobs have no head when the transaction is executed. Without
        them, a job submitted while a new leader read the records lost its parts, since the leader
        listed the parts but not the job. A delayed removal could also hit a job that was
        submitted in the meantime. Raises any `StoreError` except a conflict.
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
            log.info("records not removed, their jobs are live: %s", ", ".join(keys))
        for key in keys:
            del self.keys[key]
