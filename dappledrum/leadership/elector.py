"""Taking, keeping and leaving leadership.

The key `leader` hangs on a lease. Taking it is one transaction that also raises `epoch`; the epoch
is the token under which commands are given, and the version of `leader` guards every write of the
leader. By its own clock the leader stops acting before its lease can end: the lease is counted
from the moment the renewal was *sent*, and shortened by the drift that the protocol allows.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from dappledrum.clock import ZERO, Clock, longer, shorter
from dappledrum.leadership.messages import EpochRecord, LeaderRecord, PromiseReply, PromiseRequest
from dappledrum.state.budget import Rank
from dappledrum.state.client import (
    CompactedError,
    ConflictError,
    LeaseLostError,
    State,
    StateError,
    raw,
)
from dappledrum.state.messages import Guard, Put

log = logging.getLogger(__name__)

LEADER = "leader"
EPOCH = "epoch"
MARGIN = timedelta(milliseconds=100)
PROMISE = timedelta(seconds=2)

Asker = Callable[[PromiseRequest, timedelta], Awaitable[bool]]


class Term:
    """One period of leadership."""

    def __init__(self, epoch: int, version: int, lease: int) -> None:
        self.epoch = epoch
        self.version = version
        self.lease = lease
        self.valid_until = ZERO  # by the lease
        self.promised_until = ZERO  # by the promise of all peers
        self.over = asyncio.Event()

    def guard(self) -> Guard:
        """Condition under which a write of this leader may happen."""
        return Guard(LEADER, self.version)


class Elector:
    """Stands for leader when there is none; renews while leading; knows who leads."""

    def __init__(
        self,
        member: str,
        state: State,
        clock: Clock,
        rng: random.Random,
        life: timedelta,
        ask_peers: Asker,
    ) -> None:
        self.member = member
        self.state = state
        self.clock = clock
        self.rng = rng
        self.life = life
        self.ask_peers = ask_peers
        self.term: Term | None = None
        self.leader: LeaderRecord | None = None
        self.on_change: Callable[[], None] = lambda: None
        self.stand_after = clock.now()  # what this process has promised
        # An earlier process of this member may have promised something that this one does not know
        # of.
        self.unknown_until = clock.now() + longer(PROMISE)
        self.avoid_until = ZERO
        self.tried_epoch: int | None = None

    def leading(self) -> Term | None:
        """The running term, if this controller may give commands at this moment."""
        term = self.term
        if term is None or term.over.is_set() or self.clock.now() >= term.valid_until:
            return None
        return term

    def holding(self) -> Term | None:
        """The running term, if leases may at least be renewed: by the lease, or by the promise of
        all peers."""
        term = self.term
        if term is None or term.over.is_set():
            return None
        return term if self.clock.now() < max(term.valid_until, term.promised_until) else None

    def nobody_holds(self) -> None:
        """Every other controller has told that it holds no term, asked after this process began.

        A promise of an earlier process can only serve a term that has been held without a break
        since before that, so none is left that rests on one, and there is nothing to wait for.
        """
        if self.unknown_until > self.clock.now():
            log.info("nobody relies on a promise from before, standing at once")
            self.unknown_until = self.clock.now()

    def resign(self, why: str, avoid: timedelta) -> None:
        """Give leadership up and don't stand again for a while."""
        self.avoid_until = self.clock.now() + avoid
        if self.term is not None:
            log.warning("resigning: %s", why)
            self.term.over.set()

    async def run(self) -> None:
        """Follow or lead, for ever."""
        while True:
            try:
                await self._round()
            except StateError as error:
                log.debug("state service not reached for leadership: %s", error)
                await asyncio.sleep(self.rng.uniform(0.2, 0.5))
            except Exception:  # the loop must outlive whatever a service answers
                log.exception("leadership loop failed, going on")
                await asyncio.sleep(1)

    async def _round(self) -> None:
        """Look who leads; take over when nobody does, else wait for a change."""
        entries, revision = await self.state.scan(LEADER, Rank.LEASE)
        holder = next((e for e in entries if e.key == LEADER), None)
        if holder is None:
            self._learn(None)
            if await self._may_stand():
                await self._stand()
            return
        self._learn(msgspec.json.decode(holder.value, type=LeaderRecord))
        while True:
            try:
                events, revision = await self.state.watch(
                    LEADER, revision, self.life * 2, Rank.LEASE
                )
            except CompactedError:
                return
            for event in events:
                if event.put == LEADER:
                    self._learn(msgspec.json.decode(event.value, type=LeaderRecord))
                elif event.delete == LEADER:
                    return

    def _learn(self, leader: LeaderRecord | None) -> None:
        if leader != self.leader:
            self.leader = leader
            self.on_change()

    async def _may_stand(self) -> bool:
        now = self.clock.now()
        wait = max(self.stand_after, self.unknown_until, self.avoid_until) - now
        if wait > ZERO:
            await asyncio.sleep(min(wait, timedelta(seconds=0.5)).total_seconds())
            return False
        return True

    async def _stand(self) -> None:
        entry = await self.state.get(EPOCH, Rank.LEASE)
        epoch = (
            msgspec.json.decode(entry.value, type=EpochRecord).epoch if entry is not None else 0
        )
        lease = await self.state.open_lease(self.life)
        if max(self.stand_after, self.unknown_until) > self.clock.now():
            await self._drop(lease)  # a promise was given while we were reading
            return
        self.tried_epoch = epoch
        sent = self.clock.now()
        guards = [Guard(LEADER, 0), Guard(EPOCH, entry.version if entry is not None else 0)]
        changes = [
            Put(LEADER, raw(LeaderRecord(self.member, epoch + 1)), lease),
            Put(EPOCH, raw(EpochRecord(epoch + 1))),
        ]
        try:
            version = await self.state.commit(guards, changes, Rank.LEASE, timeout=self.life / 2)
        except (ConflictError, LeaseLostError):
            await self._drop(lease)
            return
        except StateError:
            # Won or not, nobody knows: without its lease the key can't stay.
            await self._drop(lease)
            raise
        # The lease was opened before the transaction, so only a renewal tells how long it lasts.
        term = Term(epoch + 1, version, lease)
        try:
            await self._renew(term)
        except StateError:
            await self._drop(lease)
            raise
        log.warning(
            "leading with epoch %d after %.0f ms",
            term.epoch,
            (self.clock.now() - sent).total_seconds() * 1e3,
        )
        self.term = term
        self._learn(LeaderRecord(self.member, term.epoch))
        self.on_change()
        try:
            await self._keep(term)
        finally:
            term.over.set()
            self.term = None
            self._learn(None)
            self.on_change()
            log.warning("no longer leading with epoch %d", term.epoch)
        await self._drop(lease)

    async def _renew(self, term: Term) -> None:
        sent = self.clock.now()
        await self.state.renew_lease(term.lease, self.life / 3)
        term.valid_until = max(term.valid_until, sent + shorter(self.life) - MARGIN)

    async def _keep(self, term: Term) -> None:
        """Renew until the lease is lost.

        While the state service is away, ask all peers to keep still.
        """
        while not term.over.is_set():
            try:
                await self._renew(term)
                pause = self.life / 4
            except LeaseLostError:
                return
            except StateError as error:
                log.debug("renewal failed: %s", error)
                await self._ask(term)
                pause = self.life / 12
            if self.holding() is None:
                return
            with_jitter = pause * self.rng.uniform(0.9, 1.1)
            try:
                async with asyncio.timeout(with_jitter.total_seconds()):
                    await term.over.wait()
            except TimeoutError:
                pass

    async def _ask(self, term: Term) -> None:
        sent = self.clock.now()
        request = PromiseRequest(self.member, term.epoch, int(PROMISE.total_seconds() * 1000))
        # Still entitled when asking and when told: a lapsed term is never taken up again on a
        # promise.
        if await self.ask_peers(request, self.life / 4) and self.holding() is not None:
            term.promised_until = sent + shorter(PROMISE) - MARGIN

    def promise(self, request: PromiseRequest) -> PromiseReply:
        """Answer a leader that can't reach the state service, and which this controller can't
        reach either.

        Refused when it leads itself, or when it has stood against this epoch: its transaction may
        still be applied.
        """
        now = self.clock.now()
        if self.term is not None:
            return PromiseReply(False, "leading")
        if self.tried_epoch is not None and self.tried_epoch >= request.epoch:
            return PromiseReply(False, "stood already")
        if self.leader is not None and self.leader.epoch > request.epoch:
            return PromiseReply(False, "newer leader known")
        until = now + longer(timedelta(milliseconds=min(request.for_ms, 60_000)))
        self.stand_after = max(self.stand_after, until)
        return PromiseReply(True)

    async def _drop(self, lease: int) -> None:
        try:
            await self.state.close_lease(lease)
        except StateError as error:
            log.info("lease not ended, it will run out: %s", error)
