"""Whole days in virtual time: every trouble of the brief, some in pairs, with all rules checked
after each step."""

import asyncio

import pytest

from dappledrum.settings import Team
from dappledrum.standins.time import run
from dappledrum.standins.world import World, job


async def day(world, trouble, jobs=6, **changes):
    """Submit jobs, let something go wrong while they run, submit more, and see them all end."""
    await world.until(lambda: world.leader() is not None)
    names = []
    for number in range(jobs):
        spec = job(number, **changes)
        names.append(spec["id"])
        assert await world.submit(spec) == 201
    await world.until(lambda: world.rules.starts >= 4)
    await trouble(world)
    world.network.heal()
    late = job(900)
    assert await world.submit(late) in (200, 201)
    await world.finish([*names, late["id"]])
    for name in names:
        for member in world.members:
            assert await world.poll(name, member) in ("done", None)


async def quiet(world):
    await world.wait(1)


async def leader_killed(world):
    await world.restart(world.leader())


async def all_killed(world):
    await world.restart_all()


async def rolled(world):
    for member in world.members:
        await world.restart(member)
        await world.wait(6)


async def short_outage(world):
    world.state.out = True
    await world.wait(5)
    world.state.end_outage()


async def long_outage(world):
    world.state.out = True
    await world.wait(25)
    world.state.end_outage()


async def outage_and_all_killed(world):
    world.state.out = True
    await world.wait(4)
    await all_killed(world)
    await world.wait(12)
    world.state.end_outage()


async def leader_refused_in_a_wave(world):
    world.state.refused.add(world.leader())
    for name in [m.name for m in world.cloud.machines.values() if m.kind[2]][::2]:
        world.cloud.take(name)
    await world.wait(20)
    world.state.refused.clear()


async def leader_cut_from_state(world):
    world.cut_off(world.leader(), "state")
    await world.wait(25)


async def leader_cut_from_workers(world):
    leader = world.leader()
    for name in list(world.cloud.machines):
        world.network.cut(leader, name)
    await world.wait(25)


async def leader_cut_from_all(world):
    leader = world.leader()
    others = [m for m in world.members if m != leader]
    world.cut_off(
        leader, "state", "cloud", *others, *("back-" + m for m in others), *world.cloud.machines
    )
    await world.wait(25)


async def answers_lost(world):
    world.network.deaf.add(frozenset((world.leader(), "state")))
    await world.wait(8)


async def cloud_out(world):
    world.cloud.out = True
    await world.wait(20)
    world.cloud.out = False


async def machines_hang(world):
    hung = world.cloud.workers()[:2]
    for worker in hung:
        worker.hung = True
    await world.wait(6)
    hung[0].hung = False
    await world.wait(15)
    for worker in hung:
        worker.hung = False


async def machines_taken(world):
    for name in list(world.cloud.machines)[::2]:
        world.cloud.take(name)
    await world.wait(2)


async def boots_stall(world):
    world.cloud.stalled = 1.0
    await machines_taken(world)
    await world.wait(20)
    world.cloud.stalled = 0.0


async def cloud_requests_arrive_late(world):
    """Rentals and returns are held back, and executed under the next leader."""
    leader = world.leader()
    world.cut_off(leader, "cloud")
    await world.submit(job(800, beats=12, dueS=40.0))
    await world.wait(15)
    world.kill(leader)
    await world.wait(8)
    world.network.heal()
    world.start(leader)
    await world.wait(5)


async def transactions_arrive_late(world):
    """The leader's writes are held back until another one leads, then all arrive."""
    leader = world.leader()
    world.cut_off(leader, "state")
    await world.wait(8)
    assert world.leader() not in (None, leader)
    world.network.heal()
    assert world.network.late > 0
    await world.wait(5)


async def reports_arrive_late(world):
    """Reports are held back, their machines start anew, then the old reports arrive."""
    for name in list(world.cloud.machines)[:3]:
        for member in world.members:
            world.network.cut(name, member)
    await world.wait(15)
    world.network.heal()
    await world.wait(5)


async def cut_then_killed(world):
    leader = world.leader()
    for name in list(world.cloud.machines):
        world.network.cut(leader, name)
    await world.wait(3)
    await world.restart(leader)
    await world.wait(8)


async def leader_refused_by_one_side(world, side):
    leader = world.leader()
    world.network.refusing |= {frozenset((leader, other)) for other in side(world, leader)}
    await world.wait(25)
    world.network.refusing.clear()


async def workers_refused(world):
    """The leader looks well from the state service's side, and no worker reaches it."""
    await leader_refused_by_one_side(world, lambda world, _: list(world.cloud.machines))


async def peers_refused_in_an_outage(world):
    """No promise can be had, so the leader has to fall silent in time."""
    world.state.out = True
    await leader_refused_by_one_side(
        world, lambda world, leader: ["back-" + m for m in world.members if m != leader]
    )
    world.state.end_outage()


async def silent_for_a_minute_then_again(world):
    """A controller without power; the others serve, and its successor meets the same."""
    for _ in range(2):
        await world.restart(world.leader(), after=60)
        await world.until(lambda: world.leader() is not None)


TROUBLES = [
    quiet,
    leader_killed,
    all_killed,
    rolled,
    short_outage,
    long_outage,
    outage_and_all_killed,
    leader_refused_in_a_wave,
    leader_cut_from_state,
    leader_cut_from_workers,
    leader_cut_from_all,
    answers_lost,
    cloud_out,
    machines_hang,
    machines_taken,
    boots_stall,
    cut_then_killed,
    cloud_requests_arrive_late,
    transactions_arrive_late,
    reports_arrive_late,
    workers_refused,
    peers_refused_in_an_outage,
    silent_for_a_minute_then_again,
]


@pytest.mark.parametrize("trouble", TROUBLES, ids=lambda t: t.__name__)
def test_day_keeps_the_rules(trouble):
    async def main():
        await day(World(seed=3), trouble)

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_two_troubles_at_once(seed):
    async def main():
        world = World(seed=seed)
        pair = world.rng.sample(
            [leader_killed, machines_hang, machines_taken, short_outage, answers_lost], 2
        )

        async def both(world):
            for trouble in pair:
                await trouble(world)

        await day(world, both, runS=14.0)

    run(main())


def test_long_outage_keeps_running_work():
    """All peers promise not to stand, so leases go on and nothing is started again (design:
    promises)."""

    async def main():
        world = World(seed=5)
        await world.until(lambda: world.leader() is not None)
        for number in range(3):
            await world.submit(job(number, runS=80.0, expectedS=60.0, dueS=100.0))
        await world.until(lambda: len(world.rules.running) >= 8)
        await world.wait(2)
        running = set(world.rules.running)
        world.state.out = True
        await world.wait(world.lease_s * 2.5)
        assert running <= set(world.rules.running)
        world.state.end_outage()
        await world.finish([f"j-{n:06d}" for n in range(3)])
        assert world.rules.starts == 12  # none had to start twice

    run(main())


def test_cancellation_while_a_start_is_on_its_way():
    async def main():
        world = World(seed=2)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, runS=300.0))
        await world.until(lambda: world.rules.starts > 0)
        assert await world.cancel("j-000001") == "cancelled"
        await world.restart(world.leader())
        await world.wait(30)
        assert not world.rules.running
        for member in world.members:
            assert await world.poll("j-000001", member) == "cancelled"
        assert await world.submit(job(1)) == 200

    run(main())


def test_services_spread_one_zone_and_limits():
    async def main():
        world = World(seed=4)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, form="service", expectedS=0.0, dueS=None, beats=2))
        await world.submit(job(2, spread=True, beats=5))
        await world.submit(job(3, oneZone=True, beats=6))
        await world.submit(job(4, crew="red", beats=12))
        await world.submit(job(5, accelerators=1.0, hall="a", loaners=False, beats=1))
        await world.finish([f"j-{n:06d}" for n in range(2, 6)])
        assert await world.poll("j-000001") == "running"
        assert await world.cancel("j-000001") == "cancelled"
        await world.wait(15)
        assert not world.rules.running

    run(main())


def test_job_that_fails_everywhere_and_machine_on_which_all_fails():
    async def main():
        world = World(seed=6)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, broken=True))
        names = []
        for number in range(2, 7):
            await world.submit(job(number))
            names.append(f"j-{number:06d}")
        await world.until(lambda: world.rules.starts > 3)
        world.timing.faulty.add(world.cloud.workers()[0].name)
        await world.finish(names)
        before = world.rules.starts
        await world.wait(60)
        assert world.rules.starts - before < 40
        assert await world.cancel("j-000001") == "cancelled"

    run(main())


def test_what_cannot_be_taken_is_said_at_once():
    async def main():
        world = World(seed=7)
        await world.until(lambda: world.leader() is not None)
        world.state.out = True
        await world.wait(2)
        spec = job(1)
        world.rules.submitted(spec)
        began = asyncio.get_running_loop().time()
        assert await world.submit(spec, tries=1) is None
        assert (
            asyncio.get_running_loop().time() - began < 1.5
        )  # of which the stand-in user waits one second
        world.state.end_outage()
        assert await world.submit(spec) == 201

    run(main())


def test_controllers_started_during_an_outage_become_ready_after_it():
    """Readiness once hung on the first look for the catalog: all stayed unready when only the
    cloud had answered it. Without words nobody knows of a peer that could serve instead."""

    async def main():
        world = World(seed=9, reach=False)
        await world.until(lambda: world.leader() is not None)
        world.state.out = True
        await world.wait(1)
        await all_killed(world)
        await world.wait(3)
        for member in world.members:
            reply = await world._ask("GET", "/ready", None, member)
            assert reply is not None and reply.status == 503
        world.state.end_outage()
        await world.wait(5)
        for member in world.members:
            reply = await world._ask("GET", "/ready", None, member)
            assert reply is not None and reply.status == 200

    run(main())


def test_a_new_leader_does_not_rent_again_what_is_booting():
    """The list lags, so a new leader once rented its predecessor's booting machines a second
    time."""

    async def main():
        world = World(seed=10)
        for kind in world.cloud.types:
            kind["readyS"] = 30.0
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=6, vcpus=4.0, builds=["small"], dueS=60.0))
        await world.until(lambda: len(world.cloud.machines) >= 2)
        await world.wait(3)
        rented = world.cloud.next
        await world.restart(world.leader())
        await world.until(lambda: world.rules.starts > 0)
        assert world.cloud.next <= rented + 1
        await world.finish(["j-000001"])

    run(main())


def test_a_new_leader_returns_no_machine_that_has_not_found_it_yet():
    """Machines long up but not yet heard by the new leader once passed for boots that never
    end."""

    async def main():
        world = World(seed=11)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=8, dueS=30.0))
        await world.finish(["j-000001"])
        await world.until(
            lambda: min(m.since for m in world.cloud.machines.values()) + 34 < loop_time()
        )
        names = {worker.name for worker in world.cloud.workers()}
        leader = world.leader()
        for member in world.members:
            for name in names:
                world.network.cut(name, member)
        world.kill(leader)
        await world.until(lambda: world.leader() not in (None, leader))
        await world.wait(5)
        assert names and names <= set(world.cloud.machines)

    run(main())


def loop_time():
    return asyncio.get_running_loop().time()


def test_a_team_gets_its_guarantee_from_borrowers_and_urgent_work_goes_first():
    async def main():
        world = World(seed=12, teams=(Team("blue"), Team("red", cpus=8.0)))
        world.cloud.most = 3
        await world.until(lambda: world.leader() is not None)
        await world.submit(
            job(1, beats=60, builds=["small"], runS=60.0, expectedS=60.0, urgency="best_effort")
        )
        await world.until(lambda: len(world.rules.running) >= 6)

        def running(name):
            return sum(job_id == name for job_id, _ in world.rules.running)

        await world.submit(
            job(2, crew="red", builds=["small"], beats=2, urgency="best_effort", dueS=20.0)
        )
        await world.until(lambda: running("j-000002") == 2, most=30)
        await world.submit(job(3, builds=["small"], beats=1, urgency="prod", dueS=20.0))
        await world.until(lambda: running("j-000003") == 1, most=30)
        assert not world.rules.broken

    run(main())


def test_a_surge_with_wrong_estimates_and_many_images_stays_within_the_rates():
    """Every owner is wrong by three times, every job brings an image of its own."""

    async def main():
        world = World(seed=13)
        await world.until(lambda: world.leader() is not None)
        writes, began = world.state.writes, loop_time()
        names = []
        for number in range(40):
            spec = job(
                number, skin=f"img-{number}", expectedS=2.0 if number % 2 else 18.0, dueS=60.0
            )
            names.append(spec["id"])
            assert await world.submit(spec) == 201
        await world.finish(names, most=400)
        rate = (world.state.writes - writes) / (loop_time() - began)
        assert rate < world.params.state.write_rps

    run(main())


def test_a_notice_moves_what_would_be_lost_and_proves_the_rest_gone():
    """A task that the notice doomed once ran on until the machine was taken, and began again only
    when the worker's lease had run out: half a minute lost for each."""

    async def main():
        world = World(seed=18, lease_s=30.0)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=2, vcpus=4.0, runS=40.0, expectedS=40.0, dueS=70.0))
        await world.until(lambda: len(world.rules.running) == 2)
        await world.submit(job(2, beats=1, vcpus=4.0, runS=8.0, expectedS=8.0, dueS=30.0))
        await world.until(lambda: len(world.rules.running) == 3)
        began = loop_time()
        for worker in world.cloud.workers():
            worker.recall_at = began + 12.0
            worker.changed.set()
        taken = [worker.name for worker in world.cloud.workers()]
        await world.wait(12)
        assert len(world.rules.jobs["j-000002"].done) == 1  # it had time enough
        for name in taken:
            machine = world.cloud.machines.pop(name, None)  # and no list says so
            if machine is not None:
                machine.worker.vanish()
        await world.finish(["j-000001", "j-000002"])
        assert loop_time() - began < 75

    run(main())


def test_after_an_end_of_all_nobody_waits_for_promises_that_no_one_relies_on():
    """Each restart of all controllers once cost 2 s in which none of them stood."""

    async def main():
        world = World(seed=19)
        await world.until(lambda: world.leader() is not None)
        await world.restart_all(4.0)
        took = await world.until(lambda: world.leader() is not None)
        assert took < 1.6
        # One that can't be asked may hold a term, so the wait stands.
        world.kill("drummer-2")
        await world.restart("drummer-0", 1.0)
        assert (
            world.nodes["drummer-0"].elector.witness.unknown_until
            > world.nodes["drummer-0"].clock.now()
        )
        await world.wait(1.5)
        assert (
            world.nodes["drummer-0"].elector.witness.unknown_until
            > world.nodes["drummer-0"].clock.now()
        )

    run(main())


def test_a_leader_that_holds_on_promises_keeps_a_restarted_peer_from_standing():
    """The wait is only spared when nobody holds a term; here the leader does, on the promise of
    the process that has just ended."""

    async def main():
        world = World(seed=20, lease_s=30.0)
        await world.until(lambda: world.leader() is not None)
        leader = world.leader()
        other = next(m for m in world.members if m != leader)
        world.state.out = True
        await world.wait(4)
        assert world.nodes[leader].elector.holding() is not None
        await world.restart(other, 0.2)
        await world.wait(1.0)
        witness = world.nodes[other].elector.witness
        assert witness.free_at() > world.nodes[other].clock.now()
        world.state.end_outage()
        await world.wait(3)

    run(main())


def test_an_unreachable_state_service_is_said_once_and_when_it_is_over(caplog):
    async def main():
        world = World(seed=21)
        await world.until(lambda: world.leader() is not None)
        caplog.clear()
        world.state.out = True
        await world.wait(6)
        during = [r for r in caplog.records if "does not serve" in r.getMessage()]
        assert len(during) == len(world.members)
        world.state.end_outage()
        await world.wait(4)
        over = [r for r in caplog.records if "over after" in r.getMessage()]
        assert len(over) == len(world.members)

    run(main())
