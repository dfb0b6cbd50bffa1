"""Transactions that are executed at once while only their response is lost, and other controllers
read what they wrote: acceptance, cancellation, progress of tasks, moves to the ended jobs,
election, transfer."""

import asyncio
import json

import pytest

from dappledrum.simulation.cluster import job
from dappledrum.simulation.scenario import call_later, now, running_scenario

FAULT_S = 40.0
LOST_SHARE = 0.6  # of the transactions of a chosen kind
LOST_COMPARISON_SHARE = 0.3  # of those that only compare; each repetition may be lost as well


def kind_of(transaction):
    """Classify a transaction by its purpose."""
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


class LostResponses:
    """Loses responses to some kinds of transactions, and lets users read what those wrote."""

    def __init__(self, scenario, kinds):
        self.cluster = scenario.cluster
        self.rng = scenario.rng
        self.kinds = kinds
        self.lost = dict.fromkeys(kinds, 0)
        self.latencies = []  # seconds until users' changes were answered
        self.reads = []
        self.unchecked_ask = self.cluster.send_user_request
        self.cluster.send_user_request = self.checked_ask
        self.cluster.network.watcher = self.watch

    def watch(self, sent):
        """Decide on each request as it arrives at the store: 0.0 loses its response."""
        if sent.path != "/multi":
            return None
        transaction = json.loads(sent.body)
        kind = kind_of(transaction)
        share = LOST_COMPARISON_SHARE if kind == "comparison" else LOST_SHARE
        if kind not in self.kinds or self.rng.random() >= share:
            return None
        self.lost[kind] += 1
        for change in transaction["then"]:
            prefix, _, name = (change.get("write") or "").partition("/")
            if prefix in ("job", "ended"):
                for member in self.rng.sample(self.cluster.members, 3):
                    call_later(self.rng.uniform(0.0, 0.3), self.read, prefix, name, member)
        return 0.0

    def read(self, prefix, name, member):
        """Poll a job as a user, and sometimes repeat its submission."""
        if member not in self.cluster.network.services:
            return
        self.reads.append(asyncio.ensure_future(self.cluster.poll(name, member)))
        key = self.cluster.store.keys.get(f"job/{name}")
        if prefix == "job" and key is not None and self.rng.random() < 0.3:
            body = json.dumps(key[0]["spec"]).encode()
            repeated = self.cluster.send_user_request("POST", "/submissions", body, member)
            self.reads.append(asyncio.ensure_future(repeated))

    async def checked_ask(self, method, path, body=None, member=None):
        """Ask a controller, and check that the state it reports is stored."""
        asked_at = now()
        reply = await self.unchecked_ask(method, path, body, member)
        if reply is None or reply.status not in (200, 201):
            return reply
        reported = json.loads(reply.body)
        keys = self.cluster.store.keys
        live, ended = keys.get(f"job/{reported['id']}"), keys.get(f"ended/{reported['id']}")
        assert live or ended, f"{reported['id']} was reported and isn't stored"
        if reported["stance"] == "cancelled":
            assert ended or live[0]["cancelled"], (
                f"{reported['id']} was reported as cancelled and isn't"
            )
        assert reported["stance"] != "done" or ended, (
            f"{reported['id']} was reported as done and hasn't ended"
        )
        if method == "POST":
            self.latencies.append(now() - asked_at)
        return reply

    async def stop(self):
        """Deliver all responses from now on."""
        self.cluster.network.watcher = None
        await asyncio.gather(*self.reads)

    def share_within(self, limit_s):
        """Share of the users' changes that were answered within this time, in seconds."""
        return sum(latency <= limit_s for latency in self.latencies) / len(self.latencies)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("kind", ["acceptance", "cancellation", "comparison", "progress", "end"])
async def test_users_are_answered_in_time_when_responses_of_one_kind_are_lost(kind, seed):
    async with running_scenario(seed) as scenario:
        lost = LostResponses(scenario, (kind,))
        await scenario.submit_long(*range(4))
        for number in range(4):
            await scenario.cluster.wait(scenario.rng.uniform(1, 5))
            if number % 2:
                await scenario.cancel(number, scenario.rng.choice(scenario.others()))
            needs = scenario.names[:1] if kind == "comparison" else None
            for index in range(2):
                follower = 950 + number * 2 + index
                spec = job(follower, beats=1, runS=2.0, dueS=None, waitsOn=needs)
                await scenario.cluster.submit(spec, 60)
                scenario.names.append(spec["id"])
        await scenario.cluster.wait(FAULT_S - 20)
        await lost.stop()
        assert lost.lost[kind] >= 2
        assert lost.share_within(0.3) > 0.95, sorted(lost.latencies)[-5:]


@pytest.mark.parametrize("seed", range(2))
async def test_a_new_leader_follows_soon_when_responses_of_elections_and_transfers_are_lost(seed):
    """The leader crashes, resigns or transfers leadership again and again. The controller that has
    written the leader key leads with it, and does not give it back because the response was
    lost."""

    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        lost = LostResponses(scenario, ("election", "transfer"))
        await scenario.submit_long(0, 1)
        vacancies = []
        for change in ("end", "transfer", "resign", "end"):
            await cluster.wait(rng.uniform(11, 14))  # a term may be transferred after 10 s
            leader = cluster.leader()
            vacant_since = now()
            if change == "end":
                cluster.kill(leader)
                call_later(rng.uniform(0.1, 3), cluster.start, leader)
            elif change == "transfer":
                cluster.controllers[leader].elector.transfer_leadership(
                    rng.choice(scenario.others()), "test"
                )
            else:
                cluster.controllers[leader].elector.resign(
                    "test", cluster.controllers[leader].elector.lease_ttl * 2
                )
            await scenario.until_led(leader)
            vacancies.append((change, round(now() - vacant_since, 2)))
        await lost.stop()
        assert sum(lost.lost.values()) >= 2, lost.lost
        # After a crash the lease must expire and a campaign follow; other changes are faster.
        assert all(
            duration_s < (5.5 if change == "end" else 1.5) for change, duration_s in vacancies
        ), vacancies


@pytest.mark.parametrize("seed", range(3))
async def test_only_stored_states_are_reported_when_any_responses_are_lost_and_leaders_crash(seed):
    async with running_scenario(seed) as scenario:
        cluster, rng = scenario.cluster, scenario.rng
        kinds = ("acceptance", "cancellation", "progress", "end", "election", "transfer")
        lost = LostResponses(scenario, kinds)
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
