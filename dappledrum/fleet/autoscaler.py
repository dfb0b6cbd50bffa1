"""Loops that rent and return machines until the fleet is as the plans want it."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta

from dappledrum.fleet.boot_times import BootTimes, PendingBoot
from dappledrum.fleet.cloud_client import CloudClient, CloudError, NoCapacityError
from dappledrum.fleet.messages import ListedMachine, MachineType, RentalRequest
from dappledrum.recovery.return_times import expected_heartbeat_in
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.settings import Params
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.fault_log import FaultLog
from dappledrum.workers.machine_registry import Machine, MachineRegistry
from dappledrum.workers.reconciler import Reconciler

log = logging.getLogger(__name__)

BOOTS_IN_INTERVAL = 2
MAX_RENTALS = 50
RECLAIM_GRACE = timedelta(seconds=1)  # after the moment named in a spot notice
MAX_RETURNS = 100
MIN_KIND_COOLDOWN = timedelta(seconds=8)
MAX_KIND_COOLDOWN = timedelta(seconds=30)
SLOW_BOOT_RATIO = 2.0  # times the catalog's figure, from which on slow boots are logged
SLOW_NO_MORE = 1.5
#: Beyond a lease: machines have sent heartbeats to a new leader by then.
INTRODUCED = timedelta(seconds=20)


class Autoscaler:
    """Manages the rented machines for one term of leadership."""

    def __init__(
        self,
        cloud: CloudClient,
        registry: MachineRegistry,
        reconciler: Reconciler,
        params: Params,
        clock: Clock,
        epoch: int,
        interval: timedelta,
        leading: Callable[[], bool],
        wake: Callable[[str], None],
        running_since: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        self.running_since = running_since
        self.cloud = cloud
        self.registry = registry
        self.reconciler = reconciler
        self.params = params
        self.clock = clock
        self.epoch = epoch
        self.base_interval = interval
        self.leading = leading
        self.wake = wake
        self.boots = BootTimes()
        self.slow: set[InstanceKind] = set()  # kinds whose slow boots were logged
        self.types: dict[str, MachineType] = {}
        self.wanted: dict[InstanceKind, int] = {}  # from the newest plan
        self.needed: set[str] = set()  # machines that the newest plan counts on
        self.keep_spot = False  # idle spot machines are wanted for what ordinary ones do
        self.aside: dict[
            InstanceKind, tuple[timedelta, timedelta]
        ] = {}  # until when, and for how long it was
        self.settled: dict[
            InstanceKind, timedelta
        ] = {}  # when the newest request for a kind was answered
        self.counter = 0
        self.listed = False
        self.planned = False
        self.asked = asyncio.Event()
        self.no_list = FaultLog(log, clock, "the cloud gives no machine list")

    # questions of the planner

    def offered(self, kind: InstanceKind) -> bool:
        """Whether a kind of machine can be requested now."""
        until = self.aside.get(kind)
        return until is None or self.clock.now() >= until[0]

    def interval(self, kind: InstanceKind) -> timedelta:
        """Length of a billed interval of a machine: at least some boot times, so that a machine is
        not returned just to be booted again."""
        model = self.types.get(kind.type)
        if model is None:
            return self.base_interval
        # Only truly slow boots count: with every change of what is expected the intervals moved,
        # and machines went back to be rented again.
        ratio = self.boots.ratio(kind)
        boot = model.boot * (ratio if ratio > SLOW_BOOT_RATIO else 1.0)
        return max(self.base_interval, boot * BOOTS_IN_INTERVAL)

    def ready_at(self, machine: Machine) -> timedelta:
        """When a booting machine is expected to be up, or when a machine that was up before this
        term is expected to send a heartbeat to this leader."""
        now = self.clock.now()
        if machine.kind is None:
            return now + self.base_interval
        if machine.awaiting_heartbeat:
            return now + expected_heartbeat_in(
                now - machine.seen_at, self.params.workers.heartbeat_interval
            )
        return now + self.boots.left(machine.kind, machine.rented_at, now)

    def overdue(self, machine: Machine) -> bool:
        """Whether a new machine is expected to be up sooner than this one, which may never come
        up."""
        now = self.clock.now()
        return (
            not machine.up
            and machine.kind is not None
            # A new leader hears of machines that have long been up; give them the time to send a
            # heartbeat to it.
            and now - machine.seen_at > self.params.workers.lease_duration + INTRODUCED
            and self.boots.hopeless(machine.kind, machine.rented_at, now)
        )

    def look_at_boots(self) -> None:
        """Update the boot statistics.

        Only machines that this leader has requested count. Others may have been up for long and
        away for a while; when those counted as boots of many minutes, every takeover and every
        wave of reclaims made all new machines look slow. A machine that was given up as lost does
        not count either.
        """
        now = self.clock.now()
        self.boots.nominal = {name: model.boot for name, model in self.types.items()}
        waiting = []
        for machine in self.registry:
            if machine.kind is None:
                continue
            if machine.up_at is not None and machine.asked_at is not None:
                self.boots.finished(machine.kind, machine.asked_at, machine.up_at)
                machine.asked_at = None
            elif (
                machine.asked_at is not None
                and not machine.up
                and not machine.returning
                and not self.boots.overtaken(machine.kind, machine.asked_at, now)
            ):
                waiting.append(PendingBoot(machine.kind, machine.rented_at))
        self.boots.refresh(waiting, now)
        for kind in {one.kind for one in waiting}:
            ratio = self.boots.ratio(kind)
            if ratio > SLOW_BOOT_RATIO and kind not in self.slow:
                log.warning("boots of %s take %.1f times as long as usual", kind, ratio)
                self.slow.add(kind)
        for kind in [k for k in self.slow if self.boots.ratio(k) < SLOW_NO_MORE]:
            log.warning("boots of %s take as long as usual again", kind)
            self.slow.discard(kind)

    def order(self, rentals: dict[InstanceKind, int], needed: set[str], began: timedelta) -> None:
        """Replace what is wanted by a newer plan.

        A plan that began before a request was answered does not know its result, and asks for the
        same machines again; at a busy time that rented half as many machines too many.
        """
        self.wanted = {
            kind: count
            for kind, count in rentals.items()
            if self.settled.get(kind, timedelta.min) < began
        }
        self.needed = needed
        self.planned = True
        if self.wanted:
            self.asked.set()

    # renting

    async def rent_loop(self) -> None:
        """Request what the newest plan wants, one kind at a time."""
        while True:
            await self.asked.wait()
            self.asked.clear()
            while self.wanted and self.leading():
                kind = max(self.wanted, key=lambda k: self.wanted[k])
                count = min(self.wanted.pop(kind), MAX_RENTALS)
                if count > 0 and self.offered(kind):
                    self.settled[kind] = timedelta.max
                    try:
                        await self._rent(kind, count)
                    finally:
                        self.settled[kind] = self.clock.now()

    async def _rent(self, kind: InstanceKind, count: int) -> None:
        self.counter += 1
        request = RentalRequest(
            f"r-{self.epoch}-{self.counter}", kind.type, kind.zone, kind.spot, count
        )
        sent = self.clock.now()
        try:
            names = await self.cloud.rent(request, self.leading)
        except NoCapacityError:
            self._set_aside(kind)
            self.wake("refused")
            return
        except CloudError as error:
            # It may have worked: then the machines turn up in the list, and are used or returned.
            log.warning("rental of %d %s unanswered: %s", count, kind, error)
            self.aside[kind] = (self.clock.now() + timedelta(seconds=3), timedelta(seconds=3))
            self.wake("rental failed")
            return
        log.info("rented %d of %d %s (%s)", len(names), count, kind, ", ".join(names))
        for name in names:
            if name not in self.registry.terminated:
                machine = self.registry.ensure(name, kind, sent)
                machine.rented_at = sent
                if not machine.up:
                    machine.asked_at = sent
        if len(names) < count:
            self._set_aside(kind)
        else:
            self.aside.pop(kind, None)
        self.wake("rented")

    def _set_aside(self, kind: InstanceKind) -> None:
        _, before = self.aside.get(kind, (ZERO, ZERO))
        span = min(max(before * 2, MIN_KIND_COOLDOWN), MAX_KIND_COOLDOWN)
        self.aside[kind] = (self.clock.now() + span, span)
        log.info("no more %s for now, set aside for %.0f s", kind, span.total_seconds())

    # returning

    async def return_loop(self) -> None:
        """Return machines that are overdue, failed, drained, or idle at the end of an interval."""
        while True:
            await asyncio.sleep(0.5)
            if not self.leading():
                continue
            self.look_at_boots()
            self._select_returns()
            names = [m.name for m in self.registry if m.returning][:MAX_RETURNS]
            if not names:
                continue
            try:
                await self.cloud.return_machines(names, self.leading)
            except CloudError as error:
                log.warning("return of %d machines unanswered: %s", len(names), error)
                await asyncio.sleep(1)
                continue
            self._remove_returned(names)

    def _select_returns(self) -> None:
        """Mark the machines that are to be returned."""
        for machine in self.registry:
            why = None if machine.returning else self._why_return(machine)
            if why is not None:
                log.info("returning %s: %s", machine.name, why)
                machine.returning = True
                if not machine.up:
                    self.boots.given_up(self.clock.now())

    def _remove_returned(self, names: list[str]) -> None:
        """Remove machines whose return the cloud has confirmed."""
        for name in names:
            machine = self.registry.get(name)
            if machine is None:
                continue
            if machine.kind is not None:
                # What has just been returned can be rented again.
                self.aside.pop(machine.kind, None)
            self.reconciler.remove_returned(machine)

    def _why_return(  # noqa: PLR0911 - one reason a line, in the order that counts
        self, machine: Machine
    ) -> str | None:
        """Why a machine is returned; None: it is kept."""
        now = self.clock.now()
        if machine.failed:
            return "it stopped on its own"
        if machine.reclaim_at is not None and now > machine.reclaim_at + RECLAIM_GRACE:
            # The answer proves that all on it is gone, a lease earlier than silence does.
            return "it was to be taken by now"
        if machine.placements:
            return None
        if self.overdue(machine):
            return "it does not come up, and a new one is expected sooner"
        lease = self.params.workers.lease_duration
        if (
            machine.up
            and machine.expired(now, lease + timedelta(seconds=20))
            and now - self.running_since() > lease
            and self._connected(now)
        ):
            return "it is silent"
        if machine.draining and machine.up:
            return "it is unhealthy"
        if machine.retiring and machine.up:
            return "it has no work that it is needed for"
        if not machine.up or not self.planned or machine.name in self.needed:
            return None
        spared = self.keep_spot and machine.kind is not None and machine.kind.spot
        if spared and not machine.reachability.unreachable:
            return None
        interval = self.interval(machine.kind) if machine.kind is not None else self.base_interval
        left = interval - (now - machine.rented_at) % interval
        return "it is idle at the end of its interval" if left <= timedelta(seconds=1) else None

    def _connected(self, now: timedelta) -> bool:
        """Whether heartbeats of most machines arrive, so that the fault is not on this side if one
        is silent."""
        up = [m for m in self.registry if m.up]
        since = self.running_since()
        heard = sum(not m.silent(now, self.params.workers.heartbeat_interval, since) for m in up)
        return heard * 2 > len(up)

    # watching

    async def list_loop(self) -> None:
        """Compare the known machines with the list of the cloud, which lags behind."""
        pause = max(self.params.cloud.list_lag / 2, timedelta(seconds=3))
        while True:
            if self.leading():
                try:
                    self._reconcile(await self.cloud.machines())
                    self.no_list.recovered()
                except CloudError as error:
                    self.no_list.failed(str(error))
            await asyncio.sleep(pause.total_seconds())

    def _reconcile(self, listed: list[ListedMachine]) -> None:
        now = self.clock.now()
        for item in listed:
            if item.id in self.registry.terminated:
                continue
            machine = self.registry.get(item.id)
            if machine is None:
                log.info("%s is in the list (%s), taken on", item.id, item.state)
                machine = self.registry.ensure(item.id, None, now)
            if machine.listed_at is None and machine.rented_at == machine.seen_at:
                machine.rented_at = min(machine.rented_at, now - timedelta(seconds=item.age_s))
            if machine.kind is None:
                machine.kind = InstanceKind(item.type, item.zone, item.spot)
            machine.listed_at = now
            machine.unconfirmed = False
            machine.failed |= item.state == "failed"
            machine.listed_up |= item.state == "running"
        if not self.listed:
            self.listed = True
            self.wake("first list")
        stale = 3 * self.params.cloud.list_lag + timedelta(seconds=10)
        for machine in self.registry:
            known = machine.listed_at if machine.listed_at is not None else machine.rented_at
            unheard = machine.last_heartbeat is None or now - machine.last_heartbeat > stale
            if machine.returning or machine.placements or now - known <= stale or not unheard:
                continue
            if machine.listed_at is None and not machine.up:
                continue  # it may yet be listed, however far the list lags; see `overdue`
            # The list may lag by more than ever, so only the cloud's own word that the name is
            # returned says that it is gone: dropped on its absence alone, a machine would be paid
            # for and never be used.
            log.info("returning %s: it is not in the list any more", machine.name)
            machine.returning = True

    async def catalog_loop(self) -> None:
        """Keep the prices up to date."""
        while True:
            await asyncio.sleep(30)
            try:
                self.types = {t.name: t for t in await self.cloud.catalog()}
            except CloudError as error:
                log.info("no catalog: %s", error)
