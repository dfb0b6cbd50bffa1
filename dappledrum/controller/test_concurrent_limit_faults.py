"""Limits, zones and unreachable machines: one test for each combination of faults (docs/design.md,
"Concurrent faults"), over five whole controllers. Seeds are fixed, the moments drawn from them,
and the invariants checked at each step."""

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
LIMITED = (Team("blue", cpus_max=8.0), Team("red", cpus_max=8.0))
#: After the last change of leader, or the cancellation, if that is later, a team's limit is free
#: again: a lease with its margin until silence is proof, and the plan, record and heartbeat of
#: what starts instead.
FREE_AGAIN_S = LEASE_S + 5.0


def running(scenario, number):
    """How many tasks of one of the test's jobs are on machines."""
    name = f"j-{900 + number:06d}"
    return sum(len(on) for (job, _), on in scenario.cluster.rules.running.items() if job == name)


def begun(scenario, number):
    """Whether a task of one of the test's jobs has started."""
    return scenario.cluster.rules.jobs[f"j-{900 + number:06d}"].begun_at is not None


async def change_leader(scenario):
    """Another leads, or the same in another term."""
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


async def until_heartbeats(scenario, names, check):
    """Wait for something, while these machines send heartbeats to the leader, answered or not."""
    reporting = [w for w in scenario.cluster.cloud.workers() if w.name in names]
    while not check():
        for worker in reporting:
            worker.controller = scenario.cluster.leader() or worker.controller
        await scenario.cluster.wait(0.25)


def cut_off(scenario, names):
    """Hold back everything between these machines and all controllers."""
    for name in names:
        for member in FIVE:
            scenario.cluster.network.cut(member, name)


def send_away(scenario, how, names):
    """Some machines can't be asked any more."""
    cluster, rng = scenario.cluster, scenario.rng
    if how == "hang":
        for worker in cluster.cloud.workers():
            if worker.name in names:
                worker.hung = True
                call_later(rng.uniform(1, 2 * LEASE_S), setattr, worker, "hung", False)
    elif how == "unreachable":
        cluster.drop_answers(names)
    elif how == "silent":
        cluster.drop_heartbeats(names)
    else:
        cut_off(scenario, names)


@SEEDS
@pytest.mark.parametrize("how", ["cut", "hang", "unreachable", "silent"])
@pytest.mark.parametrize("changes", [0, 3])
async def test_limits_are_kept_when_jobs_on_unreachable_machines_are_cancelled(seed, how, changes):
    """Every team is at its limit, and the cancellations fall into the spell in which some machines
    can't be asked: what is there counts through any number of changes of leader, and the limit is
    free again a lease after the last one."""

    async with running_scenario(seed, users=0, teams=LIMITED) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        for number, team in enumerate(("blue", "red")):
            await scenario.submit_long(
                number, crew=team, beats=4, vcpus=2.0, runS=300.0, dueS=60.0
            )
        await cluster.until(lambda: running(scenario, 0) + running(scenario, 1) == 8)
        for number, team in enumerate(("blue", "red")):
            await scenario.submit_long(
                number + 2, crew=team, beats=4, vcpus=2.0, runS=5.0, dueS=60.0
            )
        on = sorted(scenario.machines_of(0) | scenario.machines_of(1))
        send_away(scenario, how, rng.sample(on, max(2, len(on) - 1)))
        await cluster.wait(rng.uniform(0, 4))
        cancelled = [0, 1] if changes == 0 else [0]
        for number in cancelled:
            await scenario.cancel(number, rng.choice(FIVE))
        for _ in range(changes):
            await cluster.wait(rng.uniform(0.5, LEASE_S - 1))
            await change_leader(scenario)
        for number in {0, 1} - set(cancelled):
            await scenario.cancel(number, rng.choice(FIVE))
        since = now()
        await cluster.until(lambda: begun(scenario, 2) and begun(scenario, 3), 60)
        assert now() - since < FREE_AGAIN_S


@SEEDS
@pytest.mark.parametrize("how", ["cut", "silent"])
@pytest.mark.parametrize("change", [False, True])
async def test_a_limit_counts_a_task_that_still_runs_after_its_job_is_done(seed, how, change):
    """A machine completes a task behind a cut, and its heartbeat is held back until the task was
    begun again elsewhere, on a machine that now can't be asked: the job is done, and what runs
    still counts, through a change of leader, too."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, crew="red", beats=1, vcpus=4.0, runS=12.0)
        await cluster.until(lambda: running(scenario, 0) == 1)
        first = scenario.machines_of(0)
        await cluster.wait(rng.uniform(7, 9))
        cut_off(scenario, first)
        await until_heartbeats(scenario, first, lambda: running(scenario, 0) == 0)
        await until_heartbeats(scenario, first, lambda: running(scenario, 0) == 1)
        second = scenario.machines_of(0)
        assert second != first
        await cluster.wait(rng.uniform(1, 3))
        cluster.network.heal()
        send_away(scenario, how, sorted(second))
        await cluster.wait(rng.uniform(4.5, 5))  # nothing new is put there by now
        if change:
            await change_leader(scenario)
        await scenario.submit_long(1, crew="red", beats=2, vcpus=4.0, runS=20.0, dueS=40.0)
        await cluster.wait(LEASE_S * 2)


def slow_links(scenario):
    """Everything takes longer on its way, some of it much longer."""
    cluster, rng = scenario.cluster, scenario.rng
    workers = [worker.name for worker in cluster.cloud.workers()]
    for member in FIVE:
        for other in ("user", "state", "cloud", *workers):
            span = rng.choice((0.1, 0.4, 1.5)) if other != "state" else rng.choice((0.05, 0.3))
            cluster.network.extra_latency_s[(member, other)] = span * rng.random()
            cluster.network.extra_latency_s[(other, member)] = span * rng.random()


@SEEDS
async def test_all_jobs_start_when_work_exceeds_capacity_and_links_were_slow(seed):
    """Urgent and not, small and large, some bound to a zone: nothing is forgotten, nothing is left
    waiting once the links are quick again, and the largest begin in time, too."""

    async with running_scenario(seed, users=6) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.max_machines = len(cluster.cloud.machines)
        slow_links(scenario)
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
        cluster.rules.faults_over_at = (
            now()
        )  # from here on no job may be left waiting beside free capacity
        await cluster.until(lambda: all(begun(scenario, number) for number in range(24)), 240)
        cluster.rules.check_largest(now())


async def cut_zone_off(scenario, zone, member):
    """The workers of a zone and one controller reach only each other, for longer than a lease."""
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
    """With the leader or another controller inside; arrays with `oneZone` or a `hall`, and some
    that spread, lose machines on both sides, and the leader changes before and after."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        bound = [{"oneZone": True}, {"hall": "a"}, {"hall": "b"}, {"spread": True}]
        # More than its zone takes at once: it still has tasks to place when the zone is cut off.
        await scenario.submit_long(8, beats=24, runS=25.0, dueS=60.0, oneZone=True)
        for number in range(8):
            changes = bound[number % 4]
            await scenario.submit_long(
                number, beats=6, runS=[4.0, 8.0, 15.0, 25.0, 40.0, 60.0], dueS=100.0, **changes
            )
        await cluster.wait(rng.uniform(4, 10))
        zone = rng.choice(("a", "b"))
        inside = cluster.leader() if leads else rng.choice(scenario.others())
        workers = cluster.cloud.workers()
        for worker in rng.sample(workers, 2):
            call_later(rng.uniform(0, LEASE_S), cluster.cloud.terminate, worker.name)
        for worker in rng.sample(workers, 2):
            call_later(rng.uniform(0, LEASE_S), setattr, worker, "hung", True)
        await cut_zone_off(scenario, zone, inside)
        await scenario.until_led()
        if cluster.leader() != inside:
            await change_leader(scenario)
        await cluster.wait(rng.uniform(0, LEASE_S))


def at_work_since(scenario, before):
    """Machines on which tasks run, and that were not there before."""
    return {name for on in scenario.cluster.rules.running.values() for name in on} - before


@SEEDS
async def test_tasks_on_machines_that_no_list_shows_start_nowhere_else_when_the_leader_crashes(
    seed,
):
    """Boots of a second, a list that lags by 15 s, and a record of what boots that comes late or
    never: what runs on machines that the next leader can't know of is begun nowhere else, and
    counts."""
    met = []

    async with running_scenario(seed, machines=2, users=4) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.boot_time_factor = 0.1
        cluster.cloud.lag_s = 15.0
        cluster.cloud.max_machines = 30

        def lag(sent):
            if sent.path != "/multi":
                return None
            if b'"fleet"' in sent.body:
                return rng.uniform(5, 20)
            return rng.uniform(0.5, 6) if rng.random() < 0.2 else None

        cluster.network.watcher = lag
        for turn in range(4):
            await scenario.until_led()
            before = set(cluster.cloud.machines)
            await scenario.submit_long(2 * turn, beats=6, vcpus=4.0, dueS=20.0, runS=12.0)
            await scenario.submit_long(2 * turn + 1, beats=2, vcpus=4.0, dueS=20.0, crew="red")
            began = now()
            while not at_work_since(scenario, before) and now() < began + 20:
                await cluster.wait(0.25)
            met.append(len(at_work_since(scenario, before)))
            if cluster.leader() is not None:
                await cluster.restart(cluster.leader(), rng.choice((0.1, 4.0)))

    assert sum(met) > 0


@SEEDS
async def test_no_job_waits_beside_idle_machines_when_boots_are_slow(seed):
    """Slow boots make long billed intervals, and to stay within those that are paid for a task was
    planned behind others, on a fleet of idle machines."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        cluster.cloud.max_machines = len(cluster.cloud.machines)
        for model in cluster.cloud.types:
            model["readyS"] = 100.0
        await cluster.wait(35)  # the catalog is read every 30 s
        cluster.rules.faults_over_at = (
            now()
        )  # from here on no job may be left waiting beside free capacity
        for number in range(12):
            estimate = rng.choice((150.0, 250.0))
            await scenario.submit_long(number, beats=1, runS=150.0, expectedS=estimate)
        await cluster.wait(130)


@SEEDS
async def test_tasks_on_silent_machines_count_until_their_lease_has_expired(seed):
    """For less than a lease and for longer, while jobs are cancelled and the leader ends: what
    runs there counts until its lease is over, and is begun elsewhere only then."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, crew="red", vcpus=1.0)
        await scenario.submit_long(2, 3)
        await cluster.wait(8)
        for number in range(3):
            on = sorted(scenario.machines_of(number))
            silent = cluster.drop_heartbeats(rng.sample(on, max(1, len(on) - 1)) if on else [])
            span = rng.choice((3.0, LEASE_S - 2, LEASE_S + 3, 3 * LEASE_S))
            call_later(span, cluster.network.muted.difference_update, silent)
            await cluster.wait(rng.uniform(0, LEASE_S))
            await scenario.cancel(number, rng.choice(FIVE))
            await change_leader(scenario)
            await cluster.wait(rng.uniform(0, LEASE_S))
        await cluster.wait(CANCEL_S)
        assert not any(running(scenario, number) for number in range(3))


@SEEDS
async def test_tasks_continue_when_heartbeats_are_missing_for_less_than_a_lease(seed):
    """Nothing is stopped there, nor begun elsewhere, as long as the machine may come back."""

    async with running_scenario(seed, users=0) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        await scenario.submit_long(0, 1, beats=2, vcpus=4.0, runS=40.0, dueS=50.0)
        await cluster.until(lambda: running(scenario, 0) + running(scenario, 1) == 4)
        starts = cluster.rules.starts
        for _ in range(2):
            silent = cluster.drop_heartbeats(
                sorted(scenario.machines_of(0) | scenario.machines_of(1))
            )
            await cluster.wait(rng.uniform(1, 2.5))  # and 6 s until a worker has found its way
            cluster.network.muted -= silent
            await cluster.wait(5)
        assert running(scenario, 0) + running(scenario, 1) == 4
        assert cluster.rules.starts == starts


@SEEDS
@pytest.mark.parametrize(
    "bound", [{"accelerators": 1.0}, {"builds": ["large"]}, {"builds": ["large"], "dueS": 900.0}]
)
async def test_a_job_starts_on_a_retiring_machine_when_no_other_has_its_type(seed, bound):
    """An ordinary machine gets no new work while spot machines have capacity to spare; a job bound
    to its type begins there all the same when no other machine can be had."""

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
        cluster.rules.quiet_at = (
            now()
        )  # from here on no job may be left waiting beside free capacity
        changes = {"runS": 10.0, "expectedS": 10.0, "dueS": 60.0} | bound
        await scenario.submit_long(21, beats=1, **changes)
        await cluster.wait(100)
