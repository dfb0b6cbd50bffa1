"""Users meet what happens to their jobs (docs/design.md, "Meetings"): acceptance, cancellation,
the end of the last task, odd requests, many small jobs. Seeds are fixed, moments drawn from
them."""

import asyncio

import pytest

from dappledrum.standins.pairs import FIVE
from dappledrum.standins.scenario import play
from dappledrum.standins.users import AnswerOrder, ImpatientUser
from dappledrum.standins.world import job

SEEDS = pytest.mark.parametrize("seed", range(3))


@pytest.mark.parametrize("seed", range(6))
def test_a_former_leader_finds_a_job_ended_by_its_successor(seed):
    """Its own end of the job, as done, had no known outcome; the user cancelled meanwhile, and the
    successor ended it as cancelled. The former leader must not answer from its memory."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        spec = job(800, beats=1, runS=rng.uniform(2, 4), expectedS=3.0, dueS=None)
        scenario.names.append(spec["id"])
        order = AnswerOrder()
        user = ImpatientUser(world, order, spec, rng)
        await user.until(user.submit, 200, 201)
        former = world.leader()
        ending = f'"remove":"job/{user.name}"'.encode()
        world.network.watcher = lambda sent: 60.0 if ending in sent.body else None
        jobs = world.nodes[former].leader.jobs
        await world.until(lambda: user.name in jobs)
        live = jobs[user.name]
        while not live.page(0).uncertain:
            await asyncio.sleep(0.01)
        world.freeze(former)
        world.network.watcher = None
        await scenario.until_led(former)
        successor = world.leader()
        while not (reply := await user.cancel(successor)) or reply.status != 200:
            await world.wait(0.2)
        await world.until(lambda: f"ended/{user.name}" in world.state.keys)
        world.thaw(former)
        for _ in range(10):
            await asyncio.gather(*(user.poll(member) for member in FIVE))
            await world.wait(0.1)
        assert not order.broken, order.broken

    play(seed, act, users=2)
