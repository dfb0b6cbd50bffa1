"""Cancellations that were confirmed to users while the leader can't read the store.

Tasks of a cancelled job end in time all the same, and where all controllers can be asked, no other
task is lost. The invariants (`ran_cancelled` among them) are checked in each step of `wait`.
"""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.peers.messages import HoldsTermRequest
from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import CANCEL_S, now
from dappledrum.simulation.workloads import FIVE, job_name, long_running_jobs
from dappledrum.store.errors import RefusedError

THREE_SEEDS = pytest.mark.parametrize("seed", range(3))
JOBS = 4


@pytest.mark.parametrize("seed", range(9))
async def test_tasks_end_in_time_when_jobs_are_cancelled_while_the_store_refuses_only_the_leader(
    seed,
):
    """In the outage that follows, the leader once kept its term on lease grants of all peers
    without learning of the cancellation: the tasks ran for as long as the outage lasted."""

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
        assert work.sessions() == sessions, "a worker lost its session and its tasks"


@pytest.mark.parametrize("failure", ["crashed", "restarted", "suspended", "cut off"])
async def test_all_tasks_end_when_the_controller_that_confirmed_a_cancellation_cannot_be_asked(
    failure, caplog
):
    """The leader can't rule out a confirmed cancellation, so it stops answering workers early
    enough for their leases to expire in time: all tasks end, also those that nobody cancelled."""

    async with long_running_jobs(1) as work:
        cluster = work.cluster
        cluster.store.refused.add(cluster.leader())
        confirming = work.others()[0]
        await work.cancel(0, confirming)
        confirmed_at = now()
        cluster.store.in_outage = True
        if failure == "crashed":
            cluster.kill(confirming)
        elif failure == "restarted":
            await cluster.restart(confirming, 0.3)
        elif failure == "suspended":
            cluster.freeze(confirming)
        else:
            cluster.cut_off(confirming, *(m for m in FIVE if m != confirming))
            cluster.cut_off(confirming, *("back-" + m for m in FIVE if m != confirming))
        await cluster.wait(CANCEL_S + 20 - (now() - confirmed_at))
        assert not cluster.rules.running
        logged_reason = "answering no workers: confirmed cancellations of the last" in caplog.text
        assert logged_reason or failure != "restarted"


async def test_cancellations_confirmed_only_by_a_poll_and_a_repeated_submission_take_effect():
    """The controller that stored the cancellations got no response and confirmed them to nobody;
    two other controllers reported them to users."""

    async with long_running_jobs(2) as work:
        cluster, peers = work.cluster, work.others()
        # Transactions are executed, and their responses are lost.
        cluster.network.watcher = lambda sent: 0.0 if sent.path == "/multi" else None
        cluster.store.refused.add(cluster.leader())
        for number in (0, 1):
            work.cancelled.add(number)
            path = f"/submissions/{job_name(number)}/cancel"
            request = asyncio.ensure_future(cluster.send_user_request("POST", path, b"", peers[0]))
            await cluster.wait(0.1)
            request.cancel()
        cluster.network.watcher = None
        assert await cluster.poll(job_name(0), peers[1]) == "cancelled"
        assert await cluster.submit(job(1, beats=3), 1, peers[2]) == 200
        cluster.store.in_outage = True
        cluster.kill(peers[0])
        await cluster.wait(1)
        cluster.start(peers[0])
        await cluster.wait(CANCEL_S + 20)


@THREE_SEEDS
async def test_a_new_leader_answers_no_worker_when_an_outage_begins_before_it_has_read_the_jobs(
    seed,
):
    """It holds the leader key but hasn't read which jobs users have cancelled."""

    async with long_running_jobs(seed) as work:
        cluster, former_leader, peers, scan_sources = (
            work.cluster,
            work.cluster.leader(),
            work.others(),
            [],
        )

        def start_outage_at_first_scan(sent):
            if sent.target == "state" and sent.path.startswith("/keys?prefix=job/"):
                scan_sources.append(sent.source)
                cluster.store.in_outage = True

        cluster.network.watcher = start_outage_at_first_scan
        cluster.kill(former_leader)
        await work.cancel(0, peers[0])
        await cluster.until(lambda: cluster.store.in_outage, timeout_s=10)
        cluster.network.watcher = None
        await cluster.wait(CANCEL_S + 10)
        assert cluster.controllers[scan_sources[0]].elector.answering_term() is None
        assert not cluster.rules.running


@THREE_SEEDS
async def test_tasks_of_a_cancelled_job_end_in_time_when_the_store_answers_the_leader_slowly(seed):
    """The leader's renewals and reads time out while other controllers are served; then the store
    is slow for all."""

    async with long_running_jobs(seed) as work:
        cluster = work.cluster
        cluster.network.extra_latency_s[(cluster.leader(), "state")] = 2.5
        await work.cancel(0, work.others()[0])
        for member in FIVE:
            cluster.network.extra_latency_s[(member, "state")] = 2.5
        await cluster.wait(CANCEL_S + 20)


@THREE_SEEDS
async def test_suspended_machines_stop_cancelled_tasks_when_the_leader_has_only_lease_grants(seed):
    """A leader that holds only lease grants may still order machines to stop tasks of cancelled
    jobs, and nothing else."""

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
    """The order to stop never reaches these machines, so no answer may renew their lease; tasks on
    the other machines go on."""

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


@pytest.mark.parametrize("failure", ["waits", "fails"])
async def test_a_leader_gives_up_its_term_when_its_watch_returns_nothing(failure):
    """A renewed lease shows that the leader still leads, not that it has read the cancellations
    that were confirmed to users."""

    async with long_running_jobs(4) as work:
        cluster, controller = work.cluster, work.leading_controller()
        watch = controller.store.watch

        async def watch_without_jobs(prefix, after, wait, priority):
            if prefix != "job/":
                return await watch(prefix, after, wait, priority)
            if failure == "waits":
                await asyncio.sleep(3600)
            raise RefusedError("status 429")

        controller.store.watch = watch_without_jobs
        await cluster.wait(2.5)  # the watch that is under way still returns
        await work.cancel(0, work.others()[0])
        await cluster.wait(CANCEL_S + 5)
        assert cluster.leader() is not None
        assert controller.elector.epoch > 1  # a new term, which began by reading the jobs
        controller.store.watch = watch


async def test_a_watch_proves_known_cancellations_only_up_to_when_it_was_sent():
    """A watch may have waited through an outage, and then its response says nothing about what was
    stored after it was sent."""

    async with long_running_jobs(7, jobs=1) as work:
        controller, sent_at = work.leading_controller(), []
        watch = controller.store.watch

        async def recording_watch(prefix, after, wait, priority):
            if prefix == "job/":
                sent_at.append(controller.clock.now())
            return await watch(prefix, after, wait, priority)

        controller.store.watch = recording_watch
        await work.cluster.wait(6)
        for _ in range(60):
            await work.cluster.wait(0.11)
            assert controller.elector.term.cancellations_known_at in sent_at[-2:]


async def test_cancellations_confirmed_in_an_outage_are_in_the_records_afterwards():
    """The leader stops the tasks before it can read that they are cancelled. After the outage its
    records follow the cancellation that another controller stored, and the next leader agrees."""

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
    """All peers report the cancellations that they have confirmed, so the leader goes on for as
    long as the outage lasts, beyond the bound that counts from its last read."""

    async with long_running_jobs(6, JOBS) as work:
        elector = work.leading_controller().elector
        work.cluster.store.in_outage = True
        await work.cluster.wait(3 * CANCEL_S)
        assert elector.answering_term() is not None
        assert elector.clock.now() - elector.term.cancellations_known_at < timedelta(seconds=3)
        assert len(work.cluster.rules.running) == 3 * JOBS


async def test_a_term_that_may_answer_no_worker_is_still_reported_as_held():
    """A restarted controller campaigns at once when it learns that nobody holds a term, as then
    nobody relies on its predecessor's lease grants. A leader that may answer no worker can read
    the jobs and answer again, so it still holds its term."""

    async with long_running_jobs(8, jobs=1) as work:
        controller = work.leading_controller()
        controller.elector.term.cancellations_known_at -= timedelta(seconds=60)
        assert controller.elector.valid_term() is None
        assert (await controller.endpoints.peers.answer(HoldsTermRequest())).holds
        await work.cluster.wait(5)
