"""Golden bytes of requests to the store and of its replies."""

import random
from datetime import timedelta

import msgspec
import pytest

from dappledrum.golden.entries import load
from dappledrum.golden.recording_caller import RecordingCaller, as_sent
from dappledrum.settings import StoreLimits
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import (
    CompactedError,
    ConflictError,
    LeaseLostError,
    RefusedError,
    TooLargeError,
)
from dappledrum.store.messages import Delete, Entry, Event, Guard, Put, encode_value
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.timing.clock import Clock

GOLDEN = load("state_service")
VALUE = msgspec.Raw(b'{"member":"drummer-1","epoch":7}')


def read_key(store):
    return store.get("job/j-000007", RequestPriority.RECORD)


def scan(store):
    return store.scan("job/", RequestPriority.RECORD)


def commit(store):
    return store.commit(
        [Guard(key="leader", version=0), Guard(key="epoch", version=412)],
        [
            Put(key="leader", value=VALUE, lease=7),
            Put(key="epoch", value=encode_value({"epoch": 7})),
            Delete(key="page/j-000007/1"),
        ],
        RequestPriority.RECORD,
    )


def compare_versions(store):
    return store.commit([Guard(key="job/j-000007", version=412)], [], RequestPriority.POLL)


def open_lease(store):
    return store.open_lease(timedelta(seconds=5))


def renew_lease(store):
    return store.renew_lease(7, timedelta(seconds=1))


def close_lease(store):
    return store.close_lease(7)


def watch(store):
    return store.watch("job/", 431, timedelta(seconds=10), RequestPriority.RECORD)


FOUND = Entry(key="job/j-000007", value=msgspec.Raw(b'{"a":1}'), version=412, lease=7)
LISTED = [
    Entry(key="job/j-000007", value=msgspec.Raw(b'{"a":1}'), version=412),
    Entry(key="job/j-000008", value=msgspec.Raw(b'{"b":2}'), version=413),
    Entry(key="job/j-000009", value=msgspec.Raw(b'{"c":3}'), version=414),
]
CHANGES = [
    Event(put="job/j-000009", value=msgspec.Raw(b'{"c":3}'), version=433),
    Event(delete="job/j-000007", version=432),
]
#: The call, the entries that it sends and receives, and its result or error.
EXCHANGES = [
    (read_key, ["read-key"], ["key-found"], FOUND),
    (read_key, ["read-key"], ["key-missing"], None),
    (read_key, ["read-key"], ["outage"], RefusedError),
    (scan, ["list-keys", "list-further-keys"], ["listed", "listed-last"], (LISTED, 431)),
    (commit, ["transaction"], ["transaction-done"], 432),
    (commit, ["transaction"], ["conflict"], ConflictError),
    (commit, ["transaction"], ["transaction-without-lease"], LeaseLostError),
    (commit, ["transaction"], ["transaction-too-large"], TooLargeError),
    (compare_versions, ["transaction-that-compares"], ["transaction-done"], 432),
    (open_lease, ["open-lease"], ["lease-opened"], 7),
    (renew_lease, ["renew-lease"], ["lease-renewed"], None),
    (renew_lease, ["renew-lease"], ["lease-missing"], LeaseLostError),
    (close_lease, ["close-lease"], ["lease-closed"], None),
    (watch, ["watch"], ["changes"], (CHANGES, 433)),
    (watch, ["watch"], ["no-changes"], ([], 431)),
    (watch, ["watch"], ["watch-too-old"], CompactedError),
]
CHECKED_IN_TEST_STORE = {"write-gangs"}


def test_each_entry_is_covered():
    used = {name for _, sent, replies, _ in EXCHANGES for name in (*sent, *replies)}
    assert set(GOLDEN) == used | CHECKED_IN_TEST_STORE


@pytest.mark.parametrize(
    ("call", "sent", "replies", "expected"),
    EXCHANGES,
    ids=[f"{sent[0]}-{replies[0]}" for _, sent, replies, _ in EXCHANGES],
)
async def test_calls_send_the_golden_requests_and_read_the_golden_replies(
    call, sent, replies, expected
):
    caller = RecordingCaller(GOLDEN[name] for name in replies)
    limits = StoreLimits(rps=200.0, write_rps=100.0, value_kb=8.0, txn_ops=24)
    store = StoreClient(caller, limits, Clock(), random.Random(1))
    if isinstance(expected, type):
        with pytest.raises(expected) as caught:
            await call(store)
        if expected is ConflictError:
            assert caught.value.conflicting_keys == ["leader", "epoch"]
    else:
        assert await call(store) == expected
    assert caller.sent == [as_sent(GOLDEN[name]) for name in sent]
