"""Taking, keeping and leaving leadership.

The key `leader` hangs on a lease. Taking it is one transaction that also raises `epoch`; the epoch
is the token under which commands are given, and the version of `leader` guards every write of the
leader. By its own clock the leader stops acting before its lease can end: the lease is counted
from the moment the renewal was *sent*, and shortened by the drift that the protocol allows.

However a term is held, by its lease or by promises, it answers workers only up to a bound from the
last moment at which the leader knew of every cancellation that any controller had told a user
(`Term.cancellations_known_at`): an answer renews a worker's lease, and what runs there must have
ended in time.
"""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

import msgspec

from dappledrum.election.lease_keeper import LeaseKeeper
from dappledrum.election.messages import (
    EpochRecord,
    LeaderRecord,
    LeaseGrantReply,
    LeaseGrantRequest,
    PreVote,
    PreVoteReply,
    TransferLeadership,
)
from dappledrum.election.quorum import PreVoteCall, TransferCall, majority
from dappledrum.election.terms import LEADER_KEY, Term
from dappledrum.election.transfers import PendingTransfer, TransferLimit
from dappledrum.election.voter import LEASE_GRANT_DURATION, Voter
from dappledrum.store.client import (
    CompactedError,
    ConflictError,
    LeaseLostError,
    StoreError,
    raw,
)
from dappledrum.store.hedged_commit import commit_or_find
from dappledrum.store.messages import Event, Guard, Put
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import ZERO, longer
from dappledrum.timing.supervisor import Supervisor

log = logging.getLogger(__name__)

EPOCH_KEY = "epoch"
#: How long a leader waits for its successor to say that it leads, before it ends its own lease.
TRANSFER_TIMEOUT = timedelta(seconds=1.5)
#: How long a candidate waits for the answers of a majority at the most.
PRE_VOTE_TIMEOUT = timedelta(milliseconds=400)
FORMER_LEADER_CHECK_INTERVAL = timedelta(milliseconds=500)


class Elector:
    """Stands for leader when there is none; renews while leading; knows who leads."""

    def __init__(
        self, lease_keeper: LeaseKeeper, ask_pre_vote: PreVoteCall, send_transfer: TransferCall
    ) -> None:
        self.lease_keeper = lease_keeper
        self.member = lease_keeper.member
        self.store = lease_keeper.store
        self.clock = lease_keeper.clock
        self.rng = lease_keeper.rng
        self.lease_ttl = lease_keeper.lease_ttl
        self.ask_pre_vote = ask_pre_vote
        self.send_transfer = send_transfer
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.voter = Voter(self.clock.now())
        self.no_campaign_before = ZERO
        self.epoch = 0  # the highest that was heard of
        self.transfers = TransferLimit(self.clock)
        #: How long this controller lets a better one stand first; asked once for each vacancy.
        self.candidacy_delay: Callable[[], timedelta] = lambda: ZERO
        self._delayed = False
        #: The last moment at which this process, or one before it, may have answered a worker.
        self.last_possible_answer_at = self.clock.now()
        self._pending_transfer: PendingTransfer | None = None
        self._transfer_arrived = asyncio.Event()

    def leading_term(self) -> Term | None:
        """The running term, if this controller may give commands at this moment."""
        term = self.term
        if term is None or term.ended.is_set() or self.clock.now() >= term.lease_valid_until:
            return None
        return term

    def valid_term(self) -> Term | None:
        """The running term, if leases may at least be renewed: by the lease, or by the promises of
        peers."""
        term = self.term
        return term if term is not None and self.lease_keeper.holds(term) else None

    def answering_term(self) -> Term | None:
        """The running term, if a worker may be answered at this moment, which renews its lease.

        Invariant: nobody answers later than `max_cancellations_age` after a moment up to which it
        has read every confirmed cancellation. The tasks of later ones end with the worker's lease.
        """
        term = self.valid_term()
        return None if term is None or term.cancellations_known_at is None else term

    def no_answers_for(self) -> timedelta:
        """For how long nobody can have been answered by a term of this controller."""
        return ZERO if self.term is not None else self.clock.now() - self.last_possible_answer_at

    def skip_restart_wait(self) -> None:
        """Every other controller has told that it holds no term, asked after this process began.

        A promise of an earlier process can only serve a term that has been held without a break
        since before that, so none is left that rests on one, and there is nothing to wait for.
        """
        if self.voter.restart_wait_until > self.clock.now():
            log.info("nobody relies on a promise from before, standing at once")
            self.voter.restart_wait_until = self.clock.now()

    def resign(self, why: str, avoid: timedelta) -> None:
        """Give leadership up and don't stand again for a while."""
        self.no_campaign_before = self.clock.now() + avoid
        self.transfers.note()
        if self.term is not None:
            log.warning("resigning: %s", why)
            self.term.ended.set()

    def may_transfer(self) -> bool:
        """Whether leadership may be handed over now, by the bound on how often."""
        term = self.term
        return (
            term is not None and not term.ended.is_set() and self.transfers.allow(term.started_at)
        )

    def transfer_leadership(self, member: str, why: str) -> None:
        """Stop acting for good, then name a successor, which need not wait for the lease.

        The order matters: nothing may be answered once the successor can lead.
        """
        term = self.valid_term()
        if term is not None:
            log.warning("handing over to %s: %s", member, why)
            term.successor = member
            term.ended.set()

    async def accept_leadership(self, request: TransferLeadership) -> bool:
        """A leader has stopped and names this controller; whether it leads now."""
        if self.term is not None or self._pending_transfer is not None:
            return False
        transfer = self._pending_transfer = PendingTransfer(request)
        self._transfer_arrived.set()
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT.total_seconds()):
                return await transfer.leads
        except TimeoutError:
            return False
        finally:
            if self._pending_transfer is transfer:
                self._pending_transfer = None
                self._transfer_arrived.clear()

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
        """Look who leads; take over when nobody does, else wait for a change."""
        entries, revision = await self.store.scan(LEADER_KEY, RequestPriority.LEASE)
        holder = next((e for e in entries if e.key == LEADER_KEY), None)
        if holder is None:
            self._learn(None)
            if await self._may_campaign():
                await self._campaign()
            return
        self._delayed = False
        version = holder.version
        self._learn(msgspec.json.decode(holder.value, type=LeaderRecord))
        await self._end_own_lease(version)
        while True:
            try:
                seen = await self._watch(revision)
            except CompactedError:
                return
            if seen is None:
                await self._accept(version)
                return
            events, revision = seen
            for event in events:
                if event.put == LEADER_KEY:
                    version = event.version  # a key that is handed over is replaced, not removed
                    self._learn(msgspec.json.decode(event.value, type=LeaderRecord))
                    await self._end_own_lease(version)
                elif event.delete == LEADER_KEY:
                    return

    async def _end_own_lease(self, version: int) -> None:
        """End the hold of a key with this controller's own name, under which it does not lead.

        A process begins when the one before it under its name is gone, so that one answers nobody
        any more, and its key only keeps others from standing until its hold is over. The same goes
        for an election whose outcome this process never learned. What was sent under the key
        before is guarded by its version, a renewal finds no hold, and an answer on its way is
        older than whatever its successor assumes (docs/design.md, "Immediate restarts").
        """
        if self.leader is None or self.leader.member != self.member or self.term is not None:
            return
        entry = await self.store.get(LEADER_KEY, RequestPriority.LEASE)
        if entry is not None and entry.version == version and entry.lease is not None:
            epoch = self.leader.epoch
            log.warning("ending the hold of epoch %d, under which nobody leads any more", epoch)
            await self._drop(entry.lease)

    async def _watch(self, revision: int) -> tuple[list[Event], int] | None:
        """Changes of the leader's key; None when a leader has offered its place meanwhile."""
        watch = asyncio.ensure_future(
            self.store.watch(LEADER_KEY, revision, self.lease_ttl * 2, RequestPriority.LEASE)
        )
        transfer_arrives = asyncio.ensure_future(self._transfer_arrived.wait())
        try:
            await asyncio.wait((watch, transfer_arrives), return_when=asyncio.FIRST_COMPLETED)
            return None if transfer_arrives.done() else await watch
        finally:
            transfer_arrives.cancel()
            watch.cancel()

    async def _accept(self, seen: int) -> None:
        """Stand in the place of a leader that has stopped, if its key is still as it says."""
        transfer = self._pending_transfer
        if transfer is None:
            return
        try:
            if transfer.request.version == seen:
                await self._campaign(transfer)
        finally:
            transfer.resolve(False)

    def _learn(self, leader: LeaderRecord | None) -> None:
        if leader is not None:
            self.epoch = max(self.epoch, leader.epoch)
        if leader != self.leader:
            self.leader = leader
            self.on_change()

    async def _may_campaign(self) -> bool:
        now = self.clock.now()
        wait = max(self.voter.campaign_allowed_at(), self.no_campaign_before) - now
        if wait > ZERO:
            await asyncio.sleep(min(wait, timedelta(seconds=0.5)).total_seconds())
            return False
        if not self._delayed:
            self._delayed = True
            wait = self.candidacy_delay()
            if wait > ZERO:
                await asyncio.sleep(wait.total_seconds())
                return False
        return True

    async def _campaign(self, transfer: PendingTransfer | None = None) -> None:
        """Take the key, when there is none or in the place of the leader that offers it, and lead
        until the term is over."""
        term = await self._win(transfer)
        if term is None:
            return
        self.term = term
        self._learn(LeaderRecord(self.member, term.epoch))
        self.on_change()
        if transfer is not None:
            self.transfers.take_over(transfer.request.moves_ms)
            transfer.resolve(True)
        clearing = asyncio.ensure_future(self._learn_others_stopped(term))
        try:
            await self.lease_keeper.keep(term)
        finally:
            clearing.cancel()
            term.ended.set()
            self.term = None
            self.last_possible_answer_at = self.clock.now()
            self._learn(None)
            self.on_change()
            log.warning("no longer leading with epoch %d", term.epoch)
        if term.successor is not None:
            await self._offer(term, term.successor)
        await self._drop(term.lease)

    async def _win(self, transfer: PendingTransfer | None) -> Term | None:
        """Stand for leader; the term, or None when another one leads or may do so."""
        entry = await self.store.get(EPOCH_KEY, RequestPriority.LEASE)
        epoch = (
            msgspec.json.decode(entry.value, type=EpochRecord).epoch if entry is not None else 0
        )
        if transfer is not None and transfer.request.epoch != epoch:
            return None
        if (
            transfer is None
            and await self.store.get(LEADER_KEY, RequestPriority.LEASE) is not None
        ):
            return None  # taken between the look and the epoch: nobody may be asked to stand
        lease = await self.store.open_lease(self.lease_ttl)
        # Whoever offers its place and knew that it alone could answer is the only one that can
        # have answered anybody; its key stands, so whom this controller has promised has lapsed.
        if transfer is not None and transfer.request.clear:
            clear: timedelta | None = self.clock.now()
        else:
            clear = await self._others_stopped(epoch + 1)
            if self.voter.campaign_allowed_at() > self.clock.now():
                await self._drop(lease)  # a promise was given while we were reading
                return None
        self.voter.campaigned_against_epoch = epoch
        sent = self.clock.now()
        replaced = transfer.request.version if transfer is not None else 0
        guards = [
            Guard(LEADER_KEY, replaced),
            Guard(EPOCH_KEY, entry.version if entry is not None else 0),
        ]
        changes = [
            Put(LEADER_KEY, raw(LeaderRecord(self.member, epoch + 1)), lease),
            Put(EPOCH_KEY, raw(EpochRecord(epoch + 1))),
        ]
        try:
            version = await commit_or_find(
                self.store,
                guards,
                changes,
                RequestPriority.LEASE,
                lambda: self._won(lease),
                self.lease_ttl / 2,
            )
        except (ConflictError, LeaseLostError):
            await self._drop(lease)
            return None
        except StoreError:
            # Won or not, nobody knows: without its lease the key can't stay.
            await self._drop(lease)
            raise
        # The lease was opened before the transaction, so only a renewal tells how long it lasts.
        term = Term(epoch + 1, version, lease, self.clock.now())
        term.others_stopped_at = clear
        try:
            await self.lease_keeper.renew(term)
        except StoreError:
            await self._drop(lease)
            raise
        took = (self.clock.now() - sent).total_seconds() * 1e3
        log.warning("leading with epoch %d after %.0f ms", term.epoch, took)
        return term

    async def _offer(self, term: Term, successor: str) -> None:
        """Offer the key of a term that has ended to a successor, until it leads or refuses."""
        clear = term.others_stopped_at is not None
        transfers = [*self.transfers.ages_ms(), 0]
        request = TransferLeadership(self.member, term.epoch, term.version, transfers, clear)
        leads = await self.send_transfer(successor, request, TRANSFER_TIMEOUT)
        log.info("%s %s", successor, "leads" if leads else "does not lead, standing down")

    async def _won(self, lease: int) -> int | None:
        """The version of the leader's key if it hangs on this lease, which only one transaction of
        this process names; the key's content alone may be that of an earlier process."""
        entry = await self.store.get(LEADER_KEY, RequestPriority.LEASE)
        return entry.version if entry is not None and entry.lease == lease else None

    async def _others_stopped(self, epoch: int) -> timedelta | None:
        """The moment from which no former leader can go on for promises, by the word of a
        majority; None when that many could not tell, or did not say so.

        A peer that does not know the question shows that only the promise of *all* counts, and
        this controller has given none that stands.
        """
        if not self.voter.pre_vote(epoch, self.clock.now(), False).free:
            return None
        answers = await self.ask_pre_vote(PreVote(self.member, epoch), PRE_VOTE_TIMEOUT)
        if answers.old or majority(answers.yes, answers.asked):
            return self.clock.now()
        return None

    async def _learn_others_stopped(self, term: Term) -> None:
        """Ask on until it is known, or until every promise must have lapsed all the same."""
        at_last = term.started_at + longer(
            self.lease_keeper.max_time_on_majority_grants + LEASE_GRANT_DURATION
        )
        while term.others_stopped_at is None:
            if self.clock.now() >= at_last:
                term.others_stopped_at = at_last
                return
            await asyncio.sleep(FORMER_LEADER_CHECK_INTERVAL.total_seconds())
            term.others_stopped_at = await self._others_stopped(term.epoch)
            if term.others_stopped_at is not None:
                log.info("no former leader answers any more, by the word of a majority")

    def grant_lease(self, request: LeaseGrantRequest) -> LeaseGrantReply:
        """Answer a leader that can't reach the store, and which this controller can't
        reach either."""
        leads, now = self.term is not None, self.clock.now()
        reply = self.voter.grant_lease(request, now, leads, self.epoch)
        confirmed = self.lease_keeper.confirmed(timedelta(milliseconds=request.confirmed_span_ms))
        reply.cancelled = sorted(confirmed.cancelled)
        reply.confirmed_span_ms = int(confirmed.span.total_seconds() * 1000)
        return reply

    def pre_vote(self, question: PreVote) -> PreVoteReply:
        """Answer a candidate."""
        leads = self.term is not None and self.term.epoch != question.epoch
        return self.voter.pre_vote(question.epoch, self.clock.now(), leads)

    async def _drop(self, lease: int) -> None:
        try:
            await self.store.close_lease(lease)
        except StoreError as error:
            log.info("lease not ended, it will run out: %s", error)
