"""Other faults concurrent with changes of leader (docs/design.md, "Concurrent faults").

Seeds are fixed and moments drawn from them; users submit, ask and cancel all the while, and the
invariants are checked in each step (`simulation/scenario.py`). Besides, whatever a leader takes as
proof that a task has terminated is compared with what is on the machine
(`simulation/ground_truth.py`).
"""

import asyncio
import contextvars
import json
from collections import Counter

import pytest

from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.ground_truth import compared_with_ground_truth
from dappledrum.simulation.network import Copies
from dappledrum.simulation.scenario import CANCEL_S, LEASE_S, call_later, now, running_scenario

SEEDS = pytest.mark.parametrize("seed", range(3))
TWO_SEEDS = pytest.mark.parametrize("seed", range(2))
LONG_S = 300.0
NEVER_S = 3_600.0  # longer than any test
LONG = {"runS": [LONG_S] * 3, "expectedS": LONG_S, "vcpus": 0.5}


#: Conclusions of all leaders are checked in each test.
pytestmark = pytest.mark.usefixtures("truth")


@pytest.fixture
def truth():
    """Everything that leaders conclude from heartbeats and silence must be so."""
    with compared_with_ground_truth() as found:
        yield found
    assert not found.wrong, found.wrong


async def confirm(scenario, number, member):
    """A user asks this controller to cancel until it says so; then all that can answer agree."""
    cluster, name = scenario.cluster, f"j-{900 + number:06d}"
    cluster.rules.cancel_asked(name)
    for _ in range(200):
        reply = await cluster.send_user_request("POST", f"/submissions/{name}/cancel", b"", member)
        if reply is not None and reply.status == 200:
            break
        await cluster.wait(0.1)
    else:
        raise AssertionError(f"{member} does not confirm that {name} is cancelled")
    state = json.loads(reply.body)["stance"]
    cluster.rules.poll_answer(now(), name, 200, state)
    for other in FIVE:
        if cluster.alive(other):
            assert await cluster.poll(name, other) in (None, state)


async def change_leader(scenario, step, incoming):
    """The work changes hands, to this controller if it can be named."""
    cluster, rng = scenario.cluster, scenario.rng
    outgoing = cluster.leader()
    if step == "transfer":
        cluster.controllers[outgoing].elector.transfer_leadership(incoming, "a test")
    elif step == "end":
        cluster.kill(outgoing)
        call_later(rng.choice((0.0, 0.1, 0.5)), cluster.start, outgoing)
    elif step == "resignation":
        cluster.controllers[outgoing].elector.resign(
            "a test", cluster.controllers[outgoing].elector.lease_ttl * 3
        )
    elif step == "roll":
        for turn, member in enumerate(rng.sample(FIVE, len(FIVE))):
            at = turn * rng.uniform(0.4, 1.2)
            call_later(at, cluster.kill, member)
            call_later(at + rng.choice((0.1, 0.3)), cluster.start, member)


@SEEDS
@pytest.mark.parametrize("step", ["transfer", "end", "resignation", "roll"])
async def test_cancellations_around_a_change_of_leader_are_kept(seed, step):
    """Confirmed by the outgoing, the incoming and a third controller, right before and after."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        moments = [(w, m) for w in ("outgoing", "incoming", "third") for m in ("before", "after")]
        for number, (who, moment) in enumerate(moments):
            await scenario.until_led()
            await scenario.submit_long(number, **LONG)
            await cluster.wait(rng.uniform(4, 7))
            await scenario.until_led()
            outgoing = cluster.leader()
            incoming, third = rng.sample(scenario.others(), 2)
            member = {"outgoing": outgoing, "incoming": incoming, "third": third}[who]
            if moment == "before":
                await confirm(scenario, number, member)
                await change_leader(scenario, step, incoming)
            else:
                await change_leader(scenario, step, incoming)
                await cluster.wait(rng.uniform(0, 0.4))
                await confirm(scenario, number, member)
        await cluster.wait(CANCEL_S + 5)
        assert not any(scenario.machines_of(number) for number in range(len(moments)))


def deliver(cluster, sent, after):
    """A heartbeat arrives once more, at every controller."""
    for member in FIVE:
        asyncio.get_running_loop().create_task(
            cluster.network.deliver_later(sent.source, member, "POST", "/hello", sent.body, after),
            context=contextvars.Context(),
        )


async def disturb(scenario):
    """Heartbeats become old: a machine loses its session, another is returned."""
    cluster, rng = scenario.cluster, scenario.rng
    hanging, taken = rng.sample(cluster.cloud.workers(), 2)
    hanging.hung = True
    call_later(rng.uniform(LEASE_S + 0.5, LEASE_S + 4), setattr, hanging, "hung", False)
    call_later(rng.uniform(0, 3), cluster.cloud.terminate, taken.name)


@SEEDS
async def test_old_heartbeats_do_no_harm_as_a_term_begins(seed):
    """Of earlier sessions and attempts, and of machines that were returned meanwhile."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        heartbeats = []

        def remember(sent):
            if sent.path == "/hello" and now() - heard.get(sent.source, -1) > 1:
                heard[sent.source] = now()
                heartbeats.append(sent)

        heard = {}
        cluster.network.watcher = remember
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await disturb(scenario)
            await cluster.wait(rng.uniform(2, LEASE_S))
            await scenario.until_led()
            former = cluster.leader()
            if rng.random() < 0.5:
                cluster.kill(former)
                call_later(0.3, cluster.start, former)
            else:
                cluster.controllers[former].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            cluster.cloud.terminate(rng.choice(cluster.cloud.workers()).name)
            while cluster.leader() is None:
                await cluster.wait(0.02)
            delay = rng.choice((0.0, 0.05, 0.4))
            for sent in rng.sample(heartbeats, min(len(heartbeats), 60)):
                deliver(cluster, sent, delay)
            await scenario.submit_long(10 + turn)
            await cluster.wait(rng.uniform(2, 5))


@SEEDS
@pytest.mark.parametrize("share", [0.3, 1.0])
async def test_heartbeats_repeated_to_the_next_leader_stop_nothing_that_runs(seed, share):
    """In the order of their heartbeats; nothing that runs is stopped for what they do not show."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.network.copies = Copies(share, 0, 0, FIVE, for_next=True)
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await disturb(scenario)
            await cluster.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts that the copies do not show
            await cluster.wait(rng.uniform(0.5, 2))
            step = rng.choice(("end", "transfer", "resignation"))
            if cluster.leader() is not None:
                await change_leader(scenario, step, rng.choice(scenario.others()))
        await cluster.wait(LEASE_S)
        assert cluster.network.copied > 20


@SEEDS
@pytest.mark.parametrize("share", [0.4, 1.0])
async def test_heartbeats_delayed_until_the_next_term_do_no_harm(seed, share):
    """They come for the first time, from machines that have got work or lost their lease since."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        held, delivered = [], 0

        def hold(sent):
            if sent.path != "/hello" or sent.source not in chosen or rng.random() >= share:
                return None
            held.append(sent)
            return NEVER_S

        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            workers = cluster.cloud.workers()
            chosen = {worker.name for worker in rng.sample(workers, min(5, len(workers)))}
            cluster.network.watcher = hold
            await cluster.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            step = rng.choice(("end", "transfer", "resignation"))
            await change_leader(scenario, step, rng.choice(scenario.others()))
            await cluster.wait(rng.uniform(0, 3))
            cluster.network.watcher = None
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts that the heartbeats do not show
            await cluster.wait(rng.uniform(0.5, LEASE_S))
            await scenario.until_led()
            rng.shuffle(held)
            for sent in held:
                await cluster.network.deliver_later(
                    sent.source, cluster.leader(), "POST", "/hello", sent.body
                )
            delivered += len(held)
            held.clear()
            await cluster.wait(rng.uniform(1, 3))
        assert delivered > 12


def no_worker(cluster):
    """Nothing passes between controllers and machines, new ones too."""
    for member in FIVE:
        for number in range(1, cluster.cloud.last_number + 40):
            cluster.network.cut(member, f"host-{number:06d}")


@TWO_SEEDS
@pytest.mark.parametrize("span", [LEASE_S + 3, CANCEL_S + 6])
@pytest.mark.parametrize("how", ["down", "no worker", "no state service"])
async def test_cancelled_jobs_have_no_tasks_left_after_all_controllers_were_away(seed, span, how):
    """For longer than a lease, and than `cancel_s`; jobs are cancelled before and after."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        await scenario.submit_long(3, crew="red")
        await cluster.wait(8)
        await scenario.cancel(0, rng.choice(FIVE))
        await cluster.wait(rng.uniform(0, 0.5))
        if how == "down":
            for member in FIVE:
                cluster.kill(member)
        elif how == "no worker":
            no_worker(cluster)
        else:
            for member in FIVE:
                cluster.cut_off(member, "state")
        await cluster.wait(span)
        cluster.network.heal()
        for member in FIVE:
            if not cluster.alive(member):
                cluster.start(member)
        await confirm(scenario, 1, rng.choice(FIVE))
        await cluster.wait(CANCEL_S + 5)
        assert not scenario.machines_of(0)
        assert not scenario.machines_of(1)


@SEEDS
@pytest.mark.parametrize("outage", [False, True])
async def test_cancellations_are_kept_when_the_leader_changes_ten_times_in_two_minutes(
    seed, outage
):
    """In an outage none can follow, so those that lead on lease grants crash, restart and so
    on."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG)
        await scenario.submit_long(3, crew="red")
        await cluster.wait(4)
        cancelled, epochs = 0, set()
        for turn in range(10):
            began = now()
            if outage and turn in (3, 6):
                call_later(rng.uniform(0, 2), setattr, cluster.store, "in_outage", True)
                call_later(12 + rng.uniform(0, 10), cluster.store.end_outage)
            leader = cluster.leader()
            if leader is not None:
                epochs.add(cluster.controllers[leader].elector.epoch)
                step = rng.choice(("end", "transfer", "resignation"))
                await change_leader(scenario, step, rng.choice(scenario.others()))
            elif outage:
                await cluster.restart(rng.choice(FIVE), 0.1)
            if turn % 4 == 1 and not cluster.store.in_outage:
                await confirm(scenario, cancelled, rng.choice(FIVE))
                cancelled += 1
            await cluster.wait(max(0.1, 12 + rng.uniform(-3, 3) - (now() - began)))
        assert outage or len(epochs) >= 9


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
    known = [machine for name in machines if (machine := leader.registry.get(name)) is not None]
    placements = [placement for machine in known for placement in machine.placements.values()]
    return any(p.offered_sequence >= 0 and not p.observed for p in placements)


@SEEDS
@pytest.mark.parametrize("held", [1.0, 2.8, 6.0])
async def test_answers_of_a_former_leader_after_newer_ones_do_no_harm(seed, held, monkeypatch):
    """Within the 4 s in which a worker takes them, and beyond; what they start may be cancelled,
    and its team at its limit."""
    found = count_late_answers(monkeypatch)

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        for turn in range(18):
            if turn >= 6 and (held > 4 or found["starts"]):
                break  # six turns at least, and on until the faults have coincided
            await scenario.until_led()
            former = cluster.leader()
            slow = [worker.name for worker in cluster.cloud.workers()[turn % 2 :: 2]]
            cluster.network.extra_latency_s.update({(former, name): held for name in slow})
            numbers = [10 * turn + number for number in range(4)]
            await scenario.submit_long(*numbers[:2], crew="red")
            await scenario.submit_long(*numbers[2:], vcpus=0.5)
            asked = now()
            while cluster.leader() == former and now() < asked + 3:
                if offered(cluster.controllers[former].leader, slow):
                    break
                await cluster.wait(0.05)
            if turn % 3 == 2:
                cluster.isolate(former)
                await scenario.until_led(former)
            elif cluster.leader() == former:
                cluster.controllers[former].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            await cluster.wait(rng.uniform(0, 1))
            for number in numbers[1:3]:
                await confirm(scenario, number, cluster.leader() or former)
            await cluster.wait(held + 1)
            cluster.network.heal()
            await cluster.wait(rng.uniform(1, 4))

    if held < 4:
        assert found["starts"] > 0


@SEEDS
@pytest.mark.parametrize("leads", [True, False])
async def test_cancelled_tasks_end_when_a_controller_restarts_in_an_outage(seed, leads):
    """What it has acknowledged to users before cannot be asked of it, so what runs may end; no
    invariant breaks."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG)
        await cluster.wait(6)
        leader, confirming = cluster.leader(), rng.choice(scenario.others())
        cluster.store.refused.add(leader)
        await cluster.wait(rng.uniform(0, 0.5))
        await scenario.cancel(0, confirming)  # the leader cannot read it
        member = leader if leads else confirming
        cluster.store.in_outage = True
        await cluster.wait(rng.uniform(0, 0.3))
        await cluster.restart(member, rng.choice((0.1, 0.3)))
        await cluster.wait(CANCEL_S + rng.uniform(0, 10))
        assert not scenario.machines_of(0)
        cluster.store.end_outage()
        await confirm(scenario, 1, rng.choice(FIVE))
