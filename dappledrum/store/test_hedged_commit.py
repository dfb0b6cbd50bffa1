"""Transactions whose response is late: which reads prove their outcome, and which do not."""

import asyncio
import json
import random
from datetime import timedelta

import msgspec
import pytest

from dappledrum.election.confirmed_cancellations import ConfirmedCancellations
from dappledrum.election.context import ElectionContext, LeaseLimits
from dappledrum.election.elector import Elector
from dappledrum.election.quorum import PeerAnswers
from dappledrum.election.terms import Term
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.jobs.page_encoding import page_record
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.settings import CloudLimits, Params, StoreLimits, Team, WorkerLimits
from dappledrum.simulation.cluster import job
from dappledrum.simulation.key_value_store import KeyValueStore
from dappledrum.simulation.network import LateWrites, Network
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import ConflictError, UnknownOutcomeError
from dappledrum.store.hedged_commit import MAX_READS, commit_idempotent, commit_or_find
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, Clock, seconds
from dappledrum.user_api.job_api import JobApi

LIMITS = StoreLimits(200.0, 100.0, 8.0, 24)
#: Every transaction is executed at once, but its response is lost.
LOST_RESPONSES = LateWrites(1.0, 0.0, 0.0, at_once=True)


def now():
    return asyncio.get_running_loop().time()


class StoreFixture:
    """A simulated store, and a client that reaches it over a simulated network."""

    def __init__(self, seed=1):
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.service = KeyValueStore()
        self.network.services["state"] = self.service
        self.clock = Clock()
        self.client = StoreClient(
            self.network.caller("node", "state"), LIMITS, self.clock, self.rng
        )

    def write(self, key, value):
        """Write a key as another controller would; returns the revision."""
        body = {"guards": [], "then": [{"write": key, "value": value}]}
        assert self.service.run_transaction(body).status == 200
        return self.service.revision

    def delay_next(self, *seconds):
        """The next transactions get no response and are executed after these delays."""
        delays = list(seconds)
        self.network.watcher = lambda request: (
            delays.pop(0)
            if delays and request.path == "/multi" and b'"write"' in request.body
            else None
        )

    def lose_responses_for(self, seconds):
        """Lose the responses to transactions for this time."""
        self.network.late_writes = LOST_RESPONSES
        asyncio.get_running_loop().call_later(seconds, setattr, self.network, "late_writes", None)

    async def put(self, value="mine"):
        """Write a key with hedged reads; returns the revision, or "found" if a read was first."""

        async def find():
            entry = await self.client.get("key", RequestPriority.SUBMISSION)
            return "found" if entry is not None else None

        changes = [Put("key", encode_value(value))]
        return await commit_or_find(
            self.client, [Guard("key", 0)], changes, RequestPriority.SUBMISSION, find
        )


def test_a_response_in_time_causes_no_read():
    async def main():
        store = StoreFixture()
        assert await store.put() == 1
        await asyncio.sleep(5)
        assert store.service.requests == 1

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_read_replaces_a_lost_response(seed):
    async def main():
        store = StoreFixture(seed)
        store.network.late_writes = LOST_RESPONSES
        assert await store.put() == "found"
        assert now() < 0.1
        assert store.service.requests == 2
        assert store.client.availability.failing_for() is None

    run(main())


def test_a_missing_value_proves_nothing():
    """If the transaction is executed after all reads, its outcome is unknown, as without reads;
    if it is executed between two reads, the second one shows it."""

    async def main():
        store = StoreFixture()
        store.delay_next(3.0)
        with pytest.raises(UnknownOutcomeError):
            await store.put()
        assert now() == pytest.approx(1.5, abs=0.05)
        assert store.service.requests == MAX_READS
        await asyncio.sleep(3)
        store = StoreFixture()
        store.delay_next(0.3)
        assert await store.put() == "found"

    run(main())


def exhaust(limiter):
    """Consume so many tokens that a read would have to wait for about a second."""
    limiter.consume(75, seconds(now()))


@pytest.mark.parametrize("reason", ["budget", "slow", "hanging"])
def test_no_read_is_sent_when_it_would_not_help(reason):
    async def main():
        store = StoreFixture()
        await store.client.get("key", RequestPriority.POLL)
        if reason == "budget":
            asyncio.get_running_loop().call_later(
                0.01, lambda: exhaust(store.client.budget.request_limiter)
            )
        elif reason == "slow":
            store.client.availability.link.smoothed_delay = timedelta(seconds=0.25)
        else:
            store.client.availability.failing_since = store.clock.now() - timedelta(seconds=1)
        store.network.late_writes = LOST_RESPONSES
        before = store.service.requests
        with pytest.raises(UnknownOutcomeError):
            await store.put()
        assert store.service.requests == before + 1

    run(main())


@pytest.mark.parametrize("version", [0, 1])
def test_a_transaction_that_only_compares_is_repeated(version):
    """It changes nothing, so the response to either request will do, even a conflict."""

    async def main():
        store = StoreFixture()
        store.lose_responses_for(0.02)
        guards = [Guard("key", version)]
        if version:
            with pytest.raises(ConflictError) as error:
                await commit_idempotent(store.client, guards, [], RequestPriority.POLL)
            assert error.value.conflicting_keys == ["key"]
        else:
            await commit_idempotent(store.client, guards, [], RequestPriority.POLL)
        assert now() < 0.1

    run(main())


def stored_job(number):
    """The stored record of a new job."""
    fields = {key: value for key, value in job(number).items() if key != "runS"}
    return JobRecord(msgspec.convert(fields, Spec), 1_700_000_000_000, 256, PageRecord())


class LeaderFixture(StoreFixture):
    """A leader's record writer, with two jobs whose heads are stored."""

    def __init__(self, lease_s=100.0):
        super().__init__()
        self.term = Term(1, self.write("leader", {"member": "node", "epoch": 1}), 1)
        self.term.lease_valid_until = self.clock.now() + timedelta(seconds=lease_s)
        self.record_writer = RecordWriter(
            self.client, self.term, LIMITS, ValueLimit(LIMITS), self.clock
        )
        self.record_writer.on_stored = self.check
        self.stored_count = 0
        self.mismatches = []
        self.jobs = []
        for number in range(2):
            record = stored_job(number)
            version = self.write(head_key(record.spec.id), msgspec.to_builtins(record))
            self.jobs.append(Job(record, version))

    def check(self):
        """Check that each page that counts as stored is stored."""
        for one_job in self.jobs:
            page = one_job.page(0)
            if not page.dirty and page.revision and not one_job.finished:
                stored = json.dumps(self.service.keys[page.key][0])
                expected = one_job.head_record(page_record(page))
                if json.loads(stored) != json.loads(msgspec.json.encode(expected)):
                    self.mismatches.append((now(), one_job.id))
                self.stored_count += 1

    def finish(self, number, task):
        page = self.jobs[number].page(0)
        page.finish(task)
        self.record_writer.mark_dirty(page)

    async def run_writer(self, seconds):
        """Run the record writer for this time, and check all that it considers stored."""
        writing = asyncio.ensure_future(self.record_writer.run())
        await asyncio.sleep(seconds)
        writing.cancel()
        self.check()
        assert not self.mismatches


def test_reads_replace_lost_responses_to_a_leader():
    async def main():
        leader = LeaderFixture()
        leader.network.late_writes = LOST_RESPONSES
        leader.finish(0, 0)
        leader.finish(1, 0)
        await leader.run_writer(0.2)
        assert leader.stored_count >= 2
        assert not leader.record_writer.dirty

    run(main())


@pytest.mark.parametrize("tasks", [1, 4])
def test_an_earlier_write_with_the_same_content_is_no_proof(tasks):
    """The first transaction, with one job, is executed late, while the second, with both jobs, has
    no response: the record of the first job is then as the second transaction would write it, but
    that of the other job is not. With 4 tasks, the first job has ended and is moved to the ended
    ones."""

    async def main():
        leader = LeaderFixture()
        leader.delay_next(1.75, 0.6)
        for task in range(tasks):
            leader.finish(0, task)
        asyncio.get_running_loop().call_later(1.0, leader.finish, 1, 0)
        await leader.run_writer(8)
        assert leader.stored_count >= 1

    run(main())


def test_a_value_that_was_there_before_is_no_proof():
    """A page is written again without a change."""

    async def main():
        leader = LeaderFixture()
        leader.delay_next(1.2)
        leader.jobs[0].page(0).bump_revision()
        leader.record_writer.mark_dirty(leader.jobs[0].page(0))
        leader.finish(1, 0)
        await leader.run_writer(8)
        assert leader.stored_count >= 2

    run(main())


@pytest.mark.parametrize("known", [True, False])
def test_a_cancellation_by_a_user_is_no_proof(known):
    """Another controller stores a cancellation while the leader's transaction is delayed, which
    therefore fails. If the leader knows of the cancellation, both write the same record."""

    async def main():
        leader = LeaderFixture()
        one_job = leader.jobs[0]
        one_job.page(0).place(0, "host-1", 1, "a", leader.clock.utc_now())
        leader.record_writer.mark_dirty(one_job.page(0))
        await leader.run_writer(0.1)
        one_job.cancelled = True
        record = json.loads(msgspec.json.encode(one_job.head_record(page_record(one_job.page(0)))))
        one_job.cancelled = known
        one_job.page(0).bump_revision()
        leader.record_writer.mark_dirty(one_job.page(0))
        leader.finish(1, 0)
        leader.delay_next(0.5)
        asyncio.get_running_loop().call_later(0.03, leader.write, head_key(one_job.id), record)
        await leader.run_writer(8)
        assert leader.stored_count >= 3

    run(main())


@pytest.mark.parametrize("reason", ["lease", "transfer"])
def test_a_value_written_by_the_next_leader_is_no_proof(reason):
    """After the lease has expired or leadership has been transferred, the next leader may have
    recorded the same end of a task."""

    async def main():
        leader = LeaderFixture(lease_s=0.05 if reason == "lease" else 100.0)
        leader.delay_next(60.0)
        leader.finish(0, 0)
        leader.finish(1, 0)
        loop = asyncio.get_running_loop()
        if reason == "transfer":
            loop.call_later(0.05, leader.term.ended.set)
        record = leader.jobs[0].head_record(page_record(leader.jobs[0].page(0)))
        stored = json.loads(msgspec.json.encode(record))
        loop.call_later(0.06, leader.write, leader.jobs[0].page(0).key, stored)
        await leader.run_writer(1.4)
        assert leader.stored_count == 0

    run(main())


class ControllerFixture(StoreFixture):
    """A controller's interface for users."""

    def __init__(self):
        super().__init__()
        workers, cloud = WorkerLimits(1.0, 9.0, 30.0), CloudLimits(1.0, 4.0)
        params = Params([Team("blue")], workers, LIMITS, cloud)
        self.job_api = JobApi(self.client, params, self.clock)

    async def admit(self, *numbers):
        """Submit jobs together; returns the outcome of each."""
        puts = {
            f"j-{n:06d}": [Put(head_key(f"j-{n:06d}"), encode_value(stored_job(n)))]
            for n in numbers
        }
        admit = self.job_api.submission_batcher.admit
        return await asyncio.gather(
            *(admit(name, put) for name, put in puts.items()), return_exceptions=True
        )


def test_each_job_of_a_transaction_without_a_response_is_read():
    async def main():
        controller = ControllerFixture()
        controller.network.late_writes = LOST_RESPONSES
        found = await controller.admit(1, 2)
        assert [record.spec.id for record, _ in found] == ["j-000001", "j-000002"]
        assert now() < 0.2

    run(main())


def test_a_job_stored_by_another_controller_proves_nothing_about_the_others():
    """Both jobs are in one transaction, which therefore fails; its response is lost."""

    async def main():
        controller = ControllerFixture()
        controller.delay_next(0.5)
        asyncio.get_running_loop().call_later(
            0.03, controller.write, head_key("j-000001"), msgspec.to_builtins(stored_job(1))
        )
        first, second = await controller.admit(1, 2)
        assert first[0].spec.id == "j-000001"
        assert isinstance(second, UnknownOutcomeError)
        assert "job/j-000002" not in controller.service.keys

    run(main())


@pytest.mark.parametrize("case", ["lost", "cancelled elsewhere", "written by the leader"])
def test_a_cancellation_is_acknowledged_only_once_it_is_stored(case):
    async def main():
        controller = ControllerFixture()
        record = stored_job(1)
        controller.write(head_key("j-000001"), msgspec.to_builtins(record))
        if case == "lost":
            controller.network.late_writes = LOST_RESPONSES
        else:
            controller.delay_next(0.5)
            record.cancelled = case == "cancelled elsewhere"
            asyncio.get_running_loop().call_later(
                0.03, controller.write, head_key("j-000001"), msgspec.to_builtins(record)
            )
        reply = await controller.job_api.cancel("j-000001")
        stored = controller.service.keys["job/j-000001"][0].get("cancelled", False)
        assert stored == (case != "written by the leader")
        assert reply.status == (200 if stored else 503)
        assert not stored or now() < 0.2

    run(main())


@pytest.mark.parametrize("request_kind", ["polls", "lookup"])
def test_users_do_not_wait_for_comparisons_whose_response_is_lost(request_kind):
    async def main():
        controller = ControllerFixture()
        names = ["j-000001", "j-000002"]
        for number, name in enumerate(names):
            controller.write(head_key(name), msgspec.to_builtins(stored_job(number + 1)))
        polls, lookup = controller.job_api.poll_batcher, controller.job_api.lookup
        for name in names:
            await polls.ask(name)
        await asyncio.sleep(1)
        controller.lose_responses_for(0.03)
        began = now()
        if request_kind == "polls":
            await asyncio.gather(*(polls.ask(name) for name in names))
        else:
            assert await lookup.refusal_reason(names, "j-000009") is None
        assert now() - began < 0.2

    run(main())


def test_deletions_whose_response_is_lost_are_repeated():
    async def main():
        leader = LeaderFixture()
        leader.lose_responses_for(0.04)
        leader.write("page/j-000009/1", {})
        leader.record_writer.garbage["page/j-000009/1"] = None
        leader.record_writer.wake.set()
        await leader.run_writer(0.2)
        assert not leader.record_writer.garbage
        assert "page/j-000009/1" not in leader.service.keys

    run(main())


class ConsentingPeer:
    """The only peer; it has no lease grant outstanding, so it supports a campaign."""

    async def pre_vote(self, _question, _timeout):
        return PeerAnswers(1, 1)


class NullHost:
    """A host of the elector that ignores changes of leadership."""

    def leadership_changed(self):
        pass


@pytest.mark.parametrize("own_lease", [True, False])
def test_only_the_own_lease_proves_an_election(own_lease):
    """A transaction of an earlier process of the same member may have written the same value."""

    async def main():
        store = StoreFixture()
        span = timedelta(seconds=20)
        elector = Elector(
            ElectionContext(
                "node",
                store.client,
                store.clock,
                store.rng,
                LeaseLimits(timedelta(seconds=3), span, span),
                ConsentingPeer(),
                NullHost(),
                ConfirmedCancellations(ZERO),
            )
        )
        elector.voter.restart_wait_until = ZERO
        campaign = asyncio.ensure_future(elector._campaign())
        if own_lease:
            store.delay_next(0.0)
            await asyncio.sleep(0.2)
            assert elector.leading_term() is not None
        else:
            store.delay_next(60.0)
            asyncio.get_running_loop().call_later(
                0.02, store.write, "leader", {"member": "node", "epoch": 1}
            )
            await asyncio.sleep(1.4)
            assert elector.term is None
        campaign.cancel()

    run(main())
