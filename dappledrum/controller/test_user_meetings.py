"""Users meet what happens to their jobs (docs/design.md, "Meetings"): acceptance, cancellation,
the end of the last task, odd requests, many small jobs. Seeds are fixed, moments drawn from
them."""

import asyncio
import json
import random

import pytest

from dappledrum.http.server import Request
from dappledrum.standins.pairs import FIVE
from dappledrum.standins.scenario import now, play
from dappledrum.standins.users import AnswerOrder, ImpatientUser, sent_form, wandering_latency
from dappledrum.standins.world import job

SEEDS = pytest.mark.parametrize("seed", range(3))
ABSENT = object()  # a field that is left out


def impatient(scenario, order, seed, count, tasks=(1, 2, 2, 3)):
    """Users with short jobs, each with luck of its own."""
    users = []
    for number in range(count):
        rng = random.Random(f"{seed} impatient {number}")
        beats = rng.choice(tasks)
        runs = [rng.uniform(0.5, 8) for _ in range(beats)]
        spec = job(700 + number, beats=beats, vcpus=0.5, runS=runs, dueS=None)
        users.append(ImpatientUser(scenario.world, order, spec, rng))
    scenario.names += [user.name for user in users]
    return users


async def finished(scenario, order, doing):
    """Wait for all of them, with the rules and the order of answers checked at each step; what
    they return."""
    tasks = [asyncio.ensure_future(one) for one in doing]
    while not all(task.done() for task in tasks):
        await scenario.world.wait(0.25)
        assert not order.broken, order.broken
    return [task.result() for task in tasks]


@SEEDS
@pytest.mark.parametrize("trouble", ["none", "refused", "slow", "lists in parts"])
def test_answers_at_all_nodes_within_milliseconds(seed, trouble):
    """Right after a job is accepted, ended or cancelled nobody answers anything older: nor a
    controller that the state service refuses alone and that relays its users, nor one whose
    requests overtake each other, nor one that reads the list of jobs in several requests."""

    async def refuse_one_after_another(world, rng):
        while True:
            world.state.refused = {rng.choice(FIVE)}
            await asyncio.sleep(rng.uniform(2, 8))

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        order = AnswerOrder()
        users = impatient(scenario, order, seed, 12)
        troubles = []
        if trouble == "refused":
            troubles.append(refuse_one_after_another(world, rng))
        if trouble == "lists in parts":
            world.state.list_most = 2
        if trouble in ("slow", "lists in parts"):
            troubles.append(wandering_latency(world, rng, FIVE, 0.25))
        running = [asyncio.ensure_future(one) for one in troubles]
        states = await finished(scenario, order, [user.run() for user in users])
        for one in running:
            one.cancel()
        assert set(states) == {"done", "cancelled"}
        assert sum(len(answers) for answers in order.answers.values()) > 1500

    play(seed, act, users=4)


@SEEDS
@pytest.mark.parametrize("written", [False, True])
def test_cancellations_and_questions_meet_the_end_of_the_last_task(seed, written):
    """Within half a second after the task has completed, or within milliseconds of the leader's
    write of the end: one of the two wins, and everybody is told the same for ever."""

    async def act(scenario):
        order = AnswerOrder()
        users = impatient(scenario, order, seed, 16)
        most = 0.012 if written else 0.5
        meeting = [user.meet_end(written, user.rng.uniform(0, most)) for user in users]
        states = await finished(scenario, order, meeting)
        assert set(states) == {"done", "cancelled"}

    play(seed, act, users=2)


#: Requests that nobody should send: method, path, changes of a submission (None: another body),
#: and what is answered when the controller can decide.
ODD = [
    ("POST", "/submissions", {"vcpus": 400.0}, 422),
    ("POST", "/submissions", {"crew": "nobody"}, 422),
    ("POST", "/submissions", {"crew": "red", "vcpus": 4.0, "form": "service"}, 422),
    ("POST", "/submissions", {"builds": ["large"], "hall": "b"}, 422),
    ("POST", "/submissions", {"waitsOn": ["j-000950"]}, 422),
    ("POST", "/submissions", {"vcpus": ABSENT}, 400),
    ("POST", "/submissions", {"id": ABSENT}, 400),
    ("POST", "/submissions", {"beats": 0}, 400),
    ("POST", "/submissions", None, 400),
    ("GET", "/submissions/j-000950", None, 404),
    ("POST", "/submissions/j-000950/cancel", None, 404),
]
KNOWN_CHANGES = ({}, {"vcpus": ABSENT}, {"vcpus": 400.0}, {"waitsOn": ["j-000950"]})


def submission(number, changes):
    """A submission as it is sent, changed."""
    spec = job(number, **changes)
    return sent_form({key: value for key, value in spec.items() if value is not ABSENT})


class OddRequests:
    """Requests about a finished, a running and an unknown job, and jobs that can never run."""

    def __init__(self, world):
        self.world = world

    async def prepare(self):
        """One job is done, one runs for long."""
        await self.world.submit(job(960, beats=1, runS=1.0, dueS=None))
        await self.world.submit(job(961, beats=1, runS=300.0, expectedS=300.0, dueS=None))
        await self.world.until(lambda: "ended/j-000960" in self.world.state.keys)

    async def ask(self, member, method, path, body=b""):
        """One request to one controller; the answer as it goes over the wire, and the state."""
        node = self.world.nodes[member]
        response = await node.serve(Request(method, path, body))
        state = None
        if response.status in (200, 201):
            state = json.loads(response.body)["stance"]
        return response, state

    async def check(self, member, undecided=()):
        """All of them; `undecided`: the statuses that may be answered instead, with a time to
        come back."""
        for method, path, changes, status in ODD:
            body = b"{" if changes is None else submission(950, changes)
            response, _ = await self.ask(member, method, path, body)
            self.right(response, {status}, undecided, (member, path, changes))
        for number, states in ((960, {"done"}), (961, {"pending", "running"})):
            for changes in KNOWN_CHANGES:
                body = submission(number, changes)
                response, state = await self.ask(member, "POST", "/submissions", body)
                self.right(response, {200}, undecided, (member, number, changes))
                assert response.status == 503 or state in states
        response, state = await self.ask(member, "POST", "/submissions/j-000960/cancel")
        self.right(response, {200}, undecided, (member, "cancel of a finished job"))
        assert response.status == 503 or state == "done"

    @staticmethod
    def right(response, statuses, undecided, what):
        """The protocol's answer, or a time to come back."""
        assert response.status in {*statuses, *undecided}, (response, what)
        assert response.status != 503 or 1 <= response.retry_after <= 30, (response, what)


@SEEDS
def test_odd_requests_at_every_controller_and_in_the_first_second_of_a_process(seed):
    """A process that has not learned the machine types yet refuses nothing that it can't judge,
    and accepts nothing that can't run."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        odd = OddRequests(world)
        await odd.prepare()
        for member in FIVE:
            await odd.check(member)
        for member in rng.sample(FIVE, 3):
            await world.restart(member, rng.choice((0.1, 1.0)))
            for _ in range(8):
                await odd.check(member, undecided=(503,))
                await asyncio.sleep(rng.uniform(0, 0.2))
        await world.wait(5)
        for member in FIVE:
            await odd.check(member)
        await world.cancel("j-000961")

    play(seed, act, users=2)


@SEEDS
def test_odd_requests_while_no_machine_types_are_known(seed):
    """All controllers begin without the cloud and without a record of its types."""

    async def act(scenario):
        world = scenario.world
        odd = OddRequests(world)
        await odd.prepare()
        for member in FIVE:
            world.kill(member)
        world.cloud.out = True
        del world.state.keys["catalog"]
        for member in FIVE:
            world.start(member)
        await world.wait(2)
        for member in FIVE:
            assert world.nodes[member].intake.types is None
            await odd.check(member, undecided=(503,))
            response, _ = await odd.ask(member, "POST", "/submissions", submission(952, {}))
            assert response.status == 503
            response, state = await odd.ask(
                member, "POST", "/submissions", submission(960, {"vcpus": 400.0})
            )
            assert (response.status, state) == (200, "done")
        world.cloud.out = False
        await world.wait(8)
        for member in FIVE:
            await odd.check(member)
        await world.cancel("j-000961")

    play(seed, act, users=2)


@SEEDS
def test_odd_requests_in_an_outage(seed):
    """Whatever needs the state service is answered with 503 and a time to come back, at once."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        odd = OddRequests(world)
        await odd.prepare()
        world.state.out = True
        until = now() + rng.uniform(5, 20)
        while now() < until:
            member = rng.choice(FIVE)
            asked = now()
            await odd.check(member, undecided=(503,))
            questions = len(ODD) + 2 * len(KNOWN_CHANGES) + 1
            assert now() - asked < questions * 0.6
            response, _ = await odd.ask(member, "POST", "/submissions", submission(952, {}))
            assert response.status == 503
            await world.wait(rng.uniform(0, 1))
        world.state.end_outage()
        await world.wait(8)
        for member in FIVE:
            await odd.check(member)
        await world.cancel("j-000961")

    play(seed, act, users=2)


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
