"""Each kind of trouble brings about what it says, and a bad value is named."""

import asyncio
import json
from datetime import timedelta
from pathlib import Path

import pytest

from dappledrum.http.client import NoResponseError
from dappledrum.model.invariants import JobEvent
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.day_file import DayError, load
from dappledrum.simulation.faults import KINDS, convert, end_all
from dappledrum.simulation.virtual_time import run

BACK_S = 1.0
SECOND = timedelta(seconds=1)


def play(check):
    """Let a check act on a world with a leader, five busy machines in two zones, and a service
    that goes on running there."""

    async def main():
        world = World(seed=3)
        world.cloud.most = 5
        for index in range(5):
            world.cloud.add(("small", "ab"[index % 2], True))
        await world.until(lambda: world.leader() is not None)
        spec = job(1, form="service", beats=5, vcpus=3.0, expectedS=0.0, dueS=None)
        assert await world.submit(spec) == 201
        await world.until(lambda: len(world.rules.running) == 5)
        await check(world)
        assert not world.rules.broken, world.rules.broken

    run(main())


def begin(world, kind, **options):
    """Let a trouble begin now."""
    fault = convert({"kind": kind, "at_s": 0.0} | options)
    fault.begin(world, BACK_S)
    return fault


async def answered(world, source, target, method="GET", path="/inspect", body=None):
    """The status of one request, or None."""
    try:
        return (
            await world.network.caller(source, target).request(method, path, body, SECOND)
        ).status
    except NoResponseError:
        return None


@pytest.mark.parametrize(
    ("kind", "options", "away_s"),
    [
        ("node_crash", {}, BACK_S),
        ("node_crash", {"for_s": 5.0}, 5.0),
        ("node_down", {"for_s": 9.0}, 9.0),
    ],
)
def test_controllers_end_and_come_back(kind, options, away_s):
    async def check(world):
        leader = world.leader()
        begin(world, kind, busiest=True, **options)
        assert not world.alive(leader)
        await world.wait(away_s - 0.25)
        assert not world.alive(leader)
        await world.wait(0.5)
        assert world.alive(leader)

    play(check)


def test_a_roll_restarts_one_after_the_other():
    async def check(world):
        begin(world, "node_roll", every_s=4.0)
        for member in world.members:
            await world.wait(0.5)
            assert [m for m in world.members if not world.alive(m)] == [member]
            await world.wait(3.5)
        assert all(world.alive(member) for member in world.members)

    play(check)


def test_a_frozen_controller_answers_when_it_goes_on():
    async def check(world):
        leader = world.leader()
        begin(world, "node_freeze", busiest=True, for_s=5.0)
        assert await answered(world, "user", leader, path="/ready") is None
        await world.wait(5)
        assert await answered(world, "user", leader, path="/ready") == 200

    play(check)


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
def test_a_cut_takes_what_it_names(options, lost, mode):
    async def check(world):
        leader = world.leader()
        begin(world, "node_cut", busiest=True, for_s=3.0, mode=mode, **options)
        peer = next(member for member in world.members if member != leader)
        targets = {
            "state": ("state", "/keys?prefix=leader"),
            "worker": (world.cloud.workers()[0].name, "/inspect"),
            "peer": (peer, "/ready"),
        }
        for name, (target, path) in targets.items():
            status = await answered(world, leader, target, path=path)
            assert (status == 200) is (name not in lost), name
        await world.wait(3)
        for target, path in targets.values():
            assert await answered(world, leader, target, path=path) == 200

    play(check)


def test_a_transfer_gives_leadership_to_another_process_that_runs():
    async def check(world):
        leader = world.leader()
        begin(world, "leader_transfer")
        await world.until(lambda: world.leader() not in (None, leader), most=2)
        assert world.alive(leader)

    play(check)


@pytest.mark.parametrize(
    ("kind", "target", "path"),
    [("state_outage", "state", "/keys?prefix=leader"), ("cloud_outage", "cloud", "/catalog")],
)
def test_an_outage_refuses_everybody(kind, target, path):
    async def check(world):
        begin(world, kind, for_s=2.0)
        assert await answered(world, "user", target, path=path) == 503
        await world.wait(2)
        assert await answered(world, "user", target, path=path) == 200

    play(check)


@pytest.mark.parametrize(("at_once", "after_s"), [(True, 2.0), (False, 12.0)])
def test_transactions_without_an_answer_are_carried_out(at_once, after_s):
    async def check(world):
        begin(world, "late_writes", share=1.0, for_s=2.0, at_once=at_once)
        body = json.dumps({"guards": [], "then": [{"write": "a", "value": 1}]}).encode()
        asked = asyncio.ensure_future(answered(world, "user", "state", "POST", "/multi", body))
        await asyncio.sleep(0.25)
        assert ("a" in world.state.keys) is at_once
        assert await asked is None
        await world.wait(after_s)
        assert "a" in world.state.keys and world.network.late_writes is None

    play(check)


def test_machines_die_and_stay_listed():
    async def check(world):
        before = set(world.cloud.machines)
        begin(world, "machine_die", count=2)
        dead = [w.name for w in world.cloud.workers() if w.name not in world.network.services]
        assert len(dead) == 2 and before == set(world.cloud.machines)
        await world.wait(31)
        assert not set(dead) & set(world.cloud.machines)

    play(check)


def test_machines_hang():
    async def check(world):
        begin(world, "machine_hang", count=2, for_s=3.0)
        assert sum(worker.hung for worker in world.cloud.workers()) == 2
        await world.wait(3.25)
        assert not any(worker.hung for worker in world.cloud.workers())

    play(check)


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
def test_machines_that_are_reached_one_way_only(kind, chosen, count):
    async def check(world):
        fault = begin(world, kind, for_s=9.0, **chosen)
        to_worker = {
            w.name: await answered(world, "drummer-0", w.name) for w in world.cloud.workers()
        }
        lost = [name for name, status in to_worker.items() if status != 200]
        heard = {pair[0] for pair in world.network.muted} | {
            pair[1] for pair in world.network.blocked
        }
        assert len(heard) == count
        assert len(lost) == (count if kind == "machine_deaf" else 0)
        for name in heard:
            assert await answered(world, name, "drummer-0", path="/ready") is None
            if fault.zone is not None:
                assert world.cloud.machines[name].kind[1] == fault.zone
        await world.wait(9)
        assert not world.network.muted and not world.network.blocked

    play(check)


def test_a_deaf_machine_reports_and_a_mute_one_does_not():
    async def check(world):
        reports = []
        names = [worker.name for worker in world.cloud.workers()]
        world.network.watcher = lambda sent: (
            reports.append(sent) if sent.path == "/hello" else None
        )
        unreachable = begin(world, "machine_deaf", count=1, for_s=4.0)
        await world.wait(unreachable.for_s)
        assert {sent.source for sent in reports} == set(names)
        await world.wait(4)
        begin(world, "machine_mute", count=1, for_s=4.0)
        mute = {name for name, _ in world.network.muted}
        served = {worker.name: worker.answered for worker in world.cloud.workers()}
        await world.wait(3.75)
        for worker in world.cloud.workers():
            assert (worker.answered == served[worker.name]) is (worker.name in mute)

    play(check)


def test_copies_of_reports_arrive_anywhere():
    async def check(world):
        begin(world, "late_reports", share=1.0, for_s=3.0)
        await world.wait(3)
        assert world.network.copied > 5 and world.network.copies is None

    play(check)


def test_copies_are_kept_for_the_next_leader():
    """Each arrives there once, and none before."""

    async def check(world):
        late, deliver = [], world.network._late

        def record(source, target, *arguments):
            late.append(target)
            return deliver(source, target, *arguments)

        world.network._late = record
        begin(world, "late_reports", share=1.0, for_s=3.0, for_next=True)
        await world.wait(5)
        kept = len(world.network.kept)
        assert kept == world.network.copied > 5 and not late
        former = world.leader()
        world.kill(former)
        await world.until(lambda: world.leader() not in (None, former))
        await world.wait(3)
        assert late == [world.leader()] * kept and not world.network.kept

    play(check)


def test_direct_commands_are_held_up_and_executed_once():
    """Nothing of the service sends any: a stop by hand, which its machine executes late."""

    async def check(world):
        worker = world.cloud.workers()[0]
        attempt = next(iter(worker.attempts.values()))
        call = {"call": "stop", "beat": attempt.name, "take": attempt.take, "fadeS": 0}
        command = json.dumps({"baton": worker.token, "set": worker.session, "calls": [call]})
        begin(world, "late_commands", share=1.0, for_s=1.0)
        sent = ("drummer-0", worker.name, "POST", "/do")
        assert await answered(world, *sent, command.encode()) is None
        assert attempt.state == "running"
        await world.wait(16)
        assert attempt.cause == "stopped"
        assert await answered(world, *sent, b'{"calls": []}') == 400
        for baton, session, status in ((0, 0, 200), (0, 1, 409), (-1, 0, 409), (1, 0, 200)):
            body = {"baton": worker.token + baton, "set": worker.session + session, "calls": []}
            assert await answered(world, *sent, json.dumps(body).encode()) == status

    play(check)


@pytest.mark.parametrize("hang_s", [0.0, 4.0])
def test_users_cancel_what_has_long_to_go(hang_s):
    async def check(world):
        await world.submit(job(2, beats=1, vcpus=0.5, runS=4.0))  # is over soon
        await world.submit(job(3, beats=1, vcpus=0.5, runS=60.0))
        await world.until(lambda: {"j-000002", "j-000003"} <= running(world))
        fault = begin(world, "cancel_now", count=5, hang_s=hang_s)
        hung = [worker for worker in world.cloud.workers() if worker.hung]
        assert bool(hung) is (hang_s > 0)
        await world.wait(0.25)
        assert cancelled(world) == {"j-000001", "j-000003"}
        await world.wait(fault.lasts_s)
        assert not any(worker.hung for worker in world.cloud.workers())
        await world.finish(["j-000001", "j-000002", "j-000003"])

    def running(world):
        return {name for name, _ in world.rules.running}

    play(check)


def cancelled(world):
    """Jobs whose users have asked to cancel them."""
    rules = world.rules
    return {name for name, facts in rules.jobs.items() if rules.called_off(facts)}


def test_users_cancel_at_the_end():
    async def check(world):
        begin(world, "cancel_at_end", share=1.0, for_s=60.0)
        names = [f"j-{number:06d}" for number in range(2, 6)]
        for number in range(2, 6):
            await world.submit(job(number, beats=2, vcpus=0.5, runS=[2.0, 5.0]))
        await world.wait(2)
        assert not cancelled(world)
        await world.until(lambda: set(names) <= cancelled(world))
        assert all(len(world.rules.jobs[name].done) == 2 for name in names)
        await world.finish(names)

    play(check)


def test_odd_requests():
    async def check(world):
        assert await world.submit(job(2, beats=1, vcpus=0.5, runS=1.0)) == 201
        await world.finish(["j-000002"])
        asked, told = [], world.rules.invalid_answered
        world.network.watcher = lambda sent: (
            asked.append(sent.path) if sent.source == "user" else None
        )
        world.rules.invalid_answered = lambda *answer: (statuses.add(answer[2]), told(*answer))
        statuses = set()
        begin(world, "odd_requests", for_s=30.0)
        await world.wait(30)
        assert "/submissions/j-000002/cancel" in asked
        assert asked.count("/submissions") > len(world.rules.jobs) - 2  # repeated ones, too
        assert {400, 422} <= statuses
        await world.wait(5)
        assert not world.odd_users and not world.acting

    play(check)


def test_users_look_closely():
    async def check(world):
        events, asked = [], []
        begin(world, "close_looks", for_s=60.0)
        world.rules.listeners.append(lambda name, event: events.append(event))
        world.network.watcher = lambda sent: (
            asked.append(sent.target) if sent.path == "/submissions/j-000002" else None
        )
        assert await world.submit(job(2, beats=1, vcpus=0.5, runS=1.0)) == 201
        await world.wait(0.05)
        assert set(asked) == set(world.members)
        await world.finish(["j-000002"])
        await world.cancel("j-000001")
        await world.wait(0.05)
        assert set(events) == set(JobEvent)
        assert len(asked) >= 3 * 2 * len(world.members)

    play(check)


def test_a_user_that_fails_breaks_the_rules():
    async def check(world):
        async def fail():
            raise ValueError("of a user")

        world.act(fail())
        await asyncio.sleep(0.01)
        assert len(world.rules.broken) == 1 and "of a user" in world.rules.broken.pop()

    play(check)


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_every_trouble_ends_when_all_are_ended(kind):
    options = {"for_s": 500.0, "share": 0.5, "count": 1, "every_s": 1.0, "hang_s": 500.0}
    options["for_next"] = True
    if kind in ("machine_deaf", "machine_mute"):
        del options["count"]
    taken = {
        name: value for name, value in options.items() if name in KINDS[kind].__struct_fields__
    }

    async def check(world):
        begin(world, kind, **taken)
        await world.wait(8)
        end_all(world)
        await world.wait(20)
        network = world.network
        assert not (world.state.out or world.state.refused or world.cloud.out)
        assert not (network.late_writes or network.late_commands or network.copies or network.kept)
        assert not (network.cuts or network.refusing or network.blocked or network.muted)
        assert not (world.rules.listeners or world.odd_users or world.acting)
        assert not any(worker.hung for worker in world.cloud.workers())
        assert all(world.alive(member) for member in world.members) and world.leader() is not None

    play(check)


DAYS = Path(__file__).parents[2] / "days"
BENCH_ONLY = {"cuts-one-zone", "cuts-overlapping", "cuts-three-zones"}  # connections reset


@pytest.mark.parametrize("day", sorted(day.stem for day in DAYS.glob("*.toml")))
def test_own_days_can_be_read(day):
    if day in BENCH_ONLY:
        with pytest.raises(DayError, match="node_cut.*reset.*mode"):
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
def test_a_bad_value_is_an_error_that_names_kind_and_option(tmp_path, options, named):
    day = tmp_path / "day.toml"
    day.write_text(f'name = "x"\nfaults = [{{ at_s = 1.0, {options} }}]')
    with pytest.raises(DayError, match=named):
        load(day)


def test_a_time_before_the_day_is_refused(tmp_path):
    day = tmp_path / "day.toml"
    day.write_text('name = "x"\nfaults = [{ at_s = -1.0, kind = "machine_mute", for_s = 1.0 }]')
    with pytest.raises(DayError, match="machine_mute.*at_s"):
        load(day)
