"""Becoming, staying and ceasing to be leader.

The key `leader` is attached to a lease. Winning it is one transaction that also raises `epoch`.
The epoch is the fencing token under which commands are given, and the version of `leader` guards
every write of the leader. By its own clock the leader stops answering before its lease can end:
the lease is counted from the moment the renewal was *sent*, and shortened by the drift that the
protocol allows.

Whether a term is valid by its lease or by lease grants of peers, it answers workers only up to a
bound from the last moment at which the leader had read every cancellation that any controller had
confirmed to a user (`Term.cancellations_known_at`): an answer renews a worker's lease, and
cancelled tasks must have ended in time.
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

#: Longest wait before it is checked again whether a campaign is allowed.
MAX_CAMPAIGN_WAIT = timedelta(seconds=0.5)


class Elector:
    """One controller's part in the election: follows the leader, campaigns when there is none, and
    keeps its own term valid while it leads."""

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
        self.epoch = 0  # the highest that this controller is aware of
        self.voter = Voter(self.clock.now())
        self.lease_keeper = LeaseKeeper(context)
        self.transfer_limit = TransferLimit(self.clock)
        self.no_campaign_before = ZERO
        #: The last moment at which this process, or one before it, may have answered a worker.
        self.last_possible_answer_at = self.clock.now()
        self._candidacy_delayed = False  # in this vacancy
        self._transfer_inbox = TransferInbox()
        self._leader_watch = LeaderWatch(self.store, self.lease_ttl * 2)
        self._former_leaders = FormerLeaderCheck(context, self.voter)
        self._campaigns = Campaign(context, self.voter, self.lease_keeper, self._former_leaders)

    # the running term

    def leading_term(self) -> Term | None:
        """The running term, if this controller may give commands at this moment."""
        term = self.term
        if term is None or term.ended.is_set() or self.clock.now() >= term.lease_valid_until:
            return None
        return term

    def valid_term(self) -> Term | None:
        """The running term, if it is valid by its lease or by lease grants of peers, so that
        workers' leases may at least be renewed."""
        term = self.term
        return term if term is not None and self.lease_keeper.is_valid(term) else None

    def answering_term(self) -> Term | None:
        """The running term, if a worker may be answered at this moment, which renews its lease.

        Invariant: nobody answers later than `max_cancellations_age` after a moment up to which it
        has read every confirmed cancellation. Tasks of later ones end with the worker's lease.
        """
        term = self.valid_term()
        return None if term is None or term.cancellations_known_at is None else term

    def no_answers_for(self) -> timedelta:
        """For how long nobody can have been answered by a term of this controller."""
        if self.term is not None:
            return ZERO
        return self.clock.now() - self.last_possible_answer_at

    # giving leadership up

    def resign(self, why: str, campaign_pause: timedelta) -> None:
        """Give leadership up, and don't campaign again for this long."""
        self.no_campaign_before = self.clock.now() + campaign_pause
        self.transfer_limit.record()
        if self.term is not None:
            log.warning("resigning: %s", why)
            self.term.ended.set()

    def may_transfer(self) -> bool:
        """Whether leadership may be transferred now, by the limit on how often it moves."""
        term = self.term
        return (
            term is not None
            and not term.ended.is_set()
            and self.transfer_limit.allows(term.started_at)
        )

    def transfer_leadership(self, member: str, why: str) -> None:
        """Stop answering for good, then name a successor, which need not wait for the lease.

        The order matters: nothing may be answered once the successor can lead.
        """
        term = self.valid_term()
        if term is not None:
            log.warning("transferring leadership to %s: %s", member, why)
            term.successor = member
            term.ended.set()

    # requests of peers

    async def accept_leadership(self, request: TransferLeadership) -> bool:
        """Handle the offer of a leader that has stopped; returns whether this controller leads."""
        if self.term is not None:
            return False
        return await self._transfer_inbox.accept(request)

    def grant_lease(self, request: LeaseGrantRequest) -> LeaseGrantReply:
        """Answer a leader that can't reach the store, which this controller can't reach either."""
        leads, now = self.term is not None, self.clock.now()
        reply = self.voter.grant_lease(request, now, leads, self.epoch)
        span = timedelta(milliseconds=request.confirmed_span_ms)
        confirmed = self.context.confirmed.within(span, now)
        reply.cancelled = sorted(confirmed.cancelled)
        reply.confirmed_span_ms = int(confirmed.span.total_seconds() * 1000)
        return reply

    def pre_vote(self, question: PreVote) -> PreVoteReply:
        """Answer a candidate."""
        leads = self.term is not None and self.term.epoch != question.epoch
        return self.voter.pre_vote(question.epoch, self.clock.now(), leads)

    def skip_restart_wait(self) -> None:
        """Allow a campaign at once: every other controller, asked after this process began, has
        answered that it has no term.

        A lease grant of a former process can only serve a term that has been valid without a break
        since before that, so no leader relies on one, and there is nothing to wait for.
        """
        if self.voter.restart_wait_until > self.clock.now():
            log.info("no leader relies on lease grants of a former process, campaigning at once")
            self.voter.restart_wait_until = self.clock.now()

    # following and leading

    async def run(self) -> None:
        """Follow or lead, for ever."""
        supervisor = Supervisor(
            log,
            fault_pause_s=1.0,
            transient_errors=(StoreError,),
            transient_pause_s=lambda: self.rng.uniform(0.2, 0.5),
        )
        await supervisor.repeat("leadership loop", self._round)

    async def _round(self) -> None:
        """Campaign if nobody leads, else follow the leader."""
        key, revision = await self._leader_watch.read()
        if key is None:
            self._set_leader(None)
            if await self._may_campaign():
                await self._campaign()
            return
        self._candidacy_delayed = False
        await self._follow(key, revision)

    async def _follow(self, key: LeaderKey, revision: int) -> None:
        """Follow the leader until its key is removed, or leadership is offered to us."""
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
                key = changed  # a key that is transferred is replaced, not removed
                await self._leader_key_changed(key)

    async def _leader_key_changed(self, key: LeaderKey) -> None:
        self._set_leader(key.record())
        await self._close_former_lease(key.version)

    async def _close_former_lease(self, version: int) -> None:
        """Close the lease of a key with this controller's own name, under which it does not lead.

        A process begins when the one before it under its name has ended, so that one answers
        nobody any more, and its key only keeps others from campaigning until its lease expires.
        The same goes for a campaign whose outcome is unknown to this process. What was sent under
        the key before is guarded by its version, a renewal finds no lease, and an answer on its
        way is older than whatever its successor assumes (docs/design.md, "Immediate restarts").
        """
        if self.leader is None or self.leader.member != self.member or self.term is not None:
            return
        entry = await self.store.get(LEADER_KEY, RequestPriority.LEASE)
        if entry is not None and entry.version == version and entry.lease is not None:
            epoch = self.leader.epoch
            log.warning("closing the lease of epoch %d, under which nobody leads any more", epoch)
            await close_lease(self.store, entry.lease)

    async def _accept_transfer(self, version: int) -> None:
        """Campaign in the place of a leader that has stopped, if its key still has the version
        that it has sent."""
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
        """Campaign when there is no leader, or in the place of the one that offers this transfer;
        if won, lead until the term ends."""
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
