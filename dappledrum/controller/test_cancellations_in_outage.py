"""Cancellations that users were told of and the leader can't read: what runs is gone in time all
the same, and what nobody cancelled is not lost for it where all controllers can be asked.

The rules (`ran_cancelled` among them) are checked in each step of `wait`.
"""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.peers.messages import HoldsTermRequest
from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import CANCEL_S, now
from dappledrum.simulation.workloads import FIVE, job_name, long_running_jobs
from dappledrum.store.client import RefusedError

THREE = pytest.mark.parametrize("seed", range(3))
JOBS = 4


@pytest.mark.parametrize("seed", range(9))
async def test_a_cancellation_between_a_leaders_refusal_and_an_outage(seed):
    """It went on for the promises of all, and knew nothing of it: the tasks ran on for as long as
    the outage lasted."""

    async with long_running_jobs(seed) as work:
        cluster, controller, peers = work.cluster, work.leading_controller(), work.others()
        sessions = work.sessions()
        cluster.store.refused.add(cluster.leader())
        await cluster.wait(work.rng.uniform(0, 0.5))
        await work.cancel(0, peers[0])
        if seed % 2:
            await work.cancel(1, peers[1])
        cluster.store.out = True
        await cluster.wait(CANCEL_S + 25)
        assert controller.elector.answering() is not None
        assert not work.running(0) and len(work.running(2)) == 3
        assert work.sessions() == sessions, "nothing of what nobody has cancelled is lost"


@pytest.mark.parametrize("how", ["ends", "back at once", "stands still", "cut off"])
async def test_whoever_confirmed_it_can_not_be_asked(how, caplog):
    """Then the leader must not answer for longer than a lease before the time is over: all that
    runs ends, which is the price."""

    async with long_running_jobs(1) as work:
        cluster = work.cluster
        cluster.store.refused.add(cluster.leader())
        told = work.others()[0]
        await work.cancel(0, told)
        began = now()
        cluster.store.out = True
        if how == "ends":
            cluster.kill(told)
        elif how == "back at once":
            await cluster.restart(told, 0.3)
        elif how == "stands still":
            cluster.freeze(told)
        else:
            cluster.cut_off(told, *(m for m in FIVE if m != told))
            cluster.cut_off(told, *("back-" + m for m in FIVE if m != told))
        await cluster.wait(CANCEL_S + 20 - (now() - began))
        assert not cluster.rules.running
        said = "not known what users were told is cancelled" in caplog.text
        assert said or how != "back at once"


async def test_told_by_a_poll_and_by_a_repeated_submission():
    """The one that stored the cancellation did not hear so, and told nobody; others did."""

    async with long_running_jobs(2) as work:
        cluster, peers = work.cluster, work.others()
        cluster.network.watcher = lambda sent: 0.0 if sent.path == "/multi" else None  # no answers
        cluster.store.refused.add(cluster.leader())
        for number in (0, 1):
            work.cancelled.add(number)
            path = f"/submissions/{job_name(number)}/cancel"
            asked = asyncio.ensure_future(cluster._ask("POST", path, b"", peers[0]))
            await cluster.wait(0.1)
            asked.cancel()
        cluster.network.watcher = None
        assert await cluster.poll(job_name(0), peers[1]) == "cancelled"
        assert await cluster.submit(job(1, beats=3), 1, peers[2]) == 200
        cluster.store.out = True
        cluster.kill(peers[0])
        await cluster.wait(1)
        cluster.start(peers[0])
        await cluster.wait(CANCEL_S + 20)


@THREE
async def test_an_outage_finds_a_new_leader_before_it_has_read(seed):
    """It has won the key and answers nobody, as it does not know whom users have cancelled."""

    async with long_running_jobs(seed) as work:
        cluster, former, peers, scans = work.cluster, work.cluster.leader(), work.others(), []

        def stop(sent):
            if sent.target == "state" and sent.path.startswith("/keys?prefix=job/"):
                scans.append(sent.source)
                cluster.store.out = True

        cluster.network.watcher = stop
        cluster.kill(former)
        await work.cancel(0, peers[0])
        await cluster.until(lambda: cluster.store.out, most=10)
        cluster.network.watcher = None
        await cluster.wait(CANCEL_S + 10)
        assert cluster.controllers[scans[0]].elector.answering() is None
        assert not cluster.rules.running


@THREE
async def test_a_state_service_that_answers_the_leader_slowly(seed):
    """Its renewals and readings time out, others are served, then it is slow for all."""

    async with long_running_jobs(seed) as work:
        cluster = work.cluster
        cluster.network.slow[(cluster.leader(), "state")] = 2.5
        await work.cancel(0, work.others()[0])
        for member in FIVE:
            cluster.network.slow[(member, "state")] = 2.5
        await cluster.wait(CANCEL_S + 20)


@THREE
async def test_machines_that_hang_until_the_leader_only_holds_on(seed):
    """It may command nothing any more but this: that tasks of cancelled jobs stop."""

    async with long_running_jobs(seed) as work:
        cluster, controller, sessions = work.cluster, work.leading_controller(), work.sessions()
        cluster.store.refused.add(cluster.leader())
        await work.cancel(0, work.others()[0])
        cluster.store.out = True
        for worker in cluster.cloud.workers():
            work.hang(worker, work.rng.uniform(4, 6))
        await cluster.wait(4)
        assert work.running(0) and controller.elector.leading() is None
        await cluster.wait(CANCEL_S + 15)
        assert work.sessions() == sessions
        assert not work.running(0) and len(work.running(1)) == 3


async def test_machines_that_hear_nothing_meanwhile():
    """They never learn of the stop, so no answer may have renewed their lease; the others' work
    goes on."""

    async with long_running_jobs(3) as work:
        cluster, controller = work.cluster, work.leading_controller()
        cluster.store.refused.add(cluster.leader())
        await work.cancel(0, work.others()[0])
        cluster.store.out = True
        cluster.drop_answers([worker.name for worker in cluster.cloud.workers()][::2])
        await cluster.wait(CANCEL_S + 15)
        assert controller.elector.answering() is not None
        assert not work.running(0) and cluster.rules.running


@pytest.mark.parametrize("how", ["waits", "fails"])
async def test_a_leader_whose_watch_tells_nothing_while_its_lease_is_renewed(how):
    """A renewal shows that it leads, not that it knows what users have been told."""

    async with long_running_jobs(4) as work:
        cluster, controller = work.cluster, work.leading_controller()
        watch = controller.store.watch

        async def nothing(prefix, after, wait, rank):
            if prefix != "job/":
                return await watch(prefix, after, wait, rank)
            if how == "waits":
                await asyncio.sleep(3600)
            raise RefusedError("status 429")

        controller.store.watch = nothing
        await cluster.wait(2.5)  # the one that is under way still comes
        await work.cancel(0, work.others()[0])
        await cluster.wait(CANCEL_S + 5)
        assert cluster.leader() is not None
        assert controller.elector.epoch > 1  # it gave its term up, and read anew
        controller.store.watch = watch


async def test_a_watch_tells_of_its_sending_not_of_its_end():
    """It may have waited through an outage, in which its end says nothing of what came after."""

    async with long_running_jobs(7, jobs=1) as work:
        controller, sent = work.leading_controller(), []
        watch = controller.store.watch

        async def late(prefix, after, wait, rank):
            if prefix == "job/":
                sent.append(controller.clock.now())
            return await watch(prefix, after, wait, rank)

        controller.store.watch = late
        await work.cluster.wait(6)
        for _ in range(60):
            await work.cluster.wait(0.11)
            assert controller.elector.term.known_at in sent[-2:]


async def test_what_was_learned_in_an_outage_is_in_the_records_afterwards():
    """The leader stops the tasks before it can read that they are cancelled; its records catch up,
    under the cancellation that another controller has stored, and the next leader agrees."""

    async with long_running_jobs(5) as work:
        cluster, leader = work.cluster, work.cluster.leader()
        cluster.store.refused.add(leader)
        await work.cancel(0, work.others()[0])
        cluster.store.out = True
        await cluster.until(lambda: not work.running(0), most=CANCEL_S / 2)
        assert cluster.store.keys["job/j-000000"][0]["cancelled"] is True
        cluster.store.refused.clear()
        cluster.store.end_outage()
        await cluster.wait(5)
        assert cluster.leader() == leader
        assert cluster.store.keys["ended/j-000000"][0]["state"] == "cancelled"
        await cluster.restart(leader, 0.3)


async def test_long_outages_move_what_is_known():
    """All peers attest, so the leader goes on for as long as the outage lasts, and longer than the
    bound from its last reading."""

    async with long_running_jobs(6, JOBS) as work:
        elector = work.leading_controller().elector
        work.cluster.store.out = True
        await work.cluster.wait(3 * CANCEL_S)
        assert elector.answering() is not None
        assert elector.clock.now() - elector.term.known_at < timedelta(seconds=3)
        assert len(work.cluster.rules.running) == 3 * JOBS


async def test_a_term_that_answers_nobody_is_still_held():
    """Whoever begins anew stands at once when nobody holds a term, as nobody can rely on what its
    process before has promised; this one may learn more and answer again."""

    async with long_running_jobs(8, jobs=1) as work:
        controller = work.leading_controller()
        controller.elector.term.known_at -= timedelta(seconds=60)
        assert controller.elector.holding() is None
        assert (await controller.endpoints.peers.answer(HoldsTermRequest())).holds
        await work.cluster.wait(5)
