"""Processes that restart within a second of a crash: what the next one may wrongly consider its
own, forget or repeat (docs/design.md, "Immediate restarts")."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.simulation.crash_points import STEPS, run_with_crashes
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import now


@pytest.mark.long
@pytest.mark.parametrize("step", STEPS)
async def test_every_job_finishes_when_controllers_crash_at_a_step(step):
    """Invariants are checked after each step, and every job is done in the end."""
    crashes = [await run_with_crashes(step, seed) for seed in range(2)]
    assert sum(crashes) >= 2, "no crash at this step"


async def test_controllers_restarted_in_an_outage_are_ready_at_once():
    """They once were when it was over, and the load balancer, which had left them all out by
    then, took them back so slowly that users found nobody for 10 s more."""
    cluster = await led_cluster(3, members=FIVE)
    await cluster.wait(3)
    cluster.store.in_outage = True
    await cluster.wait(2)
    for member in FIVE:
        cluster.kill(member)
    for member in FIVE:
        await cluster.wait(cluster.rng.uniform(0, 0.2))
        cluster.start(member)
    await cluster.wait(1.2)
    assert [await cluster.readiness(member) for member in FIVE] == [200] * 5
    reply = await cluster.send_user_request("GET", "/submissions/j-000001")
    assert reply.status == 503
    alone = FIVE[0]
    cluster.cut_from_peers(alone)
    await cluster.restart(alone, 0.1)
    await cluster.wait(3)
    assert await cluster.readiness(alone) != 200, "it can neither serve users nor pass them on"
    cluster.network.heal()
    cluster.store.end_outage()
    await cluster.wait(1)
    assert await cluster.readiness(alone) == 200


async def test_heartbeats_of_a_later_process_count_though_its_clock_is_behind():
    """Clocks wander by a quarter of a second, more than a process that ends at once lives."""
    cluster = await led_cluster(4, members=FIVE)
    await cluster.wait(3)
    member = cluster.others(cluster.leader())[0]
    await cluster.restart(member, 0.1)
    cluster.controllers[member].membership.monitor.incarnation -= 5_000
    await cluster.wait(6)  # the heartbeats of the process before are not fresh any more
    for other in cluster.others(member):
        membership = cluster.controllers[other].membership
        assert membership.monitor.table.is_connected(member, membership.clock.now())


async def test_a_controller_in_a_crash_loop_costs_little():
    """What each restart of a follower costs: some requests to the store, no change of a
    record, and nobody else's time."""
    cluster = await led_cluster(5, members=FIVE)
    await cluster.wait(3)
    leader = cluster.leader()
    member = cluster.others(leader)[0]
    await cluster.wait(10)
    rest = cluster.store.requests
    await cluster.wait(20)
    rest = (cluster.store.requests - rest) / 20
    requests, writes = cluster.store.requests, cluster.store.writes
    began = now()
    for _ in range(20):
        await cluster.restart(member, 0.3)
        await cluster.wait(0.3)
        assert cluster.leader() == leader
    each = (cluster.store.requests - requests - rest * (now() - began)) / 20
    assert each < 12
    assert cluster.store.writes == writes
    for number, other in enumerate(cluster.others(member)):
        await cluster.restart(member, 0.3)
        assert await cluster.submit(job(number), tries=1, member=other) == 201
    await cluster.finish([f"j-{n:06d}" for n in range(4)])


@pytest.mark.parametrize("seed", range(3))
async def test_a_leader_that_restarts_at_once_is_replaced_at_once(seed):
    """Its key kept all others from campaigning until its lease had expired, 3 s later, though its
    next process knew that nobody led under it."""
    cluster = await led_cluster(seed, members=FIVE)
    for back in (0.0, 0.05, 0.3):
        await cluster.wait(5)
        leader = cluster.leader()
        began = now()
        await cluster.restart(leader, back)
        while cluster.leader() is None:
            await asyncio.sleep(0.01)
            assert now() - began < back + 0.5
        # A leader that does not restart within its lease is waited for, as ever.
        leader = cluster.leader()
        cluster.kill(leader)
        await cluster.wait(2)
        assert cluster.leader() is None
        await cluster.until_led(timeout_s=2)
        cluster.start(leader)


async def test_a_leader_key_of_an_earlier_process_is_removed():
    """A transaction of an election that is executed after its sender's end: the process after it
    does not lead by that key, and ends it."""
    cluster = await led_cluster(7, members=FIVE)
    await cluster.wait(3)
    state = cluster.store
    leader = cluster.leader()
    earlier = cluster.others(leader)[0]
    epoch = state.keys["epoch"][0]["epoch"]
    cluster.kill(leader)
    await cluster.wait(1)
    for hold in [h for k, (_, _, h) in state.keys.items() if k == "leader"]:
        state.end_lease(hold)
    state.leases[99] = (now() + 3, 3.0)
    body = {
        "guards": [],
        "then": [
            {"write": "leader", "value": {"member": earlier, "epoch": epoch + 1}, "hold": 99},
            {"write": "epoch", "value": {"epoch": epoch + 1}},
        ],
    }
    state.run_transaction(body)
    assert state.keys["leader"][2] == 99
    await cluster.wait(0.75)
    assert 99 not in state.leases
    assert cluster.leader() is not None
    assert cluster.controllers[cluster.leader()].elector.term.epoch == epoch + 2


async def test_jobs_finish_when_all_controllers_crash_again_and_again():
    """Five at once, five times, before the first read is over or after it."""
    cluster = await led_cluster(6, members=FIVE)
    names = await cluster.accept_jobs(4, dueS=None)
    for _ in range(5):
        await cluster.restart_all(cluster.rng.uniform(0, 1))
        await cluster.wait(cluster.rng.choice((0.0, 0.005, 0.02, 0.5, 4.0)))
    await cluster.until_led(timeout_s=6)
    await cluster.finish(names)
