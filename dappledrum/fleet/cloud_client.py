"""Client of the cloud API that keeps to the allowed request rate."""

import asyncio
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import TypeVar

import msgspec

from dappledrum.fleet.messages import (
    Catalog,
    ListedMachine,
    MachineList,
    MachineNames,
    MachineType,
    RentalRequest,
)
from dappledrum.http.client import HttpClient, NoResponseError, Reply
from dappledrum.http.link_health import LinkHealth
from dappledrum.timing.clock import ZERO, Clock

log = logging.getLogger(__name__)

T = TypeVar("T")
REQUEST_TIMEOUT = timedelta(seconds=4)


class CloudError(Exception):
    """The request failed, or its outcome is unknown."""


class NoCapacityError(CloudError):
    """The cloud has no machines of the requested kind at the moment."""


class CloudClient:
    """Cloud client that spaces its requests evenly, at most `rps` a second."""

    def __init__(self, http_client: HttpClient, rps: float, clock: Clock) -> None:
        self.http_client = http_client
        self.request_interval = timedelta(seconds=1 / rps)
        self.clock = clock
        self.next_request_at = ZERO
        self.link = LinkHealth(clock)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        may_command: Callable[[], bool] = lambda: True,
    ) -> Reply:
        now = self.clock.now()
        at = max(self.next_request_at, now)
        self.next_request_at = at + self.request_interval
        if at > now:
            await asyncio.sleep((at - now).total_seconds())
        if not may_command():
            # The process may have been paused since the decision, and another controller may be
            # using the machines by now.
            raise CloudError("this controller may no longer command machines")
        sent = self.link.request_sent()
        try:
            reply = await self.http_client.request(method, path, body, REQUEST_TIMEOUT)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if reply.status < 500 or b"no capacity" in reply.body:
            self.link.response_received(sent)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacityError("no capacity")
        if reply.status != 200:
            if reply.status == 429:
                self.next_request_at = max(
                    self.next_request_at, self.clock.now() + self.request_interval * 2
                )
            raise CloudError(f"status {reply.status}: {reply.body[:100]!r}")
        return reply

    @staticmethod
    def _decode(reply: Reply, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CloudError(f"unusable answer: {error}") from error

    async def catalog(self) -> list[MachineType]:
        """Read the machine types with their current prices."""
        return self._decode(await self._call("GET", "/catalog", None), Catalog).types

    async def rent(self, request: RentalRequest, may_command: Callable[[], bool]) -> list[str]:
        """Rent machines and return their names, which may be fewer than requested."""
        reply = await self._call("POST", "/rentals", msgspec.json.encode(request), may_command)
        return self._decode(reply, MachineNames).machines

    async def return_machines(self, machines: list[str], may_command: Callable[[], bool]) -> None:
        """Return machines to the cloud; on success they are terminated."""
        body = msgspec.json.encode(MachineNames(machines))
        await self._call("POST", "/rentals/return", body, may_command)

    async def machines(self) -> list[ListedMachine]:
        """Read the list of all rented machines, which lags behind."""
        result: list[ListedMachine] = []
        after = ""
        while True:
            since = f"from={after}&" if after else ""
            page = self._decode(
                await self._call("GET", f"/rentals?{since}page=500", None), MachineList
            )
            result += page.machines
            if not page.more or not page.machines:
                return result
            after = page.machines[-1].id
