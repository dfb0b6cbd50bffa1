"""Whatever a user of the stand-ins asks is recorded, and a controller that tells something wrong
ends the test."""

import json

import pytest

from dappledrum.http.client import Reply
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run

NAME = "j-000001"
LIAR = "drummer-1"


async def world_with_a_job():
    world = World(seed=1)
    world.cloud.add(("small", "a", False))
    await world.until(lambda: world.leader() is not None)
    assert await world.submit(job(1, beats=2, vcpus=1.0, runS=400.0, dueS=None)) == 201
    await world.until(lambda: world.rules.starts == 2)
    return world


def lie(world, status, **body):
    """One controller answers all its users with this."""

    async def answer(source, method, path, request):
        return Reply(status, json.dumps({"id": NAME} | body).encode())

    world.network.services[LIAR] = answer


async def ask(world):
    await world.poll(NAME, LIAR)


async def submit(world):
    await world.submit(job(1, beats=2), 1, LIAR)


async def by_hand(world):
    await world._ask("POST", f"/submissions/{NAME}/cancel", b"", LIAR)


async def submit_what_lacks_a_field(world):
    await world._ask("POST", "/submissions", b'{"id":"j-000009","crew":"blue"}', LIAR)


async def submit_what_fits_nowhere(world):
    await world.submit(job(9, vcpus=64.0), 1, LIAR)


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
        world = await world_with_a_job()
        lie(world, status, **body)
        await request_by(world)
        with pytest.raises(AssertionError, match=rule):
            await world.wait(0.25)

    run(main())


def test_a_job_that_is_left_waiting_beside_room_ends_the_test():
    async def main():
        world = await world_with_a_job()
        world.rules.submitted(job(2, vcpus=1.0))  # the service knows nothing of it
        world.rules.submit_answer(world.now(), "j-000002", 201, "pending")
        world.rules.faults_over_at = world.now() + 5
        await world.wait(94)
        with pytest.raises(AssertionError, match="left_waiting"):
            await world.wait(4)

    run(main())


@pytest.mark.parametrize("unwell", ["hung", "faulty", "to be taken"])
def test_a_machine_that_is_not_well_has_no_room(unwell):
    async def main():
        world = await world_with_a_job()
        worker = world.cloud.workers()[0]
        assert [
            (capacity.machine, capacity.free.cpus) for capacity in world.cloud.free_machines()
        ] == [(worker.name, 2.0)]
        worker.hung = unwell == "hung"
        worker.recall_at = 500.0 if unwell == "to be taken" else None
        if unwell == "faulty":
            world.timing.faulty.add(worker.name)
        assert not world.cloud.free_machines()

    run(main())
