"""Whole days in virtual time: each fault, some in pairs, with all invariants checked after each
step."""

import pytest

from dappledrum.settings import Team
from dappledrum.simulation import fault_scenarios
from dappledrum.simulation.cluster import SimulatedCluster, job, led_cluster
from dappledrum.simulation.scenario import now, run_day

FAULTS = [
    fault_scenarios.no_fault,
    fault_scenarios.leader_killed,
    fault_scenarios.all_killed,
    fault_scenarios.rolling_restart,
    fault_scenarios.short_outage,
    fault_scenarios.long_outage,
    fault_scenarios.outage_and_all_killed,
    fault_scenarios.leader_refused_while_machines_terminate,
    fault_scenarios.leader_cut_from_state,
    fault_scenarios.leader_cut_from_workers,
    fault_scenarios.leader_cut_from_all,
    fault_scenarios.answers_lost,
    fault_scenarios.cloud_outage,
    fault_scenarios.machines_hang,
    fault_scenarios.machines_terminated,
    fault_scenarios.boots_fail,
    fault_scenarios.cut_then_killed,
    fault_scenarios.cloud_requests_arrive_late,
    fault_scenarios.transactions_arrive_late,
    fault_scenarios.heartbeats_arrive_late,
    fault_scenarios.workers_refused,
    fault_scenarios.peers_refused_in_an_outage,
    fault_scenarios.leader_down_for_a_minute_twice,
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda t: t.__name__)
async def test_a_day_with_a_fault_keeps_the_invariants(fault):
    await run_day(SimulatedCluster(seed=3), fault)


@pytest.mark.parametrize("seed", range(3))
async def test_a_day_with_two_faults_keeps_the_invariants(seed):
    cluster = SimulatedCluster(seed=seed)
    pair = cluster.rng.sample(
        [
            fault_scenarios.leader_killed,
            fault_scenarios.machines_hang,
            fault_scenarios.machines_terminated,
            fault_scenarios.short_outage,
            fault_scenarios.answers_lost,
        ],
        2,
    )
    await run_day(cluster, fault_scenarios.in_turn(*pair), runS=14.0)


async def test_tasks_continue_in_a_long_outage():
    """All peers grant leases, so workers' leases are renewed and nothing is started again."""
    cluster = await led_cluster(5)
    names = await cluster.accept_jobs(3, runS=80.0, expectedS=60.0, dueS=100.0)
    await cluster.until(lambda: len(cluster.rules.running) >= 8)
    await cluster.wait(2)
    running = set(cluster.rules.running)
    cluster.store.in_outage = True
    await cluster.wait(cluster.lease_s * 2.5)
    assert running <= set(cluster.rules.running)
    cluster.store.end_outage()
    await cluster.finish(names)
    assert cluster.rules.starts == 12  # no task started twice


async def test_a_job_cancelled_while_a_start_is_in_flight_stays_cancelled():
    cluster = await led_cluster(2)
    await cluster.accept(job(1, runS=300.0))
    await cluster.until(lambda: cluster.rules.starts > 0)
    assert await cluster.cancel("j-000001") == "cancelled"
    await cluster.restart(cluster.leader())
    await cluster.wait(30)
    assert not cluster.rules.running
    for member in cluster.members:
        assert await cluster.poll("j-000001", member) == "cancelled"
    assert await cluster.submit(job(1)) == 200


async def test_services_spread_jobs_zone_bound_jobs_and_limited_teams_run_side_by_side():
    cluster = await led_cluster(4)
    service, *names = await cluster.accept(
        job(1, form="service", expectedS=0.0, dueS=None, beats=2),
        job(2, spread=True, beats=5),
        job(3, oneZone=True, beats=6),
        job(4, crew="red", beats=12),
        job(5, accelerators=1.0, hall="a", loaners=False, beats=1),
    )
    await cluster.finish(names)
    assert await cluster.poll(service) == "running"
    assert await cluster.cancel(service) == "cancelled"
    await cluster.wait(15)
    assert not cluster.rules.running


async def test_failing_jobs_and_failing_machines_stop_nobody_else():
    cluster = await led_cluster(6)
    broken, *names = await cluster.accept(job(1, broken=True), *map(job, range(2, 7)))
    await cluster.until(lambda: cluster.rules.starts > 3)
    cluster.timing.faulty.add(cluster.cloud.workers()[0].name)
    await cluster.finish(names)
    before = cluster.rules.starts
    await cluster.wait(60)
    assert cluster.rules.starts - before < 40
    assert await cluster.cancel(broken) == "cancelled"


async def test_a_submission_in_an_outage_is_refused_at_once():
    cluster = await led_cluster(7)
    cluster.store.in_outage = True
    await cluster.wait(2)
    spec = job(1)
    cluster.rules.submitted(spec)
    began = now()
    assert await cluster.submit(spec, tries=1) is None
    assert now() - began < 1.5  # of which the simulated user waits one second
    cluster.store.end_outage()
    assert await cluster.submit(spec) == 201


async def test_controllers_started_during_an_outage_become_ready_after_it():
    """Readiness once depended on the first read of the catalog: all controllers stayed unready
    when only the cloud had answered it. Without peer heartbeats no peer is known that could serve
    instead."""
    cluster = await led_cluster(9, reach=False)
    cluster.store.in_outage = True
    await cluster.wait(1)
    await fault_scenarios.all_killed(cluster)
    await cluster.wait(3)
    assert [await cluster.readiness(member) for member in cluster.members] == [503] * 3
    cluster.store.end_outage()
    await cluster.wait(5)
    assert [await cluster.readiness(member) for member in cluster.members] == [200] * 3


async def test_a_new_leader_does_not_rent_booting_machines_again():
    """The cloud's list lags, so a new leader once rented its predecessor's booting machines a
    second time."""
    cluster = SimulatedCluster(seed=10)
    for instance_type in cluster.cloud.types:
        instance_type["readyS"] = 30.0
    await cluster.until_led()
    await cluster.accept(job(1, beats=6, vcpus=4.0, builds=["small"], dueS=60.0))
    await cluster.until(lambda: len(cluster.cloud.machines) >= 2)
    await cluster.wait(3)
    rented = cluster.cloud.last_number
    await cluster.restart(cluster.leader())
    await cluster.until(lambda: cluster.rules.starts > 0)
    assert cluster.cloud.last_number <= rented + 1
    await cluster.finish(["j-000001"])


async def test_a_new_leader_returns_no_machine_that_has_not_reached_it_yet():
    """Machines that had been up for long, but whose heartbeats had not reached the new leader yet,
    once counted as boots that never end."""
    cluster = await led_cluster(11)
    await cluster.accept(job(1, beats=8, dueS=30.0))
    await cluster.finish(["j-000001"])
    await cluster.until(
        lambda: min(m.rented_at for m in cluster.cloud.machines.values()) + 34 < now()
    )
    names = {worker.name for worker in cluster.cloud.workers()}
    leader = cluster.leader()
    for member in cluster.members:
        for name in names:
            cluster.network.cut(name, member)
    cluster.kill(leader)
    await cluster.until(lambda: cluster.leader() not in (None, leader))
    await cluster.wait(5)
    assert names
    assert names <= set(cluster.cloud.machines)


async def test_a_team_gets_its_guarantee_from_borrowers_and_urgent_work_goes_first():
    cluster = SimulatedCluster(seed=12, teams=(Team("blue"), Team("red", cpus=8.0)))
    cluster.cloud.max_machines = 3
    await cluster.until_led()
    await cluster.accept(
        job(1, beats=60, builds=["small"], runS=60.0, expectedS=60.0, urgency="best_effort")
    )
    await cluster.until(lambda: len(cluster.rules.running) >= 6)
    await cluster.accept(
        job(2, crew="red", builds=["small"], beats=2, urgency="best_effort", dueS=20.0)
    )
    await cluster.until(lambda: cluster.running("j-000002") == 2, timeout_s=30)
    await cluster.accept(job(3, builds=["small"], beats=1, urgency="prod", dueS=20.0))
    await cluster.until(lambda: cluster.running("j-000003") == 1, timeout_s=30)
    assert not cluster.rules.broken


async def test_a_surge_with_wrong_estimates_and_many_images_stays_within_the_rates():
    """Every estimate is wrong by a factor of three, and every job has an image of its own."""
    cluster = await led_cluster(13)
    writes, began = cluster.store.writes, now()
    names = await cluster.accept(
        *(
            job(number, skin=f"img-{number}", expectedS=2.0 if number % 2 else 18.0, dueS=60.0)
            for number in range(40)
        )
    )
    await cluster.finish(names, timeout_s=400)
    write_rate = (cluster.store.writes - writes) / (now() - began)
    assert write_rate < cluster.params.state.write_rps


async def test_a_reclaim_notice_moves_tasks_that_would_be_lost_and_keeps_the_others():
    """A task that could not finish before the reclaim once ran on until the machine was taken, and
    started again only when the worker's lease had expired: half a minute lost for each."""
    cluster = await led_cluster(18, lease_s=30.0)
    await cluster.accept(job(1, beats=2, vcpus=4.0, runS=40.0, expectedS=40.0, dueS=70.0))
    await cluster.until(lambda: len(cluster.rules.running) == 2)
    await cluster.accept(job(2, beats=1, vcpus=4.0, runS=8.0, expectedS=8.0, dueS=30.0))
    await cluster.until(lambda: len(cluster.rules.running) == 3)
    notice_at = now()
    for worker in cluster.cloud.workers():
        worker.reclaim_at = notice_at + 12.0
        worker.changed.set()
    taken = [worker.name for worker in cluster.cloud.workers()]
    await cluster.wait(12)
    assert len(cluster.rules.jobs["j-000002"].done) == 1  # it could finish before the reclaim
    for name in taken:
        machine = cluster.cloud.machines.pop(name, None)  # without a trace in the cloud's list
        if machine is not None:
            machine.worker.terminate()
    await cluster.finish(["j-000001", "j-000002"])
    assert now() - notice_at < 75


async def test_restarted_controllers_do_not_wait_for_lease_grants_that_nobody_relies_on():
    """Each restart of all controllers once cost 2 s in which none of them campaigned."""
    cluster = await led_cluster(19)
    await cluster.restart_all(4.0)
    leaderless_s = await cluster.until_led()
    assert leaderless_s < 1.6
    # A controller that can't be asked may hold a term, so the wait remains.
    cluster.kill("drummer-2")
    await cluster.restart("drummer-0", 1.0)
    controller = cluster.controllers["drummer-0"]
    assert controller.elector.voter.restart_wait_until > controller.clock.now()
    await cluster.wait(1.5)
    assert controller.elector.voter.restart_wait_until > controller.clock.now()


async def test_a_leader_with_lease_grants_keeps_a_restarted_peer_from_campaigning():
    """A restarted peer may skip the wait only when nobody holds a term. Here the leader holds one,
    on the lease grant of the process that has just ended."""
    cluster = await led_cluster(20, lease_s=30.0)
    leader = cluster.leader()
    peer = cluster.others(leader)[0]
    cluster.store.in_outage = True
    await cluster.wait(4)
    assert cluster.controllers[leader].elector.valid_term() is not None
    await cluster.restart(peer, 0.2)
    await cluster.wait(1.0)
    voter = cluster.controllers[peer].elector.voter
    assert voter.campaign_allowed_at() > cluster.controllers[peer].clock.now()
    cluster.store.end_outage()
    await cluster.wait(3)


async def test_an_unreachable_store_is_logged_once_and_when_it_is_reached_again(caplog):
    cluster = await led_cluster(21)
    caplog.clear()
    cluster.store.in_outage = True
    await cluster.wait(6)
    during = [r for r in caplog.records if "does not serve" in r.getMessage()]
    assert len(during) == len(cluster.members)
    cluster.store.end_outage()
    await cluster.wait(4)
    over = [r for r in caplog.records if "ended after" in r.getMessage()]
    assert len(over) == len(cluster.members)
