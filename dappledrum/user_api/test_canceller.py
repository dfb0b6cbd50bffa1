"""Cancellations by a controller that doesn't lead, against a store with drawn limits, while a
leader writes the same head, and transactions are executed late."""

import asyncio
import json
import random

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.http.client import NoResponseError
from dappledrum.jobs.cancelled_head import cancelled_head
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key
from dappledrum.jobs.messages import JobRecord
from dappledrum.jobs.page_encoding import page_changes
from dappledrum.model.stored_heads import JOB, contents, heads
from dappledrum.settings import CloudLimits, NextLimits, Params, StoreLimits, Team, WorkerLimits
from dappledrum.simulation.key_value_store import KeyValueStore
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.timing.clock import Clock
from dappledrum.user_api.job_api import JobApi

CURRENT_KB = 8.0
MIN_KB = 1.0  # a head without lists and rows fits into it
TRIES = 12

limits = st.builds(
    StoreLimits,
    rps=st.just(200.0),
    write_rps=st.sampled_from([21.0, 100.0]),
    value_kb=st.just(CURRENT_KB),
    txn_ops=st.integers(4, 24),
    next=st.builds(
        NextLimits,
        value_kb=st.just(2.0) | st.just(MIN_KB) | st.floats(MIN_KB, CURRENT_KB),
        txn_ops=st.just(4) | st.just(8) | st.none(),
    ),
)
#: What happens right before each transaction: nothing, the leader writes the head, another
#: controller with other limits writes parts and crashes, or the transaction gets no answer and is
#: executed late, after as many others.
faults = st.lists(st.sampled_from([None, "leader", "crash", "late 1", "late 2"]), max_size=6)
OTHER_LIMIT = 0.9  # of the value size, by which the other controller splits


class RacingStore:
    """A connection to a store in memory, with faults, that checks the job after each change."""

    def __init__(self, record, store_limits, drawn_faults):
        self.limits = store_limits
        self.faults = list(drawn_faults)
        self.store = KeyValueStore()
        self.store.run_transaction(
            {"guards": [], "then": [{"write": head_key(JOB), "value": _builtins(record)}]}
        )
        self.store.value_bytes = store_limits.strictest().value_bytes
        self.store.txn_ops = store_limits.strictest().txn_ops
        self.expected = contents(self.values())
        self.late = []  # transactions, each with the number of others that precede it

    def values(self):
        return {key: msgspec.json.encode(entry[0]) for key, entry in self.store.keys.items()}

    async def request(self, method, path, body, timeout):
        if path != "/multi":
            return await self.store("controller", method, path, body or b"")
        self._execute_late()
        fault = self.faults.pop(0) if self.faults else None
        if fault == "leader":
            self._write_as_leader()
        elif fault == "crash":
            self._write_parts_and_crash()
        elif fault is not None:
            self.late.append([int(fault.split()[1]), body])
            raise NoResponseError("executed later")
        return self._execute(body)

    def _execute(self, body):
        reply = self.store.run_transaction(json.loads(body))
        assert contents(self.values()) == self.expected
        return reply

    def _execute_late(self):
        for transaction in list(self.late):
            transaction[0] -= 1
            if transaction[0] < 0:
                self.late.remove(transaction)
                self._execute(transaction[1])

    def _write_parts_and_crash(self):
        """Write the parts of a cancellation, but not the head."""
        record = msgspec.json.decode(self.values()[head_key(JOB)], type=JobRecord)
        maximum = self.store.value_bytes
        _, *parts = cancelled_head(record, maximum, int(maximum * OTHER_LIMIT))
        for part in parts:
            put = {"write": part.key, "value": json.loads(bytes(part.value))}
            self.store.run_transaction({"guards": [], "then": [put]})

    def _write_as_leader(self):
        """Write the head as the leader does, in parts if it is too large."""
        values = self.values()
        record = msgspec.json.decode(values[head_key(JOB)], type=JobRecord)
        if record.spec_parts or record.page.parts:
            return
        maximum = self.store.value_bytes
        changes = page_changes(Job(record, 1).page(0), maximum, maximum)
        self.store.txn_ops, txn_ops = 10_000, self.store.txn_ops
        puts = [{"write": c.key, "value": json.loads(bytes(c.value))} for c in changes]
        assert self.store.run_transaction({"guards": [], "then": puts}).status == 200
        self.store.txn_ops = txn_ops


def _builtins(record):
    return json.loads(msgspec.json.encode(record))


async def cancel_repeatedly(link):
    """Cancel as a user does, again and again; returns the statuses."""
    params = Params(
        [Team("b")], WorkerLimits(1, 11, 41), link.limits.strictest(), CloudLimits(1, 8)
    )
    clock = Clock()
    job_api = JobApi(StoreClient(link, params.state, clock, random.Random(1)), params, clock)
    statuses = []
    while len(statuses) < TRIES and 200 not in statuses:
        statuses.append(int((await job_api.cancel(JOB)).status))
        await asyncio.sleep(1)
    return statuses


@settings(max_examples=120, derandomize=True, deadline=None)
@given(heads(int(CURRENT_KB * 1024)), limits, faults)
def test_a_cancellation_is_answered_and_loses_nothing(record, store_limits, drawn_faults):
    """Invariant: a live job can be cancelled at any controller, whatever its head looks like and
    whatever the limits are, and at each moment the stored values say the same of it."""

    async def main():
        link = RacingStore(record, store_limits, drawn_faults)
        statuses = await cancel_repeatedly(link)
        assert statuses[-1] == 200, statuses
        assert json.loads(link.values()[head_key(JOB)])["cancelled"]
        # At most one refusal, which shows that the limit has dropped.
        assert link.store.too_large in ([], [head_key(JOB)])

    run(main())
