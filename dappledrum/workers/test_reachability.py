"""Distinguishing machines that no answer reaches from those that hung, were cut off or are slow.

Late copies of heartbeats are checked against a simple model of what a worker can have sent when.
"""

import asyncio
import random
from datetime import timedelta
from unittest.mock import Mock

from dappledrum.accounting.ledger import Ledger
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import WorkerLimits
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import Clock
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reachability import Reachability
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext, ReconciliationObserver

LEASE = timedelta(seconds=10)


def seconds(value):
    return timedelta(seconds=value)


def answered_at(*moments):
    reachability = Reachability()
    for moment in moments:
        reachability.answered(seconds(moment), LEASE)
    return reachability


def test_a_session_that_ends_although_answered_shows_an_unreachable_machine():
    assert answered_at(*range(20)).new_session(seconds(21), LEASE, seconds(0))
    assert answered_at(*range(0, 20, 6)).new_session(seconds(21), LEASE, seconds(0)), "searching"


def test_a_machine_that_hung_or_was_cut_off_or_not_answered_is_not_unreachable():
    assert not answered_at(*range(10)).new_session(seconds(21), LEASE, seconds(0)), "hung"
    delayed = answered_at(*range(10), 20.9, 20.95, 21)
    assert not delayed.new_session(seconds(21.1), LEASE, seconds(0)), "delayed heartbeats"
    assert not answered_at(*range(20)).new_session(seconds(21), LEASE, seconds(19)), "paused here"
    assert not Reachability().new_session(seconds(21), LEASE, seconds(0)), "never answered"


def test_a_machine_is_reachable_again_when_a_heartbeat_shows_an_answer():
    reachability = answered_at(1)
    assert not reachability.record_missed_answer()
    assert reachability.record_missed_answer()
    assert reachability.unreachable
    assert not reachability.record_missed_answer(), "only the change is reported"
    assert reachability.confirm_reachable()
    assert not reachability.unreachable
    assert not reachability.record_missed_answer()


def make_reconciler(registry, clock):
    """The reconciler of a leader with token 5 whose term begins now, without any records."""
    began = clock.now()
    limits = WorkerLimits(1.0, 10.0, 30.0)
    context = ReconciliationContext(
        {}, registry, limits, clock, 5, others_stopped_at=lambda: began
    )
    observer = Mock(spec=ReconciliationObserver)
    return Reconciler(context, Estimates(), Ledger(registry, clock), observer)


class ModelWorker:
    """A simple model of a worker. At time 0 a leader with token 5 succeeded one with token 4.

    Every heartbeat that was sent may be delivered again.
    """

    def __init__(self, rng):
        self.rng = rng
        self.session, self.sequence, self.token = 1, 0, 4
        self.renewed = -rng.uniform(0, 10)
        self.sent = []
        self.seen = (0, -1)

    def send(self, at):
        """Send a heartbeat at this time, in a new session if the lease has expired; returns it."""
        if at > self.renewed + 10:
            self.session += 1
            self.renewed = at
        self.sequence += 1
        heartbeat = (at, self.session, self.sequence, self.token)
        self.sent.append(heartbeat)
        return heartbeat

    def receive_answer(self, heartbeat):
        self.token = 5
        self.renewed = max(self.renewed, heartbeat[0])


def test_copies_in_order_from_a_terminated_machine_count_for_at_most_a_lease():
    """A new leader can't recognize copies that it has not received before, and answers them."""

    async def main():
        clock = Clock()
        began = clock.now()
        registry = MachineRegistry()
        reconciler = make_reconciler(registry, clock)
        for tick in range(40):
            heartbeat = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 1, tick, 4)
            if reconciler.process_heartbeat(heartbeat) is not None:
                registry.get("m").reachability.answered(clock.now(), LEASE)
                registry.get("m").last_answer = clock.now()
            await asyncio.sleep(1)
        machine = registry.get("m")
        assert not machine.up
        assert machine.unconfirmed
        assert seconds(9) < machine.last_heartbeat - began < seconds(12)
        assert machine.expired(clock.now(), LEASE)
        in_new_session = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 2, 41, 4)
        last_heartbeat = machine.last_heartbeat
        assert reconciler.process_heartbeat(in_new_session) is None, "also of a later session"
        assert machine.last_heartbeat == last_heartbeat
        answered = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 1, 1, 5)
        assert reconciler.process_heartbeat(answered) is machine, "a process that was answered"
        assert machine.up

    run(main())


def test_copies_of_any_age_are_recognized_or_accepted_for_at_most_a_lease():
    """Drawn histories with lost heartbeats, lost answers and copies in any order.

    Accepted heartbeats are in order. Copies from before this term's token was shown are accepted
    for at most a lease, and never make the machine count as up.
    """

    async def run_history(seed):
        rng = random.Random(seed)
        clock = Clock()
        began = clock.now()
        reconciler = make_reconciler(MachineRegistry(), clock)
        worker = ModelWorker(rng)
        for _ in range(rng.randint(0, 20)):  # in the predecessor's term
            worker.send(-rng.uniform(0, 30))
        terminated_at = rng.choice((5.0, 20.0, 200.0))
        answer_probability = rng.choice((0.0, 0.5, 1.0))
        accepted = []

        def deliver(heartbeat, copy):
            _, session, sequence, token = heartbeat
            message = WorkerHeartbeat(
                "m", "10.1.0.1:1", "small", "a", True, session, sequence, token
            )
            machine = reconciler.process_heartbeat(message)
            if machine is None:
                return
            accepted.append((now, heartbeat, copy))
            machine.reachability.answered(clock.now(), LEASE)
            if not copy and rng.random() < answer_probability:
                worker.receive_answer(heartbeat)

        showed_token = False
        for _ in range(60):
            now = (clock.now() - began).total_seconds()
            if now < terminated_at and rng.random() < 0.8:
                deliver(worker.send(now), False)
            for heartbeat in rng.sample(worker.sent, min(len(worker.sent), rng.randint(0, 3))):
                deliver(heartbeat, True)
            machine = reconciler.registry.get("m")
            showed_token |= machine is not None and machine.reachability.token_shown
            assert machine is None or machine.up == showed_token, "a former token proves nothing"
            assert showed_token <= (worker.token == 5)
            await asyncio.sleep(1)
        orders = [heartbeat[1:3] for _, heartbeat, _ in accepted]
        assert orders == sorted(set(orders)), "each once, and in order"
        first = {}
        for now, (_, session, _, token), copy in accepted:
            first.setdefault(session, now)
            if copy and token < 5:
                assert now - max(first[session], 0) <= 10.1 + 1, "accepted for at most a lease"
        return len(accepted), sum(copy for _, _, copy in accepted)

    counts = [run(run_history(seed)) for seed in range(120)]
    assert sum(copies for _, copies in counts) > 20, "some copies arrive before the original"


def test_when_most_machines_seem_unreachable_the_fault_is_on_the_controllers_side():
    registry = MachineRegistry()
    for number in range(5):
        machine = registry.ensure(f"m{number}", None, seconds(0))
        machine.up_at = seconds(1) if number < 4 else None
        machine.reachability.unreachable = number < 2
    assert not registry.mostly_unreachable()
    registry.get("m2").reachability.unreachable = True
    assert registry.mostly_unreachable()
