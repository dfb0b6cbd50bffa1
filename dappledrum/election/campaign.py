"""Campaigns for leadership: writes the key `leader` and raises the epoch in one transaction."""

import logging
from datetime import timedelta

import msgspec

from dappledrum.election.context import ElectionContext
from dappledrum.election.former_leaders import FormerLeaderCheck
from dappledrum.election.lease_keeper import LeaseKeeper
from dappledrum.election.messages import EpochRecord, LeaderRecord
from dappledrum.election.terms import EPOCH_KEY, LEADER_KEY, TOKENS_PER_TERM, Term
from dappledrum.election.transfers import PendingTransfer
from dappledrum.election.voter import Voter
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, LeaseLostError, StoreError
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Entry, Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)


async def close_lease(store: StoreClient, lease: int) -> None:
    """Close a lease with the keys attached to it; if that fails it expires by itself."""
    try:
        await store.close_lease(lease)
    except StoreError as error:
        log.info("closing a lease failed, it will expire by itself: %s", error)


class Campaign:
    """Campaigns of one controller for new terms."""

    def __init__(
        self,
        context: ElectionContext,
        voter: Voter,
        lease_keeper: LeaseKeeper,
        former_leaders: FormerLeaderCheck,
    ) -> None:
        self.member = context.member
        self.store = context.store
        self.clock = context.clock
        self.lease_ttl = context.limits.ttl
        self.voter = voter
        self.lease_keeper = lease_keeper
        self.former_leaders = former_leaders

    async def win(self, transfer: PendingTransfer | None) -> Term | None:
        """Campaign once: as the successor of the leader that offers `transfer`, or, if `transfer`
        is None, because there is no leader.

        Returns the new term, or None when another controller leads or may do so.

        Raises:
            StoreError: the store has not answered, so the outcome is unknown. No controller leads
                by this campaign, since its lease is closed or expires.
        """
        epoch_entry = await self.store.get(EPOCH_KEY, RequestPriority.LEASE)
        epoch = _epoch_of(epoch_entry)
        if not await self._is_vacant(transfer, epoch):
            return None
        lease = await self.store.open_lease(self.lease_ttl)
        # With `others_stopped`, only the leader that transfers leadership can have been answering
        # workers, and it has stopped. Its key exists, so lease grants of this controller to other
        # leaders have expired.
        others_stopped_at: timedelta | None
        if transfer is not None and transfer.request.others_stopped:
            others_stopped_at = self.clock.now()
        else:
            others_stopped_at = await self.former_leaders.ask_peers(epoch + 1)
            if self.voter.campaign_allowed_at() > self.clock.now():
                await close_lease(self.store, lease)  # granted a lease to a peer in the meantime
                return None
        self.voter.campaigned_against_epoch = epoch
        sent = self.clock.now()
        guards = [
            Guard(LEADER_KEY, transfer.request.version if transfer is not None else 0),
            Guard(EPOCH_KEY, epoch_entry.version if epoch_entry is not None else 0),
        ]
        version = await self._commit(guards, epoch + 1, lease)
        if version is None:
            return None
        term = Term(epoch + 1, version, lease, self.clock.now())
        term.others_stopped_at = others_stopped_at
        await self._renew_new_term(term)
        took = (self.clock.now() - sent).total_seconds() * 1e3
        log.warning("leading with epoch %d after %.0f ms", term.epoch, took)
        return term

    async def _is_vacant(self, transfer: PendingTransfer | None, epoch: int) -> bool:
        if transfer is not None:
            return transfer.request.epoch == epoch
        # Another controller may have won between the scan and the read of the epoch; then no peer
        # may be asked for a pre-vote.
        return await self.store.get(LEADER_KEY, RequestPriority.LEASE) is None

    async def _commit(self, guards: list[Guard], epoch: int, lease: int) -> int | None:
        """Run the transaction.

        Returns the version of the key `leader`, or None if a guard fails or the lease is lost.
        """
        changes = [
            Put(LEADER_KEY, encode_value(LeaderRecord(self.member, epoch)), lease),
            Put(EPOCH_KEY, encode_value(EpochRecord(epoch + TOKENS_PER_TERM - 1))),
        ]
        try:
            return await commit_or_find(
                self.store,
                guards,
                changes,
                RequestPriority.LEASE,
                lambda: self._find_won_version(lease),
                self.lease_ttl / 2,
            )
        except (ConflictError, LeaseLostError):
            await close_lease(self.store, lease)
            return None
        except StoreError:
            # The outcome is unknown, but the key is removed together with its lease.
            await close_lease(self.store, lease)
            raise

    async def _find_won_version(self, lease: int) -> int | None:
        """Return the version of the key `leader` if it is attached to `lease`, else None.

        Only one transaction of this process uses the lease, so this shows that it was executed.
        The key's value doesn't: an earlier process may have written it.
        """
        entry = await self.store.get(LEADER_KEY, RequestPriority.LEASE)
        return entry.version if entry is not None and entry.lease == lease else None

    async def _renew_new_term(self, term: Term) -> None:
        """Renew the lease of a new term: it was opened before the transaction, so only a renewal
        shows until when it is valid."""
        try:
            await self.lease_keeper.renew(term)
        except StoreError:
            await close_lease(self.store, term.lease)
            raise


def _epoch_of(entry: Entry | None) -> int:
    if entry is None:
        return 0
    return msgspec.json.decode(entry.value, type=EpochRecord).epoch
