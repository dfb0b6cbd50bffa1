"""Copies of starts that were carried out and answered before (docs/design.md, "Late copies of
starts").

Starts travel in answers to heartbeats only. So a copy can only come from a repeated request: a
heartbeat, sent to any controller, or one that a controller has forwarded. The machine reports each
start of an attempt that it has forgotten (`Invariants.start_repeated`).
"""

import asyncio

import pytest

from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.faults.machines import NEAR_LEASE_S, start_copies
from dappledrum.simulation.network import Sent
from dappledrum.simulation.scenario import LEASE_S, now
from dappledrum.simulation.workloads import FIVE

TASK = ("j-000001", 0)
NAME = TASK[0]


class RecordedStarts:
    """Requests whose answers carried the start of the task, and the starts that machines got."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.carriers = []
        self.executed = []  # machine, attempt
        self.commands = []  # direct commands of controllers
        cluster.network.maybe_repeat_start = self.record
        cluster.network.watcher = self.watch

    def record(self, sent: Sent, reply):
        if b'"start"' in reply.body and NAME.encode() in reply.body:
            self.carriers.append(sent)

    def watch(self, sent: Sent):
        if sent.path == "/do":
            self.commands.append(sent)

    def count(self):
        """How many starts of the task the machines have carried out."""
        for worker in self.cluster.cloud.workers():
            for task, attempt in [*worker.attempts, *worker.forgotten]:
                if task == f"{NAME}/0" and (worker.name, attempt) not in self.executed:
                    self.executed.append((worker.name, attempt))
        return len(self.executed)


async def cluster_with_task(machines, run_s, forwarded):
    """A task that was started on one of some machines, beside a machine with another job's task;
    `forwarded`: through a controller that does not lead, since these machines don't reach the
    leader."""
    cluster = SimulatedCluster(seed=5, members=FIVE, lease_s=LEASE_S)
    cluster.cloud.max_machines = 1
    await cluster.until(lambda: cluster.leader() is not None)
    await cluster.accept(task_of_whole_machine(9, 900.0))
    await cluster.until(lambda: ("j-000009", 0) in cluster.rules.running, timeout_s=60)
    cluster.cloud.max_machines += machines
    names = [cluster.cloud.add(("small", "a", True)) for _ in range(machines)]
    await cluster.until(lambda: len(cluster.cloud.workers()) == machines + 1)
    starts = RecordedStarts(cluster)
    if forwarded:
        cluster.network.refusing |= {frozenset((name, cluster.leader())) for name in names}
        await cluster.wait(8)
    await cluster.accept(task_of_whole_machine(1, run_s))
    await cluster.until(lambda: TASK in cluster.rules.running, timeout_s=60)
    cluster.network.refusing.clear()
    return cluster, starts


def task_of_whole_machine(number, run_s):
    return job(number, beats=1, vcpus=4.0, runS=run_s, expectedS=run_s, dueS=None)


def machine_of_task(cluster):
    return next(iter(cluster.rules.running[TASK]))


def forgotten_on(cluster, machine):
    worker = cluster.cloud.machines[machine].worker
    return any(task == f"{NAME}/0" for task, _ in worker.forgotten)


async def ends(cluster, machine):
    """The task has completed and was forgotten."""
    await cluster.until(lambda: forgotten_on(cluster, machine), timeout_s=60)


async def goes_on(cluster, machine):
    """The task still runs."""
    await cluster.wait(1)


async def is_cancelled(cluster, machine):
    assert await cluster.cancel(NAME) == "cancelled"
    await cluster.until(lambda: forgotten_on(cluster, machine), timeout_s=60)


async def moves(cluster, machine):
    """The machine is cut off for longer than its lease, and the task starts on another one, or as
    a later attempt on the same one if there is no other."""
    for member in FIVE:
        cluster.cut_off(member, machine)
    await cluster.wait(LEASE_S + 1)
    cluster.network.cuts.clear()  # what was held back is dropped
    cluster.network.held_requests.clear()
    await cluster.until(lambda: TASK in cluster.rules.running, timeout_s=90)


async def moves_and_completes(cluster, machine):
    await moves(cluster, machine)
    await cluster.finish([NAME], timeout_s=120)


STATES = [
    pytest.param(ends, 2, 4.0, id="ended"),
    pytest.param(goes_on, 2, 300.0, id="running"),
    pytest.param(is_cancelled, 2, 300.0, id="cancelled"),
    pytest.param(moves, 2, 300.0, id="moved"),
    pytest.param(moves, 1, 300.0, id="later attempt on the same machine"),
    pytest.param(moves_and_completes, 2, 20.0, id="moved and completed"),
]


async def nothing_away(cluster, machine):
    await cluster.wait(0)


async def leader_away(cluster, machine):
    await cluster.restart(cluster.leader(), 0.3)


async def all_away(cluster, machine):
    await cluster.restart_all(0.5)


async def follower_away(cluster, machine):
    await cluster.restart(cluster.others(cluster.leader())[0], 0.3)


async def machine_away(cluster, machine):
    for member in FIVE:
        cluster.cut_off(member, machine)
    await cluster.wait(0.6)
    cluster.network.heal()


async def worker_process_away(cluster, machine):
    """The process restarts with the machine's numbers and without its tasks; the protocol has no
    such restart, since these numbers only rise."""
    rented = cluster.cloud.machines.get(machine)
    if rented is not None:
        rented.worker.terminate()
        await cluster.wait(0.3)
        rented.worker = rented.worker.restarted()


AWAY = [nothing_away, leader_away, all_away, follower_away, machine_away, worker_process_away]


async def send_copies(cluster, carriers, moment):
    """Repeat the requests at all controllers, or where they went between controllers; those for a
    controller that is down arrive when it is back."""
    await asyncio.sleep(moment)
    for sent in carriers:
        for target in FIVE if sent.path == "/hello" else [sent.target]:
            while target not in cluster.network.services:
                await asyncio.sleep(0.02)
            await cluster.network.deliver_later(sent.source, target, "POST", sent.path, sent.body)


@pytest.mark.parametrize("forwarded", [False, True])
@pytest.mark.parametrize("away", AWAY)
@pytest.mark.parametrize(("becomes", "machines", "run_s"), STATES)
async def test_a_late_copy_starts_nothing_again(becomes, machines, run_s, away, forwarded):
    """Guards against a task that runs on two machines, or again after it was cancelled, since a
    copy of its start reaches a machine that has forgotten the attempt."""
    cluster, starts = await cluster_with_task(machines, run_s, forwarded)
    machine = machine_of_task(cluster)
    carriers = list(starts.carriers)
    paths = {sent.path for sent in carriers}
    assert ("/peer" in paths) is forwarded, "the start went another way"
    await becomes(cluster, machine)
    before = starts.count()
    began = now()
    moments = (0.0, 1.0, LEASE_S - NEAR_LEASE_S, LEASE_S + NEAR_LEASE_S)
    copies = [asyncio.ensure_future(send_copies(cluster, carriers, m)) for m in moments]
    await away(cluster, machine)
    await cluster.wait(began + 2 * LEASE_S + 2 - now())
    await asyncio.gather(*copies)
    await cluster.wait(2)
    if away is not worker_process_away:  # its task starts again
        assert starts.count() == before
    assert not starts.commands, "controllers give no direct commands"
    assert not cluster.rules.broken


@pytest.mark.parametrize("cancelled", [False, True])
async def test_a_machine_forgets_no_attempt_whose_end_is_not_stored(cancelled):
    """Guards against a new leader that starts an attempt again which has ended and was forgotten:
    its predecessor could not store the end, so the record still names the attempt."""
    cluster, starts = await cluster_with_task(2, 300.0 if cancelled else 4.0, forwarded=False)
    machine = machine_of_task(cluster)
    leader = cluster.leader()
    if cancelled:
        await cluster.wait(3)
        assert await cluster.cancel(NAME) == "cancelled"
        await cluster.wait(0.2)  # the leader has seen it
    else:
        await cluster.wait(3)
    cluster.store.refused.add(leader)
    await cluster.wait(2.5)  # less than the leader's lease
    assert not forgotten_on(cluster, machine)
    assert TASK not in cluster.rules.running
    cluster.kill(leader)
    cluster.store.refused.clear()
    await cluster.wait(0.3)
    cluster.start(leader)
    for moment in (0.0, 1.0):
        await send_copies(cluster, starts.carriers, moment)
    await cluster.wait(2 * LEASE_S)
    assert starts.count() == 1
    assert not cluster.rules.broken


@pytest.mark.parametrize("seed", range(4))
async def test_no_start_is_repeated_while_controllers_and_machines_are_away(seed):
    """Copies of all requests whose answers carried starts, while controllers restart within a
    second, machines lose the network as long, and jobs end or are cancelled."""
    cluster = SimulatedCluster(seed=seed, members=FIVE, lease_s=LEASE_S)
    cluster.cloud.max_machines = 8
    for _ in range(6):
        cluster.cloud.add(("small", "a", True))
    await cluster.until(lambda: cluster.leader() is not None)
    cluster.network.start_copies = start_copies(cluster, share=1.0)
    names = []
    for turn in range(12):
        run_s = cluster.rng.choice((0.5, 2.0, 15.0))
        names += await cluster.accept(job(turn, beats=6, vcpus=1.0, runS=run_s, dueS=None))
        await cluster.wait(cluster.rng.uniform(0, 2))
        fault = cluster.rng.choice(("leader", "any", "machine", "cancel"))
        if fault == "leader" and cluster.leader() is not None:
            await cluster.restart(cluster.leader(), cluster.rng.uniform(0, 0.9))
        elif fault == "any":
            await cluster.restart(cluster.rng.choice(FIVE), cluster.rng.uniform(0, 0.9))
        elif fault == "machine" and cluster.cloud.workers():
            await machine_away(cluster, cluster.rng.choice(cluster.cloud.workers()).name)
        elif fault == "cancel":
            await cluster.cancel(cluster.rng.choice(names))
    await cluster.finish(names, timeout_s=300)
    await cluster.wait(LEASE_S + 2)
    assert cluster.network.copied > 40
    assert not cluster.rules.broken
