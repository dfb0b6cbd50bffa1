"""Answers about waiting jobs over drawn graphs and records, and the requests that they cost."""

import asyncio
import json
import random

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.keys import ended_key, head_key, spec_key
from dappledrum.jobs.messages import EndedRecord, JobRecord, Outcome, PageRecord, Spec
from dappledrum.jobs.value_parts import split_spec
from dappledrum.settings import CloudLimits, Params, StoreLimits, Team, WorkerLimits
from dappledrum.simulation.cluster import TYPES, job
from dappledrum.simulation.key_value_store import KeyValueStore
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.user_api.job_api import JobApi

MAX_JOBS = 24


def name(number):
    return f"j-{number:06d}"


class Link:
    """A connection to the store that counts requests, and refuses some."""

    def __init__(self, store, refused):
        self.store = store
        self.refused = list(refused)
        self.requests = 0

    async def request(self, method, path, body, timeout):
        self.requests += 1
        refuse = self.refused.pop(0) if self.refused else False
        return await self.store("refused" if refuse else "controller", method, path, body or b"")


class StoredJobs:
    """Jobs in a store, and what must be said of them."""

    def __init__(self, rps=10_000.0):
        self.store = KeyValueStore()
        self.store.refused.add("refused")
        self.limits = StoreLimits(rps, 100.0, 8.0, 24)
        self.needs = {}
        self.cancelled = set()

    def controller(self, refused=()):
        """The interface for users of a controller that remembers nothing; returns its link too."""
        clock, link = Clock(), Link(self.store, refused)
        params = Params([Team("blue")], WorkerLimits(1, 9, 30), self.limits, CloudLimits(1, 4))
        job_api = JobApi(StoreClient(link, self.limits, clock, random.Random(1)), params, clock)
        job_api.types = msgspec.convert(TYPES, list[MachineType])
        return job_api, link

    def spec(self, number):
        sent = job(number, waitsOn=[name(need) for need in self.needs[number]] or None)
        del sent["runS"]
        return sent

    def add(self, number, needs=(), part_bytes=None):
        """Store a live job that no task of has started."""
        self.needs[number] = list(needs)
        spec, parts = msgspec.convert(self.spec(number), Spec), []
        if part_bytes is not None:
            spec, parts = split_spec(spec, part_bytes)
        record = JobRecord(spec, 1_764_000_000_000, 16, PageRecord(), spec_parts=len(parts))
        self.write(head_key(name(number)), record)
        for at, part in enumerate(parts):
            self.write(spec_key(name(number), at), part)

    def write(self, key, value):
        put = {"write": key, "value": json.loads(msgspec.json.encode(value))}
        assert self.store.run_transaction({"guards": [], "then": [put]}).status == 200

    def cancel(self, number):
        """Mark a live job as cancelled."""
        entry = self.store.keys.get(head_key(name(number)))
        if entry is not None:
            self.write(head_key(name(number)), entry[0] | {"cancelled": True})
            self.cancelled.add(number)

    def change(self, number):
        """Give a live job a new version."""
        entry = self.store.keys.get(head_key(name(number)))
        if entry is not None:
            self.write(head_key(name(number)), entry[0])

    def end(self, number):
        """Store the final state of a job; it is done if all before it is, and is not cancelled."""
        if head_key(name(number)) not in self.store.keys:
            return
        is_cancelled = self.is_cancelled(number)
        waits = any(head_key(name(need)) in self.store.keys for need in self.needs[number])
        if is_cancelled or not waits:
            outcome = Outcome.CANCELLED if is_cancelled else Outcome.DONE
            removed = [{"remove": key} for key in self.store.keys if self._is_part(key, number)]
            removed.append({"remove": head_key(name(number))})
            self.store.run_transaction({"guards": [], "then": removed})
            self.write(ended_key(name(number)), EndedRecord(outcome, 4))

    @staticmethod
    def _is_part(key, number):
        return key.startswith(spec_key(name(number), 0)[:-1])

    def is_cancelled(self, number):
        seen, stack = {number}, [number]
        while stack:
            at = stack.pop()
            if at in self.cancelled:
                return True
            stack += [need for need in self.needs[at] if need not in seen]
            seen.update(self.needs[at])
        return False

    def state(self, number):
        """What must be answered about a job."""
        if self.is_cancelled(number):
            return "cancelled"
        return "pending" if head_key(name(number)) in self.store.keys else "done"


async def poll(job_api, number):
    """Return the state in the answer; None for 503."""
    reply = await job_api.poll(name(number))
    assert reply.status in (200, 503), reply
    return json.loads(reply.body)["stance"] if reply.status == 200 else None


#: Each job waits for some of those before it: distances to them. The second: its list is in parts.
graphs = st.lists(
    st.tuples(st.lists(st.integers(1, 5), max_size=3, unique=True), st.booleans()),
    min_size=1,
    max_size=MAX_JOBS,
)
numbers = st.integers(0, MAX_JOBS - 1)
steps = st.lists(
    st.tuples(st.sampled_from(["cancel", "end", "change", "restart", "submit"]), numbers)
    | st.tuples(st.just("poll"), st.lists(numbers, min_size=1, max_size=MAX_JOBS)),
    max_size=14,
)
refusals = st.lists(st.booleans(), max_size=20)


async def check_steps(graph, drawn_steps, drawn_refusals):
    stored = StoredJobs()
    for number, (distances, in_parts) in enumerate(graph):
        needs = [number - d for d in distances if d <= number]
        stored.add(number, needs, 200 if in_parts else None)
    job_api, _ = stored.controller(drawn_refusals)
    unanswered = 0
    for step, argument in [*drawn_steps, ("poll", list(range(len(graph))))]:
        if step == "restart":
            job_api, _ = stored.controller()
        elif step == "poll":
            polled = [number for number in argument if number < len(graph)]
            states = await asyncio.gather(*(poll(job_api, number) for number in polled))
            for number, state in zip(polled, states, strict=True):
                assert state in (None, stored.state(number))
                unanswered += state is None
            await asyncio.sleep(2)
        elif argument < len(graph):
            if step == "submit":
                body = json.dumps(stored.spec(argument)).encode()
                reply = await job_api.submit(body)
                assert reply.status in (200, 503)
                state = json.loads(reply.body).get("stance")
                assert state in (None, stored.state(argument))
            else:
                getattr(stored, step)(argument)
    assert any(drawn_refusals) or not unanswered


@settings(max_examples=150, derandomize=True, deadline=None)
@given(graphs, steps, refusals)
def test_answers_about_waiting_jobs_say_what_all_records_say(graph, drawn_steps, drawn_refusals):
    """Invariant: a job is called cancelled if a job before it is, and pending only if none is,
    whatever the controller remembers; if the store refuses a request, 503 may be answered."""
    run(check_steps(graph, drawn_steps, drawn_refusals))


async def requests_of(stored, number, change=None):
    """Requests of a poll of a job at a controller that remembers nothing, of the next one, and of
    one after a job was changed."""
    job_api, link = stored.controller()
    counts = []
    for changed in (None, None, change):
        if changed is not None:
            stored.change(changed)
        link.requests = 0
        assert await poll(job_api, number) == "pending"
        counts.append(link.requests)
        await asyncio.sleep(1)
    return counts


LIVE_JOBS = 3_000
SCAN_REQUESTS = -(-LIVE_JOBS // 500)  # pages of the list of all live jobs
PARTS_OF_900 = 3  # that list the dependencies of a job with 900
CHAIN_START, FAN_START = 1_000, 2_000


@pytest.mark.parametrize(
    ("depth", "width", "first", "next_one", "after_change"),
    [
        (0, 0, 1, 1, 1),
        (1, 0, 2, 1, 2),
        (3, 0, 4, 1, 2),
        (24, 0, 5 + SCAN_REQUESTS, 1, 2),
        (0, 90, 1 + SCAN_REQUESTS, 1, 2),
        (0, 300, 1 + SCAN_REQUESTS, 4, 5),
        (0, 900, 1 + PARTS_OF_900 + SCAN_REQUESTS, 1 + SCAN_REQUESTS, 1 + SCAN_REQUESTS),
    ],
)
async def test_requests_for_a_poll_by_depth_and_width(depth, width, first, next_one, after_change):
    """With thousands of live jobs; a job that waits for none costs one read. In a chain as in a
    fan, further polls compare versions, up to 96 in a request, or read the list of live jobs."""
    stored = StoredJobs()
    for number in range(LIVE_JOBS):
        in_chain = CHAIN_START < number <= CHAIN_START + depth
        stored.add(number, [number - 1] if in_chain else ())
    polled = CHAIN_START + depth
    if width:
        polled = LIVE_JOBS - 1
        part_bytes = 4_000 if width > 500 else None
        stored.add(polled, range(FAN_START, FAN_START + width), part_bytes)
    first_change = FAN_START if width else CHAIN_START
    counts = await requests_of(stored, polled, first_change)
    assert counts == [first, next_one, after_change]


async def test_final_states_of_many_jobs_are_read_together():
    """A job waits for 300 that are done, among thousands of others, after a restart."""
    stored = StoredJobs()
    for number in range(LIVE_JOBS):
        stored.add(number)
        stored.end(number)
    stored.add(LIVE_JOBS, range(100, 400))
    assert await requests_of(stored, LIVE_JOBS) == [1 + 1 + 2, 1, 1]


async def test_a_batch_of_polls_of_a_pipeline_costs_one_request():
    stored = StoredJobs()
    for number in range(60):
        stored.add(number, [number - 1] if number else ())
    job_api, link = stored.controller()
    for expected in (1, 1):
        link.requests = 0
        answers = await asyncio.gather(*(poll(job_api, number) for number in range(60)))
        assert set(answers) == {"pending"}
        assert link.requests == expected
    stored.cancel(0)
    link.requests = 0
    answers = await asyncio.gather(*(poll(job_api, number) for number in range(60)))
    assert set(answers) == {"cancelled"}
    assert link.requests == 2
    answers = await asyncio.gather(*(poll(job_api, number) for number in range(1, 60)))
    assert set(answers) == {"cancelled"}
    assert link.requests == 2  # what is known to be cancelled stays so


async def test_polls_that_would_exceed_the_rate_are_refused_at_once():
    """Guards against polls of long chains that use up the rate of the store, or wait beyond the
    2 s that users wait."""
    stored = StoredJobs(rps=20.0)
    for number in range(400):
        stored.add(number, [number - 1] if number else ())
    job_api, link = stored.controller()
    began = asyncio.get_running_loop().time()
    for number in range(300, 400):
        before = asyncio.get_running_loop().time()
        await poll(job_api, number)
        assert asyncio.get_running_loop().time() - before < 2.0
    elapsed = asyncio.get_running_loop().time() - began
    assert link.requests <= 20.0 * 0.2 * (elapsed + 1) + 1  # of its share, with a burst


async def test_a_cancelled_job_that_has_run_keeps_its_number_of_done_tasks():
    """Guards against an answer with fewer done tasks than an earlier one: the controller that
    cancelled the job remembered only that it once waited (drawn pair 5038)."""
    stored = StoredJobs()
    stored.add(1)
    stored.add(2, [1])
    job_api, _ = stored.controller()
    assert await poll(job_api, 2) == "pending"
    stored.end(1)
    head = stored.store.keys[head_key(name(2))][0]
    stored.write(head_key(name(2)), head | {"done": 2, "running": 1, "begun_ms": 1})
    assert (await job_api.cancel(name(2))).status == 200
    reply = await job_api.poll(name(2))
    assert json.loads(reply.body) == {
        "id": name(2),
        "stance": "cancelled",
        "done": 2,
        "running": 1,
    }
