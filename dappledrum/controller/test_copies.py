"""Reports that come again late, machines that hear nothing, and controllers that are left alone
with their workers."""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.standins.fleet import Worker
from dappledrum.standins.network import Copies
from dappledrum.standins.time import run
from dappledrum.standins.world import World, job

FIVE = tuple(f"drummer-{index}" for index in range(5))
LEASE = 9.0
OFF = timedelta(seconds=0.5)  # of clocks, and of the steps in which the worlds are looked at


def now():
    return asyncio.get_running_loop().time()


class Watched(World):
    """Looks at what the leader makes of machines that are gone."""

    def __post_init__(self):
        super().__post_init__()
        self.gone_at = {}
        self.ghosts = []
        take = self.cloud.take

        def taken(name):
            self.gone_at.setdefault(name, now())
            take(name)

        self.cloud.take = taken

    async def wait(self, seconds):
        end = now() + seconds
        while now() < end:
            await super().wait(min(0.25, end - now()))
            member = self.leader()
            leader = self.nodes[member].leader if member is not None else None
            if leader is None:
                continue
            began = now() - (leader.clock.now() - leader.began).total_seconds()
            planned = {
                view.machine for view in leader.dispatcher.machines.lanes(leader.clock.now())
            }
            for machine in leader.roster:
                gone = self.gone_at.get(machine.name)
                if gone is None or gone > began - OFF.total_seconds():
                    continue
                # The cloud's list may show it for a while, and a record say that it boots.
                told = machine.listed_at is not None or machine.rented_at != machine.seen_at
                counted = machine.name in planned and not told
                if machine.up or counted and not machine.placements:
                    self.ghosts.append(machine.name)


#: Requests of all kinds: of users, workers and controllers, to the state service and the cloud.
ALL = ("/hello", "/submissions", "/multi", "/holds", "/rentals", "/peer")


async def busy(seed, copies=("/hello",), machines=8, jobs=5):
    world = Watched(seed=seed, members=FIVE, lease_s=LEASE)
    for _ in range(machines):
        world.cloud.add(("small", "a", True))
    world.cloud.most = machines + 4
    await world.until(lambda: world.leader() is not None)
    if copies:
        world.network.copies = Copies(0.6, 1.0, 3 * LEASE, world.members, copies)
    names = []
    for number in range(jobs):
        spec = job(number, beats=6, dueS=None, crew="red" if number == 4 else "blue")
        names.append(spec["id"])
        assert await world.submit(spec) in (200, 201)
    await world.until(lambda: world.rules.starts >= 6)
    return world, names


@pytest.mark.parametrize(("seed", "paths"), [(0, ALL[:1]), (1, ALL[:1]), (2, ALL), (3, ALL)])
def test_late_copies_amid_ends_and_losses(seed, paths):
    """Copies from 1 s to three leases late, at any controller, leaders and machines that end and
    machines that hang: no rule is broken, and nothing that has gone looks alive."""

    async def main():
        world, names = await busy(seed, paths)
        rng = random.Random(seed)
        for turn in range(8):
            what = ("end", "die", "hang", "taken", "all", "die", "end", "outage")[turn]
            workers = [w for w in world.cloud.workers() if not w.hung]
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
                worker = rng.choice(workers)
                worker.hung = True
                asyncio.get_running_loop().call_later(
                    rng.uniform(2, 1.5 * LEASE), setattr, worker, "hung", False
                )
            else:
                world.state.out = True
                await world.wait(rng.uniform(1, 5))
                world.state.end_outage()
            spec = job(100 + turn, beats=3, dueS=None)
            names.append(spec["id"])
            assert await world.submit(spec) in (200, 201)
            await world.wait(rng.uniform(1, 6))
        world.rules.quiet_at = now()
        await world.finish(names, most=400)
        assert world.network.copied > 150
        assert not world.ghosts, f"{len(world.ghosts)} times, as {world.ghosts[0]}"

    run(main())


@pytest.mark.parametrize("takeover", [False, True])
def test_copies_of_a_dead_machine_do_not_keep_it_alive(takeover):
    """Its tasks are given up a lease after its last answer, two at the most after a takeover that
    knew nothing of the order of its reports."""

    async def main():
        world = Watched(seed=2, members=FIVE, lease_s=LEASE)
        world.cloud.most = 3
        for _ in range(2):
            world.cloud.add(("small", "a", True))
        await world.until(lambda: world.leader() is not None)
        long = job(1, beats=2, vcpus=4.0, runS=300.0, expectedS=20.0, dueS=25.0)
        assert await world.submit(long) == 201
        await world.until(lambda: world.rules.starts >= 2)
        await world.wait(3)
        dead = next(w for w in world.cloud.workers() if w.attempts)
        seen = []
        watch = world.network._copy

        def keep(source, target, method, path, body):
            if path == "/hello" and source == dead.name:
                seen.append(body)
            watch(source, target, method, path, body)

        world.network._copy = keep
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

        copying = asyncio.ensure_future(again())
        most = (2 if takeover else 1) * LEASE + 4
        await world.until(
            lambda: (
                leader.roster.get(dead.name) is None
                or not (leader.roster.get(dead.name).placements)
            ),
            most=most,
        )
        assert now() - died > LEASE - 5, "not before it was proven"
        copying.cancel()

    run(main())


def deaf(world):
    member = world.leader()
    leader = world.nodes[member].leader if member is not None else None
    return {m.name for m in leader.roster if m.hearing.deaf} if leader is not None else set()


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("takeover", [False, True])
def test_machines_that_hear_nothing_get_nothing_and_come_back(seed, takeover):
    """A third of all: told apart within a lease and some reports, all work is done elsewhere, and
    they serve again once they hear."""

    async def main():
        world, names = await busy(seed, copies=(), machines=9)
        chosen = sorted(worker.name for worker in world.cloud.workers())[:3]
        world.deafen(chosen)
        assert await world.cancel(names.pop(0)) in ("cancelled", "done")
        if takeover:
            await world.restart(world.leader(), 0.3)
        for number in range(10, 16):
            form = "ensemble" if number % 3 == 0 else "batch"
            spec = job(number, beats=8, dueS=None, form=form, vcpus=1.0)
            names.append(spec["id"])
            assert await world.submit(spec) in (200, 201)
        replicas = job(20, form="service", beats=2, vcpus=1.0, expectedS=0.0, dueS=None)
        assert await world.submit(replicas) in (200, 201)
        await world.wait(2.5 * LEASE)
        leader = world.nodes[world.leader()].leader
        still = {n for n in chosen if n in world.cloud.machines and leader.roster.get(n)}
        lanes = leader.dispatcher.machines.lanes(leader.clock.now())
        # One that has shown nothing in this term is awaited like any that has not come yet.
        assert not still & {view.machine for view in lanes if not view.booting}
        assert takeover or deaf(world) & still
        await world.finish(names, most=300)
        assert not set(chosen) & {m.name for m in leader.roster if m.placements}
        assert await world.poll(replicas["id"]) == "running"
        assert len([job for job, _ in world.rules.running if job == replicas["id"]]) == 2
        world.network.heal()
        world.rules.quiet_at = now()
        await world.wait(2 * LEASE)
        assert not deaf(world)
        last = job(99, beats=20, dueS=None)
        assert await world.submit(last) == 201
        assert await world.cancel(replicas["id"]) == "cancelled"
        await world.finish([last["id"], replicas["id"]], most=100)

    run(main())


def test_a_controller_that_nobody_hears_blames_no_machine():
    async def main():
        world, names = await busy(3, copies=(), machines=6)
        world.deafen([worker.name for worker in world.cloud.workers()])
        await world.wait(3 * LEASE)
        leader = world.nodes[world.leader()].leader
        leader.dispatcher.machines.refresh()
        up = [m for m in leader.roster if m.up]
        assert len(deaf(world)) * 2 <= len(up) or leader.dispatcher.machines.one_sided
        world.network.heal()
        await world.finish(names, most=200)

    run(main())


@pytest.mark.parametrize("leads", [True, False])
def test_a_controller_that_is_left_alone_with_its_workers(leads):
    """It is not ready, tells users at once to come back, sends workers on at once, and they find
    the leader before their lease ends."""

    async def main():
        world, names = await busy(4, copies=())
        leader = world.leader()
        member = leader if leads else next(m for m in FIVE if m != leader)
        sessions = {w.name: w.session for w in world.cloud.workers()}
        for worker in world.cloud.workers()[::2]:
            worker.node = member
        world.isolate(member)
        await world.until(lambda: world.leader() not in (None, member), most=8)
        await world.wait(5)
        began = now()
        assert (await world._ask("GET", "/ready", None, member)).status == 503
        assert (await world._ask("GET", f"/submissions/{names[0]}", None, member)).status == 503
        assert now() - began < 0.5
        node = world.nodes[member]
        assert node.elector.holding() is None and node.reports.conductor() is None
        await world.wait(20)
        for worker in world.cloud.workers():
            if worker.name in sessions:
                assert worker.session == sessions[worker.name]
        world.network.heal()
        world.rules.quiet_at = now()
        await world.wait(2)
        assert (await world._ask("GET", "/ready", None, member)).status == 200
        await world.finish(names, most=200)

    run(main())


@pytest.mark.parametrize("young", [False, True])
@pytest.mark.parametrize("election", [False, True])
def test_a_worker_process_that_begins_anew_is_not_taken_for_the_old_one(young, election):
    """Its `set` and `tick` begin again, below what is known or soon above it, also while another
    controller comes to lead, and copies of the former one's reports go on coming."""

    async def main():
        world, names = await busy(7, machines=4, jobs=2)
        await world.wait(0 if young else 15)
        long = job(50, beats=4, vcpus=4.0, runS=25.0, expectedS=25.0, dueS=40.0)
        names.append(long["id"])
        assert await world.submit(long) == 201
        await world.wait(4)
        old = [w for w in world.cloud.workers() if w.attempts][:2]
        assert old
        if election:
            world.kill(world.leader())
            await world.wait(1)
        for worker in old:
            worker.vanish()
            await world.wait(0.2)
            rented = world.cloud.machines[worker.name]
            rented.worker = Worker(
                worker.name,
                worker.kind,
                worker.size,
                world.network,
                world.rules,
                world.timing,
                list(world.members),
                world.rng,
            )
        await world.wait(2)
        for member in FIVE:
            if not world.alive(member):
                world.start(member)
        world.rules.quiet_at = now()
        took = await world.finish(names, most=200)
        assert took < 2 * LEASE + 90

    run(main())


def test_all_troubles_together():
    """Copies, machines that hear nothing, a controller alone, ends, an outage: every job is done
    in the end, and known all along."""

    async def main():
        world, names = await busy(5)
        rng = random.Random(5)
        for turn in range(6):
            up = world.cloud.workers()
            world.deafen([w.name for w in rng.sample(up, len(up) // 4)])
            world.isolate(rng.choice(FIVE))
            if world.leader() is not None and turn % 2:
                await world.restart(world.leader(), rng.uniform(0, 0.5))
            world.state.out = turn == 3
            spec = job(200 + turn, beats=4, dueS=None)
            names.append(spec["id"])
            asked = asyncio.ensure_future(world.submit(spec, 60))
            await world.wait(rng.uniform(2, 12))
            if world.state.out:
                world.state.end_outage()
            world.network.heal()
            await world.wait(rng.uniform(0, 4))
            assert await asked in (200, 201)
        world.network.copies = None
        world.rules.quiet_at = now()
        await world.finish(names, most=400)
        world.rules.check_largest(now(), 240.0)
        assert not world.rules.broken and world.rules.longest_s < 10

    run(main())
