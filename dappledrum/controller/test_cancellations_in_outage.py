"""Cancellations that users were acknowledged and the leader can't read: the tasks terminate in
time all the same, and what nobody cancelled is not lost for it where all controllers can be asked.

The invariants (`ran_cancelled` among them) are checked in each step of `wait`.
"""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.peers.messages import HoldsTermRequest
from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import CANCEL_S, now
from dappledrum.simulation.workloads import FIVE, job_name, long_running_jobs
from dappledrum.store.errors import RefusedError

THREE = pytest.mark.parametrize("seed", range(3))
JOBS = 4


@pytest.mark.parametrize("seed", range(9))
async def test_tasks_of_a_job_cancelled_between_the_leaders_refusal_and_an_outage_end_in_time(
    seed,
):
    """It went on on lease grants of all, and was not informed: the tasks ran on for as long as
    the outage lasted."""

    async with long_running_jobs(seed) as work:
        cluster, controller, peers = work.cluster, work.leading_controller(), work.others()
        sessions = work.sessions()
        cluster.store.refused.add(cluster.leader())
        await cluster.wait(work.rng.uniform(0, 0.5))
        await work.cancel(0, peers[0])
        if seed % 2:
            await work.cancel(1, peers[1])
        cluster.store.in_outage = True
        await cluster.wait(CANCEL_S + 25)
        assert controller.elector.answering_term() is not None
        assert not work.running(0)
        assert len(work.running(2)) == 3
        assert work.sessions() == sessions, "nothing of what nobody has cancelled is lost"


@pytest.mark.parametrize("how", ["crashed", "restarted", "suspended", "cut off"])
async def test_all_tasks_end_when_the_controller_that_confirmed_a_cancellation_cannot_be_asked(
    how, caplog
):
    """Then the leader must not answer for longer than a lease before the time is over: all that
    runs ends, which is the price."""

    async with long_running_jobs(1) as work:
        cluster = work.cluster
        cluster.store.refused.add(cluster.leader())
        confirming = work.others()[0]
        await work.cancel(0, confirming)
        began = now()
        cluster.store.in_outage = True
        if how == "crashed":
            cluster.kill(confirming)
        elif how == "restarted":
            await cluster.restart(confirming, 0.3)
        elif how == "suspended":
            cluster.freeze(confirming)
        else:
            cluster.cut_off(confirming, *(m for m in FIVE if m != confirming))
            cluster.cut_off(confirming, *("back-" + m for m in FIVE if m != confirming))
        await cluster.wait(CANCEL_S + 20 - (now() - began))
        assert not cluster.rules.running
        logged = "answering no workers: confirmed cancellations of the last" in caplog.text
        assert logged or how != "restarted"


async def test_cancellations_acknowledged_only_by_a_poll_and_a_repeated_submission_count():
    """The controller that stored the cancellation got no response, and acknowledged it to nobody;
    others did."""

    async with long_running_jobs(2) as work:
        cluster, peers = work.cluster, work.others()
        cluster.network.watcher = lambda sent: 0.0 if sent.path == "/multi" else None  # no answers
        cluster.store.refused.add(cluster.leader())
        for number in (0, 1):
            work.cancelled.add(number)
            path = f"/submissions/{job_name(number)}/cancel"
            asked = asyncio.ensure_future(cluster.send_user_request("POST", path, b"", peers[0]))
            await cluster.wait(0.1)
            asked.cancel()
        cluster.network.watcher = None
        assert await cluster.poll(job_name(0), peers[1]) == "cancelled"
        assert await cluster.submit(job(1, beats=3), 1, peers[2]) == 200
        cluster.store.in_outage = True
        cluster.kill(peers[0])
        await cluster.wait(1)
        cluster.start(peers[0])
        await cluster.wait(CANCEL_S + 20)


@THREE
async def test_a_new_leader_answers_no_worker_when_an_outage_begins_before_it_has_read(seed):
    """It has won the key and answers nobody, as it has not read which jobs users have
    cancelled."""

    async with long_running_jobs(seed) as work:
        cluster, former, peers, scans = work.cluster, work.cluster.leader(), work.others(), []

        def stop(sent):
            if sent.target == "state" and sent.path.startswith("/keys?prefix=job/"):
                scans.append(sent.source)
                cluster.store.in_outage = True

        cluster.network.watcher = stop
        cluster.kill(former)
        await work.cancel(0, peers[0])
        await cluster.until(lambda: cluster.store.in_outage, timeout_s=10)
        cluster.network.watcher = None
        await cluster.wait(CANCEL_S + 10)
        assert cluster.controllers[scans[0]].elector.answering_term() is None
        assert not cluster.rules.running


@THREE
async def test_tasks_of_a_cancelled_job_end_in_time_when_the_store_answers_the_leader_slowly(seed):
    """Its renewals and readings time out, others are served, then it is slow for all."""

    async with long_running_jobs(seed) as work:
        cluster = work.cluster
        cluster.network.extra_latency_s[(cluster.leader(), "state")] = 2.5
        await work.cancel(0, work.others()[0])
        for member in FIVE:
            cluster.network.extra_latency_s[(member, "state")] = 2.5
        await cluster.wait(CANCEL_S + 20)


@THREE
async def test_suspended_machines_stop_cancelled_tasks_when_the_leader_has_only_lease_grants(seed):
    """It may command nothing any more but this: that tasks of cancelled jobs stop."""

    async with long_running_jobs(seed) as work:
        cluster, controller, sessions = work.cluster, work.leading_controller(), work.sessions()
        cluster.store.refused.add(cluster.leader())
        await work.cancel(0, work.others()[0])
        cluster.store.in_outage = True
        for worker in cluster.cloud.workers():
            work.hang(worker, work.rng.uniform(4, 6))
        await cluster.wait(4)
        assert work.running(0)
        assert controller.elector.leading_term() is None
        await cluster.wait(CANCEL_S + 15)
        assert work.sessions() == sessions
        assert not work.running(0)
        assert len(work.running(1)) == 3


async def test_unreachable_machines_lose_their_lease_when_they_cannot_learn_of_a_cancellation():
    """They never learn of the stop, so no answer may have renewed their lease; the others' work
    goes on."""

    async with long_running_jobs(3) as work:
        cluster, controller = work.cluster, work.leading_controller()
        cluster.store.refused.add(cluster.leader())
        await work.cancel(0, work.others()[0])
        cluster.store.in_outage = True
        cluster.drop_answers([worker.name for worker in cluster.cloud.workers()][::2])
        await cluster.wait(CANCEL_S + 15)
        assert controller.elector.answering_term() is not None
        assert not work.running(0)
        assert cluster.rules.running


@pytest.mark.parametrize("how", ["waits", "fails"])
async def test_a_leader_gives_up_its_term_when_its_watch_returns_nothing(how):
    """A renewal shows that it leads, not that it has read what users were acknowledged."""

    async with long_running_jobs(4) as work:
        cluster, controller = work.cluster, work.leading_controller()
        watch = controller.store.watch

        async def nothing(prefix, after, wait, priority):
            if prefix != "job/":
                return await watch(prefix, after, wait, priority)
            if how == "waits":
                await asyncio.sleep(3600)
            raise RefusedError("status 429")

        controller.store.watch = nothing
        await cluster.wait(2.5)  # the one that is under way still comes
        await work.cancel(0, work.others()[0])
        await cluster.wait(CANCEL_S + 5)
        assert cluster.leader() is not None
        assert controller.elector.epoch > 1  # it gave its term up, and read again
        controller.store.watch = watch


async def test_a_watch_counts_from_when_it_was_sent():
    """It may have waited through an outage, in which its end says nothing of what came after."""

    async with long_running_jobs(7, jobs=1) as work:
        controller, sent = work.leading_controller(), []
        watch = controller.store.watch

        async def late(prefix, after, wait, priority):
            if prefix == "job/":
                sent.append(controller.clock.now())
            return await watch(prefix, after, wait, priority)

        controller.store.watch = late
        await work.cluster.wait(6)
        for _ in range(60):
            await work.cluster.wait(0.11)
            assert controller.elector.term.cancellations_known_at in sent[-2:]


async def test_cancellations_confirmed_in_an_outage_are_in_the_records_afterwards():
    """The leader stops the tasks before it can read that they are cancelled; its records catch up,
    under the cancellation that another controller has stored, and the next leader agrees."""

    async with long_running_jobs(5) as work:
        cluster, leader = work.cluster, work.cluster.leader()
        cluster.store.refused.add(leader)
        await work.cancel(0, work.others()[0])
        cluster.store.in_outage = True
        await cluster.until(lambda: not work.running(0), timeout_s=CANCEL_S / 2)
        assert cluster.store.keys["job/j-000000"][0]["cancelled"] is True
        cluster.store.refused.clear()
        cluster.store.end_outage()
        await cluster.wait(5)
        assert cluster.leader() == leader
        assert cluster.store.keys["ended/j-000000"][0]["state"] == "cancelled"
        await cluster.restart(leader, 0.3)


async def test_peers_confirm_cancellations_throughout_a_long_outage():
    """All peers attest, so the leader goes on for as long as the outage lasts, and longer than the
    bound from its last reading."""

    async with long_running_jobs(6, JOBS) as work:
        elector = work.leading_controller().elector
        work.cluster.store.in_outage = True
        await work.cluster.wait(3 * CANCEL_S)
        assert elector.answering_term() is not None
        assert elector.clock.now() - elector.term.cancellations_known_at < timedelta(seconds=3)
        assert len(work.cluster.rules.running) == 3 * JOBS


async def test_a_term_that_may_answer_no_worker_is_still_reported_as_held():
    """A restarted controller campaigns at once when nobody holds a term, as nobody can rely on
    what its predecessor has granted; this one may read more and answer again."""

    async with long_running_jobs(8, jobs=1) as work:
        controller = work.leading_controller()
        controller.elector.term.cancellations_known_at -= timedelta(seconds=60)
        assert controller.elector.valid_term() is None
        assert (await controller.endpoints.peers.answer(HoldsTermRequest())).holds
        await work.cluster.wait(5)
