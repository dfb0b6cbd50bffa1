"""Other faults concurrent with changes of leader (docs/design.md, "Concurrent faults").

Seeds are fixed, and moments are drawn from them. Meanwhile users submit, poll and cancel jobs, and
the invariants are checked in each step (`simulation/scenario.py`). Whatever a leader takes as
proof that a task has terminated is compared with what is on the machine
(`simulation/ground_truth.py`).
"""

import asyncio
import contextvars
import json
from collections import Counter

import pytest

from dappledrum.election.terms import TOKENS_PER_TERM
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.fleet import Worker
from dappledrum.simulation.ground_truth import compared_with_ground_truth
from dappledrum.simulation.network import Copies
from dappledrum.simulation.scenario import CANCEL_S, LEASE_S, call_later, now, running_scenario

SEEDS = pytest.mark.parametrize("seed", range(3))
TWO_SEEDS = pytest.mark.parametrize("seed", range(2))
LONG_RUN_S = 300.0
LONGER_THAN_ANY_TEST_S = 3_600.0
LONG_TASKS = {"runS": [LONG_RUN_S] * 3, "expectedS": LONG_RUN_S, "vcpus": 0.5}


pytestmark = pytest.mark.usefixtures("ground_truth")


@pytest.fixture
def ground_truth():
    """Compare what leaders conclude from heartbeats and silence with the ground truth."""
    with compared_with_ground_truth() as found:
        yield found
    assert not found.wrong, found.wrong


async def cancel_until_confirmed(scenario, number, member):
    """Request a cancellation from one controller until it confirms it; then all controllers that
    answer must agree."""
    cluster, name = scenario.cluster, f"j-{900 + number:06d}"
    cluster.rules.cancel_asked(name)
    for _ in range(200):
        reply = await cluster.send_user_request("POST", f"/submissions/{name}/cancel", b"", member)
        if reply is not None and reply.status == 200:
            break
        await cluster.wait(0.1)
    else:
        raise AssertionError(f"{member} did not confirm the cancellation of {name}")
    state = json.loads(reply.body)["stance"]
    cluster.rules.poll_answer(now(), name, 200, state)
    for other in FIVE:
        if cluster.alive(other):
            assert await cluster.poll(name, other) in (None, state)


async def change_leader(scenario, step, incoming):
    """End the leader's term in one of several ways; `incoming` is the target of a transfer."""
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
        for position, member in enumerate(rng.sample(FIVE, len(FIVE))):
            kill_after = position * rng.uniform(0.4, 1.2)
            call_later(kill_after, cluster.kill, member)
            call_later(kill_after + rng.choice((0.1, 0.3)), cluster.start, member)


@SEEDS
@pytest.mark.parametrize("step", ["transfer", "end", "resignation", "roll"])
async def test_cancellations_around_a_change_of_leader_are_kept(seed, step):
    """Each of the outgoing leader, the incoming one and a third controller confirms cancellations
    right before and right after the change."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cases = [(w, m) for w in ("outgoing", "incoming", "third") for m in ("before", "after")]
        for number, (confirmer, when) in enumerate(cases):
            await scenario.until_led()
            await scenario.submit_long(number, **LONG_TASKS)
            await cluster.wait(rng.uniform(4, 7))
            await scenario.until_led()
            outgoing = cluster.leader()
            incoming, third = rng.sample(scenario.others(), 2)
            member = {"outgoing": outgoing, "incoming": incoming, "third": third}[confirmer]
            if when == "before":
                await cancel_until_confirmed(scenario, number, member)
                await change_leader(scenario, step, incoming)
            else:
                await change_leader(scenario, step, incoming)
                await cluster.wait(rng.uniform(0, 0.4))
                await cancel_until_confirmed(scenario, number, member)
        await cluster.wait(CANCEL_S + 5)
        assert not any(scenario.machines_of(number) for number in range(len(cases)))


def deliver_again(cluster, sent, delay_s):
    """Deliver a heartbeat once more, to every controller."""
    for member in FIVE:
        asyncio.get_running_loop().create_task(
            cluster.network.deliver_later(
                sent.source, member, "POST", "/hello", sent.body, delay_s
            ),
            context=contextvars.Context(),
        )


async def outdate_heartbeats(scenario):
    """Make earlier heartbeats outdated: one machine loses its session, another is reclaimed
    by the cloud."""
    cluster, rng = scenario.cluster, scenario.rng
    hanging, taken = rng.sample(cluster.cloud.workers(), 2)
    hanging.hung = True
    call_later(rng.uniform(LEASE_S + 0.5, LEASE_S + 4), setattr, hanging, "hung", False)
    call_later(rng.uniform(0, 3), cluster.cloud.terminate, taken.name)


@SEEDS
async def test_old_heartbeats_do_no_harm_as_a_term_begins(seed):
    """Heartbeats from earlier sessions and task attempts, and from machines that were reclaimed
    meanwhile, arrive as a term begins."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        heartbeats = []

        def collect_heartbeat(sent):
            if sent.path == "/hello" and now() - collected_at.get(sent.source, -1) > 1:
                collected_at[sent.source] = now()
                heartbeats.append(sent)

        collected_at = {}
        cluster.network.watcher = collect_heartbeat
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await outdate_heartbeats(scenario)
            await cluster.wait(rng.uniform(2, LEASE_S))
            await scenario.until_led()
            former_leader = cluster.leader()
            if rng.random() < 0.5:
                cluster.kill(former_leader)
                call_later(0.3, cluster.start, former_leader)
            else:
                cluster.controllers[former_leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            cluster.cloud.terminate(rng.choice(cluster.cloud.workers()).name)
            while cluster.leader() is None:
                await cluster.wait(0.02)
            delay_s = rng.choice((0.0, 0.05, 0.4))
            for sent in rng.sample(heartbeats, min(len(heartbeats), 60)):
                deliver_again(cluster, sent, delay_s)
            await scenario.submit_long(10 + turn)
            await cluster.wait(rng.uniform(2, 5))


@SEEDS
@pytest.mark.parametrize("share", [0.3, 1.0])
async def test_heartbeats_repeated_to_the_next_leader_stop_nothing_that_runs(seed, share):
    """The copies arrive in their original order; tasks that they do not yet list must not be
    stopped."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.network.copies = Copies(share, 0, 0, FIVE, for_next=True)
        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            await outdate_heartbeats(scenario)
            await cluster.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts after the copied heartbeats
            await cluster.wait(rng.uniform(0.5, 2))
            step = rng.choice(("end", "transfer", "resignation"))
            if cluster.leader() is not None:
                await change_leader(scenario, step, rng.choice(scenario.others()))
        await cluster.wait(LEASE_S)
        assert cluster.network.copied > 20


@SEEDS
@pytest.mark.parametrize("share", [0.4, 1.0])
async def test_heartbeats_delayed_until_the_next_term_do_no_harm(seed, share):
    """The heartbeats arrive for the first time, from machines that have got tasks or lost their
    lease since they were sent."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        held_heartbeats, delivered = [], 0

        def hold(sent):
            if (
                sent.path != "/hello"
                or sent.source not in delayed_workers
                or rng.random() >= share
            ):
                return None
            held_heartbeats.append(sent)
            return LONGER_THAN_ANY_TEST_S

        await scenario.submit_long(0, 1)
        await scenario.submit_long(2, crew="red")
        for turn in range(4):
            workers = cluster.cloud.workers()
            delayed_workers = {worker.name for worker in rng.sample(workers, min(5, len(workers)))}
            cluster.network.watcher = hold
            await cluster.wait(rng.uniform(2, LEASE_S + 3))
            await scenario.until_led()
            step = rng.choice(("end", "transfer", "resignation"))
            await change_leader(scenario, step, rng.choice(scenario.others()))
            await cluster.wait(rng.uniform(0, 3))
            cluster.network.watcher = None
            await scenario.until_led()
            await scenario.submit_long(10 + turn)  # starts after the delayed heartbeats
            await cluster.wait(rng.uniform(0.5, LEASE_S))
            await scenario.until_led()
            rng.shuffle(held_heartbeats)
            for sent in held_heartbeats:
                await cluster.network.deliver_later(
                    sent.source, cluster.leader(), "POST", "/hello", sent.body
                )
            delivered += len(held_heartbeats)
            held_heartbeats.clear()
            await cluster.wait(rng.uniform(1, 3))
        assert delivered > 12


def cut_off_all_workers(cluster):
    """Cut all controllers off from all workers, also from those rented later."""
    for member in FIVE:
        for number in range(1, cluster.cloud.last_number + 40):
            cluster.network.cut(member, f"host-{number:06d}")


@TWO_SEEDS
@pytest.mark.parametrize("duration_s", [LEASE_S + 3, CANCEL_S + 6])
@pytest.mark.parametrize("fault", ["down", "no worker", "no state service"])
async def test_cancelled_jobs_have_no_tasks_left_after_controllers_were_down_or_cut_off(
    seed, duration_s, fault
):
    """All controllers are down, or cut off from the workers or the store, for longer than a lease,
    or than `cancel_s`; one job is cancelled before, one after."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2)
        await scenario.submit_long(3, crew="red")
        await cluster.wait(8)
        await scenario.cancel(0, rng.choice(FIVE))
        await cluster.wait(rng.uniform(0, 0.5))
        if fault == "down":
            for member in FIVE:
                cluster.kill(member)
        elif fault == "no worker":
            cut_off_all_workers(cluster)
        else:
            for member in FIVE:
                cluster.cut_off(member, "state")
        await cluster.wait(duration_s)
        cluster.network.heal()
        for member in FIVE:
            if not cluster.alive(member):
                cluster.start(member)
        await cancel_until_confirmed(scenario, 1, rng.choice(FIVE))
        await cluster.wait(CANCEL_S + 5)
        assert not scenario.machines_of(0)
        assert not scenario.machines_of(1)


@SEEDS
@pytest.mark.parametrize("outage", [False, True])
async def test_cancellations_are_kept_when_the_leader_changes_ten_times_in_two_minutes(
    seed, outage
):
    """In an outage no successor can be elected: leaders that hold only lease grants still end,
    resign or transfer leadership, and without a leader some controller restarts."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG_TASKS)
        await scenario.submit_long(3, crew="red")
        await cluster.wait(4)
        cancelled_count, epochs = 0, set()
        for turn in range(10):
            turn_began = now()
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
                await cancel_until_confirmed(scenario, cancelled_count, rng.choice(FIVE))
                cancelled_count += 1
            await cluster.wait(max(0.1, 12 + rng.uniform(-3, 3) - (now() - turn_began)))
        assert outage or len(epochs) >= 9


def count_late_answers(monkeypatch):
    """Count answers, and the starts in them, that a worker accepts after some worker has received
    an answer of a later term."""
    counts, newest_term = Counter(), [0]
    accept = Worker._accept

    def count_and_accept(worker, answer, sent, session):
        starts = sum(call["call"] == "start" for call in answer["calls"])
        term = (answer["baton"] - 1) // TOKENS_PER_TERM
        if term < newest_term[0]:
            counts["answers"] += 1
            counts["starts"] += starts
        newest_term[0] = max(newest_term[0], term)
        accept(worker, answer, sent, session)

    monkeypatch.setattr(Worker, "_accept", count_and_accept)
    return counts


def has_pending_start(leader, machines):
    """Whether a start that was sent to one of these machines is not confirmed yet."""
    registered = [
        machine for name in machines if (machine := leader.registry.get(name)) is not None
    ]
    placements = [placement for machine in registered for placement in machine.placements.values()]
    return any(p.offered_sequence >= 0 and not p.observed for p in placements)


@SEEDS
@pytest.mark.parametrize("delay_s", [1.0, 2.8, 6.0])
async def test_answers_of_a_former_leader_after_newer_ones_do_no_harm(seed, delay_s, monkeypatch):
    """Answers are delayed by less and by more than the 4 s within which a worker accepts them. The
    jobs that they start may be cancelled by then, and their team at its limit."""
    late_answers = count_late_answers(monkeypatch)

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        for turn in range(18):
            if turn >= 6 and (delay_s > 4 or late_answers["starts"]):
                break  # at least six turns, more until a late answer has started a task
            await scenario.until_led()
            former_leader = cluster.leader()
            slow_workers = [worker.name for worker in cluster.cloud.workers()[turn % 2 :: 2]]
            cluster.network.extra_latency_s.update(
                {(former_leader, name): delay_s for name in slow_workers}
            )
            numbers = [10 * turn + number for number in range(4)]
            await scenario.submit_long(*numbers[:2], crew="red")
            await scenario.submit_long(*numbers[2:], vcpus=0.5)
            submitted_at = now()
            while cluster.leader() == former_leader and now() < submitted_at + 3:
                if has_pending_start(cluster.controllers[former_leader].leader, slow_workers):
                    break
                await cluster.wait(0.05)
            if turn % 3 == 2:
                cluster.isolate(former_leader)
                await scenario.until_led(former_leader)
            elif cluster.leader() == former_leader:
                cluster.controllers[former_leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "a test"
                )
            await cluster.wait(rng.uniform(0, 1))
            for number in numbers[1:3]:
                await cancel_until_confirmed(scenario, number, cluster.leader() or former_leader)
            await cluster.wait(delay_s + 1)
            cluster.network.heal()
            await cluster.wait(rng.uniform(1, 4))

    if delay_s < 4:
        assert late_answers["starts"] > 0


@SEEDS
@pytest.mark.parametrize("leads", [True, False])
async def test_cancelled_tasks_end_when_a_controller_restarts_in_an_outage(seed, leads):
    """A restarted controller can't say which cancellations it confirmed before, so all tasks may
    end; no invariant is broken."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, 2, **LONG_TASKS)
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
        await cancel_until_confirmed(scenario, 1, rng.choice(FIVE))
