"""Whatever a user of the stand-ins asks is recorded, and a controller that tells something wrong
ends the test."""

import json

import pytest

from dappledrum.http.client import Reply
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

NAME = "j-000001"
LIAR = "drummer-1"


async def world_with_a_job():
    cluster = SimulatedCluster(seed=1)
    cluster.cloud.add(("small", "a", False))
    await cluster.until(lambda: cluster.leader() is not None)
    assert await cluster.submit(job(1, beats=2, vcpus=1.0, runS=400.0, dueS=None)) == 201
    await cluster.until(lambda: cluster.rules.starts == 2)
    return cluster


def lie(cluster, status, **body):
    """One controller answers all its users with this."""

    async def answer(source, method, path, request):
        return Reply(status, json.dumps({"id": NAME} | body).encode())

    cluster.network.services[LIAR] = answer


async def ask(cluster):
    await cluster.poll(NAME, LIAR)


async def submit(cluster):
    await cluster.submit(job(1, beats=2), 1, LIAR)


async def by_hand(cluster):
    await cluster._ask("POST", f"/submissions/{NAME}/cancel", b"", LIAR)


async def submit_what_lacks_a_field(cluster):
    await cluster._ask("POST", "/submissions", b'{"id":"j-000009","crew":"blue"}', LIAR)


async def submit_what_fits_nowhere(cluster):
    await cluster.submit(job(9, vcpus=64.0), 1, LIAR)


LIES = [
    (ask, 404, {}, "forgotten"),
    (ask, 200, {"stance": "done"}, "not_done"),
    (ask, 200, {"stance": "cancelled"}, "went_back"),
    (ask, 200, {"stance": "running", "done": 1}, "invented"),
    (submit, 422, {}, "forgotten"),
    (submit, 400, {}, "forgotten"),
    (submit, 201, {"stance": "pending"}, "forgotten"),
    (by_hand, 404, {}, "forgotten"),
    (by_hand, 200, {"stance": "running"}, "went_back"),
    (submit_what_lacks_a_field, 201, {"stance": "pending"}, "accepted_incomplete"),
    (submit_what_fits_nowhere, 201, {"stance": "pending"}, "accepted_unfit"),
    (submit_what_fits_nowhere, 200, {"stance": "pending"}, "accepted_unfit"),
]


@pytest.mark.parametrize(("request_by", "status", "body", "rule"), LIES)
def test_a_wrong_answer_of_one_controller_ends_the_test(request_by, status, body, rule):
    async def main():
        cluster = await world_with_a_job()
        lie(cluster, status, **body)
        await request_by(cluster)
        with pytest.raises(AssertionError, match=rule):
            await cluster.wait(0.25)

    run(main())


def test_a_job_that_is_left_waiting_beside_room_ends_the_test():
    async def main():
        cluster = await world_with_a_job()
        cluster.rules.submitted(job(2, vcpus=1.0))  # the service knows nothing of it
        cluster.rules.submit_answer(cluster.now(), "j-000002", 201, "pending")
        cluster.rules.faults_over_at = cluster.now() + 5
        await cluster.wait(94)
        with pytest.raises(AssertionError, match="left_waiting"):
            await cluster.wait(4)

    run(main())


@pytest.mark.parametrize("unwell", ["hung", "faulty", "to be taken"])
def test_a_machine_that_is_not_well_has_no_room(unwell):
    async def main():
        cluster = await world_with_a_job()
        worker = cluster.cloud.workers()[0]
        assert [
            (capacity.machine, capacity.free.cpus) for capacity in cluster.cloud.free_machines()
        ] == [(worker.name, 2.0)]
        worker.hung = unwell == "hung"
        worker.reclaim_at = 500.0 if unwell == "to be taken" else None
        if unwell == "faulty":
            cluster.timing.faulty.add(worker.name)
        assert not cluster.cloud.free_machines()

    run(main())
