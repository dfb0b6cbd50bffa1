"""Rate limiting, classification of failures, and detection of an unavailable store."""

import asyncio
import random
from datetime import timedelta

import pytest

from dappledrum.http.client import NoResponseError, NotSentError, Reply
from dappledrum.settings import StoreLimits
from dappledrum.simulation.virtual_time import run
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import (
    CompactedError,
    ConflictError,
    LeaseLostError,
    RefusedError,
    TooLargeError,
    UnknownOutcomeError,
)
from dappledrum.store.messages import Guard, Put, encode_value
from dappledrum.store.rate_limiter import RateLimiter, RequestPriority
from dappledrum.timing.clock import ZERO, Clock, seconds


def test_the_rate_limiter_enforces_the_rate_and_reserves_tokens_for_higher_priorities():
    limiter = RateLimiter(10, ZERO)
    consumed = 0
    now = ZERO
    for step in range(10_000):
        now = seconds(step / 1000)
        if limiter.delay(1, RequestPriority.POLL, now) == ZERO:
            limiter.consume(1, now)
            consumed += 1
    assert 100 <= consumed <= 110
    assert limiter.delay(1, RequestPriority.SUBMISSION, now) == ZERO
    assert limiter.delay(1, RequestPriority.LEASE, now) == ZERO
    assert limiter.delay(1, RequestPriority.POLL, now) > ZERO


class StubHttpClient:
    """Returns the same reply for each request, or raises the same error."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.paths = []

    async def request(self, _method, path, _body, _timeout):
        self.paths.append(path)
        if isinstance(self.outcome, Exception):
            raise self.outcome
        return self.outcome


OUTCOMES = [
    (Reply(503, b"{}"), RefusedError),
    (Reply(429, b"{}"), RefusedError),
    (NotSentError("refused"), RefusedError),
    (NoResponseError("time"), UnknownOutcomeError),
    (Reply(500, b"{}"), UnknownOutcomeError),
    (Reply(200, b'{"tally":'), UnknownOutcomeError),
    (Reply(200, b'{"tally":"x"}'), UnknownOutcomeError),
    (Reply(200, b"\xff"), UnknownOutcomeError),
    (Reply(409, b'{"failed":["a"],"tally":3}'), ConflictError),
    (Reply(400, b'{"error":"no such lease"}'), LeaseLostError),
    (Reply(400, b'{"error":"malformed"}'), TooLargeError),
    (Reply(302, b"{}"), UnknownOutcomeError),
]


@pytest.mark.parametrize(("outcome", "error"), OUTCOMES)
def test_each_failure_of_a_transaction_raises_its_error(outcome, error):
    async def main():
        store = StoreClient(
            StubHttpClient(outcome), StoreLimits(100, 100, 8, 24), Clock(), random.Random(1)
        )
        with pytest.raises(error):
            await store.commit(
                [Guard("a", 0)], [Put("a", encode_value(1))], RequestPriority.RECORD
            )

    run(main())


def test_only_a_404_of_the_store_itself_proves_that_a_key_is_missing():
    async def main():
        store = StoreClient(
            StubHttpClient(Reply(404, b"<html>")),
            StoreLimits(100, 100, 8, 24),
            Clock(),
            random.Random(1),
        )
        with pytest.raises(UnknownOutcomeError):
            await store.get("job/j-1", RequestPriority.POLL)
        store.transport.http_client = StubHttpClient(Reply(404, b'{"tally":3}'))
        assert await store.get("job/j-1", RequestPriority.POLL) is None
        store.transport.http_client = StubHttpClient(Reply(410, b"{}"))
        with pytest.raises(CompactedError):
            await store.watch("job/", 1, ZERO, RequestPriority.POLL)

    run(main())


def test_the_store_counts_as_failing_until_a_request_is_served():
    async def main():
        http_client = StubHttpClient(Reply(503, b"{}"))
        store = StoreClient(http_client, StoreLimits(100, 100, 8, 24), Clock(), random.Random(1))
        for _ in range(3):
            with pytest.raises(RefusedError):
                await store.get("x", RequestPriority.RECORD)
            await asyncio.sleep(0.4)
        assert store.availability.is_failing()
        http_client.outcome = Reply(200, b'{"tally":1,"events":[]}')
        await store.watch("x", 1, timedelta(seconds=1), RequestPriority.RECORD)
        assert store.availability.is_failing()  # a watch may return during an outage
        http_client.outcome = Reply(404, b'{"tally":1}')
        await store.get("x", RequestPriority.RECORD)
        assert not store.availability.is_failing()

    run(main())
