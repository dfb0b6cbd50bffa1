"""Cancellations that users were told of and the leader can't read: what runs is gone in time all
the same, and what nobody cancelled is not lost for it where all controllers can be asked.

The rules (`ran_cancelled` among them) are checked in each step of `wait`.
"""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.peers.messages import HoldingQuestion
from dappledrum.standins.time import run
from dappledrum.standins.world import World, job
from dappledrum.state.client import RefusedError

FIVE = tuple(f"drummer-{n}" for n in range(5))
CANCEL = 30.0
LEASE = 9.0
JOBS = 4


async def busy_world(seed, jobs=JOBS, **changes):
    """Five controllers, and machines with work that lasts longer than any outage."""
    world = World(members=FIVE, seed=seed, lease_s=LEASE)
    await world.until(lambda: world.leader() is not None)
    long = {"beats": 3, "vcpus": 2.0, "runS": 400.0, "expectedS": 400.0, "dueS": 900.0}
    for number in range(jobs):
        assert await world.submit(job(number, **(long | changes))) == 201
    await world.until(lambda: len(world.rules.running) == 3 * jobs)
    await world.wait(4)
    return world


def running(world, number):
    return [task for name, task in world.rules.running if name == f"j-{number:06d}"]


def others(world):
    return [m for m in FIVE if m != world.leader()]


async def cancel_at(world, member, number):
    name = f"j-{number:06d}"
    world.rules.cancel_asked(name)
    reply = await world._ask("POST", f"/submissions/{name}/cancel", b"", member)
    assert reply is not None and reply.status == 200
    world.rules.poll_answer(asyncio.get_running_loop().time(), name, 200, "cancelled")


async def over(world, cancelled, kept):
    """The outage ends: what was cancelled stays so, and the rest runs to its end."""
    world.network.heal()
    world.state.refused.clear()
    world.state.end_outage()
    world.rules.quiet_at = asyncio.get_running_loop().time()
    await world.wait(20)
    for number in cancelled:
        assert await world.poll(f"j-{number:06d}") == "cancelled"
        assert not running(world, number)
    for number in kept:
        assert await world.cancel(f"j-{number:06d}") == "cancelled"
    await world.finish([f"j-{number:06d}" for number in (*cancelled, *kept)], most=60)


@pytest.mark.parametrize("seed", range(4))
def test_a_cancellation_between_a_leaders_refusal_and_an_outage(seed):
    """It went on for the promises of all, and knew nothing of it: the tasks ran on for as long as
    the outage lasted."""

    async def main():
        world = await busy_world(seed)
        leader = world.leader()
        sessions = {w.name: w.session for w in world.cloud.workers()}
        world.state.refused.add(leader)
        await world.wait(world.rng.uniform(0, 0.5))
        peers = others(world)
        await cancel_at(world, peers[0], 0)
        if seed % 2:
            await cancel_at(world, peers[1], 1)
        world.state.out = True
        await world.wait(CANCEL + 25)
        assert world.nodes[leader].elector.answering() is not None
        assert not running(world, 0) and len(running(world, 2)) == 3
        # Nothing of what nobody has cancelled is lost.
        assert {w.name: w.session for w in world.cloud.workers()} == sessions
        await over(world, (0, 1) if seed % 2 else (0,), (2, 3))

    run(main())


@pytest.mark.parametrize("how", ["ends", "back at once", "stands still", "cut off"])
def test_whoever_confirmed_it_can_not_be_asked(how, caplog):
    """Then the leader must not answer for longer than a lease before the time is over: all that
    runs ends, which is the price."""

    async def main():
        world = await busy_world(1)
        leader = world.leader()
        world.state.refused.add(leader)
        told = others(world)[0]
        await cancel_at(world, told, 0)
        began = asyncio.get_running_loop().time()
        world.state.out = True
        if how == "ends":
            world.kill(told)
        elif how == "back at once":
            await world.restart(told, 0.3)
        elif how == "stands still":
            world.freeze(told)
        else:
            world.cut_off(told, *(m for m in FIVE if m != told))
            world.cut_off(told, *("back-" + m for m in FIVE if m != told))
        await world.wait(CANCEL + 20 - (asyncio.get_running_loop().time() - began))
        assert not world.rules.running
        assert (
            "not known what users were told is cancelled" in caplog.text or how != "back at once"
        )
        if how == "ends":
            world.start(told)
        world.thaw(told)
        await over(world, (0,), (1, 2, 3))

    run(main())


def test_told_by_a_poll_and_by_a_repeated_submission():
    """The one that stored the cancellation did not hear so, and told nobody; others did."""

    async def main():
        world = await busy_world(2)
        leader = world.leader()
        peers = others(world)
        world.network.watcher = lambda sent: 0.0 if sent.path == "/multi" else None  # no answers
        world.state.refused.add(leader)
        for number in (0, 1):
            world.rules.cancel_asked(f"j-{number:06d}")
            asked = asyncio.ensure_future(
                world._ask("POST", f"/submissions/j-{number:06d}/cancel", b"", peers[0])
            )
            await world.wait(0.1)
            asked.cancel()
        world.network.watcher = None
        assert await world.poll("j-000000", peers[1]) == "cancelled"
        assert await world.submit(job(1, beats=3), 1, peers[2]) == 200
        world.state.out = True
        world.kill(peers[0])
        await world.wait(1)
        world.start(peers[0])
        await world.wait(CANCEL + 20)
        await over(world, (0, 1), (2, 3))

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_an_outage_finds_a_new_leader_before_it_has_read(seed):
    """It has won the key and answers nobody, as it does not know whom users have cancelled."""

    async def main():
        world = await busy_world(seed)
        leader = world.leader()
        peers = others(world)
        scans = []

        def stop(sent):
            if sent.target == "state" and sent.path.startswith("/keys?prefix=job/"):
                scans.append(sent.source)
                world.state.out = True

        world.network.watcher = stop
        world.kill(leader)
        await cancel_at(world, peers[0], 0)
        await world.until(lambda: world.state.out, most=10)
        world.network.watcher = None
        new = world.nodes[scans[0]]
        await world.wait(CANCEL + 10)
        assert new.elector.answering() is None
        assert not world.rules.running
        world.start(leader)
        await over(world, (0,), (1, 2, 3))

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_state_service_that_answers_the_leader_slowly(seed):
    """Its renewals and readings time out, others are served, then it is slow for all."""

    async def main():
        world = await busy_world(seed)
        leader = world.leader()
        world.network.slow[(leader, "state")] = 2.5
        await cancel_at(world, others(world)[0], 0)
        for member in FIVE:
            world.network.slow[(member, "state")] = 2.5
        await world.wait(CANCEL + 20)
        world.network.slow.clear()
        await over(world, (0,), (1, 2, 3))

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_machines_that_hang_until_the_leader_only_holds_on(seed):
    """It may command nothing any more but this: that tasks of cancelled jobs stop."""

    async def main():
        world = await busy_world(seed)
        leader = world.leader()
        world.state.refused.add(leader)
        await cancel_at(world, others(world)[0], 0)
        world.state.out = True
        sessions = {w.name: w.session for w in world.cloud.workers()}
        for worker in world.cloud.workers():
            worker.hung = True
            asyncio.get_running_loop().call_later(world.rng.uniform(4, 6), hang_over, worker)
        await world.wait(4)
        assert running(world, 0) and world.nodes[leader].elector.leading() is None
        await world.wait(CANCEL + 15)
        assert {w.name: w.session for w in world.cloud.workers()} == sessions
        assert not running(world, 0) and len(running(world, 1)) == 3
        await over(world, (0,), (1, 2, 3))

    run(main())


def hang_over(worker):
    worker.hung = False


def test_machines_that_hear_nothing_meanwhile():
    """They never learn of the stop, so no answer may have renewed their lease; the others' work
    goes on."""

    async def main():
        world = await busy_world(3)
        leader = world.leader()
        world.state.refused.add(leader)
        await cancel_at(world, others(world)[0], 0)
        world.state.out = True
        deaf = [w.name for w in world.cloud.workers()][::2]
        world.deafen(deaf)
        await world.wait(CANCEL + 15)
        assert world.nodes[leader].elector.answering() is not None
        assert not running(world, 0) and world.rules.running
        await over(world, (0,), (1, 2, 3))

    run(main())


@pytest.mark.parametrize("how", ["waits", "fails"])
def test_a_leader_whose_watch_tells_nothing_while_its_lease_is_renewed(how):
    """A renewal shows that it leads, not that it knows what users have been told."""

    async def main():
        world = await busy_world(4)
        leader = world.leader()
        watch = world.nodes[leader].state.watch

        async def nothing(prefix, after, wait, rank):
            if prefix != "job/":
                return await watch(prefix, after, wait, rank)
            if how == "waits":
                await asyncio.sleep(3600)
            raise RefusedError("status 429")

        world.nodes[leader].state.watch = nothing
        await world.wait(2.5)  # the one that is under way still comes
        await cancel_at(world, others(world)[0], 0)
        await world.wait(CANCEL + 5)
        assert world.leader() is not None
        assert world.nodes[leader].elector.epoch > 1  # it gave its term up, and read anew
        world.nodes[leader].state.watch = watch
        await over(world, (0,), (1, 2, 3))

    run(main())


def test_a_watch_tells_of_its_sending_not_of_its_end():
    """It may have waited through an outage, in which its end says nothing of what came after."""

    async def main():
        world = await busy_world(7, jobs=1)
        node = world.nodes[world.leader()]
        watch, sent = node.state.watch, []

        async def late(prefix, after, wait, rank):
            if prefix == "job/":
                sent.append(node.clock.now())
            return await watch(prefix, after, wait, rank)

        node.state.watch = late
        await world.wait(6)
        for _ in range(60):
            await world.wait(0.11)
            known = node.elector.term.known_at
            assert known in sent[-2:]

    run(main())


def test_what_was_learned_in_an_outage_is_in_the_records_afterwards():
    """The leader stops the tasks before it can read that they are cancelled; its records catch up,
    under the cancellation that another controller has stored, and the next leader agrees."""

    async def main():
        world = await busy_world(5)
        leader = world.leader()
        world.state.refused.add(leader)
        await cancel_at(world, others(world)[0], 0)
        world.state.out = True
        await world.until(lambda: not running(world, 0), most=CANCEL / 2)
        assert world.state.keys["job/j-000000"][0]["cancelled"] is True
        world.state.refused.clear()
        world.state.end_outage()
        await world.wait(5)
        assert world.leader() == leader
        assert world.state.keys["ended/j-000000"][0]["state"] == "cancelled"
        await world.restart(leader, 0.3)
        await over(world, (0,), (1, 2, 3))

    run(main())


def test_long_outages_move_what_is_known():
    """All peers attest, so the leader goes on for as long as the outage lasts, and longer than the
    bound from its last reading."""

    async def main():
        world = await busy_world(6)
        leader = world.leader()
        elector = world.nodes[leader].elector
        world.state.out = True
        await world.wait(3 * CANCEL)
        assert elector.answering() is not None
        assert elector.clock.now() - elector.term.known_at < timedelta(seconds=3)
        assert len(world.rules.running) == 3 * JOBS
        await over(world, (), (0, 1, 2, 3))

    run(main())


def test_a_term_that_answers_nobody_is_still_held():
    """Whoever begins anew stands at once when nobody holds a term, as nobody can rely on what its
    process before has promised; this one may learn more and answer again."""

    async def main():
        world = await busy_world(8, jobs=1)
        node = world.nodes[world.leader()]
        node.elector.term.known_at -= timedelta(seconds=60)
        assert node.elector.holding() is None
        assert (await node.peer_requests.answer(HoldingQuestion())).holds
        await world.wait(5)

    run(main())
