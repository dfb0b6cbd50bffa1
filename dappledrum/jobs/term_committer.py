"""Transactions of a leader, guarded so that they are executed only during its term."""

import logging
from collections.abc import Sequence

from dappledrum.election.terms import LEADER_KEY, Term
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError
from dappledrum.store.hedged_commit import Evidence, commit_idempotent, commit_or_find
from dappledrum.store.messages import Delete, Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)


class TermCommitter:
    """Commits transactions for one term; a conflict on the leader's key ends the term."""

    def __init__(self, store: StoreClient, term: Term, clock: Clock) -> None:
        self.store = store
        self.term = term
        self.clock = clock

    async def commit(
        self,
        guards: Sequence[Guard],
        changes: Sequence[Put | Delete],
        evidence: Sequence[Evidence],
    ) -> int:
        """Store changes; returns the revision of the transaction.

        `evidence`: values that only this transaction can have written; the first one is read
        while the response is late. Raises a `StoreError`, such as the conflict of a failed guard.
        """
        guards = [self.term.guard(), *guards]
        try:
            if not evidence:
                return await self.store.commit(guards, changes, RequestPriority.RECORD)
            return await commit_or_find(
                self.store,
                guards,
                changes,
                RequestPriority.RECORD,
                lambda: self._find(evidence[0]),
            )
        except ConflictError as error:
            self._end_term_if_replaced(error)
            raise

    async def delete(self, guards: Sequence[Guard], keys: Sequence[str]) -> None:
        """Delete keys with low priority.

        Raises a `StoreError`, such as the conflict of a failed guard.
        """
        guards = [self.term.guard(), *guards]
        changes = [Delete(key) for key in keys]
        try:
            await commit_idempotent(self.store, guards, changes, RequestPriority.POLL)
        except ConflictError as error:
            self._end_term_if_replaced(error)
            raise

    async def _find(self, evidence: Evidence) -> int | None:
        """The revision of the transaction that wrote the evidence; None if that is not proven.

        The result only counts if the lease was valid after the read, so that no other leader can
        have written the value.
        """
        entry = await self.store.get(evidence.key, RequestPriority.RECORD)
        valid = not self.term.ended.is_set() and self.clock.now() < self.term.lease_valid_until
        if entry is None or not valid or not evidence.shown_by(entry):
            return None
        return entry.version

    def _end_term_if_replaced(self, error: ConflictError) -> None:
        if LEADER_KEY in error.conflicting_keys:
            log.warning("leader key changed, leader steps down")
            self.term.ended.set()
