"""Rents and returns machines so that the fleet matches the newest plan."""

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

BOOT_TIMES_PER_INTERVAL = 2  # minimum length of a billed interval, in boot times
MAX_RENTALS = 50
RECLAIM_GRACE = timedelta(seconds=1)  # after the time given in a reclaim notice
MAX_RETURNS = 100
MIN_KIND_COOLDOWN = timedelta(seconds=8)
MAX_KIND_COOLDOWN = timedelta(seconds=30)
SLOW_BOOT_RATIO = 2.0  # multiple of the catalog's boot time above which boots are logged as slow
NORMAL_BOOT_RATIO = 1.5  # multiple below which boots are logged as normal again
#: Time after a lease by which all machines have sent heartbeats to a new leader.
NEW_LEADER_GRACE = timedelta(seconds=20)


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
        may_command: Callable[[], bool],
        request_plan: Callable[[str], None],
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
        self.may_command = may_command
        self.request_plan = request_plan
        self.boots = BootTimes()
        self.slow_kinds: set[InstanceKind] = set()  # kinds whose slow boots were logged
        self.types: dict[str, MachineType] = {}
        self.wanted: dict[InstanceKind, int] = {}  # from the newest plan
        self.needed: set[str] = set()  # machines that the newest plan uses
        self.keep_spot = False  # idle spot machines are kept for work that on-demand ones do now
        #: End and length of the cooldown of each kind that was refused.
        self.cooldowns: dict[InstanceKind, tuple[timedelta, timedelta]] = {}
        #: When the newest request for each kind was answered.
        self.answered_at: dict[InstanceKind, timedelta] = {}
        self.request_count = 0
        self.listed = False  # whether the cloud's list was read in this term
        self.planned = False  # whether a plan was received in this term
        self.rentals_wanted = asyncio.Event()
        self.list_fault_log = FaultLog(log, clock, "machine list of the cloud not read")

    # queries of the planner

    def offered(self, kind: InstanceKind) -> bool:
        """Whether a kind of machine can be requested now, that is, has no cooldown."""
        cooldown = self.cooldowns.get(kind)
        return cooldown is None or self.clock.now() >= cooldown[0]

    def interval(self, kind: InstanceKind) -> timedelta:
        """Length of a billed interval of a kind of machine.

        It is at least `BOOT_TIMES_PER_INTERVAL` boot times, so that a machine is not returned only
        to be booted again.
        """
        machine_type = self.types.get(kind.type)
        if machine_type is None:
            return self.base_interval
        # Ratios up to SLOW_BOOT_RATIO are ignored: otherwise intervals shifted with each new
        # estimate, and machines were returned only to be rented again.
        ratio = self.boots.ratio(kind)
        boot = machine_type.boot * (ratio if ratio > SLOW_BOOT_RATIO else 1.0)
        return max(self.base_interval, boot * BOOT_TIMES_PER_INTERVAL)

    def ready_at(self, machine: Machine) -> timedelta:
        """When a machine is expected to send its first heartbeat to this leader, after booting or,
        if it was up before this term, after it has found the leader."""
        now = self.clock.now()
        if machine.kind is None:
            return now + self.base_interval
        if machine.awaiting_heartbeat:
            return now + expected_heartbeat_in(
                now - machine.seen_at, self.params.workers.heartbeat_interval
            )
        return now + self.boots.remaining(machine.kind, machine.rented_at, now)

    def overdue(self, machine: Machine) -> bool:
        """Whether a replacement is expected to be up sooner than this machine, which may never be
        up."""
        now = self.clock.now()
        return (
            not machine.up
            and machine.kind is not None
            # Machines that were up before this term need time to send a heartbeat to this leader.
            and now - machine.seen_at > self.params.workers.lease_duration + NEW_LEADER_GRACE
            and self.boots.should_replace(machine.kind, machine.rented_at, now)
        )

    def update_boot_times(self) -> None:
        """Update the boot statistics.

        Only machines that this leader has requested count. Others may have been up for a long
        time and unreachable for a while. When they counted as boots of many minutes, all new
        machines were expected to be slow after every change of leader and every wave of reclaims.
        A machine that was given up as lost does not count either.
        """
        now = self.clock.now()
        self.boots.nominal = {name: machine_type.boot for name, machine_type in self.types.items()}
        waiting = []
        for machine in self.registry:
            if machine.kind is None:
                continue
            if machine.up_at is not None and machine.asked_at is not None:
                self.boots.record_completed(machine.kind, machine.asked_at, machine.up_at)
                machine.asked_at = None
            elif (
                machine.asked_at is not None
                and not machine.up
                and not machine.returning
                and not self.boots.is_overtaken(machine.kind, machine.asked_at, now)
            ):
                waiting.append(PendingBoot(machine.kind, machine.rented_at))
        self.boots.set_pending(waiting, now)
        for kind in {pending.kind for pending in waiting}:
            ratio = self.boots.ratio(kind)
            if ratio > SLOW_BOOT_RATIO and kind not in self.slow_kinds:
                log.warning(
                    "boots are slow: %.1f times the usual time, type=%s zone=%s spot=%s",
                    ratio,
                    *kind,
                )
                self.slow_kinds.add(kind)
        for kind in [k for k in self.slow_kinds if self.boots.ratio(k) < NORMAL_BOOT_RATIO]:
            log.warning("boots are no longer slow: type=%s zone=%s spot=%s", *kind)
            self.slow_kinds.discard(kind)

    def order(self, rentals: dict[InstanceKind, int], needed: set[str], began: timedelta) -> None:
        """Replace the wanted rentals and needed machines by those of a newer plan.

        Rentals of a kind are ignored if the plan began before the last request for that kind was
        answered: such a plan does not know the result and requests the same machines again. Under
        load, that rented half as many machines too many.
        """
        self.wanted = {
            kind: count
            for kind, count in rentals.items()
            if self.answered_at.get(kind, timedelta.min) < began
        }
        self.needed = needed
        self.planned = True
        if self.wanted:
            self.rentals_wanted.set()

    # renting

    async def rent_loop(self) -> None:
        """Request the machines that the newest plan wants, one kind at a time."""
        while True:
            await self.rentals_wanted.wait()
            self.rentals_wanted.clear()
            while self.wanted and self.may_command():
                kind = max(self.wanted, key=lambda k: self.wanted[k])
                count = min(self.wanted.pop(kind), MAX_RENTALS)
                if count > 0 and self.offered(kind):
                    self.answered_at[kind] = timedelta.max
                    try:
                        await self._rent(kind, count)
                    finally:
                        self.answered_at[kind] = self.clock.now()

    async def _rent(self, kind: InstanceKind, count: int) -> None:
        self.request_count += 1
        request = RentalRequest(
            f"r-{self.epoch}-{self.request_count}", kind.type, kind.zone, kind.spot, count
        )
        sent_at = self.clock.now()
        try:
            names = await self.cloud.rent(request, self.may_command)
        except NoCapacityError:
            self._start_cooldown(kind)
            self.request_plan("refused")
            return
        except CloudError as error:
            # The request may have been executed; the list then shows the machines, and they are
            # used or returned.
            log.warning(
                "rental not confirmed: %s, count=%d type=%s zone=%s spot=%s", error, count, *kind
            )
            self.cooldowns[kind] = (self.clock.now() + timedelta(seconds=3), timedelta(seconds=3))
            self.request_plan("rental failed")
            return
        log.info(
            "rented machines: count=%d requested=%d type=%s zone=%s spot=%s, %s",
            len(names),
            count,
            *kind,
            ", ".join(names),
        )
        for name in names:
            if name not in self.registry.terminated:
                machine = self.registry.ensure(name, kind, sent_at)
                machine.rented_at = sent_at
                if not machine.up:
                    machine.asked_at = sent_at
        if len(names) < count:
            self._start_cooldown(kind)
        else:
            self.cooldowns.pop(kind, None)
        self.request_plan("rented")

    def _start_cooldown(self, kind: InstanceKind) -> None:
        _, previous_length = self.cooldowns.get(kind, (ZERO, ZERO))
        length = min(max(previous_length * 2, MIN_KIND_COOLDOWN), MAX_KIND_COOLDOWN)
        self.cooldowns[kind] = (self.clock.now() + length, length)
        log.info(
            "no capacity: type=%s zone=%s spot=%s, not requested for %.0f s",
            *kind,
            length.total_seconds(),
        )

    # returning

    async def return_loop(self) -> None:
        """Return machines that failed, are overdue or silent, or idle as their interval ends."""
        while True:
            await asyncio.sleep(0.5)
            if not self.may_command():
                continue
            self.update_boot_times()
            self._select_returns()
            names = [m.name for m in self.registry if m.returning][:MAX_RETURNS]
            if not names:
                continue
            try:
                await self.cloud.return_machines(names, self.may_command)
            except CloudError as error:
                log.warning("return of %d machines not confirmed: %s", len(names), error)
                await asyncio.sleep(1)
                continue
            self._remove_returned(names)

    def _select_returns(self) -> None:
        """Mark the machines that are to be returned."""
        for machine in self.registry:
            reason = None if machine.returning else self._return_reason(machine)
            if reason is not None:
                log.info("returning %s: %s", machine.name, reason)
                machine.returning = True
                if not machine.up:
                    self.boots.record_given_up(self.clock.now())

    def _remove_returned(self, names: list[str]) -> None:
        """Remove machines whose return the cloud has confirmed."""
        for name in names:
            machine = self.registry.get(name)
            if machine is None:
                continue
            if machine.kind is not None:
                # The cloud has capacity for this kind again.
                self.cooldowns.pop(machine.kind, None)
            self.reconciler.remove_returned(machine)

    def _return_reason(  # noqa: PLR0911 - one reason per return, in order of precedence
        self, machine: Machine
    ) -> str | None:
        """Why a machine is to be returned; None if it is kept."""
        now = self.clock.now()
        if machine.failed:
            return "it has failed"
        if machine.reclaim_at is not None and now > machine.reclaim_at + RECLAIM_GRACE:
            # A confirmed return proves that its attempts are terminated, one lease sooner than
            # missing heartbeats do.
            return "its reclaim time has passed"
        if machine.placements:
            return None
        if self.overdue(machine):
            return "its boot is overdue, and a replacement is expected sooner"
        lease = self.params.workers.lease_duration
        if (
            machine.up
            and machine.expired(now, lease + timedelta(seconds=20))
            and now - self.running_since() > lease
            and self._connected(now)
        ):
            return "it sends no heartbeats"
        if machine.draining and machine.up:
            return "it is unhealthy"
        if machine.retiring and machine.up:
            return "it is retiring and has no tasks"
        if not machine.up or not self.planned or machine.name in self.needed:
            return None
        kept_as_spot = self.keep_spot and machine.kind is not None and machine.kind.spot
        if kept_as_spot and not machine.reachability.unreachable:
            return None
        interval = self.interval(machine.kind) if machine.kind is not None else self.base_interval
        left = interval - (now - machine.rented_at) % interval
        return "it is idle, and its interval ends" if left <= timedelta(seconds=1) else None

    def _connected(self, now: timedelta) -> bool:
        """Whether heartbeats of most machines arrive, so that a silent machine is itself at fault
        and not this controller's network."""
        up = [m for m in self.registry if m.up]
        since = self.running_since()
        not_silent = sum(
            not m.silent(now, self.params.workers.heartbeat_interval, since) for m in up
        )
        return not_silent * 2 > len(up)

    # the cloud's list and catalog

    async def list_loop(self) -> None:
        """Reconcile the known machines with the cloud's list, which lags behind."""
        pause = max(self.params.cloud.list_lag / 2, timedelta(seconds=3))
        while True:
            if self.may_command():
                try:
                    self._reconcile(await self.cloud.machines())
                    self.list_fault_log.recovered()
                except CloudError as error:
                    self.list_fault_log.failed(str(error))
            await asyncio.sleep(pause.total_seconds())

    def _reconcile(self, listed: list[ListedMachine]) -> None:
        now = self.clock.now()
        for item in listed:
            if item.id in self.registry.terminated:
                continue
            machine = self.registry.get(item.id)
            if machine is None:
                log.info("adopted %s from the machine list: state=%s", item.id, item.state)
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
            self.request_plan("first list")
        max_age = 3 * self.params.cloud.list_lag + timedelta(seconds=10)
        for machine in self.registry:
            known_at = machine.listed_at if machine.listed_at is not None else machine.rented_at
            is_silent = machine.last_heartbeat is None or now - machine.last_heartbeat > max_age
            if (
                machine.returning
                or machine.placements
                or now - known_at <= max_age
                or not is_silent
            ):
                continue
            if machine.listed_at is None and not machine.up:
                continue  # the lag of the list has no limit; `overdue` handles a slow boot
            # The list may lag further than ever before, so only a confirmed return proves that a
            # machine is terminated. If it were dropped because it is not listed, it could be paid
            # for and never used.
            log.info("returning %s: it is no longer in the machine list", machine.name)
            machine.returning = True

    async def catalog_loop(self) -> None:
        """Keep the machine types and their prices up to date."""
        while True:
            await asyncio.sleep(30)
            try:
                self.types = {t.name: t for t in await self.cloud.catalog()}
            except CloudError as error:
                log.info("catalog not updated: %s", error)
