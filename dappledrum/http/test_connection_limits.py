"""Who has to go, against a plain order, and real sockets after a pause."""

import asyncio
import select
import socket
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.controller.sockets import share_sockets
from dappledrum.http.client import Client
from dappledrum.http.connection_limits import (
    RESERVED_SHARE,
    Role,
    max_workers,
    to_shed,
    to_shed_for_worker,
)
from dappledrum.http.server import ACCEPTED, Response, Server
from dappledrum.http.test_http import SECOND, echo


@dataclass
class Place:
    role: Role
    idle: bool
    since: float


places = st.lists(
    st.builds(Place, st.sampled_from(Role), st.booleans(), st.integers(0, 20).map(float)),
    max_size=8,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(places)
def test_the_idle_go_in_the_order_of_their_roles(connections):
    now = 20.0
    plainly = [
        [s for s in connections if s.idle and s.role is Role.NEW and s.since <= now - 2],
        [s for s in connections if s.idle and s.role is Role.WORKER],
        [s for s in connections if s.idle and s.role is Role.NEW and s.since > now - 2],
        [s for s in connections if s.idle and s.role is Role.USER],
    ]
    first = next((group for group in plainly if group), None)
    shed = to_shed(connections, now)
    if first is None:
        assert shed is None
    else:
        assert shed in first and shed.since == min(s.since for s in first)
    worker = to_shed_for_worker(connections)
    assert (worker is None) == (not plainly[1])
    assert worker is None or worker in plainly[1]


def test_workers_never_take_the_places_of_users():
    most = 2 * RESERVED_SHARE
    held = asyncio.Event()

    async def handler(request):
        if request.path == "/hello":
            await held.wait()
        return Response(200)

    async def main():
        server = Server(handler, most)
        port = await server.start("127.0.0.1", 0)
        workers = [
            asyncio.create_task(Client("127.0.0.1", port).request("POST", "/hello", b"", SECOND))
            for _ in range(most)
        ]
        await asyncio.sleep(0.2)
        assert server.workers == max_workers(most) < most
        user = Client("127.0.0.1", port)
        assert (await user.request("GET", "/ready", None, SECOND)).status == 200
        held.set()
        told = [reply.status for reply in await asyncio.gather(*workers)]
        assert told.count(503) == most - max_workers(most) and told.count(200) == len(
            told
        ) - told.count(503)
        await server.stop()
        assert server.workers == 0 and not server.connections

    asyncio.run(main())


def test_what_came_during_a_pause_is_taken_little_by_little():
    """A process that had stood still once accepted all that waited before it saw that those
    before were over, and had no socket left."""

    async def main():
        server = Server(echo, 40)
        port = await server.start("127.0.0.1", 0)
        most = 0
        for _ in range(5):
            # Nobody gets a turn here, as in a pause: these come, and have ended when it is over.
            left = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
            for one in left:
                one.close()
        for _ in range(200):
            most = max(most, len(server.connections))
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        assert most <= 2 * ACCEPTED and not server.connections
        assert (await Client("127.0.0.1", port).request("GET", "/x", None, SECOND)).status == 200
        await server.stop()

    asyncio.run(main())


def test_a_worker_sent_elsewhere_leaves_no_connection():
    async def main():
        async def elsewhere(request):
            return Response(421, b"{}", close=True)

        server = Server(elsewhere, 10)
        port = await server.start("127.0.0.1", 0)
        reply = await Client("127.0.0.1", port).request("POST", "/hello", b"", SECOND)
        await asyncio.sleep(0.05)
        assert reply.status == 421 and not server.connections and server.workers == 0
        await server.stop()

    asyncio.run(main())


def test_what_waits_to_be_accepted_is_bounded():
    """A process that stands still accepts nothing, and what waits counts among its sockets."""

    async def main():
        server = Server(echo, 40, waiting=4)
        port = await server.start("127.0.0.1", 0)
        asked = []
        for _ in range(30):  # nobody gets a turn here, as in a pause
            one = socket.socket()
            one.setblocking(False)
            one.connect_ex(("127.0.0.1", port))
            asked.append(one)
        _, connected, _ = select.select([], asked, [], 0.2)
        assert 0 < len(connected) <= 4 + 1  # the system takes one more
        for one in asked:
            one.close()
        await server.stop()

    asyncio.run(main())


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(64, 5_000), st.integers(0, 8))
def test_sockets_are_shared_out_and_never_more_than_there_are(most, peers):
    shares = share_sockets(most, peers)
    assert sum(shares) == most and all(share >= 1 for share in shares)
    assert shares.public >= most // 3
