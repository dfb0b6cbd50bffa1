"""The invariants learn from simulated users when each request was sent."""

import asyncio

import pytest

from dappledrum.http.client import Reply
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run

NAME = "j-000001"
PENDING = Reply(200, b'{"id":"j-000001","stance":"pending"}')
CANCELLED = Reply(200, b'{"id":"j-000001","stance":"cancelled"}')


@pytest.mark.parametrize("question", ["poll", "submission"])
def test_an_answer_is_judged_by_the_time_at_which_its_request_was_sent(question):
    """A request sent before a cancellation may still be answered with the earlier state, a later
    one may not. Here all requests but cancellations take a second and get the earlier state."""

    async def ask(_method, path, _body=None, _member=None):
        if path.endswith("/cancel"):
            return CANCELLED
        await asyncio.sleep(1)
        return PENDING

    async def main():
        cluster = SimulatedCluster()
        cluster._request = ask

        def start_request():
            asked = cluster.poll(NAME) if question == "poll" else cluster.submit(job(1))
            return asyncio.ensure_future(asked)

        await cluster.submit(job(1))
        pending_request = start_request()
        await asyncio.sleep(0.5)
        await cluster.cancel(NAME)
        await pending_request
        assert not cluster.rules.broken
        await start_request()
        assert "went_back" in cluster.rules.broken[0]

    run(main())
