"""Meetings of other troubles with changes of leader (docs/design.md, "Meetings").

Seeds are fixed and moments drawn from them; users submit, ask and cancel all the while, and the
rules are checked in each step (`simulation/scenario.py`). Besides, whatever a leader takes as
proof that a task is gone is compared with what is on the machine (`simulation/ground_truth.py`).
"""

import asyncio
import contextvars
import json
from collections import Counter

import pytest

from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.ground_truth import watched
from dappledrum.simulation.network import Copies
from dappledrum.simulation.scenario import CANCEL_S, LEASE_S, later, now, play

SEEDS = pytest.mark.parametrize("seed", range(3))
TWO_SEEDS = pytest.mark.parametrize("seed", range(2))
LONG_S = 300.0
NEVER_S = 3_600.0  # longer than any test
LONG = {"runS": [LONG_S] * 3, "expectedS": LONG_S, "vcpus": 0.5}


@pytest.fixture
def truth():
    """Everything that leaders conclude from reports and silence must be so."""
    with watched() as found:
        yield found
    assert not found.wrong, found.wrong


async def confirm(scenario, number, member):
    """A user asks this controller to cancel until it says so; then all that can answer agree."""
    world, name = scenario.world, f"j-{900 + number:06d}"
    world.rules.cancel_asked(name)
    for _ in range(200):
        reply = await world._ask("POST", f"/submissions/{name}/cancel", b"", member)
        if reply is not None and reply.status == 200:
            break
        await world.wait(0.1)
    else:
        raise AssertionError(f"{member} does not confirm that {name} is cancelled")
    state = json.loads(reply.body)["stance"]
    world.rules.poll_answer(now(), name, 200, state)
    for other in FIVE:
        if world.alive(other):
            assert await world.poll(name, other) in (None, state)


async def change_leader(scenario, step, incoming):
    """The work changes hands, to this controller if it can be named."""
    world, rng = scenario.world, scenario.rng
    outgoing = world.leader()
    if step == "transfer":
        world.nodes[outgoing].elector.transfer_leadership(incoming, "a test")
    elif step == "end":
        world.kill(outgoing)
        later(rng.choice((0.0, 0.1, 0.5)), world.start, outgoing)
    elif step == "resignation":
        world.nodes[outgoing].elector.resign("a test", world.nodes[outgoing].elector.life * 3)
    elif step == "roll":
        for turn, member in enumerate(rng.sample(FIVE, len(FIVE))):
            at = turn * rng.uniform(0.4, 1.2)
            later(at, world.kill, member)
            later(at + rng.choice((0.1, 0.3)), world.start, member)


@SEEDS
@pytest.mark.parametrize("step", ["transfer", "end", "resignation", "roll"])
def test_jobs_are_cancelled_while_the_work_changes_hands(seed, step, truth):
    """Confirmed by the outgoing, the incoming and a third controller, right before and after."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        moments = [(w, m) for w in ("outgoing", "incoming", "third") for m in ("before", "after")]
        for number, (who, moment) in enumerate(moments):
            await scenario.until_led()
            await scenario.submit_long(number, **LONG)
            await world.wait(rng.uniform(4, 7))
            await scenario.until_led()
            outgoing = world.leader()
            incoming, third = rng.sample(scenario.others(), 2)
            member = {"outgoing": outgoing, "incoming": incoming, "third": third}[who]
            if moment == "before":
                await confirm(scenario, number, member)
                await change_leader(scenario, step, incoming)
            else:
                await change_leader(scenario, step, incoming)
                await world.wait(rng.uniform(0, 0.4))
                await confirm(scenario, number, member)
        await world.wait(CANCEL_S + 5)
        assert not any(scenario.machines_of(number) for number in range(len(moments)))

    play(seed, act)


def deliver(world, sent, after):
    """A report arrives once more, at every controller."""
    for member in FIVE:
        asyncio.get_running_loop().create_task(
            world.network._late(sent.source, member, "POST", "/hello", sent.body, after),
            context=contextvars.Context(),
        )


async def disturb(scenario):
    """Reports become old: a machine loses its session, another is returned."""
    world, rng = scenario.world, scenario.rng
    hanging, gone = rng.sample(world.cloud.workers(), 2)
    hanging.hung = True
    later(rng.uniform(LEASE_S + 0.5, LEASE_S + 4), setattr, hanging, "hung", False)
    later(rng.uniform(0, 3), world.cloud.take, gone.name)


@SEEDS
def test_old_reports_reach_every_controller_as_a_leader_begins(seed, truth):
    """Of earlier sessions and attempts, and of machines that were returned meanwhile."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        reports = []

        def remember(sent):
            if sent.path == "/hello" and now() - heard.get(sent.source, -1) > 1:
                heard[sent.source] = now()
                reports.append(sent)

        heard = {}
        world.network.watcher = remember
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await disturb(scenario)
            await world.wait(rng.uniform(2, LEASE_S))
            await scenario.until_led()
            former = world.leader()
            if rng.random() < 0.5:
                world.kill(former)
                later(0.3, world.start, former)
            else:
                world.nodes[former].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            world.cloud.take(rng.choice(world.cloud.workers()).name)
            while world.leader() is None:
                await world.wait(0.02)
            delay = rng.choice((0.0, 0.05, 0.4))
            for sent in rng.sample(reports, min(len(reports), 60)):
                deliver(world, sent, delay)
            await scenario.submit_long(10 + turn)
            await world.wait(rng.uniform(2, 5))

    play(seed, act)


@SEEDS
@pytest.mark.parametrize("share", [0.3, 1.0])
def test_copies_are_kept_until_the_next_leader_has_acted(seed, share, truth):
    """In the order of their reports; nothing that runs is stopped for what they do not show."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        world.network.copies = Copies(share, 0, 0, FIVE, for_next=True)
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await disturb(scenario)
            await world.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts that the copies do not show
            await world.wait(rng.uniform(0.5, 2))
            step = rng.choice(("end", "transfer", "resignation"))
            if world.leader() is not None:
                await change_leader(scenario, step, rng.choice(scenario.others()))
        await world.wait(LEASE_S)
        assert world.network.copied > 20

    play(seed, act)


@SEEDS
@pytest.mark.parametrize("share", [0.4, 1.0])
def test_reports_are_held_back_until_a_new_leader_has_acted(seed, share, truth):
    """They come for the first time, from machines that have got work or lost their lease since."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        held, delivered = [], 0

        def hold(sent):
            if sent.path != "/hello" or sent.source not in chosen or rng.random() >= share:
                return None
            held.append(sent)
            return NEVER_S

        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            workers = world.cloud.workers()
            chosen = {worker.name for worker in rng.sample(workers, min(5, len(workers)))}
            world.network.watcher = hold
            await world.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            step = rng.choice(("end", "transfer", "resignation"))
            await change_leader(scenario, step, rng.choice(scenario.others()))
            await world.wait(rng.uniform(0, 3))
            world.network.watcher = None
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts that the reports do not show
            await world.wait(rng.uniform(0.5, LEASE_S))
            await scenario.until_led()
            rng.shuffle(held)
            for sent in held:
                await world.network._late(sent.source, world.leader(), "POST", "/hello", sent.body)
            delivered += len(held)
            held.clear()
            await world.wait(rng.uniform(1, 3))
        assert delivered > 12

    play(seed, act)


def no_worker(world):
    """Nothing passes between controllers and machines, new ones too."""
    for member in FIVE:
        for number in range(1, world.cloud.next + 40):
            world.network.cut(member, f"host-{number:06d}")


@TWO_SEEDS
@pytest.mark.parametrize("span", [LEASE_S + 3, CANCEL_S + 6])
@pytest.mark.parametrize("how", ["down", "no worker", "no state service"])
def test_all_controllers_are_away(seed, span, how, truth):
    """For longer than a lease, and than `cancel_s`; jobs are cancelled before and after."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        await scenario.submit_long(0, 1, 2)
        await scenario.submit_long(3, crew="red")
        await world.wait(8)
        await scenario.cancel(0, rng.choice(FIVE))
        await world.wait(rng.uniform(0, 0.5))
        if how == "down":
            for member in FIVE:
                world.kill(member)
        elif how == "no worker":
            no_worker(world)
        else:
            for member in FIVE:
                world.cut_off(member, "state")
        await world.wait(span)
        world.network.heal()
        for member in FIVE:
            if not world.alive(member):
                world.start(member)
        await confirm(scenario, 1, rng.choice(FIVE))
        await world.wait(CANCEL_S + 5)
        assert not scenario.machines_of(0) and not scenario.machines_of(1)

    play(seed, act)


@SEEDS
@pytest.mark.parametrize("outage", [False, True])
def test_leaders_change_ten_times_in_two_minutes(seed, outage, truth):
    """In an outage none can follow, so those that lead for promises end, are back and so on."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG)
        await scenario.submit_long(3, crew="red")
        await world.wait(4)
        cancelled, epochs = 0, set()
        for turn in range(10):
            began = now()
            if outage and turn in (3, 6):
                later(rng.uniform(0, 2), setattr, world.state, "out", True)
                later(12 + rng.uniform(0, 10), world.state.end_outage)
            leader = world.leader()
            if leader is not None:
                epochs.add(world.nodes[leader].elector.epoch)
                step = rng.choice(("end", "transfer", "resignation"))
                await change_leader(scenario, step, rng.choice(scenario.others()))
            elif outage:
                await world.restart(rng.choice(FIVE), 0.1)
            if turn % 4 == 1 and not world.state.out:
                await confirm(scenario, cancelled, rng.choice(FIVE))
                cancelled += 1
            await world.wait(max(0.1, 12 + rng.uniform(-3, 3) - (now() - began)))
        assert outage or len(epochs) >= 9

    play(seed, act)


def count_late_answers(monkeypatch):
    """Answers with starts that a worker takes after another was answered with a higher token."""
    found, highest = Counter(), [0]
    accept = Worker._accept

    def counted(worker, answer, sent, session):
        starts = sum(call["call"] == "start" for call in answer["calls"])
        if answer["baton"] < highest[0]:
            found["answers"] += 1
            found["starts"] += starts
        highest[0] = max(highest[0], answer["baton"])
        accept(worker, answer, sent, session)

    monkeypatch.setattr(Worker, "_accept", counted)
    return found


def offered(leader, machines):
    """Whether a start is on its way to one of these machines."""
    known = [machine for name in machines if (machine := leader.roster.get(name)) is not None]
    placements = [placement for machine in known for placement in machine.placements.values()]
    return any(p.offered_tick >= 0 and not p.seen for p in placements)


@SEEDS
@pytest.mark.parametrize("held", [1.0, 2.8, 6.0])
def test_answers_of_a_former_leader_arrive_after_the_new_ones(seed, held, truth, monkeypatch):
    """Within the 4 s in which a worker takes them, and beyond; what they start may be cancelled,
    and its team at its limit."""
    found = count_late_answers(monkeypatch)

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        for turn in range(18):
            if turn >= 6 and (held > 4 or found["starts"]):
                break  # six turns at least, and on until the meeting has come about
            await scenario.until_led()
            former = world.leader()
            slow = [worker.name for worker in world.cloud.workers()[turn % 2 :: 2]]
            world.network.slow.update({(former, name): held for name in slow})
            numbers = [10 * turn + number for number in range(4)]
            await scenario.submit_long(*numbers[:2], crew="red")
            await scenario.submit_long(*numbers[2:], vcpus=0.5)
            asked = now()
            while world.leader() == former and now() < asked + 3:
                if offered(world.nodes[former].leader, slow):
                    break
                await world.wait(0.05)
            if turn % 3 == 2:
                world.isolate(former)
                await scenario.until_led(former)
            elif world.leader() == former:
                world.nodes[former].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            await world.wait(rng.uniform(0, 1))
            for number in numbers[1:3]:
                await confirm(scenario, number, world.leader() or former)
            await world.wait(held + 1)
            world.network.heal()
            await world.wait(rng.uniform(1, 4))

    play(seed, act)
    if held < 4:
        assert found["starts"] > 0


@SEEDS
@pytest.mark.parametrize("leads", [True, False])
def test_a_controller_begins_anew_in_an_outage(seed, leads, truth):
    """What users were told before cannot be asked of it, so what runs may end; no rule breaks."""

    async def act(scenario):
        world, rng = scenario.world, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG)
        await world.wait(6)
        leader, told = world.leader(), rng.choice(scenario.others())
        world.state.refused.add(leader)
        await world.wait(rng.uniform(0, 0.5))
        await scenario.cancel(0, told)  # the leader cannot read it
        member = leader if leads else told
        world.state.out = True
        await world.wait(rng.uniform(0, 0.3))
        await world.restart(member, rng.choice((0.1, 0.3)))
        await world.wait(CANCEL_S + rng.uniform(0, 10))
        assert not scenario.machines_of(0)
        world.state.end_outage()
        await confirm(scenario, 1, rng.choice(FIVE))

    play(seed, act)
