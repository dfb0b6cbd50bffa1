"""Fault scenarios for tests: each is a coroutine that injects faults into a simulated cluster, and
returns once they have ended or only the network is left to heal."""

from collections.abc import Awaitable, Callable

from dappledrum.simulation.cluster import SimulatedCluster, job

Fault = Callable[[SimulatedCluster], Awaitable[None]]


def leading(cluster: SimulatedCluster) -> str:
    """The leader; asserts that there is one."""
    leader = cluster.leader()
    assert leader is not None, "no controller leads"
    return leader


def in_turn(*faults: Fault) -> Fault:
    """Combine faults that follow one another."""

    async def each_in_turn(cluster: SimulatedCluster) -> None:
        for fault in faults:
            await fault(cluster)

    return each_in_turn


# controllers


async def no_fault(cluster: SimulatedCluster) -> None:
    """No fault."""
    await cluster.wait(1)


async def leader_killed(cluster: SimulatedCluster) -> None:
    """The leader crashes and restarts."""
    await cluster.restart(leading(cluster))


async def all_killed(cluster: SimulatedCluster) -> None:
    """All controllers crash at once."""
    await cluster.restart_all()


async def rolling_restart(cluster: SimulatedCluster) -> None:
    """All controllers are restarted one after the other, as in an upgrade."""
    for member in cluster.members:
        await cluster.restart(member)
        await cluster.wait(6)


async def leader_down_for_a_minute_twice(cluster: SimulatedCluster) -> None:
    """The leader is down for a minute, and then its successor is."""
    for _ in range(2):
        await cluster.restart(leading(cluster), after=60)
        await cluster.until_led()


def freezing(which: str, seconds: float) -> Fault:
    """Some controllers ("leader", "follower" or "all") are frozen while their clocks continue."""

    async def fault(cluster: SimulatedCluster) -> None:
        leader = cluster.leader()
        frozen = {
            "leader": [leader] if leader is not None else [],
            "follower": cluster.others(leader)[:1],
            "all": list(cluster.members),
        }[which]
        for member in frozen:
            cluster.freeze(member)
        await cluster.wait(seconds)
        for member in frozen:
            cluster.thaw(member)
        await cluster.wait(3)

    fault.__name__ = f"{which}_for_{seconds}_s"
    return fault


# the store


def outage(seconds: float) -> Fault:
    """The store refuses all requests for some seconds."""

    async def fault(cluster: SimulatedCluster) -> None:
        cluster.store.in_outage = True
        await cluster.wait(seconds)
        cluster.store.end_outage()

    return fault


async def short_outage(cluster: SimulatedCluster) -> None:
    """An outage of the store that is shorter than the workers' leases."""
    await outage(5)(cluster)


async def long_outage(cluster: SimulatedCluster) -> None:
    """An outage of the store that lasts for several leases."""
    await outage(25)(cluster)


async def outage_and_all_killed(cluster: SimulatedCluster) -> None:
    """All controllers crash and restart during an outage of the store."""
    cluster.store.in_outage = True
    await cluster.wait(4)
    await all_killed(cluster)
    await cluster.wait(12)
    cluster.store.end_outage()


async def leader_refused_while_machines_terminate(cluster: SimulatedCluster) -> None:
    """The store refuses the leader while the cloud terminates half of the spot machines."""
    cluster.store.refused.add(leading(cluster))
    for name in [m.name for m in cluster.cloud.machines.values() if m.kind[2]][::2]:
        cluster.cloud.terminate(name)
    await cluster.wait(20)
    cluster.store.refused.clear()


# network


async def leader_cut_from_state(cluster: SimulatedCluster) -> None:
    """The leader and the store do not reach each other."""
    cluster.cut_off(leading(cluster), "state")
    await cluster.wait(25)


async def leader_cut_from_workers(cluster: SimulatedCluster) -> None:
    """The leader and the workers do not reach each other."""
    leader = leading(cluster)
    for name in list(cluster.cloud.machines):
        cluster.network.cut(leader, name)
    await cluster.wait(25)


async def leader_cut_from_all(cluster: SimulatedCluster) -> None:
    """The leader is cut off from everything but users."""
    leader = leading(cluster)
    cluster.isolate(leader)
    cluster.cut_off(leader, "cloud", *cluster.cloud.machines)
    await cluster.wait(25)


async def cut_then_killed(cluster: SimulatedCluster) -> None:
    """The leader is cut off from the workers, and crashes 3 s later."""
    leader = leading(cluster)
    for name in list(cluster.cloud.machines):
        cluster.network.cut(leader, name)
    await cluster.wait(3)
    await cluster.restart(leader)
    await cluster.wait(8)


async def answers_lost(cluster: SimulatedCluster) -> None:
    """The store executes the leader's requests, but its responses are lost."""
    cluster.network.answers_dropped.add(frozenset((leading(cluster), "state")))
    await cluster.wait(8)


async def _leader_refused_by(cluster: SimulatedCluster, *hosts: str) -> None:
    leader = leading(cluster)
    cluster.network.refusing |= {frozenset((leader, other)) for other in hosts}
    await cluster.wait(25)
    cluster.network.refusing.clear()


async def workers_refused(cluster: SimulatedCluster) -> None:
    """The store serves the leader, but no worker reaches the leader."""
    await _leader_refused_by(cluster, *cluster.cloud.machines)


async def peers_refused_in_an_outage(cluster: SimulatedCluster) -> None:
    """An outage in which no peer grants a lease, so the leader has to stop answering in time."""
    cluster.store.in_outage = True
    others = cluster.others(leading(cluster))
    await _leader_refused_by(cluster, *("back-" + member for member in others))
    cluster.store.end_outage()


# late requests


async def cloud_requests_arrive_late(cluster: SimulatedCluster) -> None:
    """Rentals and returns are held back, and executed while the next controller leads."""
    leader = leading(cluster)
    cluster.cut_off(leader, "cloud")
    await cluster.submit(job(800, beats=12, dueS=40.0))
    await cluster.wait(15)
    cluster.kill(leader)
    await cluster.wait(8)
    cluster.network.heal()
    cluster.start(leader)
    await cluster.wait(5)


async def transactions_arrive_late(cluster: SimulatedCluster) -> None:
    """The leader's writes are held back, and all arrive once another controller leads."""
    leader = leading(cluster)
    cluster.cut_off(leader, "state")
    await cluster.wait(8)
    assert cluster.leader() not in (None, leader)
    cluster.network.heal()
    assert cluster.network.late_deliveries > 0
    await cluster.wait(5)


async def heartbeats_arrive_late(cluster: SimulatedCluster) -> None:
    """Heartbeats are held back, and arrive after their workers have begun a new session."""
    for name in list(cluster.cloud.machines)[:3]:
        for member in cluster.members:
            cluster.network.cut(name, member)
    await cluster.wait(15)
    cluster.network.heal()
    await cluster.wait(5)


# machines


async def cloud_outage(cluster: SimulatedCluster) -> None:
    """The cloud refuses all requests."""
    cluster.cloud.in_outage = True
    await cluster.wait(20)
    cluster.cloud.in_outage = False


async def machines_hang(cluster: SimulatedCluster) -> None:
    """Two machines hang, one of them for longer than its lease."""
    hung = cluster.cloud.workers()[:2]
    for worker in hung:
        worker.hung = True
    await cluster.wait(6)
    hung[0].hung = False
    await cluster.wait(15)
    for worker in hung:
        worker.hung = False


async def machines_terminated(cluster: SimulatedCluster) -> None:
    """The cloud terminates half of the machines."""
    for name in list(cluster.cloud.machines)[::2]:
        cluster.cloud.terminate(name)
    await cluster.wait(2)


async def boots_fail(cluster: SimulatedCluster) -> None:
    """Half of the machines are terminated, and machines rented in the next 22 s never boot."""
    cluster.cloud.failing_boot_share = 1.0
    await machines_terminated(cluster)
    await cluster.wait(20)
    cluster.cloud.failing_boot_share = 0.0
