"""Rentals, cooldowns and returns of the autoscaler."""

import asyncio
from datetime import timedelta
from unittest.mock import Mock

from dappledrum.accounting.ledger import Ledger
from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.fleet.cloud_client import CloudError, NoCapacityError
from dappledrum.fleet.messages import MachineType
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.timing.clock import Clock, seconds
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

SPOT = InstanceKind("small", "a", True)


class FakeCloud:
    """A cloud that answers rentals from a list and records the requests."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []
        self.returned = []

    async def rent(self, request, may_command):
        self.requests.append(request.request)
        answer = self.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def return_machines(self, names, may_command):
        self.returned += names

    async def machines(self):
        return []


def make_autoscaler(cloud):
    params = SimulatedCluster(seed=1, members=()).params
    registry = MachineRegistry()
    context = ReconciliationContext({}, registry, params.workers, Clock(), 3)
    ledger = Ledger(registry, context.clock)
    reconciler = Reconciler(context, Estimates(), ledger, Mock(spec=ReconciliationObserver))
    autoscaler = Autoscaler(
        cloud,
        registry,
        reconciler,
        params,
        Clock(),
        3,
        timedelta(seconds=60),
        lambda: True,
        lambda _: None,
    )
    autoscaler.types = {"small": MachineType("small", 4, 0, 16, 20, 1, 0.3, 10, ["a"], 0.1)}
    return autoscaler, registry


async def while_running(autoscaler, *loops, for_s):
    tasks = [asyncio.create_task(loop()) for loop in loops]
    await asyncio.sleep(for_s)
    for task in tasks:
        task.cancel()


async def test_request_names_are_unique_and_refused_kinds_have_a_cooldown():
    cloud = FakeCloud(["h1"], NoCapacityError("none"), CloudError("no answer"), ["h2"])
    autoscaler, registry = make_autoscaler(cloud)
    offers = []
    for _ in range(4):
        autoscaler.order({SPOT: 1}, set(), autoscaler.clock.now())
        await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
        offers.append(autoscaler.offered(SPOT))
        while not autoscaler.offered(SPOT):
            await asyncio.sleep(1)
    assert cloud.requests == ["r-3-1", "r-3-2", "r-3-3", "r-3-4"]
    assert offers == [True, False, False, True]
    assert set(registry.machines) == {"h1", "h2"}


async def test_idle_machines_are_returned_as_their_interval_ends_and_their_kind_is_offered_again():
    cloud = FakeCloud(["h1", "h2"], NoCapacityError("none"))
    autoscaler, registry = make_autoscaler(cloud)
    for _ in range(2):
        autoscaler.order({SPOT: 2}, {"h2"}, autoscaler.clock.now())
        await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
    for machine in registry:
        machine.up_at = machine.last_heartbeat = autoscaler.clock.now()
    assert not autoscaler.offered(SPOT)
    await while_running(autoscaler, autoscaler.return_loop, for_s=57)
    assert cloud.returned == []
    for machine in registry:
        machine.last_heartbeat = machine.last_answer = autoscaler.clock.now()
    autoscaler.cooldowns[SPOT] = (autoscaler.clock.now() + seconds(60), seconds(60))
    await while_running(autoscaler, autoscaler.return_loop, for_s=3)
    assert cloud.returned == ["h1"]
    assert autoscaler.offered(SPOT)


async def test_a_boot_is_given_up_after_a_later_one_has_completed():
    cloud = FakeCloud(["h1", "h2"], ["h3"])
    autoscaler, registry = make_autoscaler(cloud)
    autoscaler.order({SPOT: 2}, {"h1", "h2", "h3"}, autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, for_s=1)
    autoscaler.order({SPOT: 1}, {"h1", "h2", "h3"}, autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, for_s=10)
    registry.get("h3").up_at = autoscaler.clock.now()
    await while_running(autoscaler, autoscaler.return_loop, for_s=15)
    assert cloud.returned == []
    await while_running(autoscaler, autoscaler.return_loop, for_s=15)
    assert sorted(cloud.returned) == ["h1", "h2"]


async def test_while_no_machine_comes_up_boots_are_replaced_one_at_a_time():
    """When boots were given up after a fixed time, all machines were returned and rented again
    together, for as long as the fault lasted."""
    names = [f"h{n}" for n in range(8)]
    cloud = FakeCloud(names)
    autoscaler, _ = make_autoscaler(cloud)
    autoscaler.order({SPOT: 8}, set(names), autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, autoscaler.return_loop, for_s=35)
    assert cloud.returned == []
    assert autoscaler.boots.expected(SPOT) > timedelta(seconds=20)
    await while_running(autoscaler, autoscaler.return_loop, for_s=400)
    assert 1 <= len(cloud.returned) <= 4


async def test_machines_that_have_not_found_a_new_leader_do_not_count_as_slow_boots():
    """When they counted as boots of many minutes, each new leader expected six times the usual
    boot time."""
    autoscaler, registry = make_autoscaler(FakeCloud())
    await asyncio.sleep(300)
    for number in range(10):
        machine = registry.ensure(f"h{number}", SPOT, autoscaler.clock.now())
        machine.rented_at = timedelta(0)
    for _ in range(3):
        autoscaler.update_boot_times()
        assert autoscaler.boots.ratio(SPOT) == 1.0
        await asyncio.sleep(40)


async def test_a_machine_that_is_not_in_the_list_yet_is_kept():
    """The list may lag far more than usual. When a machine was dropped because it was not listed,
    it was paid for and never used."""
    cloud = FakeCloud(["h1"])
    autoscaler, registry = make_autoscaler(cloud)
    autoscaler.order({SPOT: 1}, {"h1"}, autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, autoscaler.list_loop, for_s=28)
    assert registry.get("h1") is not None
    assert "h1" not in registry.terminated


async def test_a_plan_made_while_a_rental_is_pending_does_not_request_it_again():
    """Guards against renting twice: such a plan does not include the machines just rented."""
    cloud = FakeCloud(["h1", "h2"], ["h3"])
    autoscaler, _ = make_autoscaler(cloud)
    before = autoscaler.clock.now()
    autoscaler.order({SPOT: 2}, set(), before)
    await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
    autoscaler.order({SPOT: 2}, set(), before)
    await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
    assert len(cloud.requests) == 1
    autoscaler.order({SPOT: 1}, set(), autoscaler.clock.now())
    await while_running(autoscaler, autoscaler.rent_loop, for_s=0.1)
    assert len(cloud.requests) == 2
