"""Typed operations on the store: keys, transactions, leases and watches.

Every operation raises RefusedError if it was certainly not executed and UnknownOutcomeError if
nobody can tell (see `dappledrum.store.errors`).
"""

import logging
import random
from collections.abc import Sequence
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum.http.client import HttpClient, NoResponseError, NotSentError, Reply
from dappledrum.membership.link_health import LinkHealth
from dappledrum.settings import StoreLimits
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

T = TypeVar("T")
REQUEST_TIMEOUT = timedelta(seconds=1.5)
MAX_TRANSACTION_BYTES = 60 * 1024
CHAIN = 8.0  # changes that may go out at once: users submit the jobs of a chain within a moment
FAILING_AFTER = timedelta(milliseconds=400)


class StoreError(Exception):
    """The store did not serve the request."""


class RefusedError(StoreError):
    """Certainly not executed: no connection, 429 or 503."""


class UnknownOutcomeError(StoreError):
    """No usable answer: executed or not, now or later."""


class ConflictError(StoreError):
    """The conditions of a transaction failed; nothing was changed."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class TooLargeError(RefusedError):
    """Certainly not executed: a value or the transaction is larger than the service takes."""


class LeaseLostError(StoreError):
    """The lease does not exist any more."""


class CompactedError(StoreError):
    """A watch asked for changes that the service no longer keeps."""


class StoreClient:
    """Client of the store; one for each controller."""

    def __init__(
        self, caller: HttpClient, limits: StoreLimits, clock: Clock, rng: random.Random
    ) -> None:
        self.caller = caller
        self.limits = limits
        self.clock = clock
        self.rng = rng
        self.requests = RateLimiter(limits.rps * 0.2, clock.now())
        self.writes = RateLimiter(limits.write_rps * 0.2, clock.now())
        self.blocked_until = ZERO
        self.backoff = ZERO
        self.failing_since: timedelta | None = None
        self.last_hung = False
        self.reached = False  # served at least once
        self.link = LinkHealth(clock)
        self.fault = FaultLog(log, clock, "the state service does not serve this controller")

    def is_failing(self) -> bool:
        """Requests have failed for a while, and none was served since."""
        return (
            self.failing_since is not None
            and self.clock.now() - self.failing_since > FAILING_AFTER
        )

    def failing_for(self) -> timedelta | None:
        """How long no request has been served, although some were tried; None: the newest was."""
        return None if self.failing_since is None else self.clock.now() - self.failing_since

    def last_request_hung(self) -> bool:
        """The newest failure was one without an answer, so the next request would wait in vain,
        too."""
        return self.last_hung

    def set_rate_share(self, share: float, burst: float = 1.0) -> None:
        """Change the part of the service's rates that this controller may use, and the seconds'
        worth of it that may go out at once."""
        now = self.clock.now()
        self.requests.resize(self.limits.rps * share, now, burst)
        rate = self.limits.write_rps * share
        self.writes.resize(rate, now, max(burst, min(CHAIN, self.limits.write_rps / 2) / rate))

    def queueing_delay(self, priority: RequestPriority, writes: int = 0) -> timedelta:
        """How long a request of this rank would have to wait; zero means that it can go now."""
        now = self.clock.now()
        wait = self.requests.wait(1, priority, now)
        if writes:
            wait = max(wait, self.writes.wait(writes, priority, now))
        if priority is not RequestPriority.LEASE:
            wait = max(wait, self.blocked_until - now)
        return wait

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes | None,
        priority: RequestPriority,
        timeout: timedelta = REQUEST_TIMEOUT,
        writes: int = 0,
    ) -> Reply:
        wait = self.queueing_delay(priority, writes)
        if wait > ZERO:
            if priority in (RequestPriority.POLL, RequestPriority.SUBMISSION) and wait > timedelta(
                seconds=0.5
            ):
                raise RefusedError("over this controller's share of requests")
            await asyncio.sleep(wait.total_seconds())
        now = self.clock.now()
        self.requests.take(1, now)
        if writes:
            self.writes.take(writes, now)
        # A watch is open for long, also in an outage, so it tells nothing of the link.
        watching = path.startswith("/watch")
        sent = now if watching else self.link.request_sent()
        try:
            reply = await self.caller.request(method, path, body, timeout)
        except NotSentError as error:
            self._failed(False, str(error))
            raise RefusedError(str(error)) from error
        except NoResponseError as error:
            self._failed(True, str(error))
            raise UnknownOutcomeError(str(error)) from error
        if reply.status in (429, 503):
            self._back_off(reply.status)
            if reply.status == 503:
                self._failed(False, "status 503")
            elif not watching:
                self.link.response_received(sent)
            raise RefusedError(f"status {reply.status}")
        if reply.status >= 500:
            raise UnknownOutcomeError(f"status {reply.status}")
        if not watching:
            self.link.response_received(sent)
            # A watch that was open when an outage began may still end in time, so it proves
            # nothing.
            self.backoff = ZERO
            self.failing_since = None
            self.reached = True
            self.fault.recovered()
        return reply

    def _failed(self, hung: bool, why: str) -> None:
        self.last_hung = hung
        self.fault.failed(why)
        if self.failing_since is None:
            self.failing_since = self.clock.now()

    def _back_off(self, status: int) -> None:
        floor = timedelta(seconds=0.1 if status == 429 else 0.2)
        self.backoff = min(max(self.backoff * 2, floor), timedelta(seconds=1))
        self.blocked_until = self.clock.now() + self.backoff * self.rng.uniform(0.5, 1.0)

    @staticmethod
    def _decode(reply: Reply, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            raise UnknownOutcomeError(f"unusable answer: {error}") from error

    async def get(
        self, key: str, priority: RequestPriority, timeout: timedelta = REQUEST_TIMEOUT
    ) -> Entry | None:
        """Read one key; None when it does not exist."""
        reply = await self._call("GET", f"/keys/{key}", None, priority, timeout)
        if reply.status == 404:
            self._decode(reply, Revision)  # a 404 from anything but the service proves nothing
            return None
        if reply.status != 200:
            raise UnknownOutcomeError(f"status {reply.status} for a read")
        return self._decode(reply, Entry)

    async def scan(self, prefix: str, priority: RequestPriority) -> tuple[list[Entry], int]:
        """Read all keys with a prefix, and the revision from which a watch must start."""
        entries: list[Entry] = []
        watch_from: int | None = None
        after = ""
        while True:
            since = f"&from={after}" if after else ""
            path = f"/keys?prefix={prefix}{since}&page=500"
            reply = await self._call("GET", path, None, priority, timedelta(seconds=4))
            if reply.status != 200:
                raise UnknownOutcomeError(f"status {reply.status} for a list")
            page = self._decode(reply, Listing)
            entries += page.entries
            watch_from = page.revision if watch_from is None else watch_from
            if not page.more or not page.entries:
                return entries, watch_from
            after = page.entries[-1].key

    async def _scan_page(self, prefix: str, after: str, priority: RequestPriority) -> Listing:
        start = f"&from={after}" if after else ""
        path = f"/keys?prefix={prefix}{start}&page={SCAN_PAGE_SIZE}"
        request = StoreRequest("GET", path, None, priority, SCAN_TIMEOUT)
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
        """Run a transaction and return its revision."""
        body = msgspec.json.encode(Transaction(list(guards), list(changes)))
        reply = await self._call("POST", "/multi", body, priority, timeout, writes=len(changes))
        if reply.status == 200:
            return self._decode(reply, Revision).revision
        if reply.status == 409:
            raise ConflictError(self._decode(reply, Conflict).failed)
        if reply.status == 400 and b"no such lease" in reply.body:
            raise LeaseLostError("lease ended")
        if reply.status == 400:
            log.error("transaction refused: %.200r", reply.body)
            raise TooLargeError(f"the state service refused a value: {reply.body[:100]!r}")
        log.error("transaction refused with %d: %.200r", reply.status, reply.body)
        raise UnknownOutcomeError(f"status {reply.status} for a transaction")

    async def open_lease(self, life: timedelta) -> int:
        """Get a new lease."""
        body = msgspec.json.encode(TimeToLive(int(life.total_seconds() * 1000)))
        reply = await self._call("POST", "/holds", body, RequestPriority.LEASE)
        if reply.status != 200:
            raise UnknownOutcomeError(f"status {reply.status} for a lease")
        return self._decode(reply, Lease).lease

    async def renew_lease(self, lease: int, timeout: timedelta) -> None:
        """Renew a lease, or raise LeaseLostError."""
        reply = await self._call(
            "POST", f"/holds/{lease}/touch", b"{}", RequestPriority.LEASE, timeout
        )
        if reply.status == 404:
            raise LeaseLostError("lease ended")
        if reply.status != 200:
            raise UnknownOutcomeError(f"status {reply.status} for a renewal")

    async def close_lease(self, lease: int) -> None:
        """End a lease at once, with the keys attached to it."""
        await self.transport.send(
            StoreRequest("DELETE", f"/holds/{lease}", None, RequestPriority.LEASE)
        )

    async def watch(
        self, prefix: str, after: int, wait: timedelta, priority: RequestPriority
    ) -> tuple[list[Event], int]:
        """Changes after a revision; an empty list when nothing changed in time."""
        path = f"/watch?prefix={prefix}&from={after}&waitMs={int(wait.total_seconds() * 1000)}"
        reply = await self._call("GET", path, None, priority, wait + REQUEST_TIMEOUT)
        if reply.status == 410:
            raise CompactedError(prefix)
        if reply.status != 200:
            raise UnknownOutcomeError(f"status {reply.status} for a watch")
        events = self._decode(reply, Events)
        return events.events, events.revision


def encode_value(value: Any) -> msgspec.Raw:  # noqa: ANN401 - anything that msgspec encodes
    """A value as it is stored."""
    return msgspec.Raw(msgspec.json.encode(value))
