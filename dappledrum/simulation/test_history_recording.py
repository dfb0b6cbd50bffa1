"""All requests of simulated users are recorded, and a wrong answer of a controller is detected."""

import json

import pytest

from dappledrum.http.client import Reply
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

NAME = "j-000001"
FAULTY_CONTROLLER = "drummer-1"


async def cluster_with_a_job():
    cluster = SimulatedCluster(seed=1)
    cluster.cloud.add(("small", "a", False))
    await cluster.until(lambda: cluster.leader() is not None)
    assert await cluster.submit(job(1, beats=2, vcpus=1.0, runS=400.0, dueS=None)) == 201
    await cluster.until(lambda: cluster.rules.starts == 2)
    return cluster


def answer_wrongly(cluster, status, **body):
    """Let one controller answer all its users with a fixed status and body."""

    async def answer(source, method, path, request):
        return Reply(status, json.dumps({"id": NAME} | body).encode())

    cluster.network.services[FAULTY_CONTROLLER] = answer


async def poll(cluster):
    await cluster.poll(NAME, FAULTY_CONTROLLER)


async def submit(cluster):
    await cluster.submit(job(1, beats=2), 1, FAULTY_CONTROLLER)


async def cancel(cluster):
    await cluster.send_user_request("POST", f"/submissions/{NAME}/cancel", b"", FAULTY_CONTROLLER)


async def submit_without_a_field(cluster):
    await cluster.send_user_request(
        "POST", "/submissions", b'{"id":"j-000009","crew":"blue"}', FAULTY_CONTROLLER
    )


async def submit_too_large_job(cluster):
    await cluster.submit(job(9, vcpus=64.0), 1, FAULTY_CONTROLLER)


WRONG_ANSWERS = [
    (poll, 404, {}, "forgotten"),
    (poll, 200, {"stance": "done"}, "not_done"),
    (poll, 200, {"stance": "cancelled"}, "went_back"),
    (poll, 200, {"stance": "running", "done": 1}, "invented"),
    (submit, 422, {}, "forgotten"),
    (submit, 400, {}, "forgotten"),
    (submit, 201, {"stance": "pending"}, "forgotten"),
    (cancel, 404, {}, "forgotten"),
    (cancel, 200, {"stance": "running"}, "went_back"),
    (submit_without_a_field, 201, {"stance": "pending"}, "accepted_incomplete"),
    (submit_too_large_job, 201, {"stance": "pending"}, "accepted_unfit"),
    (submit_too_large_job, 200, {"stance": "pending"}, "accepted_unfit"),
]


@pytest.mark.parametrize(("request_by", "status", "body", "rule"), WRONG_ANSWERS)
def test_a_wrong_answer_of_one_controller_breaks_an_invariant(request_by, status, body, rule):
    async def main():
        cluster = await cluster_with_a_job()
        answer_wrongly(cluster, status, **body)
        await request_by(cluster)
        with pytest.raises(AssertionError, match=rule):
            await cluster.wait(0.25)

    run(main())


def test_a_job_that_waits_although_capacity_is_free_breaks_an_invariant():
    async def main():
        cluster = await cluster_with_a_job()
        cluster.rules.submitted(job(2, vcpus=1.0))  # unknown to the controllers
        cluster.rules.submit_answer(cluster.now(), "j-000002", 201, "pending")
        cluster.rules.faults_over_at = cluster.now() + 5
        await cluster.wait(94)
        with pytest.raises(AssertionError, match="left_waiting"):
            await cluster.wait(4)

    run(main())


@pytest.mark.parametrize("problem", ["hung", "faulty", "to be taken"])
def test_an_unhealthy_machine_has_no_free_capacity(problem):
    async def main():
        cluster = await cluster_with_a_job()
        worker = cluster.cloud.workers()[0]
        assert [
            (capacity.machine, capacity.free.cpus) for capacity in cluster.cloud.free_machines()
        ] == [(worker.name, 2.0)]
        worker.hung = problem == "hung"
        worker.reclaim_at = 500.0 if problem == "to be taken" else None
        if problem == "faulty":
            cluster.timing.faulty.add(worker.name)
        assert not cluster.cloud.free_machines()

    run(main())
