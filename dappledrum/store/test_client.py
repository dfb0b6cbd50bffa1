"""Budgets, and what each kind of failure is taken for."""

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


def test_a_budget_keeps_the_rate_and_its_reserves():
    budget = RateLimiter(10, ZERO)
    taken = 0
    now = ZERO
    for step in range(10_000):
        now = seconds(step / 1000)
        if budget.delay(1, RequestPriority.POLL, now) == ZERO:
            budget.consume(1, now)
            taken += 1
    assert 100 <= taken <= 110
    assert budget.delay(1, RequestPriority.SUBMISSION, now) == ZERO
    assert budget.delay(1, RequestPriority.LEASE, now) == ZERO
    assert budget.delay(1, RequestPriority.POLL, now) > ZERO


class Canned:
    """A service that answers with what it is given."""

    def __init__(self, answer):
        self.answer = answer
        self.paths = []

    async def request(self, method, path, body, timeout):
        self.paths.append(path)
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


ANSWERS = [
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


@pytest.mark.parametrize(("answer", "error"), ANSWERS)
def test_failures_of_a_transaction(answer, error):
    async def main():
        state = StoreClient(
            Canned(answer), StoreLimits(100, 100, 8, 24), Clock(), random.Random(1)
        )
        with pytest.raises(error):
            await state.commit(
                [Guard("a", 0)], [Put("a", encode_value(1))], RequestPriority.RECORD
            )

    run(main())


def test_a_404_that_is_not_the_services_proves_nothing():
    async def main():
        state = StoreClient(
            Canned(Reply(404, b"<html>")), StoreLimits(100, 100, 8, 24), Clock(), random.Random(1)
        )
        with pytest.raises(UnknownOutcomeError):
            await state.get("job/j-1", RequestPriority.POLL)
        state.transport.http_client = Canned(Reply(404, b'{"tally":3}'))
        assert await state.get("job/j-1", RequestPriority.POLL) is None
        state.transport.http_client = Canned(Reply(410, b"{}"))
        with pytest.raises(CompactedError):
            await state.watch("job/", 1, ZERO, RequestPriority.POLL)

    run(main())


def test_trouble_is_known_after_failures_and_over_after_an_answer():
    async def main():
        caller = Canned(Reply(503, b"{}"))
        state = StoreClient(caller, StoreLimits(100, 100, 8, 24), Clock(), random.Random(1))
        for _ in range(3):
            with pytest.raises(RefusedError):
                await state.get("x", RequestPriority.RECORD)
            await asyncio.sleep(0.4)
        assert state.availability.is_failing()
        caller.answer = Reply(200, b'{"tally":1,"events":[]}')
        await state.watch("x", 1, timedelta(seconds=1), RequestPriority.RECORD)
        assert state.availability.is_failing()  # an open watch may end in an outage, too
        caller.answer = Reply(404, b'{"tally":1}')
        await state.get("x", RequestPriority.RECORD)
        assert not state.availability.is_failing()

    run(main())
