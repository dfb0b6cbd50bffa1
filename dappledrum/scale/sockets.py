"""The stand-ins' network over loopback TCP.

Offers what the stand-ins use of `simulation.network.Network`: `services`, `addresses` and
`caller`.
"""

import asyncio
from datetime import timedelta

from dappledrum.http.client import NoResponseError, PooledClient, Reply
from dappledrum.http.messages import Request, Response
from dappledrum.http.server import Server
from dappledrum.scale.messages import Traffic
from dappledrum.settings import split_address
from dappledrum.simulation.network import Service

MAX_CONNECTIONS = 20_000
HEAD_BYTES = 90  # of a request or answer, beside its path and body
REPORTS = "/hello"


def served(service: Service, source: str = "") -> Server:
    """A server that hands its requests to a stand-in; the sender's name is not known to it."""

    async def handle(request: Request) -> Response:
        reply = await service(source, request.method, request.path, request.body)
        return Response(reply.status, reply.body)

    return Server(handle, MAX_CONNECTIONS)


class SocketLink:
    """The client of one host for one other."""

    def __init__(self, network: "SocketNetwork", source: str, target: str) -> None:
        self.network = network
        self.source = source
        host, port = split_address(network.hosts[target])
        self.client = PooledClient(host, port, max_idle=1)

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request; raises NoResponseError."""
        if self.source in self.network.cut:
            await asyncio.sleep(timeout.total_seconds())
            raise NoResponseError("cut off")
        traffic = self.network.traffic
        if path == REPORTS:
            traffic.reports += 1
        traffic.bytes_sent += HEAD_BYTES + len(path) + len(body or b"")
        reply = await self.client.request(method, path, body, timeout)
        if path == REPORTS and reply.status == 200:
            traffic.answered += 1
        traffic.bytes_received += HEAD_BYTES + len(reply.body)
        return reply


class SocketNetwork:
    """Hosts by name, each at an address on the loopback range."""

    def __init__(self, hosts: dict[str, str]) -> None:
        self.hosts = hosts
        self.services: dict[str, Service] = {}
        self.addresses: dict[str, str] = {}
        self.cut: set[str] = set()  # hosts whose requests get no answer
        self.traffic = Traffic()
        self._links: dict[tuple[str, str], SocketLink] = {}
        self._servers: dict[str, Server] = {}

    def caller(self, source: str, target: str) -> SocketLink:
        """The client at one host for a service at another; its connection is kept."""
        link = self._links.get((source, target))
        if link is None:
            link = self._links[source, target] = SocketLink(self, source, target)
        return link

    async def listen(self, name: str, address: str) -> None:
        """Serve what is registered under a name at its address."""
        server = self._servers[name] = served(self.services[name])
        await server.start(*split_address(address))

    async def forget(self, name: str) -> None:
        """Stop serving a host, and drop its connections."""
        for pair in [pair for pair in self._links if pair[0] == name]:
            self._links.pop(pair).client.close_idle()
        server = self._servers.pop(name, None)
        if server is not None:
            await server.stop()
