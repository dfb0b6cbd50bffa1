"""Troubles that tests bring about in a world: each is a coroutine that takes the world and returns
once it is over, or once only the network is left to heal."""

from collections.abc import Awaitable, Callable

from dappledrum.simulation.cluster import World, job

FaultLog = Callable[[World], Awaitable[None]]


def in_turn(*troubles: FaultLog) -> FaultLog:
    """Some troubles, one after the other."""

    async def all_of_them(world: World) -> None:
        for fault in troubles:
            await fault(world)

    return all_of_them


# controllers


async def quiet(world: World) -> None:
    """Nothing goes wrong."""
    await world.wait(1)


async def leader_killed(world: World) -> None:
    """The leader ends, and starts again."""
    await world.restart(world.leader())


async def all_killed(world: World) -> None:
    """All controllers end at once."""
    await world.restart_all()


async def rolled(world: World) -> None:
    """Each controller is restarted in turn, as in an upgrade."""
    for member in world.members:
        await world.restart(member)
        await world.wait(6)


async def silent_for_a_minute_then_again(world: World) -> None:
    """A controller without power; the others serve, and its successor meets the same."""
    for _ in range(2):
        await world.restart(world.leader(), after=60)
        await world.until_led()


def pausing(which: str, seconds: float) -> FaultLog:
    """Some controllers ("leader", "follower" or "all") stand still while their clocks go on."""

    async def fault(world: World) -> None:
        leader = world.leader()
        paused = {
            "leader": [leader],
            "follower": world.others(leader)[:1],
            "all": list(world.members),
        }[which]
        for member in paused:
            world.freeze(member)
        await world.wait(seconds)
        for member in paused:
            world.thaw(member)
        await world.wait(3)

    fault.__name__ = f"{which}_for_{seconds}_s"
    return fault


# the state service


def outage(seconds: float) -> FaultLog:
    """The state service answers nobody."""

    async def fault(world: World) -> None:
        world.state.out = True
        await world.wait(seconds)
        world.state.end_outage()

    return fault


async def short_outage(world: World) -> None:
    """One that workers' leases survive."""
    await outage(5)(world)


async def long_outage(world: World) -> None:
    """One that lasts for several leases."""
    await outage(25)(world)


async def outage_and_all_killed(world: World) -> None:
    """All controllers end in an outage, and start again in it."""
    world.state.out = True
    await world.wait(4)
    await all_killed(world)
    await world.wait(12)
    world.state.end_outage()


async def leader_refused_in_a_wave(world: World) -> None:
    """The state service refuses the leader while half of the spot machines are taken."""
    world.state.refused.add(world.leader())
    for name in [m.name for m in world.cloud.machines.values() if m.kind[2]][::2]:
        world.cloud.take(name)
    await world.wait(20)
    world.state.refused.clear()


# links


async def leader_cut_from_state(world: World) -> None:
    """Requests of the leader to the state service are held back."""
    world.cut_off(world.leader(), "state")
    await world.wait(25)


async def leader_cut_from_workers(world: World) -> None:
    """Nothing passes between the leader and the workers."""
    leader = world.leader()
    for name in list(world.cloud.machines):
        world.network.cut(leader, name)
    await world.wait(25)


async def leader_cut_from_all(world: World) -> None:
    """Nobody but users reaches the leader."""
    leader = world.leader()
    world.isolate(leader)
    world.cut_off(leader, "cloud", *world.cloud.machines)
    await world.wait(25)


async def cut_then_killed(world: World) -> None:
    """The leader is cut off from the workers, and ends 3 s later."""
    leader = world.leader()
    for name in list(world.cloud.machines):
        world.network.cut(leader, name)
    await world.wait(3)
    await world.restart(leader)
    await world.wait(8)


async def answers_lost(world: World) -> None:
    """The state service does what the leader asks, and its answers are lost."""
    world.network.answers_dropped.add(frozenset((world.leader(), "state")))
    await world.wait(8)


async def _leader_refused_by(world: World, *hosts: str) -> None:
    leader = world.leader()
    world.network.refusing |= {frozenset((leader, other)) for other in hosts}
    await world.wait(25)
    world.network.refusing.clear()


async def workers_refused(world: World) -> None:
    """The leader looks well from the state service's side, and no worker reaches it."""
    await _leader_refused_by(world, *world.cloud.machines)


async def peers_refused_in_an_outage(world: World) -> None:
    """No promise can be had, so the leader has to fall silent in time."""
    world.state.out = True
    others = world.others(world.leader())
    await _leader_refused_by(world, *("back-" + member for member in others))
    world.state.end_outage()


# requests that are carried out late


async def cloud_requests_arrive_late(world: World) -> None:
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


async def transactions_arrive_late(world: World) -> None:
    """The leader's writes are held back until another one leads, then all arrive."""
    leader = world.leader()
    world.cut_off(leader, "state")
    await world.wait(8)
    assert world.leader() not in (None, leader)
    world.network.heal()
    assert world.network.late > 0
    await world.wait(5)


async def reports_arrive_late(world: World) -> None:
    """Reports are held back, their machines start anew, then the old reports arrive."""
    for name in list(world.cloud.machines)[:3]:
        for member in world.members:
            world.network.cut(name, member)
    await world.wait(15)
    world.network.heal()
    await world.wait(5)


# machines


async def cloud_out(world: World) -> None:
    """The cloud answers nobody."""
    world.cloud.out = True
    await world.wait(20)
    world.cloud.out = False


async def machines_hang(world: World) -> None:
    """Two machines stand still, one of them for longer than its lease."""
    hung = world.cloud.workers()[:2]
    for worker in hung:
        worker.hung = True
    await world.wait(6)
    hung[0].hung = False
    await world.wait(15)
    for worker in hung:
        worker.hung = False


async def machines_taken(world: World) -> None:
    """The cloud takes half of the machines."""
    for name in list(world.cloud.machines)[::2]:
        world.cloud.take(name)
    await world.wait(2)


async def boots_stall(world: World) -> None:
    """No machine that is rented comes up for a while."""
    world.cloud.stalled = 1.0
    await machines_taken(world)
    await world.wait(20)
    world.cloud.stalled = 0.0
