"""Which connection is dropped, compared with a plain reimplementation, and the limits of a server
with real sockets."""

import asyncio
import select
import socket
from dataclasses import dataclass

from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.controller.sockets import share_sockets
from dappledrum.http.client import PooledClient
from dappledrum.http.connection_limits import (
    RESERVED_DIVISOR,
    Role,
    idle_connection_to_drop,
    idle_worker_to_drop,
    max_worker_connections,
)
from dappledrum.http.messages import Response
from dappledrum.http.server import ACCEPT_BATCH, Server
from dappledrum.http.test_http import TIMEOUT, echo


@dataclass
class FakeConnection:
    """Properties of a connection that decide the order."""

    role: Role
    idle: bool
    since: float


connection_lists = st.lists(
    st.builds(FakeConnection, st.sampled_from(Role), st.booleans(), st.integers(0, 20).map(float)),
    max_size=8,
)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(connection_lists)
def test_idle_connections_are_dropped_in_the_order_of_their_roles(connections):
    now = 20.0
    idle = [c for c in connections if c.idle]
    drop_order = [
        [c for c in idle if c.role is Role.NEW and c.since <= now - 2],
        [c for c in idle if c.role is Role.WORKER],
        [c for c in idle if c.role is Role.NEW and c.since > now - 2],
        [c for c in idle if c.role is Role.USER],
    ]
    first = next((group for group in drop_order if group), None)
    dropped = idle_connection_to_drop(connections, now)
    if first is None:
        assert dropped is None
    else:
        assert dropped in first
        assert dropped.since == min(c.since for c in first)
    worker = idle_worker_to_drop(connections)
    assert (worker is None) == (not drop_order[1])
    assert worker is None or worker in drop_order[1]


def test_workers_never_use_the_connections_reserved_for_users():
    limit = 2 * RESERVED_DIVISOR
    release_workers = asyncio.Event()

    async def handler(request):
        if request.path == "/hello":
            await release_workers.wait()
        return Response(200)

    async def main():
        server = Server(handler, limit)
        port = await server.start("127.0.0.1", 0)
        workers = [
            asyncio.create_task(
                PooledClient("127.0.0.1", port).request("POST", "/hello", b"", TIMEOUT)
            )
            for _ in range(limit)
        ]
        await asyncio.sleep(0.2)
        assert server.connections.worker_count == max_worker_connections(limit) < limit
        user = PooledClient("127.0.0.1", port)
        assert (await user.request("GET", "/ready", None, TIMEOUT)).status == 200
        release_workers.set()
        statuses = [reply.status for reply in await asyncio.gather(*workers)]
        refused = limit - max_worker_connections(limit)
        assert statuses.count(503) == refused
        assert statuses.count(200) == limit - refused
        await server.stop()
        assert server.connections.worker_count == 0
        assert not server.connections

    asyncio.run(main())


def test_connections_made_during_a_pause_are_accepted_in_batches():
    """A process that resumes after a pause must not accept all waiting connections before it
    notices that earlier ones have been closed: it would run out of sockets."""

    async def main():
        server = Server(echo, 40)
        port = await server.start("127.0.0.1", 0)
        max_open = 0
        for _ in range(5):
            # The event loop does not run meanwhile, as in a pause: when it runs again, these
            # have been opened and closed.
            abandoned = [socket.create_connection(("127.0.0.1", port)) for _ in range(30)]
            for connection in abandoned:
                connection.close()
        for _ in range(200):
            max_open = max(max_open, len(server.connections))
            await asyncio.sleep(0)
        await asyncio.sleep(0.1)
        assert max_open <= 2 * ACCEPT_BATCH
        assert not server.connections
        assert (
            await PooledClient("127.0.0.1", port).request("GET", "/x", None, TIMEOUT)
        ).status == 200
        await server.stop()

    asyncio.run(main())


def test_the_connection_of_a_redirected_worker_is_closed():
    async def main():
        async def redirect(_request):
            return Response(421, b"{}", close=True)

        server = Server(redirect, 10)
        port = await server.start("127.0.0.1", 0)
        reply = await PooledClient("127.0.0.1", port).request("POST", "/hello", b"", TIMEOUT)
        await asyncio.sleep(0.05)
        assert reply.status == 421
        assert not server.connections
        assert server.connections.worker_count == 0
        await server.stop()

    asyncio.run(main())


def test_the_accept_queue_is_bounded():
    """While a process is paused, connections wait in the accept queue, and each of them counts
    towards the limit of sockets."""

    async def main():
        server = Server(echo, 40, accept_queue=4)
        port = await server.start("127.0.0.1", 0)
        clients = []
        for _ in range(30):  # the event loop does not run meanwhile, as in a pause
            client = socket.socket()
            client.setblocking(False)
            client.connect_ex(("127.0.0.1", port))
            clients.append(client)
        _, connected, _ = select.select([], clients, [], 0.2)
        assert 0 < len(connected) <= 4 + 1  # the kernel queues one more than the limit
        for client in clients:
            client.close()
        await server.stop()

    asyncio.run(main())


@settings(max_examples=200, derandomize=True, deadline=None)
@given(st.integers(64, 5_000), st.integers(0, 8))
def test_shares_of_the_sockets_add_up_to_the_limit(limit, peers):
    shares = share_sockets(limit, peers)
    assert sum(shares) == limit
    assert all(share >= 1 for share in shares)
    assert shares.public >= limit // 3
