"""Server and client over loopback sockets: limits, invalid requests and lost connections."""

import asyncio
from datetime import timedelta

import pytest

from dappledrum.http.client import NoResponseError, NotSentError, PooledClient
from dappledrum.http.connection import MAX_BODY_BYTES
from dappledrum.http.messages import Response
from dappledrum.http.server import Server

TIMEOUT = timedelta(seconds=5)


async def echo(request):
    if request.path == "/bad":
        raise ValueError("a bug")
    if request.path == "/slow":
        await asyncio.sleep(30)
    return Response(
        200, request.method.encode() + b" " + request.path.encode() + b" " + request.body, 7
    )


async def with_server(check, max_connections=50):
    server = Server(echo, max_connections)
    port = await server.start("127.0.0.1", 0)
    try:
        await check(server, port)
    finally:
        await server.stop()


async def send_raw(port, data):
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    response = await asyncio.wait_for(reader.read(), 5)
    writer.close()
    return response


def test_requests_of_a_client_share_a_connection():
    async def check(server, port):
        client = PooledClient("127.0.0.1", port)
        for body in (b"one", b"two", None):
            reply = await client.request("POST", "/x?y=1", body, TIMEOUT)
            assert (reply.status, reply.body) == (200, b"POST /x?y=1 " + (body or b""))
        assert len(server.connections) == 1

    asyncio.run(with_server(check))


@pytest.mark.logs_failure("GET /bad failed")
def test_a_failing_handler_and_a_closed_connection_affect_no_other_request():
    async def check(server, port):
        client = PooledClient("127.0.0.1", port)
        assert (await client.request("GET", "/bad", None, TIMEOUT)).status == 500
        for connection in list(server.connections):
            connection.abort()
        assert (await client.request("GET", "/x", None, TIMEOUT)).status == 200

    asyncio.run(with_server(check))


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (
            b"POST /x HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" + b"x" * (MAX_BODY_BYTES + 1),
            b"413",
        ),
        (b"GET /x HTTP/1.1\r\nA: " + b"x" * 70_000 + b"\r\n\r\n", b"431"),
        (b"GET /x HTTP/1.1\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n", b"200"),
        (b"GET /x HTTP/1.1\r\nConnection: close\r\n\r\n", b"200"),
    ],
)
def test_invalid_and_unusual_requests_are_answered(data, status):
    async def check(_server, port):
        assert status in (await send_raw(port, data))[:20]
        assert (
            await PooledClient("127.0.0.1", port).request("GET", "/x", None, TIMEOUT)
        ).status == 200

    asyncio.run(with_server(check))


def test_an_incomplete_request_expires_and_others_are_served():
    async def check(server, port):
        _, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"POST /x HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf")
        client = PooledClient("127.0.0.1", port)
        assert (await client.request("GET", "/x", None, TIMEOUT)).status == 200
        incomplete = next(c for c in server.connections if not c.idle)
        incomplete.deadline = 0.0
        await asyncio.sleep(1.3)
        assert incomplete not in server.connections
        writer.close()

    asyncio.run(with_server(check))


def test_at_the_limit_the_longest_idle_connection_is_dropped():
    async def check(server, port):
        idle = [await asyncio.open_connection("127.0.0.1", port) for _ in range(3)]
        assert (
            await PooledClient("127.0.0.1", port).request("GET", "/x", None, TIMEOUT)
        ).status == 200
        assert len(server.connections) <= 3
        for _, writer in idle:
            writer.close()

    asyncio.run(with_server(check, max_connections=3))


def test_no_response_and_not_sent_are_different_errors():
    async def check(server, port):
        client = PooledClient("127.0.0.1", port)
        with pytest.raises(NoResponseError) as caught:
            await client.request("POST", "/slow", b"", timedelta(seconds=0.2))
        assert not isinstance(caught.value, NotSentError)
        await server.stop()
        with pytest.raises(NotSentError):
            await PooledClient("127.0.0.1", port).request("POST", "/x", b"", TIMEOUT)

    asyncio.run(with_server(check))


def test_binding_waits_until_an_address_in_use_is_free():
    """When a controller is restarted at once, its previous process may not have ended yet."""

    async def check(predecessor, port):
        successor = Server(echo, 5)
        starting = asyncio.create_task(successor.start("127.0.0.1", port))
        await asyncio.sleep(0.2)
        assert not starting.done()
        await predecessor.stop()
        assert await starting == port
        assert (
            await PooledClient("127.0.0.1", port).request("GET", "/x", None, TIMEOUT)
        ).status == 200
        await successor.stop()

    asyncio.run(with_server(check))


def test_the_usage_of_connections_is_logged_when_they_become_scarce(caplog):
    async def check(server, port):
        opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(4)]
        assert (
            await PooledClient("127.0.0.1", port).request("GET", "/x", None, TIMEOUT)
        ).status == 200
        server.connections.log_usage()
        server.connections.log_usage()
        for _, writer in opened:
            writer.close()

    asyncio.run(with_server(check, max_connections=5))
    assert [message for message in caplog.messages if "connections in use" in message] == [
        "5 of 5 connections in use: new active=0 idle=4, worker active=0 idle=0,"
        " user active=0 idle=1"
    ]


def answer_to(number):
    return b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d" % number


@pytest.mark.parametrize(
    "split", [0, 1, 20, len(answer_to(1)) - 1], ids=["whole", "1 byte", "head", "all but 1 byte"]
)
def test_a_copy_of_an_answer_is_never_taken_for_the_answer_to_the_next_request(split):
    """Guards against a worker that gets the commands of another answer: a controller would pass on
    what a copy says to a heartbeat that it forwards. The copy arrives with the answer, or begins
    with it and ends with the next one."""

    async def main():
        requests = 0

        async def serve(reader, writer):
            nonlocal requests
            rest = b""
            while await reader.read(4096):
                requests += 1
                copy = answer_to(requests)
                writer.write(rest + answer_to(requests) + (copy[:split] if split else copy))
                rest = copy[split:] if split else b""
            writer.close()

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = PooledClient("127.0.0.1", port)
        for number in range(1, 4):
            reply = await client.request("GET", "/", None, TIMEOUT)
            assert reply.body == b"%d" % number
            await asyncio.sleep(0.01)
        client.close_idle()
        listener.close()
        await asyncio.sleep(0.02)

    asyncio.run(main())
