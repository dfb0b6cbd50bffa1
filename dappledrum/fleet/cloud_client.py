"""Client of the cloud that keeps to the allowed call rate."""

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
    """The call failed, or its outcome is unknown."""


class NoCapacityError(CloudError):
    """There are no machines of this kind at the moment."""


class CloudClient:
    """Client that spaces its requests evenly."""

    def __init__(self, caller: HttpClient, rps: float, clock: Clock) -> None:
        self.caller = caller
        self.gap = timedelta(seconds=1 / rps)
        self.clock = clock
        self.next_at = ZERO
        self.link = LinkHealth(clock)

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        entitled: Callable[[], bool] = lambda: True,
    ) -> Reply:
        now = self.clock.now()
        at = max(self.next_at, now)
        self.next_at = at + self.gap
        if at > now:
            await asyncio.sleep((at - now).total_seconds())
        if not entitled():
            # The process may have stood still since this was decided, and another controller may
            # be using the machines by now.
            raise CloudError("no longer entitled")
        sent = self.link.request_sent()
        try:
            reply = await self.caller.request(method, path, body, REQUEST_TIMEOUT)
        except NoResponseError as error:
            raise CloudError(str(error)) from error
        if reply.status < 500 or b"no capacity" in reply.body:
            self.link.response_received(sent)
        if reply.status == 503 and b"no capacity" in reply.body:
            raise NoCapacityError("no capacity")
        if reply.status != 200:
            if reply.status == 429:
                self.next_at = max(self.next_at, self.clock.now() + self.gap * 2)
            raise CloudError(f"status {reply.status}: {reply.body[:100]!r}")
        return reply

    @staticmethod
    def _decode(reply: Reply, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise CloudError(f"unusable answer: {error}") from error

    async def catalog(self) -> list[MachineType]:
        """Machine types with their current prices."""
        return self._decode(await self._call("GET", "/catalog", None), Catalog).types

    async def rent(self, request: RentalRequest, entitled: Callable[[], bool]) -> list[str]:
        """Rent machines; the cloud may give fewer than requested."""
        reply = await self._call("POST", "/rentals", msgspec.json.encode(request), entitled)
        return self._decode(reply, MachineNames).machines

    async def give_back(self, machines: list[str], entitled: Callable[[], bool]) -> None:
        """Return machines; on success they are gone."""
        body = msgspec.json.encode(MachineNames(machines))
        await self._call("POST", "/rentals/return", body, entitled)

    async def machines(self) -> list[ListedMachine]:
        """The list of all machines; it lags behind."""
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
