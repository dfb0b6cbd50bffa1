"""Transactions whose answer is late: which reads prove their outcome, and which do not."""

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
LOST = LateWrites(1.0, 0.0, 0.0, at_once=True)


def now():
    return asyncio.get_running_loop().time()


class Store:
    """A store behind a network, and one client of it."""

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
        """As another controller would."""
        body = {"guards": [], "then": [{"write": key, "value": value}]}
        assert self.service._multi(body).status == 200
        return self.service.tally

    def delay(self, *seconds):
        """The next transactions get no answer, and are executed after these delays, in seconds."""
        left = list(seconds)
        self.network.watcher = lambda sent: (
            left.pop(0) if left and sent.path == "/multi" and b'"write"' in sent.body else None
        )

    def lose_first(self, seconds):
        """Answers of transactions are lost for so long."""
        self.network.late_writes = LOST
        asyncio.get_running_loop().call_later(seconds, setattr, self.network, "late_writes", None)

    async def put(self, value="mine"):
        """Write a key with a hedge; what came of it."""

        async def find():
            entry = await self.client.get("key", RequestPriority.SUBMISSION)
            return "found" if entry is not None else None

        changes = [Put("key", encode_value(value))]
        return await commit_or_find(
            self.client, [Guard("key", 0)], changes, RequestPriority.SUBMISSION, find
        )


def test_an_answer_in_time_causes_no_read():
    async def main():
        store = Store()
        assert await store.put() == 1
        await asyncio.sleep(5)
        assert store.service.requests == 1

    run(main())


@pytest.mark.parametrize("seed", range(3))
def test_a_lost_answer_is_replaced_by_a_read(seed):
    async def main():
        store = Store(seed)
        store.network.late_writes = LOST
        assert await store.put() == "found"
        assert now() < 0.1
        assert store.service.requests == 2
        assert store.client.availability.failing_for() is None

    run(main())


def test_an_absent_value_proves_nothing():
    """Executed after the reads: unknown, as without them. Between them: the next one shows it."""

    async def main():
        store = Store()
        store.delay(3.0)
        with pytest.raises(UnknownOutcomeError):
            await store.put()
        assert now() == pytest.approx(1.5, abs=0.05)
        assert store.service.requests == MAX_READS
        await asyncio.sleep(3)
        store = Store()
        store.delay(0.3)
        assert await store.put() == "found"

    run(main())


def exhaust(limiter):
    """Other requests consume so much that a read would have to wait for about a second."""
    limiter.consume(75, seconds(now()))


@pytest.mark.parametrize("why", ["budget", "slow", "hanging"])
def test_no_read_is_sent_when_it_would_not_help(why):
    async def main():
        store = Store()
        await store.client.get("key", RequestPriority.POLL)
        if why == "budget":
            asyncio.get_running_loop().call_later(
                0.01, lambda: exhaust(store.client.budget.request_limiter)
            )
        elif why == "slow":
            store.client.availability.link.smoothed_delay = timedelta(seconds=0.25)
        else:
            store.client.availability.failing_since = store.clock.now() - timedelta(seconds=1)
        store.network.late_writes = LOST
        before = store.service.requests
        with pytest.raises(UnknownOutcomeError):
            await store.put()
        assert store.service.requests == before + 1

    run(main())


@pytest.mark.parametrize("version", [0, 1])
def test_a_comparison_is_repeated(version):
    """It changes nothing, so either answer will do, also that something differs."""

    async def main():
        store = Store()
        store.lose_first(0.02)
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
    """What is stored of a new job."""
    fields = {key: value for key, value in job(number).items() if key != "runS"}
    return JobRecord(msgspec.convert(fields, Spec), 1_700_000_000_000, 256, PageRecord())


class Leader(Store):
    """A leader's record writer with two jobs, whose heads are stored."""

    def __init__(self, lease_s=100.0):
        super().__init__()
        self.term = Term(1, self.write("leader", {"member": "node", "epoch": 1}), 1)
        self.term.lease_valid_until = self.clock.now() + timedelta(seconds=lease_s)
        self.record_writer = RecordWriter(
            self.client, self.term, LIMITS, ValueLimit(LIMITS), self.clock
        )
        self.record_writer.on_stored = self.check
        self.saved = 0
        self.wrong = []
        self.jobs = []
        for number in range(2):
            record = stored_job(number)
            version = self.write(head_key(record.spec.id), msgspec.to_builtins(record))
            self.jobs.append(Job(record, version))

    def check(self):
        """Nothing counts as stored that is not."""
        for one in self.jobs:
            page = one.page(0)
            if not page.dirty and page.revision and not one.finished:
                stored = json.dumps(self.service.keys[page.key][0])
                expected = one.head_record(page_record(page))
                if json.loads(stored) != json.loads(msgspec.json.encode(expected)):
                    self.wrong.append((now(), one.id))
                self.saved += 1

    def finish(self, number, task):
        page = self.jobs[number].page(0)
        page.finish(task)
        self.record_writer.mark_dirty(page)

    async def write_for(self, seconds):
        """Let the record writer run, and check all that it considers stored."""
        writing = asyncio.ensure_future(self.record_writer.run())
        await asyncio.sleep(seconds)
        writing.cancel()
        self.check()
        assert not self.wrong


def test_lost_answers_of_a_leader_are_replaced_by_reads():
    async def main():
        leader = Leader()
        leader.network.late_writes = LOST
        leader.finish(0, 0)
        leader.finish(1, 0)
        await leader.write_for(0.2)
        assert leader.saved >= 2
        assert not leader.record_writer.dirty

    run(main())


@pytest.mark.parametrize("tasks", [1, 4])
def test_an_earlier_write_with_the_same_content_is_no_proof(tasks):
    """The first transaction, of one job, is executed while the second, of two, waits: the first
    job is then as the second transaction would have left it, and the other one does not. With
    all its tasks done, that is the move to the ended ones."""

    async def main():
        leader = Leader()
        leader.delay(1.75, 0.6)
        for task in range(tasks):
            leader.finish(0, task)
        asyncio.get_running_loop().call_later(1.0, leader.finish, 1, 0)
        await leader.write_for(8)
        assert leader.saved >= 1

    run(main())


def test_a_value_that_was_there_before_is_no_proof():
    """A page that is written again without a difference."""

    async def main():
        leader = Leader()
        leader.delay(1.2)
        leader.jobs[0].page(0).bump_revision()
        leader.record_writer.mark_dirty(leader.jobs[0].page(0))
        leader.finish(1, 0)
        await leader.write_for(8)
        assert leader.saved >= 2

    run(main())


@pytest.mark.parametrize("known", [True, False])
def test_a_cancellation_by_a_user_is_no_proof(known):
    """It is stored by the user's controller while the leader's transaction is on its way, which
    therefore fails. If the leader has read it already, it is just what the leader writes."""

    async def main():
        leader = Leader()
        one = leader.jobs[0]
        one.page(0).place(0, "host-1", 1, "a", leader.clock.utc_now())
        leader.record_writer.mark_dirty(one.page(0))
        await leader.write_for(0.1)
        one.cancelled = True
        record = json.loads(msgspec.json.encode(one.head_record(page_record(one.page(0)))))
        one.cancelled = known
        one.page(0).bump_revision()
        leader.record_writer.mark_dirty(one.page(0))
        leader.finish(1, 0)
        leader.delay(0.5)
        asyncio.get_running_loop().call_later(0.03, leader.write, head_key(one.id), record)
        await leader.write_for(8)
        assert leader.saved >= 3

    run(main())


@pytest.mark.parametrize("why", ["lease", "transfer"])
def test_a_value_written_by_the_next_leader_is_no_proof(why):
    """The lease may have expired, or leadership been transferred, and the next leader have
    recorded the same end of a task."""

    async def main():
        leader = Leader(lease_s=0.05 if why == "lease" else 100.0)
        leader.delay(60.0)
        leader.finish(0, 0)
        leader.finish(1, 0)
        loop = asyncio.get_running_loop()
        if why == "transfer":
            loop.call_later(0.05, leader.term.ended.set)
        record = leader.jobs[0].head_record(page_record(leader.jobs[0].page(0)))
        stored = json.loads(msgspec.json.encode(record))
        loop.call_later(0.06, leader.write, leader.jobs[0].page(0).key, stored)
        await leader.write_for(1.4)
        assert leader.saved == 0

    run(main())


class Controller(Store):
    """What users reach of a controller."""

    def __init__(self):
        super().__init__()
        workers, cloud = WorkerLimits(1.0, 9.0, 30.0), CloudLimits(1.0, 4.0)
        params = Params([Team("blue")], workers, LIMITS, cloud)
        self.job_api = JobApi(self.client, params, self.clock)

    async def admit(self, *numbers):
        """Jobs that come together; what became of each."""
        puts = {
            f"j-{n:06d}": [Put(head_key(f"j-{n:06d}"), encode_value(stored_job(n)))]
            for n in numbers
        }
        admit = self.job_api.submission_batcher.admit
        return await asyncio.gather(
            *(admit(name, put) for name, put in puts.items()), return_exceptions=True
        )


def test_each_job_of_a_transaction_is_read():
    async def main():
        controller = Controller()
        controller.network.late_writes = LOST
        found = await controller.admit(1, 2)
        assert [record.spec.id for record, _ in found] == ["j-000001", "j-000002"]
        assert now() < 0.2

    run(main())


def test_a_job_stored_by_another_controller_proves_nothing_about_the_others():
    """Both are in one transaction, which then fails without an answer."""

    async def main():
        controller = Controller()
        controller.delay(0.5)
        asyncio.get_running_loop().call_later(
            0.03, controller.write, head_key("j-000001"), msgspec.to_builtins(stored_job(1))
        )
        first, second = await controller.admit(1, 2)
        assert first[0].spec.id == "j-000001"
        assert isinstance(second, UnknownOutcomeError)
        assert "job/j-000002" not in controller.service.keys

    run(main())


@pytest.mark.parametrize("what", ["lost", "cancelled elsewhere", "written by the leader"])
def test_a_cancellation_is_acknowledged_once_it_is_stored(what):
    async def main():
        controller = Controller()
        record = stored_job(1)
        controller.write(head_key("j-000001"), msgspec.to_builtins(record))
        if what == "lost":
            controller.network.late_writes = LOST
        else:
            controller.delay(0.5)
            record.cancelled = what == "cancelled elsewhere"
            asyncio.get_running_loop().call_later(
                0.03, controller.write, head_key("j-000001"), msgspec.to_builtins(record)
            )
        reply = await controller.job_api.cancel("j-000001")
        stored = controller.service.keys["job/j-000001"][0].get("cancelled", False)
        assert stored == (what != "written by the leader")
        assert reply.status == (200 if stored else 503)
        assert not stored or now() < 0.2

    run(main())


@pytest.mark.parametrize("who", ["polls", "lookup"])
def test_users_do_not_wait_for_comparisons_whose_answer_is_lost(who):
    async def main():
        controller = Controller()
        names = ["j-000001", "j-000002"]
        for number, name in enumerate(names):
            controller.write(head_key(name), msgspec.to_builtins(stored_job(number + 1)))
        polls, lookup = controller.job_api.poll_batcher, controller.job_api.lookup
        for name in names:
            await polls.ask(name)
        await asyncio.sleep(1)
        controller.lose_first(0.03)
        began = now()
        if who == "polls":
            await asyncio.gather(*(polls.ask(name) for name in names))
        else:
            assert await lookup.refusal_reason(names, "j-000009") is None
        assert now() - began < 0.2

    run(main())


def test_removals_whose_answer_is_lost_are_repeated():
    async def main():
        leader = Leader()
        leader.lose_first(0.04)
        leader.write("page/j-000009/1", {})
        leader.record_writer.garbage["page/j-000009/1"] = None
        leader.record_writer.wake.set()
        await leader.write_for(0.2)
        assert not leader.record_writer.garbage
        assert "page/j-000009/1" not in leader.service.keys

    run(main())


class FreePeer:
    """One peer, which is free of lease grants."""

    async def pre_vote(self, _question, _timeout):
        return PeerAnswers(1, 1)


class SilentHost:
    """A controller that does nothing when leadership changes."""

    def leadership_changed(self):
        pass


@pytest.mark.parametrize("own", [True, False])
def test_only_the_own_lease_proves_an_election(own):
    """A transaction of an earlier process of the same member puts the same key there."""

    async def main():
        store = Store()

        span = timedelta(seconds=20)
        elector = Elector(
            ElectionContext(
                "node",
                store.client,
                store.clock,
                store.rng,
                LeaseLimits(timedelta(seconds=3), span, span),
                FreePeer(),
                SilentHost(),
                ConfirmedCancellations(ZERO),
            )
        )
        elector.voter.restart_wait_until = ZERO
        campaign = asyncio.ensure_future(elector._campaign())
        if own:
            store.delay(0.0)
            await asyncio.sleep(0.2)
            assert elector.leading_term() is not None
        else:
            store.delay(60.0)
            asyncio.get_running_loop().call_later(
                0.02, store.write, "leader", {"member": "node", "epoch": 1}
            )
            await asyncio.sleep(1.4)
            assert elector.term is None
        campaign.cancel()

    run(main())
