"""Submissions that share a transaction."""

import asyncio
import random

import pytest

from dappledrum.settings import StoreLimits
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import TooLargeError
from dappledrum.store.messages import Put, encode_value
from dappledrum.timing.clock import Clock
from dappledrum.user_api.submission_batcher import SubmissionBatcher


class SmallStore(StoreClient):
    """A store that refuses values of more than 100 bytes, and accepts all others."""

    def __init__(self):
        super().__init__(None, StoreLimits(100, 100, 8, 24), Clock(), random.Random(1))

    async def commit(self, guards, changes, priority, timeout=None):
        if any(len(bytes(change.value)) > 100 for change in changes):
            raise TooLargeError("the store refused a value")
        return 7


async def find_nothing(job, priority):
    return None


async def test_a_submission_that_is_too_large_fails_no_other():
    """Guards against 503 for users whose submissions share a transaction with one that the store
    refuses, and that is sent again and again."""
    batcher = SubmissionBatcher(SmallStore(), 24, find_nothing)
    values = {"j-1": "x", "j-2": "x" * 200, "j-3": "x"}
    submissions = [
        batcher.admit(job, [Put(f"job/{job}", encode_value(value))])
        for job, value in values.items()
    ]
    first, second, third = await asyncio.gather(*submissions, return_exceptions=True)
    assert (first, third) == (7, 7)
    with pytest.raises(TooLargeError):
        raise second
