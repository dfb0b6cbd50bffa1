"""Golden bytes of whole HTTP requests and responses, including their headers."""

import asyncio

import pytest

from dappledrum.golden.entries import load
from dappledrum.http.client import PooledClient, Reply
from dappledrum.http.messages import Response, encode_response
from dappledrum.timing.clock import seconds

GOLDEN = load("http")

REQUESTS = {
    "request-without-body": ("GET", "/keys/leader", None),
    "request-with-body": ("POST", "/multi", b'{"guards":[],"then":[]}'),
}
RESPONSES = {
    "response": (Response(200, b'{"a":1}'), True),
    "response-with-retry-after": (Response(503, b'{"error":"try again"}', retry_after=2), True),
    "response-that-closes": (Response(421, b'{"conductor":"drummer-2"}', close=True), False),
    "response-in-cbor": (Response(200, b"\xa0", content_type="application/cbor"), True),
    "response-without-body": (Response(404), True),
}


def test_each_entry_is_covered():
    assert set(GOLDEN) == {*REQUESTS, *RESPONSES}


@pytest.mark.parametrize("name", RESPONSES)
def test_responses_are_encoded_as_the_golden_bytes(name):
    response, keep_alive = RESPONSES[name]
    assert encode_response(response, keep_alive) == GOLDEN[name].data


@pytest.mark.parametrize("name", REQUESTS)
def test_clients_send_the_golden_requests(name):
    """The request goes over a real socket; the golden bytes have port 9000."""
    received = bytearray()

    async def serve(reader, writer):
        received.extend(await reader.readuntil(b"\r\n\r\n"))
        received.extend(await reader.readexactly(len(REQUESTS[name][2] or b"")))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}")
        writer.close()

    async def exchange():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        reply = await PooledClient("127.0.0.1", port).request(*REQUESTS[name], seconds(5))
        server.close()
        return port, reply

    port, reply = asyncio.run(exchange())
    assert reply == Reply(200, b"{}")
    assert bytes(received).replace(b":%d\r\n" % port, b":9000\r\n") == GOLDEN[name].data
