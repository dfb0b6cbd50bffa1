"""Loopback TCP connections in place of the simulated network.

`SocketNetwork` has the part of `simulation.network.Network` that simulated workers use:
`services`, `addresses` and `caller`.
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
HEADER_BYTES = 90  # size assumed for a request or response without its path and body
HEARTBEAT_PATH = "/hello"


def make_server(service: Service, source: str = "") -> Server:
    """Return a server for a simulated service; `source` replaces the sender, which is unknown."""

    async def handle(request: Request) -> Response:
        reply = await service(source, request.method, request.path, request.body)
        return Response(reply.status, reply.body)

    return Server(handle, MAX_CONNECTIONS)


class SocketLink:
    """Client of one host for a service at another host."""

    def __init__(self, network: "SocketNetwork", source: str, target: str) -> None:
        self.network = network
        self.source = source
        host, port = split_address(network.hosts[target])
        self.client = PooledClient(host, port, max_idle=1)

    async def request(
        self, method: str, path: str, body: bytes | None, timeout: timedelta
    ) -> Reply:
        """Send one request; raises NoResponseError, after the timeout if the source is cut off."""
        if self.source in self.network.cut_hosts:
            await asyncio.sleep(timeout.total_seconds())
            raise NoResponseError(f"{self.source} is cut off")
        traffic = self.network.traffic
        if path == HEARTBEAT_PATH:
            traffic.reports += 1
        traffic.bytes_sent += HEADER_BYTES + len(path) + len(body or b"")
        reply = await self.client.request(method, path, body, timeout)
        if path == HEARTBEAT_PATH and reply.status == 200:
            traffic.answered += 1
        traffic.bytes_received += HEADER_BYTES + len(reply.body)
        return reply


class SocketNetwork:
    """Hosts by name, each at a loopback address."""

    def __init__(self, hosts: dict[str, str]) -> None:
        self.hosts = hosts
        self.services: dict[str, Service] = {}
        self.addresses: dict[str, str] = {}
        self.cut_hosts: set[str] = set()  # sources whose requests are not sent and time out
        self.traffic = Traffic()
        self._links: dict[tuple[str, str], SocketLink] = {}
        self._servers: dict[str, Server] = {}

    def caller(self, source: str, target: str) -> SocketLink:
        """Return the client of one host for a service at another; its connection is reused."""
        link = self._links.get((source, target))
        if link is None:
            link = self._links[source, target] = SocketLink(self, source, target)
        return link

    async def listen(self, name: str, address: str) -> None:
        """Serve a registered service at an address."""
        server = self._servers[name] = make_server(self.services[name])
        await server.start(*split_address(address))

    async def stop_serving(self, name: str) -> None:
        """Stop the server of a host, and close the idle connections of its clients."""
        for pair in [pair for pair in self._links if pair[0] == name]:
            self._links.pop(pair).client.close_idle()
        server = self._servers.pop(name, None)
        if server is not None:
            await server.stop()
