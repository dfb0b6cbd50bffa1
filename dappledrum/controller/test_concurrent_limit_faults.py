"""Limits, zones and unreachable machines: one test for each combination of faults (docs/design.md,
"Concurrent faults").

Five whole controllers run in each test. Seeds are fixed, moments are drawn from them, and the
invariants are checked at each step.
"""

import pytest

from dappledrum.settings import Team
from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import (
    CANCEL_S,
    LEASE_S,
    MACHINES,
    call_later,
    now,
    running_scenario,
)

SEEDS = pytest.mark.parametrize("seed", range(3))
LIMITED_TEAMS = (Team("blue", cpus_max=8.0), Team("red", cpus_max=8.0))
#: After the cancellation and the last change of leader a team's limit must be free again within
#: this time: a lease with its margin, after which silence proves that the tasks have terminated,
#: then the plan, record and heartbeat for what starts instead.
LIMIT_RELEASE_S = LEASE_S + 5.0


def running_tasks(scenario, number):
    """How many tasks of one of the test's jobs are on machines."""
    name = f"j-{900 + number:06d}"
    return sum(
        len(machines)
        for (job, _), machines in scenario.cluster.rules.running.items()
        if job == name
    )


def has_started(scenario, number):
    """Whether a task of one of the test's jobs has started."""
    return scenario.cluster.rules.jobs[f"j-{900 + number:06d}"].begun_at is not None


async def change_leader(scenario):
    """End the leader's term; the next leader may be the same controller in a new term."""
    cluster, rng = scenario.cluster, scenario.rng
    await scenario.until_led()
    leader = cluster.leader()
    if rng.random() < 0.6:
        await cluster.restart(leader, rng.choice((0.1, 3.0)))
    else:
        cluster.controllers[leader].elector.transfer_leadership(
            rng.choice(scenario.others()), "a test"
        )
        await cluster.wait(0.5)
    await scenario.until_led()


async def wait_while_heartbeats_reach_leader(scenario, names, check):
    """Wait until `check` holds, while these machines send heartbeats to the leader, answered or
    not."""
    reporting_workers = [w for w in scenario.cluster.cloud.workers() if w.name in names]
    while not check():
        for worker in reporting_workers:
            worker.controller = scenario.cluster.leader() or worker.controller
        await scenario.cluster.wait(0.25)


def cut_off(scenario, names):
    """Hold back everything between these machines and all controllers."""
    for name in names:
        for member in FIVE:
            scenario.cluster.network.cut(member, name)


def make_unreachable(scenario, fault, names):
    """Make some machines unreachable in one of several ways."""
    cluster, rng = scenario.cluster, scenario.rng
    if fault == "hang":
        for worker in cluster.cloud.workers():
            if worker.name in names:
                worker.hung = True
                call_later(rng.uniform(1, 2 * LEASE_S), setattr, worker, "hung", False)
    elif fault == "unreachable":
        cluster.drop_answers(names)
    elif fault == "silent":
        cluster.drop_heartbeats(names)
    else:
        cut_off(scenario, names)


@SEEDS
@pytest.mark.parametrize("fault", ["cut", "hang", "unreachable", "silent"])
@pytest.mark.parametrize("leader_changes", [0, 3])
async def test_limits_are_kept_when_jobs_on_unreachable_machines_are_cancelled(
    seed, fault, leader_changes
):
    """Every team is at its limit, and jobs are cancelled while some machines are unreachable.
    Tasks there count towards the limit through any number of changes of leader, and the limit is
    free again a lease after the last one."""

    async with running_scenario(seed, users=0, teams=LIMITED_TEAMS) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        for number, team in enumerate(("blue", "red")):
            await scenario.submit_long(
                number, crew=team, beats=4, vcpus=2.0, runS=300.0, dueS=60.0
            )
        await cluster.until(lambda: running_tasks(scenario, 0) + running_tasks(scenario, 1) == 8)
        for number, team in enumerate(("blue", "red")):
            await scenario.submit_long(
                number + 2, crew=team, beats=4, vcpus=2.0, runS=5.0, dueS=60.0
            )
        machines = sorted(scenario.machines_of(0) | scenario.machines_of(1))
        make_unreachable(scenario, fault, rng.sample(machines, max(2, len(machines) - 1)))
        await cluster.wait(rng.uniform(0, 4))
        cancelled = [0, 1] if leader_changes == 0 else [0]
        for number in cancelled:
            await scenario.cancel(number, rng.choice(FIVE))
        for _ in range(leader_changes):
            await cluster.wait(rng.uniform(0.5, LEASE_S - 1))
            await change_leader(scenario)
        for number in {0, 1} - set(cancelled):
            await scenario.cancel(number, rng.choice(FIVE))
        released_from = now()
        await cluster.until(lambda: has_started(scenario, 2) and has_started(scenario, 3), 60)
        assert now() - released_from < LIMIT_RELEASE_S


@SEEDS
@pytest.mark.parametrize("fault", ["cut", "silent"])
@pytest.mark.parametrize("leader_changes", [False, True])
async def test_a_limit_counts_a_task_that_still_runs_after_its_job_is_done(
    seed, fault, leader_changes
):
    """A machine completes a task while it is cut off, and its heartbeat arrives only after the
    task was started again on a second machine, which is now unreachable. The job is done, and the
    task that still runs counts towards the limit, also after a change of leader."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, crew="red", beats=1, vcpus=4.0, runS=12.0)
        await cluster.until(lambda: running_tasks(scenario, 0) == 1)
        first = scenario.machines_of(0)
        await cluster.wait(rng.uniform(7, 9))
        cut_off(scenario, first)
        await wait_while_heartbeats_reach_leader(
            scenario, first, lambda: running_tasks(scenario, 0) == 0
        )
        await wait_while_heartbeats_reach_leader(
            scenario, first, lambda: running_tasks(scenario, 0) == 1
        )
        second = scenario.machines_of(0)
        assert second != first
        await cluster.wait(rng.uniform(1, 3))
        cluster.network.heal()
        make_unreachable(scenario, fault, sorted(second))
        await cluster.wait(rng.uniform(4.5, 5))  # no new task is placed there by now
        if leader_changes:
            await change_leader(scenario)
        await scenario.submit_long(1, crew="red", beats=2, vcpus=4.0, runS=20.0, dueS=40.0)
        await cluster.wait(LEASE_S * 2)


def delay_all_links(scenario):
    """Delay requests and responses on all links, on some of them much longer."""
    cluster, rng = scenario.cluster, scenario.rng
    workers = [worker.name for worker in cluster.cloud.workers()]
    for member in FIVE:
        for target in ("user", "state", "cloud", *workers):
            max_delay_s = (
                rng.choice((0.1, 0.4, 1.5)) if target != "state" else rng.choice((0.05, 0.3))
            )
            cluster.network.extra_latency_s[(member, target)] = max_delay_s * rng.random()
            cluster.network.extra_latency_s[(target, member)] = max_delay_s * rng.random()


@SEEDS
async def test_all_jobs_start_when_work_exceeds_capacity_and_links_were_slow(seed):
    """Urgent and other jobs, small and large, some bound to a zone: none is forgotten or left
    waiting once the links are fast again, and the largest start in time, too."""

    async with running_scenario(seed, users=6) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.max_machines = len(cluster.cloud.machines)
        delay_all_links(scenario)
        for number in range(24):
            small = {"beats": rng.choice((1, 3, 12)), "vcpus": rng.choice((0.5, 1.0, 4.0))}
            await scenario.submit_long(
                number,
                **(small if number % 6 else {"beats": rng.choice((40, 80)), "vcpus": 2.0}),
                crew=rng.choice(("blue", "red")) if number % 6 else "blue",
                urgency=rng.choice(("prod", "high", "standard", "best_effort")),
                hall=rng.choice((None, None, "a", "b")),
                dueS=rng.choice((None, 60.0, 300.0)),
                loaners=rng.random() < 0.8,
                runS=rng.choice((2.0, 6.0, 12.0)),
                expectedS=rng.choice((3.0, 10.0, 40.0)),
            )
            await cluster.wait(rng.uniform(0, 1.5))
            if number == 12:
                await change_leader(scenario)
        await cluster.wait(rng.uniform(20, 40))
        cluster.network.extra_latency_s.clear()
        # From here on no job may be left waiting beside free capacity.
        cluster.rules.faults_over_at = now()
        await cluster.until(
            lambda: all(has_started(scenario, number) for number in range(24)), 240
        )
        cluster.rules.check_largest(now())


async def cut_zone_off(scenario, zone, member):
    """Let one controller and the workers of a zone reach only each other, for longer than a
    lease."""
    cluster, rng = scenario.cluster, scenario.rng
    inside = [w.name for w in cluster.cloud.workers() if w.kind[1] == zone]
    outside = [w.name for w in cluster.cloud.workers() if w.kind[1] != zone]
    others = [other for other in FIVE if other != member]
    cluster.isolate(member)
    cluster.cut_off(member, "cloud", "user", *outside)
    for other in others:
        cluster.cut_off(other, *inside)
    await cluster.wait(rng.uniform(LEASE_S + 1, 3 * LEASE_S))


@SEEDS
@pytest.mark.parametrize("leads", [True, False])
async def test_zone_bound_jobs_finish_when_a_zone_is_cut_off_and_machines_are_lost(seed, leads):
    """The leader or another controller is inside the zone. Job arrays with `oneZone` or a `hall`,
    and some that spread, lose machines on both sides, and the leader changes before and after."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        zone_constraints = [{"oneZone": True}, {"hall": "a"}, {"hall": "b"}, {"spread": True}]
        # Its zone can't hold all tasks at once: some are still unplaced when the zone is cut off.
        await scenario.submit_long(8, beats=24, runS=25.0, dueS=60.0, oneZone=True)
        for number in range(8):
            changes = zone_constraints[number % 4]
            await scenario.submit_long(
                number, beats=6, runS=[4.0, 8.0, 15.0, 25.0, 40.0, 60.0], dueS=100.0, **changes
            )
        await cluster.wait(rng.uniform(4, 10))
        zone = rng.choice(("a", "b"))
        inside_member = cluster.leader() if leads else rng.choice(scenario.others())
        workers = cluster.cloud.workers()
        for worker in rng.sample(workers, 2):
            call_later(rng.uniform(0, LEASE_S), cluster.cloud.terminate, worker.name)
        for worker in rng.sample(workers, 2):
            call_later(rng.uniform(0, LEASE_S), setattr, worker, "hung", True)
        await cut_zone_off(scenario, zone, inside_member)
        await scenario.until_led()
        if cluster.leader() != inside_member:
            await change_leader(scenario)
        await cluster.wait(rng.uniform(0, LEASE_S))


def new_machines_with_tasks(scenario, before):
    """Machines on which tasks run and that are not among `before`."""
    return {
        name for machines in scenario.cluster.rules.running.values() for name in machines
    } - before


@SEEDS
async def test_tasks_on_machines_that_no_list_shows_start_nowhere_else_when_the_leader_crashes(
    seed,
):
    """Machines boot within a second, the cloud's list lags by 15 s, and the record of booting
    machines is stored late or never. Tasks on machines that the next leader can't know of are
    started nowhere else, and count towards the team's limit."""
    unlisted_machine_counts = []

    async with running_scenario(seed, machines=2, users=4) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.boot_time_factor = 0.1
        cluster.cloud.lag_s = 15.0
        cluster.cloud.max_machines = 30

        def delay_records(sent):
            if sent.path != "/multi":
                return None
            if b'"fleet"' in sent.body:
                return rng.uniform(5, 20)
            return rng.uniform(0.5, 6) if rng.random() < 0.2 else None

        cluster.network.watcher = delay_records
        for turn in range(4):
            await scenario.until_led()
            before = set(cluster.cloud.machines)
            await scenario.submit_long(2 * turn, beats=6, vcpus=4.0, dueS=20.0, runS=12.0)
            await scenario.submit_long(2 * turn + 1, beats=2, vcpus=4.0, dueS=20.0, crew="red")
            submitted_at = now()
            while not new_machines_with_tasks(scenario, before) and now() < submitted_at + 20:
                await cluster.wait(0.25)
            unlisted_machine_counts.append(len(new_machines_with_tasks(scenario, before)))
            if cluster.leader() is not None:
                await cluster.restart(cluster.leader(), rng.choice((0.1, 4.0)))

    assert sum(unlisted_machine_counts) > 0


@SEEDS
async def test_no_job_waits_beside_idle_machines_when_boots_are_slow(seed):
    """Slow boots make billed intervals long. To stay within intervals already paid for, the
    planner once queued tasks behind others although machines were idle."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.max_machines = len(cluster.cloud.machines)
        for instance_type in cluster.cloud.types:
            instance_type["readyS"] = 100.0
        await cluster.wait(35)  # the catalog is read every 30 s
        # From here on no job may be left waiting beside free capacity.
        cluster.rules.faults_over_at = now()
        for number in range(12):
            estimate = rng.choice((150.0, 250.0))
            await scenario.submit_long(number, beats=1, runS=150.0, expectedS=estimate)
        await cluster.wait(130)


@SEEDS
async def test_tasks_on_silent_machines_count_until_their_lease_has_expired(seed):
    """Machines are silent for less than a lease or longer, while jobs are cancelled and the leader
    ends. Their tasks count towards the team's limit until the lease has expired, and are started
    elsewhere only then."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, crew="red", vcpus=1.0)
        await scenario.submit_long(2, 3)
        await cluster.wait(8)
        for number in range(3):
            machines = sorted(scenario.machines_of(number))
            muted_pairs = cluster.drop_heartbeats(
                rng.sample(machines, max(1, len(machines) - 1)) if machines else []
            )
            silence_s = rng.choice((3.0, LEASE_S - 2, LEASE_S + 3, 3 * LEASE_S))
            call_later(silence_s, cluster.network.muted.difference_update, muted_pairs)
            await cluster.wait(rng.uniform(0, LEASE_S))
            await scenario.cancel(number, rng.choice(FIVE))
            await change_leader(scenario)
            await cluster.wait(rng.uniform(0, LEASE_S))
        await cluster.wait(CANCEL_S)
        assert not any(running_tasks(scenario, number) for number in range(3))


@SEEDS
async def test_tasks_continue_when_heartbeats_are_missing_for_less_than_a_lease(seed):
    """Tasks are neither stopped nor started elsewhere as long as the machine may come back."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, beats=2, vcpus=4.0, runS=40.0, dueS=50.0)
        await cluster.until(lambda: running_tasks(scenario, 0) + running_tasks(scenario, 1) == 4)
        starts = cluster.rules.starts
        for _ in range(2):
            muted_pairs = cluster.drop_heartbeats(
                sorted(scenario.machines_of(0) | scenario.machines_of(1))
            )
            # After this a worker takes 6 s to find the leader again: together less than a lease.
            await cluster.wait(rng.uniform(1, 2.5))
            cluster.network.muted -= muted_pairs
            await cluster.wait(5)
        assert running_tasks(scenario, 0) + running_tasks(scenario, 1) == 4
        assert cluster.rules.starts == starts


@SEEDS
@pytest.mark.parametrize(
    "constraints",
    [{"accelerators": 1.0}, {"builds": ["large"]}, {"builds": ["large"], "dueS": 900.0}],
)
async def test_a_job_starts_on_a_retiring_machine_when_no_other_has_its_type(seed, constraints):
    """An on-demand machine gets no new tasks while spot machines have capacity to spare. A job
    bound to its type starts there all the same when no other machine can be had."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.add(("large", "a", False))
        cluster.cloud.max_machines = len(cluster.cloud.machines)
        for number in range(MACHINES):  # half of each machine is free after 20 s
            await scenario.submit_long(
                number, beats=2, runS=[20.0, 260.0], expectedS=500.0, dueS=520.0, builds=["small"]
            )
        await scenario.submit_long(20, beats=1, vcpus=6.0, runS=260.0, expectedS=300.0, dueS=300.0)
        await cluster.wait(rng.uniform(44, 48))
        leader = cluster.controllers[cluster.leader()].leader
        assert any(machine.retiring for machine in leader.registry)
        # From here on no job may be left waiting beside free capacity.
        cluster.rules.quiet_at = now()
        changes = {"runS": 10.0, "expectedS": 10.0, "dueS": 60.0} | constraints
        await scenario.submit_long(21, beats=1, **changes)
        await cluster.wait(100)
