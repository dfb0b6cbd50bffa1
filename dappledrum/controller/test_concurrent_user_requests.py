"""Requests of users concurrent with changes of their jobs (docs/design.md, "Concurrent faults"):
acceptance, cancellation, the end of the last task, invalid requests, many small jobs.

Seeds are fixed, and moments are drawn from them.
"""

import asyncio
import random

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.invalid_requests import InvalidRequests, encoded_submission
from dappledrum.simulation.scenario import now, running_scenario
from dappledrum.simulation.users import (
    ACCEPTED,
    AnswerOrder,
    ImpatientUser,
    one_task_user,
    vary_latency,
)

SEEDS = pytest.mark.parametrize("seed", range(3))


def impatient_users(scenario, order, seed, count, task_counts=(1, 2, 2, 3)):
    """Users with short jobs, each with random numbers of its own."""
    users = []
    for number in range(count):
        rng = random.Random(f"{seed} impatient {number}")
        task_count = rng.choice(task_counts)
        run_s = [rng.uniform(0.5, 8) for _ in range(task_count)]
        spec = job(700 + number, beats=task_count, vcpus=0.5, runS=run_s, dueS=None)
        users.append(ImpatientUser(scenario.cluster, order, spec, rng))
    scenario.names += [user.name for user in users]
    return users


async def run_all(scenario, order, coroutines):
    """Wait for all of these; returns their results. At each step the order of answers must hold,
    and no job may be both live and ended."""
    tasks = [asyncio.ensure_future(coroutine) for coroutine in coroutines]
    while not all(task.done() for task in tasks):
        await scenario.cluster.wait(0.25)
        assert not order.broken, order.broken
        keys = scenario.cluster.store.keys
        assert not [
            name for name in scenario.names if {f"job/{name}", f"ended/{name}"} <= keys.keys()
        ]
    return [task.result() for task in tasks]


@SEEDS
@pytest.mark.parametrize("fault", ["none", "refused", "slow", "lists in parts"])
async def test_no_controller_answers_with_an_older_state_within_milliseconds(seed, fault):
    """Right after a job is accepted, ended or cancelled no controller answers with an older state:
    not one that the store refuses alone and that relays its users' requests, not one whose
    requests overtake each other, and not one that reads the list of jobs in several requests."""

    async def refuse_one_controller_at_a_time(cluster, rng):
        while True:
            cluster.store.refused = {rng.choice(FIVE)}
            await asyncio.sleep(rng.uniform(2, 8))

    async with running_scenario(seed, users=4) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        order = AnswerOrder()
        users = impatient_users(scenario, order, seed, 12)
        fault_coroutines = []
        if fault == "refused":
            fault_coroutines.append(refuse_one_controller_at_a_time(cluster, rng))
        if fault == "lists in parts":
            cluster.store.max_page_keys = 2
        if fault in ("slow", "lists in parts"):
            fault_coroutines.append(vary_latency(cluster, rng, FIVE, 0.25))
        fault_tasks = [asyncio.ensure_future(one) for one in fault_coroutines]
        states = await run_all(scenario, order, [user.run() for user in users])
        for fault_task in fault_tasks:
            fault_task.cancel()
        assert set(states) == {"done", "cancelled"}
        assert sum(len(answers) for answers in order.answers.values()) > 1500


async def submit_dependent_job(scenario, order, user):
    """Submit a job that waits for this user's job, once that one is accepted."""
    while order.level(user.name) < ACCEPTED:
        await asyncio.sleep(0.01)
    name = user.name.replace("j-0007", "j-0006")
    number = int(name.removeprefix("j-"))
    spec = job(number, beats=1, vcpus=0.5, runS=1.0, dueS=None, waitsOn=[user.name])
    scenario.names.append(name)
    assert await scenario.cluster.submit(spec, 60) in (200, 201)


@SEEDS
@pytest.mark.parametrize("at_write_of_end", [False, True])
async def test_all_users_get_the_same_answer_when_a_cancellation_races_the_end_of_a_job(
    seed, at_write_of_end
):
    """The cancellation comes within half a second after the task has completed, or within
    milliseconds of the leader's write of the end. One of the two wins, all users get the same
    answer from then on, and a job that waits for this one ends in the same state."""

    async with running_scenario(seed, users=2) as scenario:
        cluster, order = scenario.cluster, AnswerOrder()
        users = impatient_users(scenario, order, seed, 16)
        max_delay_s = 0.04 if at_write_of_end else 0.5
        racing = [
            user.race_end(at_write_of_end, user.rng.uniform(0, max_delay_s)) for user in users
        ]
        followers = [submit_dependent_job(scenario, order, user) for user in users[::3]]
        states = (await run_all(scenario, order, racing + followers))[: len(users)]
        assert set(states) == {"done", "cancelled"}
        for state, follower in zip(states[::3], users[::3], strict=True):
            name = follower.name.replace("j-0007", "j-0006")
            await cluster.until(lambda name=name: f"ended/{name}" in cluster.store.keys)
            assert cluster.store.keys[f"ended/{name}"][0]["state"] == state


@SEEDS
async def test_invalid_requests_are_refused_at_every_controller_and_right_after_a_restart(seed):
    """A controller that has not read the machine types yet refuses no job that it can't check, and
    accepts none that can't run."""

    async with running_scenario(seed, users=2) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        invalid = InvalidRequests(cluster)
        await invalid.prepare()
        for member in FIVE:
            await invalid.check(member)
        member = rng.choice(FIVE)
        cluster.store.refused.add(member)
        await invalid.check(member, undecided=(503,))
        await cluster.wait(2)
        await invalid.check(member)  # relayed to its peers
        cluster.store.refused.clear()
        for member in rng.sample(FIVE, 3):
            await cluster.restart(member, rng.choice((0.1, 1.0)))
            for _ in range(8):
                await invalid.check(member, undecided=(503,))
                await asyncio.sleep(rng.uniform(0, 0.2))
        await cluster.wait(5)
        for member in FIVE:
            await invalid.check(member)
        await cluster.cancel("j-000961")


@SEEDS
async def test_invalid_requests_are_undecided_while_no_machine_types_are_loaded(seed):
    """All controllers start while the cloud is down and no record of its machine types is
    stored."""

    async with running_scenario(seed, users=2) as scenario:
        cluster = scenario.cluster
        invalid = InvalidRequests(cluster)
        await invalid.prepare()
        for member in FIVE:
            cluster.kill(member)
        cluster.cloud.in_outage = True
        del cluster.store.keys["catalog"]
        for member in FIVE:
            cluster.start(member)
        await cluster.wait(2)
        for member in FIVE:
            assert cluster.controllers[member].job_api.types is None
            await invalid.check(member, undecided=(503,))
            response, _ = await invalid.ask(
                member, "POST", "/submissions", encoded_submission(952, {})
            )
            assert response.status == 503
            response, state = await invalid.ask(
                member, "POST", "/submissions", encoded_submission(960, {"vcpus": 400.0})
            )
            assert (response.status, state) == (200, "done")
        cluster.cloud.in_outage = False
        await cluster.wait(8)
        for member in FIVE:
            await invalid.check(member)
        await cluster.cancel("j-000961")


@SEEDS
async def test_invalid_requests_in_an_outage_get_503_at_once(seed):
    """Whatever needs the store is answered at once with 503 and a time after which to retry."""

    async with running_scenario(seed, users=2) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        invalid = InvalidRequests(cluster)
        await invalid.prepare()
        cluster.store.in_outage = True
        invalid.longest_s = 0.0
        until = now() + rng.uniform(5, 20)
        while now() < until:
            member = rng.choice(FIVE)
            await invalid.check(member, undecided=(503,))
            assert invalid.longest_s < 1.2
            response, _ = await invalid.ask(
                member, "POST", "/submissions", encoded_submission(952, {})
            )
            assert response.status == 503
            await cluster.wait(rng.uniform(0, 1))
        cluster.store.end_outage()
        await cluster.wait(8)
        for member in FIVE:
            await invalid.check(member)
        await cluster.cancel("j-000961")


@pytest.mark.parametrize("seed", range(6))
async def test_a_former_leader_answers_with_its_successors_end_of_a_job(seed):
    """The former leader wrote the job's end as done and never learned the outcome. Meanwhile the
    user cancelled, and the successor ended the job as cancelled. The former leader must not answer
    from its memory."""

    async with running_scenario(seed, users=2) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        spec = job(800, beats=1, runS=rng.uniform(2, 4), expectedS=3.0, dueS=None)
        scenario.names.append(spec["id"])
        order = AnswerOrder()
        user = ImpatientUser(cluster, order, spec, rng)
        await user.until(user.submit, 200, 201)
        former_leader = cluster.leader()
        removal = f'"remove":"job/{user.name}"'.encode()
        cluster.network.watcher = lambda sent: 60.0 if removal in sent.body else None
        jobs = cluster.controllers[former_leader].leader.jobs
        await cluster.until(lambda: user.name in jobs)
        live_job = jobs[user.name]
        while not live_job.page(0).version_uncertain:
            await asyncio.sleep(0.01)
        cluster.freeze(former_leader)
        cluster.network.watcher = None
        await scenario.until_led(former_leader)
        successor = cluster.leader()
        while not (reply := await user.cancel(successor)) or reply.status != 200:
            await cluster.wait(0.2)
        await cluster.until(lambda: f"ended/{user.name}" in cluster.store.keys)
        cluster.thaw(former_leader)
        for _ in range(10):
            await asyncio.gather(*(user.poll(member) for member in FIVE))
            await cluster.wait(0.1)
        assert not order.broken, order.broken


ONE_TASK_JOBS = 480  # two minutes of them
JOBS_PER_S = 4.0


@pytest.mark.parametrize(("seed", "rps", "write_rps"), [(0, 250.0, 35.0), (1, 200.0, 80.0)])
async def test_users_are_answered_and_nothing_piles_up_at_four_one_task_jobs_a_second(
    seed, rps, write_rps
):
    """At the request and change rates of large deployments users are answered, the queue of
    changes does not grow, no job is forgotten, and of ended jobs nothing is kept but their
    ends."""

    cluster = SimulatedCluster(seed, members=FIVE, rps=rps, write_rps=write_rps, limited=True)
    cluster.cloud.max_machines = 30
    for _ in range(12):
        cluster.cloud.add(("small", cluster.rng.choice(("a", "b")), True))
    await cluster.until(lambda: cluster.leader() is not None)
    leader = cluster.controllers[cluster.leader()].leader
    accepted_after, users, queue_lengths = [], [], []
    for number in range(ONE_TASK_JOBS):
        user_rng = random.Random(f"{seed} one task {number}")
        user = one_task_user(cluster, number, user_rng, accepted_after, 0.25)
        users.append(asyncio.ensure_future(user))
        await cluster.wait(user_rng.expovariate(JOBS_PER_S))
        queue_lengths.append(len(leader.record_writer.dirty) + len(leader.record_writer.ending))
    await cluster.until(lambda: all(user.done() for user in users))
    states = [user.result() for user in users]
    assert states.count("cancelled") > ONE_TASK_JOBS * 0.15
    assert sorted(accepted_after)[int(ONE_TASK_JOBS * 0.95)] < 0.3
    assert max(queue_lengths) < cluster.params.state.txn_ops
    assert cluster.store.over_rate == 0
    cluster.rules.faults_over_at = now()
    for number in range(0, ONE_TASK_JOBS, 7):
        for member in FIVE:
            assert await cluster.poll(f"j-{number:06d}", member) == states[number]
    await cluster.wait(5)
    assert cluster.controllers[cluster.leader()].leader is leader
    assert not leader.jobs
    assert not leader.graph.jobs
    assert not leader.reconciler.jobs
    assert not leader.record_writer.dirty
    assert not leader.record_writer.garbage
    assert {key.split("/")[0] for key in cluster.store.keys if "/j-" in key} == {"ended"}
    for controller in cluster.controllers.values():
        assert not controller.job_api.poll_batcher.waiting
        assert not controller.job_api.submission_batcher.waiting
    assert not cluster.rules.broken, cluster.rules.broken


@pytest.mark.parametrize("seed", range(2))
async def test_repeated_submissions_leave_the_rate_of_changes_to_new_ones(seed):
    """Each repetition once cost a transaction that failed, which counts against the rate of
    changes: new jobs waited for seconds while some users repeated their submissions at all
    controllers."""

    cluster = SimulatedCluster(seed, members=FIVE, rps=250.0, write_rps=35.0, limited=True)
    cluster.cloud.max_machines = 30
    for _ in range(12):
        cluster.cloud.add(("small", cluster.rng.choice(("a", "b")), True))
    await cluster.until(lambda: cluster.leader() is not None)
    order, accepted_after, users = AnswerOrder(), [], []
    for number in range(100):
        user_rng = random.Random(f"{seed} beside {number}")
        new_users = [one_task_user(cluster, number, user_rng, accepted_after, 0.25)]
        if number % 4 == 0:
            spec = job(500 + number, beats=1, vcpus=0.5, runS=user_rng.uniform(1, 8), dueS=None)
            new_users.append(ImpatientUser(cluster, order, spec, user_rng).run())
        users += [asyncio.ensure_future(user) for user in new_users]
        await cluster.wait(user_rng.expovariate(JOBS_PER_S))
    await cluster.until(lambda: all(user.done() for user in users))
    assert sorted(accepted_after)[95] < 0.3
    assert cluster.store.over_rate == 0
    assert not order.broken, order.broken
    assert not cluster.rules.broken, cluster.rules.broken
