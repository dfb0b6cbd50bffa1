"""Heartbeats that are repeated late, machines that no answer reaches, and controllers that are cut
off from all but their workers."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import LEASE_S, now
from dappledrum.simulation.workloads import FIVE, TerminationCheckingCluster, start_short_jobs

#: Requests of all kinds: of users, workers and controllers, to the store and the cloud.
ALL = ("/hello", "/submissions", "/multi", "/holds", "/rentals", "/peer")
HEARTBEATS = ALL[:1]
FAULTS = ("end", "die", "hang", "taken", "all", "die", "end", "outage")


async def fault(work, what):
    """Bring about one of the faults above."""
    cluster, rng = work.cluster, work.rng
    workers = [worker for worker in cluster.cloud.workers() if not worker.hung]
    if what == "end" and cluster.leader() is not None:
        await cluster.restart(cluster.leader(), rng.choice((0.0, 0.3)))
    elif what == "all":
        await cluster.restart_all(rng.uniform(0, 1))
    elif what in ("die", "taken"):
        for worker in rng.sample(workers, min(2, len(workers))):
            cluster.cloud.terminate(worker.name)
        if cluster.leader() is not None:
            await cluster.restart(cluster.leader(), 0.1)
    elif what == "hang" and workers:
        work.hang(rng.choice(workers), rng.uniform(2, 1.5 * LEASE_S))
    else:
        cluster.store.in_outage = True
        await cluster.wait(rng.uniform(1, 5))
        cluster.store.end_outage()


@pytest.mark.parametrize(("seed", "paths"), [(0, HEARTBEATS), (1, HEARTBEATS), (2, ALL), (3, ALL)])
async def test_no_terminated_machine_counts_as_up_when_requests_are_repeated_late(seed, paths):
    """Copies from 1 s to three leases late, at any controller, leaders and machines that end and
    machines that hang: no invariant is broken, and no terminated machine counts as up."""

    work = await start_short_jobs(seed, paths)
    for turn, what in enumerate(FAULTS):
        await fault(work, what)
        await work.submit(100 + turn, beats=3)
        await work.cluster.wait(work.rng.uniform(1, 6))
    await work.finish(timeout_s=400)
    assert work.cluster.network.copied > 150
    earliers = work.cluster.kept_after_termination
    assert not earliers, f"{len(earliers)} times, as {earliers[0]}"


def heartbeats_of(cluster, name):
    """The list of all heartbeats that this worker sends from now on."""
    seen, copy = [], cluster.network.maybe_duplicate

    def keep(source, target, method, path, body):
        if path == "/hello" and source == name:
            seen.append(body)
        copy(source, target, method, path, body)

    cluster.network.maybe_duplicate = keep
    return seen


@pytest.mark.parametrize("takeover", [False, True])
async def test_repeated_heartbeats_of_a_terminated_machine_do_not_keep_its_tasks(takeover):
    """Its tasks are given up a lease after its last answer, two at the most after a takeover that
    knew nothing of the order of its heartbeats."""

    cluster = TerminationCheckingCluster(seed=2, members=FIVE, lease_s=LEASE_S)
    cluster.cloud.max_machines = 3
    for _ in range(2):
        cluster.cloud.add(("small", "a", True))
    await cluster.until(lambda: cluster.leader() is not None)
    long = job(1, beats=2, vcpus=4.0, runS=300.0, expectedS=20.0, dueS=25.0)
    assert await cluster.submit(long) == 201
    await cluster.until(lambda: cluster.rules.starts >= 2)
    await cluster.wait(3)
    dead = next(worker for worker in cluster.cloud.workers() if worker.attempts)
    seen = heartbeats_of(cluster, dead.name)
    await cluster.wait(4)
    dead.terminate()
    died = now()
    if takeover:
        await cluster.restart(cluster.leader(), 0.1)
        await cluster.until(lambda: cluster.leader() is not None)
    leader = cluster.controllers[cluster.leader()].leader
    await cluster.until(leader.loaded.is_set)

    async def again():
        """In order, one a second, as though it still reported."""
        for body in (seen * 20)[:60]:
            await cluster.network.deliver_later(
                dead.name, cluster.leader(), "POST", "/hello", body
            )
            await asyncio.sleep(1)

    def given_up():
        machine = leader.registry.get(dead.name)
        return machine is None or not machine.placements

    copying = asyncio.ensure_future(again())
    await cluster.until(given_up, timeout_s=(2 if takeover else 1) * LEASE_S + 4)
    assert now() - died > LEASE_S - 5, "not before it was proven"
    copying.cancel()


def unreachable(cluster):
    """Machines that the leader considers unreachable."""
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
    """A third of all: detected within a lease and some heartbeats, all work is done elsewhere, and
    they serve again once answers reach them."""

    work = await start_short_jobs(seed, machines=9)
    cluster = work.cluster
    chosen = sorted(worker.name for worker in cluster.cloud.workers())[:3]
    cluster.drop_answers(chosen)
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
    still = {n for n in chosen if n in cluster.cloud.machines and leader.registry.get(n)}
    timelines = leader.dispatcher.machines.timelines(leader.clock.now())
    # One that has shown nothing in this term is awaited like any that has not come yet.
    assert not still & {view.machine for view in timelines if not view.booting}
    assert takeover or unreachable(cluster) & still
    await cluster.finish(work.names, timeout_s=300)
    assert not set(chosen) & {m.name for m in leader.registry if m.placements}
    assert await cluster.poll(service) == "running"
    assert len(work.running(20)) == 2
    cluster.network.heal()
    cluster.rules.faults_over_at = now()
    await cluster.wait(2 * LEASE_S)
    assert not unreachable(cluster)
    last = job(99, beats=20, dueS=None)
    assert await cluster.submit(last) == 201
    assert await cluster.cancel(service) == "cancelled"
    await cluster.finish([last["id"], service], timeout_s=100)


async def test_no_machine_counts_as_unreachable_when_all_of_them_are():
    work = await start_short_jobs(3, machines=6)
    cluster = work.cluster
    cluster.drop_answers([worker.name for worker in cluster.cloud.workers()])
    await cluster.wait(3 * LEASE_S)
    leader = work.leader()
    leader.dispatcher.machines.refresh()
    up = [machine for machine in leader.registry if machine.up]
    assert (
        len(unreachable(cluster)) * 2 <= len(up) or leader.dispatcher.machines.mostly_unreachable
    )
    cluster.network.heal()
    await work.finish(timeout_s=200)


@pytest.mark.parametrize("leads", [True, False])
async def test_workers_leave_an_isolated_controller_before_their_lease_expires(leads):
    """It is not ready, refuses users at once with a time to retry, redirects workers at once, and
    they find the leader before their lease ends."""

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
    began = now()
    assert await status("/ready") == 503
    assert await status(f"/submissions/{work.names[0]}") == 503
    assert now() - began < 0.5
    controller = cluster.controllers[member]
    assert controller.elector.valid_term() is None
    assert controller.endpoints.heartbeats.redirection.target() is None
    await cluster.wait(20)
    kept = sessions.keys() & work.sessions().keys()
    assert {name: work.sessions()[name] for name in kept} == {n: sessions[n] for n in kept}
    cluster.network.heal()
    cluster.rules.faults_over_at = now()
    await cluster.wait(2)
    assert await status("/ready") == 200
    await cluster.finish(work.names, timeout_s=200)


@pytest.mark.parametrize("young", [False, True])
@pytest.mark.parametrize("election", [False, True])
async def test_a_restarted_worker_process_is_not_mistaken_for_its_predecessor(young, election):
    """Its `set` and `tick` begin again, below what is known or soon above it, also while another
    controller comes to lead, and copies of the former one's heartbeats go on coming."""

    work = await start_short_jobs(7, HEARTBEATS, machines=4, jobs=2)
    cluster = work.cluster
    await cluster.wait(0 if young else 15)
    long = job(50, beats=4, vcpus=4.0, runS=25.0, expectedS=25.0, dueS=40.0)
    work.names.append(long["id"])
    assert await cluster.submit(long) == 201
    await cluster.wait(4)
    old = [worker for worker in cluster.cloud.workers() if worker.attempts][:2]
    assert old
    if election:
        cluster.kill(cluster.leader())
        await cluster.wait(1)
    for worker in old:
        worker.terminate()
        await cluster.wait(0.2)
        cluster.cloud.machines[worker.name].worker = worker.restarted()
    await cluster.wait(2)
    for member in FIVE:
        if not cluster.alive(member):
            cluster.start(member)
    assert await work.finish(timeout_s=200) < 2 * LEASE_S + 90


async def test_every_job_finishes_under_all_faults_together():
    """Copies, unreachable machines, an isolated controller, crashes, an outage: every job is done
    in the end, and known all along."""

    work = await start_short_jobs(5, HEARTBEATS)
    cluster, rng = work.cluster, work.rng
    for turn in range(6):
        up = cluster.cloud.workers()
        cluster.drop_answers([worker.name for worker in rng.sample(up, len(up) // 4)])
        cluster.isolate(rng.choice(FIVE))
        if cluster.leader() is not None and turn % 2:
            await cluster.restart(cluster.leader(), rng.uniform(0, 0.5))
        cluster.store.in_outage = turn == 3
        asked = asyncio.ensure_future(work.submit(200 + turn, beats=4, tries=60))
        await cluster.wait(rng.uniform(2, 12))
        if cluster.store.in_outage:
            cluster.store.end_outage()
        cluster.network.heal()
        await cluster.wait(rng.uniform(0, 4))
        await asked
    cluster.network.copies = None
    await work.finish(timeout_s=400)
    cluster.rules.check_largest(now(), 240.0)
    assert not cluster.rules.broken
    assert cluster.rules.longest_s < 10
