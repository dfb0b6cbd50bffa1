"""Leader election of one controller: campaigning, leading and resigning.

The key `leader` is attached to a lease. One transaction writes it and raises `epoch`. The epoch is
the fencing token of the leader's commands, and the version of `leader` guards every write of the
leader. The leader stops answering before its lease can end: by its own clock it counts the lease
from the moment the renewal was *sent*, and shortens it by the drift that the protocol allows.

Whether its term is valid by its lease or by lease grants of peers, a leader answers workers only
for a limited time after it had read every cancellation that any controller had confirmed to a user
(`Term.cancellations_known_at`): an answer renews a worker's lease, and cancelled tasks must have
ended in time.
"""

import asyncio
import logging
from datetime import timedelta

from dappledrum.election.campaign import Campaign, close_lease
from dappledrum.election.context import ElectionContext
from dappledrum.election.former_leaders import FormerLeaderCheck
from dappledrum.election.leader_watch import LeaderKey, LeaderWatch
from dappledrum.election.lease_keeper import LeaseKeeper
from dappledrum.election.messages import (
    LeaderRecord,
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    PreVoteReply,
    TransferLeadership,
)
from dappledrum.election.terms import LEADER_KEY, Term
from dappledrum.election.transfers import (
    PendingTransfer,
    TransferInbox,
    TransferLimit,
    offer_leadership,
)
from dappledrum.election.voter import Voter
from dappledrum.store.errors import CompactedError, StoreError
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import ZERO
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger(__name__)

#: The longest wait between two checks of whether a campaign is allowed.
MAX_CAMPAIGN_WAIT = timedelta(seconds=0.5)


class Elector:
    """Follows the leader, campaigns when there is none, and keeps the term of this controller
    valid while it leads."""

    def __init__(self, context: ElectionContext) -> None:
        self.context = context
        self.member = context.member
        self.store = context.store
        self.clock = context.clock
        self.rng = context.rng
        self.host = context.host
        self.lease_ttl = context.limits.ttl
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        self.epoch = 0  # the highest that this controller knows
        self.voter = Voter(self.clock.now())
        self.lease_keeper = LeaseKeeper(context)
        self.transfer_limit = TransferLimit(self.clock)
        self.no_campaign_before = ZERO
        #: The last moment at which this process, or a previous one of this controller, may have
        #: answered a worker.
        self.last_possible_answer_at = self.clock.now()
        self._candidacy_delayed = False  # whether the delay was applied in this vacancy
        self._transfer_inbox = TransferInbox()
        self._leader_watch = LeaderWatch(self.store, self.lease_ttl * 2)
        self._former_leaders = FormerLeaderCheck(context, self.voter)
        self._campaigns = Campaign(context, self.voter, self.lease_keeper, self._former_leaders)

    # The current term.

    def leading_term(self) -> Term | None:
        """The current term, if this controller may give commands at this moment."""
        term = self.term
        if term is None or term.ended.is_set() or self.clock.now() >= term.lease_valid_until:
            return None
        return term

    def valid_term(self) -> Term | None:
        """The current term, if it is valid by its lease or by lease grants of peers, so that
        workers' leases may at least be renewed."""
        term = self.term
        return term if term is not None and self.lease_keeper.is_valid(term) else None

    def answering_term(self) -> Term | None:
        """The current term, if a worker may be answered at this moment, which renews its lease.

        Invariant: no controller answers later than `max_cancellations_age` after a moment up to
        which it has read every confirmed cancellation. Tasks that are cancelled later end with the
        worker's lease.
        """
        term = self.valid_term()
        return None if term is None or term.cancellations_known_at is None else term

    def time_without_answers(self) -> timedelta:
        """For how long no worker can have been answered under a term of this controller."""
        if self.term is not None:
            return ZERO
        return self.clock.now() - self.last_possible_answer_at

    # Giving up leadership.

    def resign(self, reason: str, campaign_pause: timedelta) -> None:
        """Give up leadership, and don't campaign again for `campaign_pause`."""
        self.no_campaign_before = self.clock.now() + campaign_pause
        self.transfer_limit.record()
        if self.term is not None:
            log.warning("resigning: %s", reason)
            self.term.ended.set()

    def may_transfer(self) -> bool:
        """Whether the limit on the rate of transfers allows a transfer of leadership now."""
        term = self.term
        return (
            term is not None
            and not term.ended.is_set()
            and self.transfer_limit.allows(term.started_at)
        )

    def transfer_leadership(self, member: str, reason: str) -> None:
        """Stop answering for good, then offer leadership to `member`, which need not wait until
        the lease expires.

        The order matters: this controller may answer nothing once its successor can lead.
        """
        term = self.valid_term()
        if term is not None:
            log.warning("transferring leadership to %s: %s", member, reason)
            term.successor = member
            term.ended.set()

    # Requests of peers.

    async def accept_leadership(self, request: TransferLeadership) -> bool:
        """Handle the offer of a leader that has stopped; returns whether this controller leads."""
        if self.term is not None:
            return False
        return await self._transfer_inbox.accept(request)

    def grant_lease(self, request: LeaseGrantRequest) -> LeaseGrantReply:
        """Answer a leader that asks for a lease grant; neither it nor this controller reaches the
        store."""
        leads, now = self.term is not None, self.clock.now()
        reply = self.voter.grant_lease(request, now, leads, self.epoch)
        span = timedelta(milliseconds=request.confirmed_span_ms)
        confirmed = self.context.confirmed.within(span, now)
        reply.cancelled = sorted(confirmed.cancelled)
        reply.confirmed_span_ms = int(confirmed.span.total_seconds() * 1000)
        return reply

    def pre_vote(self, request: PreVote) -> PreVoteReply:
        """Answer the pre-vote of a candidate."""
        leads = self.term is not None and self.term.epoch != request.epoch
        return self.voter.pre_vote(request.epoch, self.clock.now(), leads)

    def skip_restart_wait(self) -> None:
        """Allow a campaign at once. To be called when every other controller, asked after this
        process started, has answered that it holds no term.

        Only a term that has been valid without a break since before that could rely on a lease
        grant of a previous process, so there is nothing to wait for.
        """
        if self.voter.restart_wait_until > self.clock.now():
            log.info("campaigns are allowed at once: no other controller holds a term")
            self.voter.restart_wait_until = self.clock.now()

    # Following and leading.

    async def run(self) -> None:
        """Follow or lead until cancelled."""
        supervisor = Supervisor(
            log,
            fault_pause_s=1.0,
            transient_errors=(StoreError,),
            transient_pause_s=lambda: self.rng.uniform(0.2, 0.5),
        )
        await supervisor.repeat("leadership loop", self._campaign_or_follow)

    async def _campaign_or_follow(self) -> None:
        """Campaign if there is no leader, else follow it."""
        key, revision = await self._leader_watch.read()
        if key is None:
            self._set_leader(None)
            if await self._may_campaign():
                await self._campaign()
            return
        self._candidacy_delayed = False
        await self._follow(key, revision)

    async def _follow(self, key: LeaderKey, revision: int) -> None:
        """Follow the leader until its key is removed or it transfers leadership to us."""
        await self._leader_key_changed(key)
        while True:
            try:
                changes = await self._leader_watch.changes(revision, self._transfer_inbox.arrived)
            except CompactedError:
                return
            if changes is None:
                await self._accept_transfer(key.version)
                return
            keys, revision = changes
            for changed in keys:
                if changed is None:
                    return
                key = changed  # a transfer of leadership replaces the key, and does not remove it
                await self._leader_key_changed(key)

    async def _leader_key_changed(self, key: LeaderKey) -> None:
        self._set_leader(key.record())
        await self._close_former_lease(key.version)

    async def _close_former_lease(self, version: int) -> None:
        """Close the lease of a key that names this controller although it does not lead.

        The key is from a previous process of this controller, which has exited and answers no
        worker, or from a campaign whose outcome this process does not know. It would only keep
        others from campaigning until its lease expires. Closing the lease is safe: writes sent
        under the key are guarded by its version, a renewal finds no lease, and an answer on its
        way is older than what the next leader assumes (docs/design.md, "Immediate restarts").
        """
        if self.leader is None or self.leader.member != self.member or self.term is not None:
            return
        entry = await self.store.get(LEADER_KEY, RequestPriority.LEASE)
        if entry is not None and entry.version == version and entry.lease is not None:
            epoch = self.leader.epoch
            log.warning("closing the lease of epoch %d: no controller leads under it", epoch)
            await close_lease(self.store, entry.lease)

    async def _accept_transfer(self, version: int) -> None:
        """Campaign as the successor of a leader that has stopped, if its key still has the version
        that its request names."""
        transfer = self._transfer_inbox.pending
        if transfer is None:
            return
        try:
            if transfer.request.version == version:
                await self._campaign(transfer)
        finally:
            transfer.resolve(False)

    async def _may_campaign(self) -> bool:
        """Whether a campaign is allowed now; waits a while if not."""
        now = self.clock.now()
        wait = max(self.voter.campaign_allowed_at(), self.no_campaign_before) - now
        if wait > ZERO:
            await asyncio.sleep(min(wait, MAX_CAMPAIGN_WAIT).total_seconds())
            return False
        if not self._candidacy_delayed:
            self._candidacy_delayed = True
            wait = self.host.candidacy_delay()
            if wait > ZERO:
                await asyncio.sleep(wait.total_seconds())
                return False
        return True

    async def _campaign(self, transfer: PendingTransfer | None = None) -> None:
        """Campaign as the successor of the leader that offers `transfer`, or, if that is None,
        because there is no leader; if the campaign is won, lead until the term ends."""
        term = await self._campaigns.win(transfer)
        if term is None:
            return
        self.term = term
        self._set_leader(LeaderRecord(self.member, term.epoch))
        self.host.leadership_changed()
        if transfer is not None:
            self.transfer_limit.adopt(transfer.request.transfer_ages_ms)
            transfer.resolve(True)
        await self._lead(term)
        if term.successor is not None:
            await offer_leadership(self.context, self.transfer_limit, term, term.successor)
        await close_lease(self.store, term.lease)

    async def _lead(self, term: Term) -> None:
        """Keep the term valid until it ends."""
        former_leaders_check = asyncio.ensure_future(self._former_leaders.run(term))
        try:
            await self.lease_keeper.keep(term)
        finally:
            former_leaders_check.cancel()
            term.ended.set()
            self.term = None
            self.last_possible_answer_at = self.clock.now()
            self._set_leader(None)
            self.host.leadership_changed()
            log.warning("no longer leading with epoch %d", term.epoch)

    def _set_leader(self, leader: LeaderRecord | None) -> None:
        if leader is not None:
            self.epoch = max(self.epoch, leader.epoch)
        if leader != self.leader:
            self.leader = leader
            self.host.leadership_changed()
