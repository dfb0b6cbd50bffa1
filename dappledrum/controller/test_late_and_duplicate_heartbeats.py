"""Reports that come again late, machines that hear nothing, and controllers that are left alone
with their workers."""

import asyncio

import pytest

from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import LEASE_S, now
from dappledrum.simulation.virtual_time import run
from dappledrum.simulation.workloads import FIVE, GhostWorld, begin_short_work

#: Requests of all kinds: of users, workers and controllers, to the state service and the cloud.
ALL = ("/hello", "/submissions", "/multi", "/holds", "/rentals", "/peer")
REPORTS = ALL[:1]
FAULTS = ("end", "die", "hang", "taken", "all", "die", "end", "outage")


async def fault(work, what):
    """One of the troubles above."""
    world, rng = work.world, work.rng
    workers = [worker for worker in world.cloud.workers() if not worker.hung]
    if what == "end" and world.leader() is not None:
        await world.restart(world.leader(), rng.choice((0.0, 0.3)))
    elif what == "all":
        await world.restart_all(rng.uniform(0, 1))
    elif what in ("die", "taken"):
        for worker in rng.sample(workers, min(2, len(workers))):
            world.cloud.take(worker.name)
        if world.leader() is not None:
            await world.restart(world.leader(), 0.1)
    elif what == "hang" and workers:
        work.hang(rng.choice(workers), rng.uniform(2, 1.5 * LEASE_S))
    else:
        world.state.out = True
        await world.wait(rng.uniform(1, 5))
        world.state.end_outage()


@pytest.mark.parametrize(("seed", "paths"), [(0, REPORTS), (1, REPORTS), (2, ALL), (3, ALL)])
def test_late_copies_amid_ends_and_losses(seed, paths):
    """Copies from 1 s to three leases late, at any controller, leaders and machines that end and
    machines that hang: no rule is broken, and nothing that has gone looks alive."""

    async def main():
        work = await begin_short_work(seed, paths)
        for turn, what in enumerate(FAULTS):
            await fault(work, what)
            await work.submit(100 + turn, beats=3)
            await work.world.wait(work.rng.uniform(1, 6))
        await work.finish(most=400)
        assert work.world.network.copied > 150
        ghosts = work.world.ghosts
        assert not ghosts, f"{len(ghosts)} times, as {ghosts[0]}"

    run(main())


def reports_of(world, name):
    """The list of all that this worker reports from now on."""
    seen, copy = [], world.network._copy

    def keep(source, target, method, path, body):
        if path == "/hello" and source == name:
            seen.append(body)
        copy(source, target, method, path, body)

    world.network._copy = keep
    return seen


@pytest.mark.parametrize("takeover", [False, True])
def test_copies_of_a_dead_machine_do_not_keep_it_alive(takeover):
    """Its tasks are given up a lease after its last answer, two at the most after a takeover that
    knew nothing of the order of its reports."""

    async def main():
        world = GhostWorld(seed=2, members=FIVE, lease_s=LEASE_S)
        world.cloud.most = 3
        for _ in range(2):
            world.cloud.add(("small", "a", True))
        await world.until(lambda: world.leader() is not None)
        long = job(1, beats=2, vcpus=4.0, runS=300.0, expectedS=20.0, dueS=25.0)
        assert await world.submit(long) == 201
        await world.until(lambda: world.rules.starts >= 2)
        await world.wait(3)
        dead = next(worker for worker in world.cloud.workers() if worker.attempts)
        seen = reports_of(world, dead.name)
        await world.wait(4)
        dead.vanish()
        died = now()
        if takeover:
            await world.restart(world.leader(), 0.1)
            await world.until(lambda: world.leader() is not None)
        leader = world.nodes[world.leader()].leader
        await world.until(leader.loaded.is_set)

        async def again():
            """In order, one a second, as though it still reported."""
            for body in (seen * 20)[:60]:
                await world.network._late(dead.name, world.leader(), "POST", "/hello", body)
                await asyncio.sleep(1)

        def given_up():
            machine = leader.roster.get(dead.name)
            return machine is None or not machine.placements

        copying = asyncio.ensure_future(again())
        await world.until(given_up, most=(2 if takeover else 1) * LEASE_S + 4)
        assert now() - died > LEASE_S - 5, "not before it was proven"
        copying.cancel()

    run(main())


def unreachable(world):
    """Machines that the leader believes to hear nothing."""
    member = world.leader()
    leader = world.nodes[member].leader if member is not None else None
    return (
        {m.name for m in leader.roster if m.reachability.unreachable}
        if leader is not None
        else set()
    )


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("takeover", [False, True])
def test_machines_that_hear_nothing_get_nothing_and_come_back(seed, takeover):
    """A third of all: told apart within a lease and some reports, all work is done elsewhere, and
    they serve again once they hear."""

    async def main():
        work = await begin_short_work(seed, machines=9)
        world = work.world
        chosen = sorted(worker.name for worker in world.cloud.workers())[:3]
        world.drop_answers(chosen)
        assert await world.cancel(work.names.pop(0)) in ("cancelled", "done")
        if takeover:
            await world.restart(world.leader(), 0.3)
        for number in range(10, 16):
            form = "ensemble" if number % 3 == 0 else "batch"
            await work.submit(number, beats=8, form=form, vcpus=1.0)
        service = await work.submit(20, form="service", beats=2, vcpus=1.0, expectedS=0.0)
        work.names.remove(service)  # it has no end
        await world.wait(2.5 * LEASE_S)
        leader = work.leader()
        still = {n for n in chosen if n in world.cloud.machines and leader.roster.get(n)}
        timelines = leader.dispatcher.machines.timelines(leader.clock.now())
        # One that has shown nothing in this term is awaited like any that has not come yet.
        assert not still & {view.machine for view in timelines if not view.booting}
        assert takeover or unreachable(world) & still
        await world.finish(work.names, most=300)
        assert not set(chosen) & {m.name for m in leader.roster if m.placements}
        assert await world.poll(service) == "running"
        assert len(work.running(20)) == 2
        world.network.heal()
        world.rules.faults_over_at = now()
        await world.wait(2 * LEASE_S)
        assert not unreachable(world)
        last = job(99, beats=20, dueS=None)
        assert await world.submit(last) == 201
        assert await world.cancel(service) == "cancelled"
        await world.finish([last["id"], service], most=100)

    run(main())


def test_a_controller_that_nobody_hears_blames_no_machine():
    async def main():
        work = await begin_short_work(3, machines=6)
        world = work.world
        world.drop_answers([worker.name for worker in world.cloud.workers()])
        await world.wait(3 * LEASE_S)
        leader = work.leader()
        leader.dispatcher.machines.refresh()
        up = [machine for machine in leader.roster if machine.up]
        assert (
            len(unreachable(world)) * 2 <= len(up) or leader.dispatcher.machines.mostly_unreachable
        )
        world.network.heal()
        await work.finish(most=200)

    run(main())


@pytest.mark.parametrize("leads", [True, False])
def test_a_controller_that_is_left_alone_with_its_workers(leads):
    """It is not ready, tells users at once to come back, sends workers on at once, and they find
    the leader before their lease ends."""

    async def main():
        work = await begin_short_work(4)
        world = work.world
        member = world.leader() if leads else work.others()[0]
        sessions = work.sessions()

        async def status(path):
            return (await world._ask("GET", path, None, member)).status

        for worker in world.cloud.workers()[::2]:
            worker.node = member
        world.isolate(member)
        await world.until(lambda: world.leader() not in (None, member), most=8)
        await world.wait(5)
        began = now()
        assert await status("/ready") == 503
        assert await status(f"/submissions/{work.names[0]}") == 503
        assert now() - began < 0.5
        node = world.nodes[member]
        assert node.elector.holding() is None and node.reports.redirect_target() is None
        await world.wait(20)
        kept = sessions.keys() & work.sessions().keys()
        assert {name: work.sessions()[name] for name in kept} == {n: sessions[n] for n in kept}
        world.network.heal()
        world.rules.faults_over_at = now()
        await world.wait(2)
        assert await status("/ready") == 200
        await world.finish(work.names, most=200)

    run(main())


@pytest.mark.parametrize("young", [False, True])
@pytest.mark.parametrize("election", [False, True])
def test_a_worker_process_that_begins_anew_is_not_taken_for_the_old_one(young, election):
    """Its `set` and `tick` begin again, below what is known or soon above it, also while another
    controller comes to lead, and copies of the former one's reports go on coming."""

    async def main():
        work = await begin_short_work(7, REPORTS, machines=4, jobs=2)
        world = work.world
        await world.wait(0 if young else 15)
        long = job(50, beats=4, vcpus=4.0, runS=25.0, expectedS=25.0, dueS=40.0)
        work.names.append(long["id"])
        assert await world.submit(long) == 201
        await world.wait(4)
        old = [worker for worker in world.cloud.workers() if worker.attempts][:2]
        assert old
        if election:
            world.kill(world.leader())
            await world.wait(1)
        for worker in old:
            worker.vanish()
            await world.wait(0.2)
            world.cloud.machines[worker.name].worker = worker.begin_anew()
        await world.wait(2)
        for member in FIVE:
            if not world.alive(member):
                world.start(member)
        assert await work.finish(most=200) < 2 * LEASE_S + 90

    run(main())


def test_all_troubles_together():
    """Copies, machines that hear nothing, a controller alone, ends, an outage: every job is done
    in the end, and known all along."""

    async def main():
        work = await begin_short_work(5, REPORTS)
        world, rng = work.world, work.rng
        for turn in range(6):
            up = world.cloud.workers()
            world.drop_answers([worker.name for worker in rng.sample(up, len(up) // 4)])
            world.isolate(rng.choice(FIVE))
            if world.leader() is not None and turn % 2:
                await world.restart(world.leader(), rng.uniform(0, 0.5))
            world.state.out = turn == 3
            asked = asyncio.ensure_future(work.submit(200 + turn, beats=4, tries=60))
            await world.wait(rng.uniform(2, 12))
            if world.state.out:
                world.state.end_outage()
            world.network.heal()
            await world.wait(rng.uniform(0, 4))
            await asked
        world.network.copies = None
        await work.finish(most=400)
        world.rules.check_largest(now(), 240.0)
        assert not world.rules.broken and world.rules.longest_s < 10

    run(main())
