"""Work that nobody expects by any time: it gets idle room, gives it back, and still ends."""

from datetime import timedelta

from dappledrum.scheduling.timeline import Size
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run

IDLE = {
    "urgency": "best_effort",
    "dueS": None,
    "markEveryS": 5.0,
    "markTakeS": 1.0,
    "expectedS": 40.0,
    "runS": 40.0,
}


def running(world, name):
    return sum(job_id == name for job_id, _ in world.rules.running)


def test_idle_work_starts_without_a_deadline_and_ends():
    """Planned with a far deadline it was put off at each plan, and began when the day was over."""

    async def main():
        world = World(seed=21)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=12, **IDLE))
        await world.until(lambda: running(world, "j-000001") >= 4, most=60)
        await world.finish(["j-000001"])
        assert all(machine.kind[2] for machine in world.cloud.machines.values())

    run(main())


def test_idle_work_that_keeps_its_progress_gives_way_to_what_would_be_late():
    async def main():
        world = World(seed=22)
        world.cloud.most = 2
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=40, **IDLE | {"runS": 300.0, "builds": ["small"]}))
        await world.until(lambda: running(world, "j-000001") >= 3, most=90)
        before = running(world, "j-000001")
        await world.submit(job(2, beats=2, vcpus=3.0, builds=["small"], dueS=40.0))
        took = await world.finish(["j-000002"], most=60)
        assert took < 40
        assert running(world, "j-000001") < before + 1
        assert await world.cancel("j-000001") == "cancelled"

    run(main())


def test_answers_wait_only_where_there_is_room_and_no_end_is_near():
    """A worker has one report on its way, so news of an end would wait for the answer."""

    async def main():
        world = World(seed=22)
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(1, beats=1, builds=["large"], runS=30.0, expectedS=30.0))
        await world.until(lambda: len(world.rules.running) == 1)
        await world.wait(3)
        leader = world.nodes[world.leader()].leader
        [machine] = [m for m in leader.roster if m.placements]
        assert leader.dispatcher.machines.may_wait(machine, timedelta(seconds=2))
        assert not leader.dispatcher.machines.may_wait(machine, timedelta(seconds=29))
        leader.dispatcher.machines.sizes = {
            Size(16.0, 0.0, 1.0)
        }  # nothing that would fit beside it
        assert not leader.dispatcher.machines.may_wait(machine, timedelta(seconds=2))

    run(main())


def test_ordinary_machines_give_way_to_any_spot_machine_that_can_stand_in():
    """By type and zone alone the large machines of one bad moment stayed for the day, while idle
    spot machines of another type went back."""

    async def main():
        world = World(seed=44)
        large = next(kind for kind in world.cloud.types if kind["label"] == "large")
        large["marketPrice"] = None  # no spot machine of this type
        world.cloud.most = 20
        await world.until(lambda: world.leader() is not None)
        await world.submit(job(0, beats=12, vcpus=4.0, loaners=False, dueS=40.0, runS=20.0))
        await world.finish(["j-000000"])
        ordinary = {m.name for m in world.cloud.machines.values() if not m.kind[2]}
        assert ordinary
        names = []
        for number in range(1, 16):
            await world.submit(job(number, beats=4, runS=12.0, expectedS=12.0, dueS=150.0))
            names.append(f"j-{number:06d}")
            await world.wait(8)
        on = {m for places in world.rules.running.values() for m in places}
        assert on and not on & ordinary
        await world.finish(names)

    run(main())


async def busy_world(spec, running):
    """Two small ordinary machines and a large spot machine, and no more to be had; a job of which
    so many tasks run."""
    world = World(seed=45)
    for kind in (("small", "a", False), ("small", "a", False), ("large", "a", True)):
        world.cloud.add(kind)
    world.cloud.most = len(world.cloud.machines)
    await world.until(lambda: world.leader() is not None)
    assert await world.submit(spec) == 201
    await world.until(lambda: len(world.rules.running) >= running)
    return world


async def none_retires(world, seconds):
    """No machine is retired while this time passes."""
    leader = world.nodes[world.leader()].leader
    end = world.now() + seconds
    while world.now() < end:
        await world.wait(0.25)
        assert not any(machine.retiring for machine in leader.roster)


def test_ordinary_machines_work_on_while_spot_machines_are_about_to_go():
    """Room on a spot machine that the cloud is about to take counted as room for what waits. While
    no other machine could be had, ordinary ones then got no new work and were returned."""

    async def main():
        spec = job(1, beats=40, runS=100.0, expectedS=100.0, dueS=60.0)
        world = await busy_world(spec, 10)
        taken = next(w for w in world.cloud.workers() if w.kind[0] == "large")
        taken.recall_at = world.now() + 30
        await none_retires(world, 15)
        assert len(world.rules.running) <= 4, "the spot machine is left in time"
        world.cloud.most = 10
        await world.finish(["j-000001"], most=600)

    run(main())


def test_ordinary_machines_work_on_while_late_work_waits_for_their_type():
    """Room on spot machines of another type is none for it."""

    async def main():
        spec = job(1, beats=30, runS=100.0, expectedS=100.0, dueS=60.0, builds=["small"])
        world = await busy_world(spec, 4)
        await none_retires(world, 30)
        assert await world.cancel("j-000001") == "cancelled"

    run(main())
