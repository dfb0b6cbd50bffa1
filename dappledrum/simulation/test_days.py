"""Each kind of fault has its effect and ends; errors in day files name the kind and the option."""

import asyncio
import json
from datetime import timedelta
from pathlib import Path

import pytest

from dappledrum.http.client import NoResponseError
from dappledrum.model.invariants import JobEvent
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.day_file import DayError, load
from dappledrum.simulation.faults import KINDS, convert, end_all
from dappledrum.simulation.virtual_time import run

RESTART_DELAY_S = 1.0
SECOND = timedelta(seconds=1)


def run_check(check):
    """Run a check in a simulated cluster with a leader, and a service on five machines in two
    zones."""

    async def main():
        cluster = SimulatedCluster(seed=3)
        cluster.cloud.max_machines = 5
        for index in range(5):
            cluster.cloud.add(("small", "ab"[index % 2], True))
        await cluster.until(lambda: cluster.leader() is not None)
        spec = job(1, form="service", beats=5, vcpus=3.0, expectedS=0.0, dueS=None)
        assert await cluster.submit(spec) == 201
        await cluster.until(lambda: len(cluster.rules.running) == 5)
        await check(cluster)
        assert not cluster.rules.broken, cluster.rules.broken

    run(main())


def begin(cluster, kind, **options):
    """Inject a fault now."""
    fault = convert({"kind": kind, "at_s": 0.0} | options)
    fault.begin(cluster, RESTART_DELAY_S)
    return fault


async def request_status(cluster, source, target, method="GET", path="/inspect", body=None):
    """The status of the answer to one request; None without an answer."""
    try:
        return (
            await cluster.network.caller(source, target).request(method, path, body, SECOND)
        ).status
    except NoResponseError:
        return None


@pytest.mark.parametrize(
    ("kind", "options", "away_s"),
    [
        ("node_crash", {}, RESTART_DELAY_S),
        ("node_crash", {"for_s": 5.0}, 5.0),
        ("node_down", {"for_s": 9.0}, 9.0),
    ],
)
def test_a_crashed_controller_restarts_after_its_delay(kind, options, away_s):
    async def check(cluster):
        leader = cluster.leader()
        begin(cluster, kind, busiest=True, **options)
        assert not cluster.alive(leader)
        await cluster.wait(away_s - 0.25)
        assert not cluster.alive(leader)
        await cluster.wait(0.5)
        assert cluster.alive(leader)

    run_check(check)


def test_a_rolling_restart_restarts_one_controller_at_a_time():
    async def check(cluster):
        begin(cluster, "node_roll", every_s=4.0)
        for member in cluster.members:
            await cluster.wait(0.5)
            assert [m for m in cluster.members if not cluster.alive(m)] == [member]
            await cluster.wait(3.5)
        assert all(cluster.alive(member) for member in cluster.members)

    run_check(check)


def test_a_frozen_controller_answers_once_it_resumes():
    async def check(cluster):
        leader = cluster.leader()
        begin(cluster, "node_freeze", busiest=True, for_s=5.0)
        assert await request_status(cluster, "user", leader, path="/ready") is None
        await cluster.wait(5)
        assert await request_status(cluster, "user", leader, path="/ready") == 200

    run_check(check)


@pytest.mark.parametrize(
    ("options", "lost"),
    [
        ({"from_state": True}, {"state"}),
        ({"from_workers": True}, {"worker"}),
        ({"from_peers": True}, {"peer"}),
        ({"from_state": True, "from_peers": True}, {"state", "peer"}),
        ({}, {"state", "worker", "peer"}),
    ],
)
@pytest.mark.parametrize("mode", ["hold", "refuse"])
def test_a_cut_affects_exactly_the_named_links(options, lost, mode):
    async def check(cluster):
        leader = cluster.leader()
        begin(cluster, "node_cut", busiest=True, for_s=3.0, mode=mode, **options)
        peer = next(member for member in cluster.members if member != leader)
        targets = {
            "state": ("state", "/keys?prefix=leader"),
            "worker": (cluster.cloud.workers()[0].name, "/inspect"),
            "peer": (peer, "/ready"),
        }
        for name, (target, path) in targets.items():
            status = await request_status(cluster, leader, target, path=path)
            assert (status == 200) is (name not in lost), name
        await cluster.wait(3)
        for target, path in targets.values():
            assert await request_status(cluster, leader, target, path=path) == 200

    run_check(check)


def test_a_leader_transfer_makes_another_controller_lead_without_a_crash():
    async def check(cluster):
        leader = cluster.leader()
        begin(cluster, "leader_transfer")
        await cluster.until(lambda: cluster.leader() not in (None, leader), timeout_s=2)
        assert cluster.alive(leader)

    run_check(check)


@pytest.mark.parametrize(
    ("kind", "target", "path"),
    [("state_outage", "state", "/keys?prefix=leader"), ("cloud_outage", "cloud", "/catalog")],
)
def test_requests_are_refused_during_an_outage(kind, target, path):
    async def check(cluster):
        begin(cluster, kind, for_s=2.0)
        assert await request_status(cluster, "user", target, path=path) == 503
        await cluster.wait(2)
        assert await request_status(cluster, "user", target, path=path) == 200

    run_check(check)


@pytest.mark.parametrize(("at_once", "after_s"), [(True, 2.0), (False, 12.0)])
def test_transactions_without_an_answer_are_executed(at_once, after_s):
    async def check(cluster):
        begin(cluster, "late_writes", share=1.0, for_s=2.0, at_once=at_once)
        body = json.dumps({"guards": [], "then": [{"write": "a", "value": 1}]}).encode()
        request = asyncio.ensure_future(
            request_status(cluster, "user", "state", "POST", "/multi", body)
        )
        await asyncio.sleep(0.25)
        assert ("a" in cluster.store.keys) is at_once
        assert await request is None
        await cluster.wait(after_s)
        assert "a" in cluster.store.keys
        assert cluster.network.late_writes is None

    run_check(check)


def test_machines_that_failed_stay_listed_for_a_while():
    async def check(cluster):
        before = set(cluster.cloud.machines)
        begin(cluster, "machine_die", count=2)
        dead = [w.name for w in cluster.cloud.workers() if w.name not in cluster.network.services]
        assert len(dead) == 2
        assert before == set(cluster.cloud.machines)
        await cluster.wait(31)
        assert not set(dead) & set(cluster.cloud.machines)

    run_check(check)


def test_machines_hang_and_resume():
    async def check(cluster):
        begin(cluster, "machine_hang", count=2, for_s=3.0)
        assert sum(worker.hung for worker in cluster.cloud.workers()) == 2
        await cluster.wait(3.25)
        assert not any(worker.hung for worker in cluster.cloud.workers())

    run_check(check)


@pytest.mark.parametrize(
    ("chosen", "count"),
    [
        ({"count": 2}, 2),
        ({"share": 0.6}, 3),
        ({"zone": "a"}, 3),
        ({"zone": "a", "share": 0.6}, 2),
        ({}, 1),
    ],
)
@pytest.mark.parametrize("kind", ["machine_deaf", "machine_mute"])
def test_the_chosen_machines_are_reached_one_way_only(kind, chosen, count):
    async def check(cluster):
        fault = begin(cluster, kind, for_s=9.0, **chosen)
        to_worker = {
            w.name: await request_status(cluster, "drummer-0", w.name)
            for w in cluster.cloud.workers()
        }
        lost = [name for name, status in to_worker.items() if status != 200]
        affected = {pair[0] for pair in cluster.network.muted} | {
            pair[1] for pair in cluster.network.blocked
        }
        assert len(affected) == count
        assert len(lost) == (count if kind == "machine_deaf" else 0)
        for name in affected:
            assert await request_status(cluster, name, "drummer-0", path="/ready") is None
            if fault.zone is not None:
                assert cluster.cloud.machines[name].kind[1] == fault.zone
        await cluster.wait(9)
        assert not cluster.network.muted
        assert not cluster.network.blocked

    run_check(check)


def test_an_unreachable_machine_sends_heartbeats_and_a_silent_one_gets_no_answers():
    async def check(cluster):
        heartbeats = []
        names = [worker.name for worker in cluster.cloud.workers()]
        cluster.network.watcher = lambda sent: (
            heartbeats.append(sent) if sent.path == "/hello" else None
        )
        unreachable = begin(cluster, "machine_deaf", count=1, for_s=4.0)
        await cluster.wait(unreachable.for_s)
        assert {sent.source for sent in heartbeats} == set(names)
        await cluster.wait(4)
        begin(cluster, "machine_mute", count=1, for_s=4.0)
        mute = {name for name, _ in cluster.network.muted}
        served = {worker.name: worker.answered_at for worker in cluster.cloud.workers()}
        await cluster.wait(3.75)
        for worker in cluster.cloud.workers():
            assert (worker.answered_at == served[worker.name]) is (worker.name in mute)

    run_check(check)


def test_heartbeats_are_duplicated():
    async def check(cluster):
        begin(cluster, "late_reports", share=1.0, for_s=3.0)
        await cluster.wait(3)
        assert cluster.network.copied > 5
        assert cluster.network.copies is None

    run_check(check)


def test_heartbeats_whose_answers_carried_starts_are_repeated():
    async def check(cluster):
        repeated, deliver = [], cluster.network.deliver_later

        def record(source, target, *arguments):
            repeated.append(source)
            return deliver(source, target, *arguments)

        cluster.network.deliver_later = record
        begin(cluster, "late_starts", share=1.0, for_s=30.0)
        await cluster.accept(job(500, beats=1, vcpus=0.1, memGb=0.1, dueS=None))
        await cluster.until(lambda: cluster.network.copied >= 4, timeout_s=30)
        await cluster.wait(30)
        assert cluster.network.start_copies is None
        await cluster.wait(cluster.lease_s + 1)
        assert len(repeated) == cluster.network.copied

    run_check(check)


def test_each_copy_for_the_next_leader_arrives_there_once_and_none_before():
    async def check(cluster):
        late_targets, deliver = [], cluster.network.deliver_later

        def record(source, target, *arguments):
            late_targets.append(target)
            return deliver(source, target, *arguments)

        cluster.network.deliver_later = record
        begin(cluster, "late_reports", share=1.0, for_s=3.0, for_next=True)
        await cluster.wait(5)
        kept = len(cluster.network.copies_for_next_leader)
        assert kept == cluster.network.copied > 5
        assert not late_targets
        former = cluster.leader()
        cluster.kill(former)
        await cluster.until(lambda: cluster.leader() not in (None, former))
        await cluster.wait(3)
        assert late_targets == [cluster.leader()] * kept
        assert not cluster.network.copies_for_next_leader

    run_check(check)


def test_direct_commands_are_executed_late_and_once():
    """Controllers send no direct commands here, so the test sends a stop, which the machine
    executes late."""

    async def check(cluster):
        worker = cluster.cloud.workers()[0]
        attempt = next(iter(worker.attempts.values()))
        call = {"call": "stop", "beat": attempt.name, "take": attempt.attempt_number, "fadeS": 0}
        command = json.dumps({"baton": worker.token, "set": worker.session, "calls": [call]})
        begin(cluster, "late_commands", share=1.0, for_s=1.0)
        sent = ("drummer-0", worker.name, "POST", "/do")
        assert await request_status(cluster, *sent, command.encode()) is None
        assert attempt.state == "running"
        await cluster.wait(16)
        assert attempt.cause == "stopped"
        assert await request_status(cluster, *sent, b'{"calls": []}') == 400
        for baton, session, status in ((0, 0, 200), (0, 1, 409), (-1, 0, 409), (1, 0, 200)):
            body = {"baton": worker.token + baton, "set": worker.session + session, "calls": []}
            assert await request_status(cluster, *sent, json.dumps(body).encode()) == status

    run_check(check)


@pytest.mark.parametrize("hang_s", [0.0, 4.0])
def test_users_cancel_only_jobs_with_much_work_left(hang_s):
    async def check(cluster):
        await cluster.submit(job(2, beats=1, vcpus=0.5, runS=4.0))  # finishes soon
        await cluster.submit(job(3, beats=1, vcpus=0.5, runS=60.0))
        await cluster.until(lambda: {"j-000002", "j-000003"} <= running(cluster))
        fault = begin(cluster, "cancel_now", count=5, hang_s=hang_s)
        hung = [worker for worker in cluster.cloud.workers() if worker.hung]
        assert bool(hung) is (hang_s > 0)
        await cluster.wait(0.25)
        assert cancelled(cluster) == {"j-000001", "j-000003"}
        await cluster.wait(fault.lasts_s)
        assert not any(worker.hung for worker in cluster.cloud.workers())
        await cluster.finish(["j-000001", "j-000002", "j-000003"])

    def running(cluster):
        return {name for name, _ in cluster.rules.running}

    run_check(check)


def cancelled(cluster):
    """Jobs whose cancellation was requested."""
    rules = cluster.rules
    return {name for name, facts in rules.jobs.items() if rules.called_off(facts)}


def test_users_cancel_jobs_when_their_last_task_ends():
    async def check(cluster):
        begin(cluster, "cancel_at_end", share=1.0, for_s=60.0)
        names = [f"j-{number:06d}" for number in range(2, 6)]
        for number in range(2, 6):
            await cluster.submit(job(number, beats=2, vcpus=0.5, runS=[2.0, 5.0]))
        await cluster.wait(2)
        assert not cancelled(cluster)
        await cluster.until(lambda: set(names) <= cancelled(cluster))
        assert all(len(cluster.rules.jobs[name].done) == 2 for name in names)
        await cluster.finish(names)

    run_check(check)


def test_users_repeat_submissions_cancel_finished_jobs_and_send_invalid_ones():
    async def check(cluster):
        assert await cluster.submit(job(2, beats=1, vcpus=0.5, runS=1.0)) == 201
        await cluster.finish(["j-000002"])
        paths, original = [], cluster.rules.invalid_answered
        cluster.network.watcher = lambda sent: (
            paths.append(sent.path) if sent.source == "user" else None
        )
        cluster.rules.invalid_answered = lambda *answer: (
            statuses.add(answer[2]),
            original(*answer),
        )
        statuses = set()
        begin(cluster, "odd_requests", for_s=30.0)
        await cluster.wait(30)
        assert "/submissions/j-000002/cancel" in paths
        assert paths.count("/submissions") > len(cluster.rules.jobs) - 2  # some are repeated
        assert {400, 422} <= statuses
        await cluster.wait(5)
        assert not cluster.invalid_request_tasks
        assert not cluster.extra_user_tasks

    run_check(check)


def test_users_poll_all_controllers_around_each_change_of_a_job():
    async def check(cluster):
        events, polled = [], []
        begin(cluster, "close_looks", for_s=60.0)
        cluster.rules.listeners.append(lambda name, event: events.append(event))
        cluster.network.watcher = lambda sent: (
            polled.append(sent.target) if sent.path == "/submissions/j-000002" else None
        )
        assert await cluster.submit(job(2, beats=1, vcpus=0.5, runS=1.0)) == 201
        await cluster.wait(0.05)
        assert set(polled) == set(cluster.members)
        await cluster.finish(["j-000002"])
        await cluster.cancel("j-000001")
        await cluster.wait(0.05)
        assert set(events) == set(JobEvent)
        assert len(polled) >= 3 * 2 * len(cluster.members)

    run_check(check)


def test_an_exception_of_a_simulated_user_breaks_an_invariant():
    async def check(cluster):
        async def fail():
            raise ValueError("of a user")

        cluster.start_user(fail())
        await asyncio.sleep(0.01)
        assert len(cluster.rules.broken) == 1
        assert "of a user" in cluster.rules.broken.pop()

    run_check(check)


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_end_all_ends_every_kind_of_fault(kind):
    options = {"for_s": 500.0, "share": 0.5, "count": 1, "every_s": 1.0, "hang_s": 500.0}
    options["for_next"] = True
    if kind in ("machine_deaf", "machine_mute", "machine_restart"):
        del options["count"]
    supported = {
        name: value for name, value in options.items() if name in KINDS[kind].__struct_fields__
    }

    async def check(cluster):
        begin(cluster, kind, **supported)
        await cluster.wait(8)
        end_all(cluster)
        await cluster.wait(20)
        network = cluster.network
        assert not (cluster.store.in_outage)
        assert not (cluster.store.refused)
        assert not (cluster.cloud.in_outage)
        assert not (cluster.cloud.pending_restarts)
        assert not (network.late_writes)
        assert not (network.late_commands)
        assert not (network.copies)
        assert not (network.copies_for_next_leader)
        assert not (network.cuts)
        assert not (network.refusing)
        assert not (network.blocked)
        assert not (network.muted)
        assert not (cluster.rules.listeners)
        assert not (cluster.invalid_request_tasks)
        assert not (cluster.extra_user_tasks)
        assert not any(worker.hung for worker in cluster.cloud.workers())
        assert all(cluster.alive(member) for member in cluster.members)
        assert cluster.leader() is not None

    run_check(check)


DAYS = Path(__file__).parents[2] / "days"
#: Days with cuts that reset connections, which the simulation does not support.
BENCH_ONLY = {"cuts-one-zone", "cuts-overlapping", "cuts-three-zones"}


@pytest.mark.parametrize("day", sorted(day.stem for day in DAYS.glob("*.toml")))
def test_days_of_the_repository_can_be_loaded(day):
    if day in BENCH_ONLY:
        with pytest.raises(DayError, match=r"node_cut.*reset.*mode"):
            load(DAYS / f"{day}.toml")
    else:
        assert load(DAYS / f"{day}.toml").name


@pytest.mark.parametrize(
    ("options", "named"),
    [
        ('kind = "flood"', "flood"),
        ("count = 1", "kind"),
        ('kind = "node_crash", count = 0', "node_crash.*count"),
        ('kind = "node_crash", share = 0.5', "node_crash.*share"),
        ('kind = "node_crash", busiest = 1', "node_crash.*busiest"),
        ('kind = "node_down"', "node_down.*for_s"),
        ('kind = "node_roll", every_s = nan', "node_roll.*every_s"),
        ('kind = "node_freeze", for_s = -1.0', "node_freeze.*for_s"),
        ('kind = "node_cut", for_s = 1.0, mode = "drop"', "node_cut.*drop.*mode"),
        ('kind = "leader_transfer", for_s = 1.0', "leader_transfer.*for_s"),
        ('kind = "state_outage", for_s = inf', "state_outage.*for_s"),
        ('kind = "late_writes", for_s = 1.0', "late_writes.*share"),
        ('kind = "late_writes", share = 1.5, for_s = 1.0', "late_writes.*share"),
        ('kind = "late_writes", share = 0.5, for_s = 1.0, at_once = 1', "late_writes.*at_once"),
        (
            'kind = "late_writes", share = 0.5, for_s = 1.0, for_next = true',
            "late_writes.*for_next",
        ),
        ('kind = "machine_die", for_s = 1.0', "machine_die.*for_s"),
        ('kind = "machine_hang", count = 1.5, for_s = 1.0', "machine_hang.*count"),
        (
            'kind = "machine_deaf", count = 2, zone = "a", for_s = 1.0',
            "machine_deaf.*count.*zone",
        ),
        (
            'kind = "machine_mute", share = 0.5, count = 2, for_s = 1.0',
            "machine_mute.*count.*share",
        ),
        ('kind = "machine_mute", count = 2, zone = "a", for_s = 1.0', "machine_mute.*count.*zone"),
        (
            'kind = "machine_mute", count = 2, share = 0.5, for_s = 1.0',
            "machine_mute.*count.*share",
        ),
        ('kind = "machine_mute", zone = 1, for_s = 1.0', "machine_mute.*zone"),
        ('kind = "machine_mute", count = 1', "machine_mute.*for_s"),
        ('kind = "cloud_outage", for_s = "1"', "cloud_outage.*for_s"),
        ('kind = "late_reports", share = -0.1, for_s = 1.0', "late_reports.*share"),
        (
            'kind = "late_reports", share = 0.1, for_s = 1.0, at_once = true',
            "late_reports.*at_once",
        ),
        ('kind = "late_commands", share = 2.0, for_s = 1.0', "late_commands.*share"),
        ('kind = "cancel_now", hang_s = 1.0', "cancel_now.*count"),
        ('kind = "cancel_now", count = -1', "cancel_now.*count"),
        ('kind = "cancel_now", count = 1, hang_s = -1.0', "cancel_now.*hang_s"),
        ('kind = "cancel_now", count = 1, for_s = 1.0', "cancel_now.*for_s"),
        ('kind = "cancel_at_end", for_s = 1.0', "cancel_at_end.*share"),
        ('kind = "cancel_at_end", share = 1.1, for_s = 1.0', "cancel_at_end.*share"),
        ('kind = "odd_requests"', "odd_requests.*for_s"),
        ('kind = "odd_requests", share = 0.1, for_s = 1.0', "odd_requests.*share"),
        ('kind = "close_looks", for_s = 1e9', "close_looks.*for_s"),
        ('kind = "close_looks", count = 1, for_s = 1.0', "close_looks.*count"),
    ],
)
def test_an_invalid_option_is_an_error_that_names_the_kind_and_the_option(
    tmp_path, options, named
):
    day = tmp_path / "day.toml"
    day.write_text(f'name = "x"\nfaults = [{{ at_s = 1.0, {options} }}]')
    with pytest.raises(DayError, match=named):
        load(day)


def test_a_negative_start_time_is_refused(tmp_path):
    day = tmp_path / "day.toml"
    day.write_text('name = "x"\nfaults = [{ at_s = -1.0, kind = "machine_mute", for_s = 1.0 }]')
    with pytest.raises(DayError, match=r"machine_mute.*at_s"):
        load(day)
