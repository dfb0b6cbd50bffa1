"""Typed operations on the store: keys, transactions, leases and watches.

Every operation raises RefusedError if it was certainly not executed, and UnknownOutcomeError if it
may or may not have been (see `dappledrum.store.errors`).
"""

import logging
import random
from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.http.client import HttpClient
from dappledrum.settings import StoreLimits
from dappledrum.store.availability import StoreAvailability
from dappledrum.store.errors import CompactedError, ConflictError, LeaseLostError, TooLargeError
from dappledrum.store.messages import (
    Conflict,
    Delete,
    Entry,
    Event,
    Events,
    Guard,
    Lease,
    Listing,
    Put,
    Revision,
    TimeToLive,
    Transaction,
)
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.request_budget import RequestBudget
from dappledrum.store.transport import (
    REQUEST_TIMEOUT,
    StoreRequest,
    StoreTransport,
    decode_reply,
    unexpected_status,
)
from dappledrum.timing.clock import Clock

log = logging.getLogger(__name__)

MAX_TRANSACTION_BYTES = 60 * 1024
SCAN_PAGE_SIZE = 500  # keys
SCAN_PAGE_TIMEOUT = timedelta(seconds=4)
MAX_REASON_BYTES = 100  # of the body of a 400 response, in the reason of the error


class StoreClient:
    """A controller's client of the store."""

    def __init__(
        self, http_client: HttpClient, limits: StoreLimits, clock: Clock, rng: random.Random
    ) -> None:
        self.budget = RequestBudget(limits, clock, rng)
        self.availability = StoreAvailability(clock)
        self.transport = StoreTransport(http_client, self.budget, self.availability)

    async def get(
        self, key: str, priority: RequestPriority, timeout: timedelta = REQUEST_TIMEOUT
    ) -> Entry | None:
        """Read one key; None when it does not exist."""
        request = StoreRequest("GET", f"/keys/{key}", None, priority, timeout)
        reply = await self.transport.send(request)
        if reply.status == HTTPStatus.NOT_FOUND:
            # Only the store's own 404, which contains a revision, proves that the key is missing.
            decode_reply(request, reply, Revision)
            return None
        if reply.status != HTTPStatus.OK:
            raise unexpected_status(request, reply)
        return decode_reply(request, reply, Entry)

    async def scan(self, prefix: str, priority: RequestPriority) -> tuple[list[Entry], int]:
        """Read all keys with a prefix, page by page.

        Returns the entries and the revision from which a watch must start.
        """
        entries: list[Entry] = []
        watch_from: int | None = None
        after = ""
        while True:
            page = await self._read_page(prefix, after, SCAN_PAGE_SIZE, priority)
            entries += page.entries
            watch_from = page.revision if watch_from is None else watch_from
            if not page.more or not page.entries:
                return entries, watch_from
            after = page.entries[-1].key

    async def page(
        self, prefix: str, after: str, size: int, priority: RequestPriority
    ) -> tuple[list[Entry], bool]:
        """Read up to `size` keys with a prefix, in their order, that come after `after`.

        Returns the entries and whether there are more keys.
        """
        page = await self._read_page(prefix, after, size, priority)
        return page.entries, page.more

    async def _read_page(
        self, prefix: str, after: str, size: int, priority: RequestPriority
    ) -> Listing:
        start = f"&from={after}" if after else ""
        path = f"/keys?prefix={prefix}{start}&page={size}"
        request = StoreRequest("GET", path, None, priority, SCAN_PAGE_TIMEOUT)
        reply = await self.transport.send(request)
        if reply.status != HTTPStatus.OK:
            raise unexpected_status(request, reply)
        return decode_reply(request, reply, Listing)

    async def commit(
        self,
        guards: Sequence[Guard],
        changes: Sequence[Put | Delete],
        priority: RequestPriority,
        timeout: timedelta = REQUEST_TIMEOUT,
    ) -> int:
        """Execute a transaction and return its revision.

        Raises ConflictError if a guard fails, LeaseLostError if a change names a lease that has
        ended, and TooLargeError if the store refuses the size of a value.
        """
        body = msgspec.json.encode(Transaction(list(guards), list(changes)))
        request = StoreRequest("POST", "/multi", body, priority, timeout, len(changes))
        reply = await self.transport.send(request)
        if reply.status == HTTPStatus.OK:
            return decode_reply(request, reply, Revision).revision
        if reply.status == HTTPStatus.CONFLICT:
            raise ConflictError(decode_reply(request, reply, Conflict).failed, str(request))
        if reply.status == HTTPStatus.BAD_REQUEST and b"no such lease" in reply.body:
            raise LeaseLostError("lease ended", str(request))
        if reply.status == HTTPStatus.BAD_REQUEST:
            figures = _figures(guards, changes, body)
            log.error("store refused a transaction: %s body=%.200r", figures, reply.body)
            reason = f"the store refused a value: {reply.body[:MAX_REASON_BYTES]!r}, {figures}"
            raise TooLargeError(reason, str(request))
        log.error("store refused a transaction: status=%d body=%.200r", reply.status, reply.body)
        raise unexpected_status(request, reply)

    async def open_lease(self, time_to_live: timedelta) -> int:
        """Create a lease that expires unless it is renewed, and return its number."""
        body = msgspec.json.encode(TimeToLive(int(time_to_live.total_seconds() * 1000)))
        request = StoreRequest("POST", "/holds", body, RequestPriority.LEASE)
        reply = await self.transport.send(request)
        if reply.status != HTTPStatus.OK:
            raise unexpected_status(request, reply)
        return decode_reply(request, reply, Lease).lease

    async def renew_lease(self, lease: int, timeout: timedelta) -> None:
        """Renew a lease; raises LeaseLostError if it has ended."""
        path = f"/holds/{lease}/touch"
        request = StoreRequest("POST", path, b"{}", RequestPriority.LEASE, timeout)
        reply = await self.transport.send(request)
        if reply.status == HTTPStatus.NOT_FOUND:
            raise LeaseLostError("lease ended", str(request))
        if reply.status != HTTPStatus.OK:
            raise unexpected_status(request, reply)

    async def close_lease(self, lease: int) -> None:
        """End a lease at once, which deletes the keys attached to it."""
        await self.transport.send(
            StoreRequest("DELETE", f"/holds/{lease}", None, RequestPriority.LEASE)
        )

    async def watch(
        self, prefix: str, after: int, wait: timedelta, priority: RequestPriority
    ) -> tuple[list[Event], int]:
        """Wait up to `wait` for changes after the revision `after`.

        Returns the changes, which may be none, and the revision from which the next watch must
        start. Raises CompactedError if the store has discarded some of these changes.
        """
        wait_ms = int(wait.total_seconds() * 1000)
        path = f"/watch?prefix={prefix}&from={after}&waitMs={wait_ms}"
        request = StoreRequest("GET", path, None, priority, wait + REQUEST_TIMEOUT)
        reply = await self.transport.send(request)
        if reply.status == HTTPStatus.GONE:
            raise CompactedError(f"changes after revision {after} are compacted", str(request))
        if reply.status != HTTPStatus.OK:
            raise unexpected_status(request, reply)
        events = decode_reply(request, reply, Events)
        return events.events, events.revision


def _figures(guards: Sequence[Guard], changes: Sequence[Put | Delete], body: bytes) -> str:
    """The sizes of a transaction, for the log: they tell which limit of the store it exceeds."""
    values = {
        change.key: len(bytes(change.value)) for change in changes if isinstance(change, Put)
    }
    key = max(values, key=values.__getitem__, default="")
    return (
        f"key={key} value_bytes={values.get(key, 0)} changes={len(changes)} guards={len(guards)}"
        f" bytes={len(body)}"
    )
