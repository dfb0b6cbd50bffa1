"""A transaction is executed at once and only its response is lost, while other controllers read
what it wrote: acceptance, cancellation, progress of tasks, moves to the ended jobs, election,
transfer."""

import asyncio
import json

import pytest

from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import call_later, now, running_scenario

SPELL_S = 40.0
SHARE = 0.6  # of the transactions of the kind
COMPARED = 0.3  # of those that only compare; each repetition may be lost as well


def kind_of(transaction):
    """What a transaction is for."""
    if not transaction["then"]:
        return "comparison"
    guards = {guard["key"]: guard["stamp"] for guard in transaction["guards"]}
    written = [change["write"] for change in transaction["then"] if "write" in change]
    heads = [key for key in written if key.startswith("job/")]
    if "leader" in written:
        return "transfer" if guards["leader"] else "election"
    if any(key.startswith("ended/") for key in written):
        return "end"
    if "leader" in guards:
        return "progress" if heads else "other"
    if heads:
        return "cancellation" if guards[heads[0]] else "acceptance"
    return "other"


class LostAnswers:
    """Loses answers of some kinds of transactions, and lets users read what those wrote."""

    def __init__(self, scenario, kinds):
        self.cluster = scenario.cluster
        self.rng = scenario.rng
        self.kinds = kinds
        self.lost = dict.fromkeys(kinds, 0)
        self.waits = []  # of users, for answers to requests that are carried out
        self.reads = []
        self.ask = self.cluster.send_user_request
        self.cluster.send_user_request = self.checked
        self.cluster.network.watcher = self.watch

    def watch(self, sent):
        """Decides on each request as it arrives at the store."""
        if sent.path != "/multi":
            return None
        transaction = json.loads(sent.body)
        kind = kind_of(transaction)
        share = COMPARED if kind == "comparison" else SHARE
        if kind not in self.kinds or self.rng.random() >= share:
            return None
        self.lost[kind] += 1
        for change in transaction["then"]:
            place, _, name = (change.get("write") or "").partition("/")
            if place in ("job", "ended"):
                for member in self.rng.sample(self.cluster.members, 3):
                    call_later(self.rng.uniform(0.0, 0.3), self.read, place, name, member)
        return 0.0

    def read(self, place, name, member):
        """A user asks, and now and then repeats the submission."""
        if member not in self.cluster.network.services:
            return
        self.reads.append(asyncio.ensure_future(self.cluster.poll(name, member)))
        key = self.cluster.store.keys.get(f"job/{name}")
        if place == "job" and key is not None and self.rng.random() < 0.3:
            body = json.dumps(key[0]["spec"]).encode()
            again = self.cluster.send_user_request("POST", "/submissions", body, member)
            self.reads.append(asyncio.ensure_future(again))

    async def checked(self, method, path, body=None, member=None):
        """Ask a controller; whatever it reports must be stored by then."""
        began = now()
        reply = await self.ask(method, path, body, member)
        if reply is None or reply.status not in (200, 201):
            return reply
        said = json.loads(reply.body)
        keys = self.cluster.store.keys
        live, over = keys.get(f"job/{said['id']}"), keys.get(f"ended/{said['id']}")
        assert live or over, f"{said['id']} reported and not stored"
        if said["stance"] == "cancelled":
            assert over or live[0]["cancelled"], f"{said['id']} reported as cancelled"
        assert said["stance"] != "done" or over, f"{said['id']} reported as done"
        if method == "POST":
            self.waits.append(now() - began)
        return reply

    async def stop(self):
        """Every answer arrives from now on."""
        self.cluster.network.watcher = None
        await asyncio.gather(*self.reads)

    def share_within(self, span):
        """Share of the users' changes that were answered in time."""
        return sum(wait <= span for wait in self.waits) / len(self.waits)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("kind", ["acceptance", "cancellation", "comparison", "progress", "end"])
async def test_users_are_answered_in_time_when_responses_of_one_kind_are_lost(kind, seed):
    async with running_scenario(seed) as scenario:
        lost = LostAnswers(scenario, (kind,))
        await scenario.submit_long(*range(4))
        for number in range(4):
            await scenario.cluster.wait(scenario.rng.uniform(1, 5))
            if number % 2:
                await scenario.cancel(number, scenario.rng.choice(scenario.others()))
            needs = scenario.names[:1] if kind == "comparison" else None
            for after in range(2):
                follower = 950 + number * 2 + after
                one = job(follower, beats=1, runS=2.0, dueS=None, waitsOn=needs)
                await scenario.cluster.submit(one, 60)
                scenario.names.append(one["id"])
        await scenario.cluster.wait(SPELL_S - 20)
        await lost.stop()
        assert lost.lost[kind] >= 2
        assert lost.share_within(0.3) > 0.95, sorted(lost.waits)[-5:]


@pytest.mark.parametrize("seed", range(2))
async def test_leadership_is_soon_taken_when_responses_of_elections_and_transfers_are_lost(seed):
    """The leader crashes, resigns or transfers leadership again and again; the controller that has
    taken the key leads with it, and does not give it back because the response was lost."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        lost = LostAnswers(scenario, ("election", "transfer"))
        await scenario.submit_long(0, 1)
        vacant = []
        for way in ("end", "transfer", "resign", "end"):
            await cluster.wait(rng.uniform(11, 14))  # a term may be transferred after 10 s
            leader = cluster.leader()
            began = now()
            if way == "end":
                cluster.kill(leader)
                call_later(rng.uniform(0.1, 3), cluster.start, leader)
            elif way == "transfer":
                cluster.controllers[leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "test"
                )
            else:
                cluster.controllers[leader].elector.resign(
                    "test", cluster.controllers[leader].elector.lease_ttl * 2
                )
            await scenario.until_led(leader)
            vacant.append((way, round(now() - began, 2)))
        await lost.stop()
        assert sum(lost.lost.values()) >= 2, lost.lost
        # After a crash the lease and a round of campaigning, else not even that.
        assert all(span < (5.5 if way == "end" else 1.5) for way, span in vacant), vacant


@pytest.mark.parametrize("seed", range(3))
async def test_only_stored_states_are_reported_when_any_responses_are_lost_and_leaders_crash(seed):
    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        kinds = ("acceptance", "cancellation", "progress", "end", "election", "transfer")
        lost = LostAnswers(scenario, kinds)
        await scenario.submit_long(*range(5))
        for number in range(3):
            await cluster.wait(rng.uniform(2, 8))
            leader = cluster.leader()
            if leader is not None:
                await cluster.restart(leader, rng.uniform(0, 2))
            call_later(
                rng.uniform(0, 1), asyncio.ensure_future, cluster.cancel(f"j-{900 + number:06d}")
            )
        await cluster.wait(10)
        await lost.stop()
