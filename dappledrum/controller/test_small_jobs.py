"""Many jobs of one task each: their cost in requests, changes and planning."""

import asyncio
from collections import Counter

from dappledrum.simulation.cluster import SimulatedCluster, job

JOB_COUNT = 150


async def submit_and_poll(cluster, number):
    """Submit a job as one user and poll until it is done; returns the number of polls by state."""
    spec = job(
        number,
        beats=1,
        vcpus=0.25,
        memGb=0.2,
        runS=20.0,
        expectedS=15.0,
        urgency="best_effort",
        dueS=None,
    )
    assert await cluster.submit(spec) == 201
    poll_counts = Counter()
    while (state := await cluster.poll(spec["id"])) != "done":
        poll_counts[state] += 1
        await asyncio.sleep(1)
    return poll_counts


async def test_many_small_jobs_share_reads_and_cost_four_writes_each():
    """Guards against one read per poll: hundreds of polls then starved submissions."""

    cluster = SimulatedCluster(seed=14, rps=60.0)
    await cluster.until(lambda: cluster.leader() is not None)
    writes, requests = cluster.store.writes, cluster.store.requests
    users = []
    for number in range(JOB_COUNT):
        users.append(asyncio.get_running_loop().create_task(submit_and_poll(cluster, number)))
        await cluster.wait(0.05)
    await cluster.until(lambda: all(user.done() for user in users))
    poll_counts = sum((user.result() for user in users), Counter())
    assert poll_counts.total() > JOB_COUNT * 10
    assert poll_counts[None] < poll_counts.total() * 0.02
    assert cluster.store.writes - writes < JOB_COUNT * 4.5
    assert cluster.store.requests - requests < poll_counts.total() * 0.5


async def test_similar_jobs_of_one_task_form_one_bag():
    """Guards against slow plans: with one bag per job, a plan for 800 jobs took two seconds."""

    cluster = SimulatedCluster(seed=15)
    max_machines, cluster.cloud.max_machines = (
        cluster.cloud.max_machines,
        0,
    )  # so that all tasks stay ready
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.wait(1)
    for number in range(40):
        image = "img-1" if number < 20 else "img-2"
        spec = job(number, beats=1, skin=image, dueS=600.0)
        assert await cluster.submit(spec) == 201
    await cluster.submit(job(100, beats=9))
    await cluster.wait(2)
    dispatcher = cluster.controllers[cluster.leader()].leader.dispatcher
    bags = dispatcher.work.bags(dispatcher.clock.now(), 0.0)
    sizes = Counter()
    for bag in bags:
        sizes[bag.image, bag.total == 9] += bag.ready
    assert sizes == {("img-1", False): 20, ("img-2", False): 20, ("img-1", True): 9}
    assert len(bags) <= 7
    cluster.cloud.max_machines = max_machines
    await cluster.finish([f"j-{n:06d}" for n in [*range(40), 100]])


async def test_concurrent_submissions_share_a_transaction_but_not_their_refusals():
    cluster = SimulatedCluster(seed=16)
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.wait(3)
    specs = [job(number, beats=1) for number in range(8)]
    assert await cluster.submit(specs[3]) == 201
    requests = cluster.store.requests
    member = next(m for m in cluster.members if m != cluster.leader())
    repeated = [*specs, specs[5]]
    statuses = await asyncio.gather(*(cluster.submit(spec, 1, member) for spec in repeated))
    assert statuses == [201, 201, 201, 200, 201, 201, 201, 201, statuses[8]]
    assert statuses[8] in (200, 201)
    assert cluster.store.requests - requests < 25
    await cluster.finish([spec["id"] for spec in specs])


async def test_a_slow_response_of_the_store_delays_no_later_submission():
    """Guards against transactions in sequence: each slow answer then delayed later users, too."""

    cluster = SimulatedCluster(seed=17)
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.wait(2)
    member = next(m for m in cluster.members if m != cluster.leader())
    state, slow = cluster.network.services["state"], True

    async def service(source, method, path, body):
        nonlocal slow
        if slow and source == member and b'"job/' in body:
            slow = False
            await asyncio.sleep(0.6)
        return await state(source, method, path, body)

    cluster.network.services["state"] = service
    loop = asyncio.get_running_loop()
    first = loop.create_task(cluster.submit(job(1), 1, member))
    await asyncio.sleep(0.05)
    began = loop.time()
    assert await cluster.submit(job(2), 1, member) == 201
    assert loop.time() - began < 0.2
    assert await first == 201
