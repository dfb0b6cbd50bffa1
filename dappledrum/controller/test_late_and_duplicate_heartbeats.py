"""Heartbeats that are repeated late, machines that no answer reaches, and controllers that are cut
off from all but their workers."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import LEASE_S, now
from dappledrum.simulation.workloads import FIVE, TerminationCheckingCluster, start_short_jobs

#: Paths of all kinds of requests: by users, workers and controllers, to the store and the cloud.
ALL_PATHS = ("/hello", "/submissions", "/multi", "/holds", "/rentals", "/peer")
HEARTBEAT_PATHS = ALL_PATHS[:1]
FAULTS = ("end", "die", "hang", "taken", "all", "die", "end", "outage")


async def inject_fault(work, fault):
    """Inject one of `FAULTS`."""
    cluster, rng = work.cluster, work.rng
    workers = [worker for worker in cluster.cloud.workers() if not worker.hung]
    if fault == "end" and cluster.leader() is not None:
        await cluster.restart(cluster.leader(), rng.choice((0.0, 0.3)))
    elif fault == "all":
        await cluster.restart_all(rng.uniform(0, 1))
    elif fault in ("die", "taken"):
        for worker in rng.sample(workers, min(2, len(workers))):
            cluster.cloud.terminate(worker.name)
        if cluster.leader() is not None:
            await cluster.restart(cluster.leader(), 0.1)
    elif fault == "hang" and workers:
        work.hang(rng.choice(workers), rng.uniform(2, 1.5 * LEASE_S))
    else:
        cluster.store.in_outage = True
        await cluster.wait(rng.uniform(1, 5))
        cluster.store.end_outage()


@pytest.mark.parametrize(
    ("seed", "paths"), [(0, HEARTBEAT_PATHS), (1, HEARTBEAT_PATHS), (2, ALL_PATHS), (3, ALL_PATHS)]
)
async def test_no_terminated_machine_counts_as_up_when_requests_are_repeated_late(seed, paths):
    """Copies of heartbeats arrive at any controller, and those of other requests where these went,
    from 1 s to three leases late, while leaders and machines end and machines hang. No invariant
    is broken, and no terminated machine counts as up."""

    work = await start_short_jobs(seed, paths)
    for turn, fault in enumerate(FAULTS):
        await inject_fault(work, fault)
        await work.submit(100 + turn, beats=3)
        await work.cluster.wait(work.rng.uniform(1, 6))
    await work.finish(timeout_s=400)
    assert work.cluster.network.copied > 150
    wrongly_up = work.cluster.kept_after_termination
    assert not wrongly_up, f"{len(wrongly_up)} times, first {wrongly_up[0]}"


def record_heartbeats(cluster, name):
    """The list of all heartbeats that this worker sends from now on."""
    heartbeats, copy = [], cluster.network.maybe_duplicate

    def record_and_copy(source, target, method, path, body):
        if path == "/hello" and source == name:
            heartbeats.append(body)
        copy(source, target, method, path, body)

    cluster.network.maybe_duplicate = record_and_copy
    return heartbeats


@pytest.mark.parametrize("takeover", [False, True])
async def test_repeated_heartbeats_of_a_terminated_machine_do_not_keep_its_tasks(takeover):
    """The leader gives up the machine's tasks a lease after its last answer, or at most two leases
    after a takeover by a leader that doesn't know the order of the machine's heartbeats."""

    cluster = TerminationCheckingCluster(seed=2, members=FIVE, lease_s=LEASE_S)
    cluster.cloud.max_machines = 3
    for _ in range(2):
        cluster.cloud.add(("small", "a", True))
    await cluster.until(lambda: cluster.leader() is not None)
    long_job = job(1, beats=2, vcpus=4.0, runS=300.0, expectedS=20.0, dueS=25.0)
    assert await cluster.submit(long_job) == 201
    await cluster.until(lambda: cluster.rules.starts >= 2)
    await cluster.wait(3)
    terminated_worker = next(worker for worker in cluster.cloud.workers() if worker.attempts)
    heartbeats = record_heartbeats(cluster, terminated_worker.name)
    await cluster.wait(4)
    terminated_worker.terminate()
    terminated_at = now()
    if takeover:
        await cluster.restart(cluster.leader(), 0.1)
        await cluster.until(lambda: cluster.leader() is not None)
    leader = cluster.controllers[cluster.leader()].leader
    await cluster.until(leader.loaded.is_set)

    async def repeat_heartbeats():
        """Deliver them in order, one a second, as though the machine still sent heartbeats."""
        for body in (heartbeats * 20)[:60]:
            await cluster.network.deliver_later(
                terminated_worker.name, cluster.leader(), "POST", "/hello", body
            )
            await asyncio.sleep(1)

    def tasks_given_up():
        machine = leader.registry.get(terminated_worker.name)
        return machine is None or not machine.placements

    repeating = asyncio.ensure_future(repeat_heartbeats())
    await cluster.until(tasks_given_up, timeout_s=(2 if takeover else 1) * LEASE_S + 4)
    assert now() - terminated_at > LEASE_S - 5, (
        "tasks were given up before the lease could have expired"
    )
    repeating.cancel()


def unreachable_machines(cluster):
    """Names of the machines that the leader considers unreachable."""
    member = cluster.leader()
    leader = cluster.controllers[member].leader if member is not None else None
    return (
        {m.name for m in leader.registry if m.reachability.unreachable}
        if leader is not None
        else set()
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("takeover", [False, True])
async def test_unreachable_machines_get_no_work_until_they_are_reachable_again(seed, takeover):
    """A third of all machines: they are detected within a lease and some heartbeats, all tasks are
    done elsewhere, and the machines get tasks again once answers reach them."""

    work = await start_short_jobs(seed, machines=9)
    cluster = work.cluster
    unanswered_names = sorted(worker.name for worker in cluster.cloud.workers())[:3]
    cluster.drop_answers(unanswered_names)
    assert await cluster.cancel(work.names.pop(0)) in ("cancelled", "done")
    if takeover:
        await cluster.restart(cluster.leader(), 0.3)
    for number in range(10, 16):
        form = "ensemble" if number % 3 == 0 else "batch"
        await work.submit(number, beats=8, form=form, vcpus=1.0)
    service = await work.submit(20, form="service", beats=2, vcpus=1.0, expectedS=0.0)
    work.names.remove(service)  # it has no end
    await cluster.wait(2.5 * LEASE_S)
    leader = work.leader()
    remaining = {
        machine_name
        for machine_name in unanswered_names
        if machine_name in cluster.cloud.machines and leader.registry.get(machine_name)
    }
    timelines = leader.dispatcher.machines.timelines(leader.clock.now())
    # A machine without a heartbeat in this term counts as booting.
    assert not remaining & {view.machine for view in timelines if not view.booting}
    assert takeover or unreachable_machines(cluster) & remaining
    await cluster.finish(work.names, timeout_s=300)
    assert not set(unanswered_names) & {m.name for m in leader.registry if m.placements}
    assert await cluster.poll(service) == "running"
    assert len(work.running(20)) == 2
    cluster.network.heal()
    cluster.rules.faults_over_at = now()
    await cluster.wait(2 * LEASE_S)
    assert not unreachable_machines(cluster)
    last_job = job(99, beats=20, dueS=None)
    assert await cluster.submit(last_job) == 201
    assert await cluster.cancel(service) == "cancelled"
    await cluster.finish([last_job["id"], service], timeout_s=100)


async def test_no_machine_counts_as_unreachable_when_all_of_them_are():
    work = await start_short_jobs(3, machines=6)
    cluster = work.cluster
    cluster.drop_answers([worker.name for worker in cluster.cloud.workers()])
    await cluster.wait(3 * LEASE_S)
    leader = work.leader()
    leader.dispatcher.machines.refresh()
    up = [machine for machine in leader.registry if machine.up]
    assert (
        len(unreachable_machines(cluster)) * 2 <= len(up)
        or leader.dispatcher.machines.mostly_unreachable
    )
    cluster.network.heal()
    await work.finish(timeout_s=200)


@pytest.mark.parametrize("leads", [True, False])
async def test_workers_leave_an_isolated_controller_before_their_lease_expires(leads):
    """An isolated controller is not ready, refuses users at once with a time after which to retry,
    and redirects workers at once; they find the leader before their lease expires."""

    work = await start_short_jobs(4)
    cluster = work.cluster
    member = cluster.leader() if leads else work.others()[0]
    sessions = work.sessions()

    async def status(path):
        return (await cluster.send_user_request("GET", path, None, member)).status

    for worker in cluster.cloud.workers()[::2]:
        worker.controller = member
    cluster.isolate(member)
    await cluster.until(lambda: cluster.leader() not in (None, member), timeout_s=8)
    await cluster.wait(5)
    asked_at = now()
    assert await status("/ready") == 503
    assert await status(f"/submissions/{work.names[0]}") == 503
    assert now() - asked_at < 0.5
    controller = cluster.controllers[member]
    assert controller.elector.valid_term() is None
    assert controller.endpoints.heartbeats.redirection.target() is None
    await cluster.wait(20)
    remaining_names = sessions.keys() & work.sessions().keys()
    assert {name: work.sessions()[name] for name in remaining_names} == {
        n: sessions[n] for n in remaining_names
    }
    cluster.network.heal()
    cluster.rules.faults_over_at = now()
    await cluster.wait(2)
    assert await status("/ready") == 200
    await cluster.finish(work.names, timeout_s=200)


@pytest.mark.parametrize("restarts_early", [False, True])
@pytest.mark.parametrize("election", [False, True])
async def test_a_restarted_worker_process_is_not_mistaken_for_its_predecessor(
    restarts_early, election
):
    """The new process counts `set` and `tick` from the start, below the known values or soon above
    them. For some parameters another controller takes over meanwhile; late copies of the former
    process's heartbeats go on arriving."""

    work = await start_short_jobs(7, HEARTBEAT_PATHS, machines=4, jobs=2)
    cluster = work.cluster
    await cluster.wait(0 if restarts_early else 15)
    long_job = job(50, beats=4, vcpus=4.0, runS=25.0, expectedS=25.0, dueS=40.0)
    work.names.append(long_job["id"])
    assert await cluster.submit(long_job) == 201
    await cluster.wait(4)
    old_workers = [worker for worker in cluster.cloud.workers() if worker.attempts][:2]
    assert old_workers
    if election:
        cluster.kill(cluster.leader())
        await cluster.wait(1)
    for worker in old_workers:
        worker.terminate()
        await cluster.wait(0.2)
        cluster.cloud.machines[worker.name].worker = worker.restarted()
    await cluster.wait(2)
    for member in FIVE:
        if not cluster.alive(member):
            cluster.start(member)
    assert await work.finish(timeout_s=200) < 2 * LEASE_S + 90


async def test_every_job_finishes_under_all_faults_together():
    """Repeated heartbeats, unreachable machines, an isolated controller, crashes and an outage:
    every job is known all along and finishes."""

    work = await start_short_jobs(5, HEARTBEAT_PATHS)
    cluster, rng = work.cluster, work.rng
    for turn in range(6):
        up_workers = cluster.cloud.workers()
        cluster.drop_answers(
            [worker.name for worker in rng.sample(up_workers, len(up_workers) // 4)]
        )
        cluster.isolate(rng.choice(FIVE))
        if cluster.leader() is not None and turn % 2:
            await cluster.restart(cluster.leader(), rng.uniform(0, 0.5))
        cluster.store.in_outage = turn == 3
        submission = asyncio.ensure_future(work.submit(200 + turn, beats=4, tries=60))
        await cluster.wait(rng.uniform(2, 12))
        if cluster.store.in_outage:
            cluster.store.end_outage()
        cluster.network.heal()
        await cluster.wait(rng.uniform(0, 4))
        await submission
    cluster.network.copies = None
    await work.finish(timeout_s=400)
    cluster.rules.check_largest(now(), 240.0)
    assert not cluster.rules.broken
    assert cluster.rules.longest_unanswered_s < 10
