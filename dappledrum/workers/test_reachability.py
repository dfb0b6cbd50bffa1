"""Machines that hear nothing, told apart from those that hung, were cut off or are slow; and late
copies of heartbeats, as a plain model of what a worker can have sent when."""

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


def answered(*moments):
    reachability = Reachability()
    for moment in moments:
        reachability.answered(seconds(moment), LEASE)
    return reachability


def test_a_session_that_ends_in_spite_of_answers_shows_a_deaf_machine():
    assert answered(*range(20)).new_session(seconds(21), LEASE, seconds(0))
    assert answered(*range(0, 20, 6)).new_session(seconds(21), LEASE, seconds(0)), "its search"


def test_who_hung_or_was_cut_off_or_was_not_answered_is_not_deaf():
    assert not answered(*range(10)).new_session(seconds(21), LEASE, seconds(0)), "hung"
    held = answered(*range(10), 20.9, 20.95, 21)
    assert not held.new_session(seconds(21.1), LEASE, seconds(0)), "held back until now"
    assert not answered(*range(20)).new_session(seconds(21), LEASE, seconds(19)), "we hung"
    assert not Reachability().new_session(seconds(21), LEASE, seconds(0)), "never answered"


def test_it_serves_again_when_it_shows_that_it_hears():
    reachability = answered(1)
    assert not reachability.record_missed_answer()
    assert reachability.record_missed_answer()
    assert reachability.unreachable
    assert not reachability.record_missed_answer(), "said once"
    assert reachability.confirm_reachable()
    assert not reachability.unreachable
    assert not reachability.record_missed_answer()


def desk(registry, clock):
    """A leader that has taken over now, with token 5, and knows nothing."""
    began = clock.now()
    limits = WorkerLimits(1.0, 10.0, 30.0)
    context = ReconciliationContext(
        {}, registry, limits, clock, 5, others_stopped_at=lambda: began
    )
    observer = Mock(spec=ReconciliationObserver)
    return Reconciler(context, Estimates(), Ledger(registry, clock), observer)


class Plain:
    """A worker, and a leader that took over at 0 from one whose token was 4; every heartbeat that
    was ever sent may come again."""

    def __init__(self, rng):
        self.rng = rng
        self.session, self.sequence, self.token = 1, 0, 4
        self.renewed = -rng.uniform(0, 10)
        self.sent = []
        self.seen = (0, -1)

    def step(self, at):
        """A heartbeat, or none, or the answer to it; returns the heartbeat."""
        if at > self.renewed + 10:
            self.session += 1
            self.renewed = at
        self.sequence += 1
        heartbeat = (at, self.session, self.sequence, self.token)
        self.sent.append(heartbeat)
        return heartbeat

    def answer(self, heartbeat):
        self.token = 5
        self.renewed = max(self.renewed, heartbeat[0])


def test_copies_in_order_of_a_machine_that_is_gone_count_for_a_lease_at_the_most():
    """A new leader has heard none of them before, and answers them."""

    async def main():
        clock = Clock()
        began = clock.now()
        registry = MachineRegistry()
        reconciler = desk(registry, clock)
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
        back = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, 2, 41, 4)
        assert reconciler.process_heartbeat(back) is machine, "a new session was begun by somebody"

    run(main())


def test_copies_of_any_age_are_told_apart_or_change_nothing_that_matters():
    """Drawn lives: heartbeats lost, answers lost, copies in any order. What is taken on after this
    term's token was shown is in order and true; before, for a lease at the most."""

    async def life(seed):
        rng = random.Random(seed)
        clock = Clock()
        began = clock.now()
        reconciler = desk(MachineRegistry(), clock)
        worker = Plain(rng)
        for _ in range(rng.randint(0, 20)):  # under the predecessor
            worker.step(-rng.uniform(0, 30))
        dies = rng.choice((5.0, 20.0, 200.0))
        hears = rng.choice((0.0, 0.5, 1.0))
        taken = []

        def comes(heartbeat, copy):
            _, session, sequence, token = heartbeat
            text = WorkerHeartbeat("m", "10.1.0.1:1", "small", "a", True, session, sequence, token)
            machine = reconciler.process_heartbeat(text)
            if machine is None:
                return
            taken.append((now, heartbeat, copy))
            machine.reachability.answered(clock.now(), LEASE)
            if not copy and rng.random() < hears:
                worker.answer(heartbeat)

        shown = False
        for _ in range(60):
            now = (clock.now() - began).total_seconds()
            if now < dies and rng.random() < 0.8:
                comes(worker.step(now), False)
            for heartbeat in rng.sample(worker.sent, min(len(worker.sent), rng.randint(0, 3))):
                comes(heartbeat, True)
            machine = reconciler.registry.get("m")
            shown |= machine is not None and machine.reachability.token_shown
            assert machine is None or machine.up == shown, "no copy of a former term's is life"
            assert shown <= (worker.token == 5)
            await asyncio.sleep(1)
        orders = [heartbeat[1:3] for _, heartbeat, _ in taken]
        assert orders == sorted(set(orders)), "each once, and in order"
        first = {}
        for now, (_, session, _, token), copy in taken:
            first.setdefault(session, now)
            if copy and token < 5:
                assert now - max(first[session], 0) <= 10.1 + 1, "for a lease at the most"
        return len(taken), sum(copy for _, _, copy in taken)

    counts = [run(life(seed)) for seed in range(120)]
    assert sum(copies for _, copies in counts) > 20, "some were first"


def test_when_most_seem_deaf_it_is_the_controller_that_is_not_heard():
    registry = MachineRegistry()
    for number in range(5):
        machine = registry.ensure(f"m{number}", None, seconds(0))
        machine.up_at = seconds(1) if number < 4 else None
        machine.reachability.unreachable = number < 2
    assert not registry.mostly_unreachable()
    registry.get("m2").reachability.unreachable = True
    assert registry.mostly_unreachable()
