"""Processes that restart within a second of a crash (docs/design.md, "Immediate restarts"): what
the next process could wrongly take for its own, forget or repeat."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job, led_cluster
from dappledrum.simulation.crash_points import STEPS, run_with_crashes
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import now


@pytest.mark.long
@pytest.mark.parametrize("step", STEPS)
async def test_every_job_finishes_when_controllers_crash_at_a_step(step):
    """The invariants are checked after each step, and every job finishes."""
    crashes = [await run_with_crashes(step, seed) for seed in range(2)]
    assert sum(crashes) >= 2, "no crash at this step"


async def test_controllers_restarted_in_an_outage_are_ready_at_once():
    """They once became ready only when the outage was over. By then the load balancer had removed
    them all and took them back so slowly that users reached no controller for 10 s more."""
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
    response = await cluster.send_user_request("GET", "/submissions/j-000001")
    assert response.status == 503
    isolated = FIVE[0]
    cluster.cut_from_peers(isolated)
    await cluster.restart(isolated, 0.1)
    await cluster.wait(3)
    assert await cluster.readiness(isolated) != 200, "it can neither serve users nor pass them on"
    cluster.network.heal()
    cluster.store.end_outage()
    await cluster.wait(1)
    assert await cluster.readiness(isolated) == 200


async def test_heartbeats_of_a_later_process_count_though_its_clock_is_behind():
    """Clocks drift by up to a quarter of a second, longer than the life of a process that crashes
    at its start."""
    cluster = await led_cluster(4, members=FIVE)
    await cluster.wait(3)
    member = cluster.others(cluster.leader())[0]
    await cluster.restart(member, 0.1)
    cluster.controllers[member].membership.monitor.incarnation -= 5_000
    await cluster.wait(6)  # heartbeats of the previous process have expired
    for other in cluster.others(member):
        membership = cluster.controllers[other].membership
        assert membership.monitor.table.is_connected(member, membership.clock.now())


async def test_a_controller_in_a_crash_loop_costs_little():
    """Each restart of a follower costs some requests to the store, but no change of a record, no
    change of leader and no delay of users at other controllers."""
    cluster = await led_cluster(5, members=FIVE)
    await cluster.wait(3)
    leader = cluster.leader()
    member = cluster.others(leader)[0]
    await cluster.wait(10)
    baseline = cluster.store.requests
    await cluster.wait(20)
    baseline = (cluster.store.requests - baseline) / 20
    requests, writes = cluster.store.requests, cluster.store.writes
    began = now()
    for _ in range(20):
        await cluster.restart(member, 0.3)
        await cluster.wait(0.3)
        assert cluster.leader() == leader
    requests_per_restart = (cluster.store.requests - requests - baseline * (now() - began)) / 20
    assert requests_per_restart < 12
    assert cluster.store.writes == writes
    for number, other in enumerate(cluster.others(member)):
        await cluster.restart(member, 0.3)
        assert await cluster.submit(job(number), tries=1, member=other) == 201
    await cluster.finish([f"j-{n:06d}" for n in range(4)])


@pytest.mark.parametrize("seed", range(3))
async def test_a_leader_that_restarts_at_once_is_replaced_at_once(seed):
    """The leader key once kept all others from campaigning until the lease had expired, 3 s later,
    although the restarted process knew that nobody led under this key."""
    cluster = await led_cluster(seed, members=FIVE)
    for downtime_s in (0.0, 0.05, 0.3):
        await cluster.wait(5)
        leader = cluster.leader()
        began = now()
        await cluster.restart(leader, downtime_s)
        while cluster.leader() is None:
            await asyncio.sleep(0.01)
            assert now() - began < downtime_s + 0.5
        # For a leader that does not restart, the others wait until its lease has expired.
        leader = cluster.leader()
        cluster.kill(leader)
        await cluster.wait(2)
        assert cluster.leader() is None
        await cluster.until_led(timeout_s=2)
        cluster.start(leader)


async def test_a_leader_key_of_an_earlier_process_is_removed():
    """A transaction of an election may be executed after its sender has crashed. The sender's next
    process does not lead by that key, and removes it."""
    cluster = await led_cluster(7, members=FIVE)
    await cluster.wait(3)
    key_value_store = cluster.store
    leader = cluster.leader()
    earlier = cluster.others(leader)[0]
    epoch = key_value_store.keys["epoch"][0]["epoch"]
    cluster.kill(leader)
    await cluster.wait(1)
    for hold in [h for k, (_, _, h) in key_value_store.keys.items() if k == "leader"]:
        key_value_store.end_lease(hold)
    key_value_store.leases[99] = (now() + 3, 3.0)
    body = {
        "guards": [],
        "then": [
            {"write": "leader", "value": {"member": earlier, "epoch": epoch + 1}, "hold": 99},
            {"write": "epoch", "value": {"epoch": epoch + 1}},
        ],
    }
    key_value_store.run_transaction(body)
    assert key_value_store.keys["leader"][2] == 99
    await cluster.wait(0.75)
    assert 99 not in key_value_store.leases
    assert cluster.leader() is not None
    assert cluster.controllers[cluster.leader()].elector.term.epoch == epoch + 2


async def test_jobs_finish_when_all_controllers_crash_again_and_again():
    """All five crash at once, five times, before or after their first read has finished."""
    cluster = await led_cluster(6, members=FIVE)
    names = await cluster.accept_jobs(4, dueS=None)
    for _ in range(5):
        await cluster.restart_all(cluster.rng.uniform(0, 1))
        await cluster.wait(cluster.rng.choice((0.0, 0.005, 0.02, 0.5, 4.0)))
    await cluster.until_led(timeout_s=6)
    await cluster.finish(names)
