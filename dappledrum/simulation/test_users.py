"""The world's users tell the rules when their questions began."""

import asyncio

import pytest

from dappledrum.http.client import Reply
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

NAME = "j-000001"
PENDING = Reply(200, b'{"id":"j-000001","stance":"pending"}')
CANCELLED = Reply(200, b'{"id":"j-000001","stance":"cancelled"}')


@pytest.mark.parametrize("question", ["poll", "submission"])
def test_an_older_answer_counts_by_when_its_question_began(question):
    """All but cancellations take a second, and are answered as before the cancellation."""

    async def ask(_method, path, _body=None, _member=None):
        if path.endswith("/cancel"):
            return CANCELLED
        await asyncio.sleep(1)
        return PENDING

    async def main():
        cluster = SimulatedCluster()
        cluster._request = ask

        def begin():
            asked = cluster.poll(NAME) if question == "poll" else cluster.submit(job(1))
            return asyncio.ensure_future(asked)

        await cluster.submit(job(1))
        on_its_way = begin()
        await asyncio.sleep(0.5)
        await cluster.cancel(NAME)
        await on_its_way
        assert not cluster.rules.broken
        await begin()
        assert "went_back" in cluster.rules.broken[0]

    run(main())
