"""Concurrent faults, one test for each combination (docs/design.md, "Concurrent faults").

Seeds are fixed, and moments are drawn from them. Meanwhile users submit jobs of one to three tasks
whose ends lie far apart, poll them at any controller, and cancel some. The invariants are checked
in each step; in the end every job is known and final, with the same state at each controller.
"""

import asyncio

import pytest

from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.network import Copies, LateWrites
from dappledrum.simulation.scenario import CANCEL_S, LEASE_S, call_later, now, running_scenario

SEEDS = pytest.mark.parametrize("seed", range(3))


@SEEDS
async def test_tasks_that_end_far_apart_finish_across_changes_of_leader(seed):
    """Covers ends of tasks that one leader has stored and the next has not read, `forget` commands
    that do not reach the workers, and a leader that ends in the middle of a write."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        for _ in range(6):
            await scenario.until_led()
            await cluster.wait(rng.uniform(0.5, 14))
            leader = cluster.leader()
            change = rng.choice(("end", "hand over", "answers lost"))
            if change == "end" and leader is not None:
                await cluster.restart(leader, rng.choice((0.1, 4.0)))
            elif change == "hand over" and leader is not None:
                cluster.controllers[leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            elif leader is not None:
                blocked_pairs = {(leader, w.name) for w in cluster.cloud.workers()}
                cluster.network.blocked |= blocked_pairs
                await cluster.wait(rng.uniform(1, 6))
                cluster.network.blocked -= blocked_pairs


@SEEDS
async def test_jobs_finish_when_machines_hang_and_messages_are_delayed(seed):
    """Machines hang, or their messages are held back, for up to more than a lease. Meanwhile some
    machines are reclaimed, and the cloud carries out rentals and returns late."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1)
        cluster.network.watcher = lambda sent: (
            rng.uniform(2, 20)
            if sent.target == "cloud" and sent.path.startswith("/rentals") and rng.random() < 0.4
            else None
        )
        for turn in range(8):
            workers = cluster.cloud.workers()
            for worker in rng.sample(workers, min(3, len(workers))):
                duration_s = rng.choice((1.0, 3.9, 5.0, LEASE_S - 0.5, LEASE_S + 2))
                if rng.random() < 0.5:
                    worker.hung = True
                    call_later(duration_s, setattr, worker, "hung", False)
                else:
                    cut_pairs = {frozenset((m, worker.name)) for m in FIVE}
                    cluster.network.cuts |= cut_pairs
                    call_later(duration_s, cluster.network.heal_links, cut_pairs)
            if turn % 3 == 2 and cluster.leader() is not None:
                await cluster.restart(cluster.leader(), 0.3)
            if turn == 4 and workers:
                cluster.cloud.terminate(rng.choice(workers).name)
            await cluster.wait(rng.uniform(2, 6))


@SEEDS
async def test_an_isolated_leader_answers_no_worker_while_jobs_are_cancelled_elsewhere(seed):
    """An isolated leader answers no worker after its lease has expired, and no user from its
    memory; tasks of jobs that were cancelled through other controllers end in time."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        await cluster.wait(8)
        former_leader = cluster.leader()
        for worker in cluster.cloud.workers():
            worker.controller = former_leader
        cluster.isolate(former_leader)
        await cluster.wait(rng.uniform(0, 2.5))
        await scenario.cancel(0, rng.choice([m for m in FIVE if m != former_leader]))
        await scenario.until_led(former_leader)
        assert cluster.controllers[former_leader].elector.answering_term() is None
        await scenario.cancel(1, cluster.leader())
        cancelled_at = now()
        while now() < cancelled_at + CANCEL_S + 5:
            for number in (0, 1):  # any answer reports the cancellation
                assert await cluster.poll(f"j-{900 + number:06d}", former_leader) in (
                    None,
                    "cancelled",
                )
            await cluster.wait(2)
        assert not scenario.machines_of(0)
        assert not scenario.machines_of(1)


@SEEDS
@pytest.mark.parametrize("fault", ["hang", "unreachable", "cut", "cut from the new leader"])
async def test_nothing_starts_twice_when_the_leader_crashes_while_machines_are_cut_off(
    seed, fault
):
    """No task starts twice, and team limits count tasks on these machines until they are proven
    terminated."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, crew="red")
        await scenario.submit_long(2)
        await cluster.wait(8)
        unreachable = rng.sample(sorted(w.name for w in cluster.cloud.workers()), 4)
        workers = [w for w in cluster.cloud.workers() if w.name in unreachable]
        former_leader = cluster.leader()
        if fault == "hang":
            for worker in workers:
                worker.hung = True
                call_later(rng.uniform(1, LEASE_S), setattr, worker, "hung", False)
        elif fault == "unreachable":
            cluster.drop_answers(unreachable)
        elif fault == "cut":
            for name in unreachable:
                for member in FIVE:
                    cluster.network.cut(member, name)
        await cluster.wait(rng.uniform(0, 3))
        cluster.kill(former_leader)
        await scenario.until_led(former_leader)
        if fault == "cut from the new leader":
            for name in unreachable:
                cluster.network.cut(cluster.leader(), name)
        await scenario.submit_long(3, 4, crew="red")
        await cluster.wait(rng.uniform(2, 3 * LEASE_S))


@SEEDS
async def test_cancellations_survive_transfers_and_a_crash_of_all_controllers(seed):
    """Leadership is transferred there and back, then all controllers crash and restart, within
    seconds or less than one. Jobs are cancelled in between, and for some seeds an outage
    follows."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        await cluster.wait(5)
        first, second = cluster.leader(), rng.choice(scenario.others())
        for outgoing, incoming in ((first, second), (second, first)):
            if cluster.leader() == outgoing:
                cluster.controllers[outgoing].elector.transfer_leadership(incoming, "a test")
            await cluster.wait(rng.uniform(0, 0.5))
        await scenario.cancel(0, rng.choice(FIVE))
        for member in FIVE:
            cluster.kill(member)
        first_restarted = rng.choice(FIVE)
        await cluster.wait(rng.choice((0.0, 0.2, 0.9)))
        cluster.start(first_restarted)
        await scenario.until_led()
        await scenario.cancel(1, first_restarted)
        if rng.random() < 0.5:
            cluster.store.in_outage = True
        await cluster.wait(rng.uniform(0, 2))
        for member in FIVE:
            if not cluster.alive(member):
                cluster.start(member)
            await cluster.wait(rng.uniform(0, 0.3))
        await cluster.wait(CANCEL_S + 5)
        assert not scenario.machines_of(0)
        assert not scenario.machines_of(1)


@SEEDS
@pytest.mark.parametrize("latency_s", [0.2, 1.2, 2.5])
async def test_cancellations_are_confirmed_after_the_store_was_slow_and_then_refused_all(
    seed, latency_s
):
    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        for member in FIVE:
            cluster.network.extra_latency_s[(member, "state")] = latency_s
            cluster.network.extra_latency_s[("state", member)] = latency_s / 4
        await cluster.wait(rng.uniform(2, 10))
        cancellations = [asyncio.ensure_future(cluster.cancel("j-000900", 60))]
        await cluster.wait(rng.uniform(0, 4))
        if cluster.leader() is not None:
            cluster.store.refused.add(cluster.leader())
        cancellations.append(asyncio.ensure_future(cluster.cancel("j-000901", 60)))
        await cluster.wait(rng.uniform(0, 3))
        cluster.network.extra_latency_s.clear()
        await cluster.wait(rng.uniform(0, 1))
        cluster.store.in_outage = True
        await cluster.wait(CANCEL_S + rng.uniform(0, 15))
        cluster.store.refused.clear()
        cluster.store.end_outage()
        cluster.rules.faults_over_at = now()
        for cancellation in cancellations:
            while not cancellation.done():
                await cluster.wait(1)
            assert cancellation.result() == "cancelled"


@SEEDS
async def test_old_heartbeats_after_newer_ones_do_no_harm_across_changes_of_leader(seed):
    """Copies of old heartbeats also come from earlier sessions and task attempts, since machines
    lose their sessions in between."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.network.copies = Copies(0.6, 0.5, 4 * LEASE_S, FIVE)
        await scenario.submit_long(0, 1, 2)
        for _ in range(4):
            for worker in rng.sample(cluster.cloud.workers(), 3):
                worker.hung = True
                call_later(rng.uniform(LEASE_S + 0.5, LEASE_S + 6), setattr, worker, "hung", False)
            await cluster.wait(rng.uniform(1, LEASE_S))
            if cluster.leader() is not None:
                await cluster.restart(cluster.leader(), rng.choice((0.1, 2.0)))
            await cluster.wait(rng.uniform(4, 12))


@SEEDS
@pytest.mark.parametrize("share", [0.15, 0.6])
async def test_transactions_executed_after_newer_ones_do_no_harm(seed, share):
    """Transactions of elections, leadership transfers, records and their ends, submissions and
    cancellations get no response and are executed 2 to 12 s later, while leaders change."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        cluster.network.late_writes = LateWrites(share, 2.0, 12.0)
        cancellation = asyncio.ensure_future(cluster.cancel("j-000900", 200))
        for turn in range(4):
            await cluster.wait(rng.uniform(3, 9))
            leader = cluster.leader()
            if leader is not None and turn % 2:
                await cluster.restart(leader, rng.choice((0.0, 0.3, 5.0)))
            elif leader is not None:
                cluster.controllers[leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
        cluster.network.late_writes = None
        await cluster.wait(13)
        while not cancellation.done():
            await cluster.wait(1)
