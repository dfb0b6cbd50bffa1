"""A simulated store: keys with versions, guarded transactions, leases and watches."""

import asyncio
import bisect
import json
import math
from typing import Any
from urllib.parse import parse_qs

from dappledrum.http.client import Reply


def json_reply(status: int, body: Any = None) -> Reply:  # noqa: ANN401 - any JSON
    """Build an answer with a JSON body."""
    return Reply(status, json.dumps(body if body is not None else {}).encode())


class TokenBucket:
    """A token bucket that holds at most one second's worth of its rate."""

    def __init__(self) -> None:
        self.tokens = math.inf  # capped to one second's worth at the first use
        self.updated_at = 0.0  # when `tokens` was last updated

    def take(self, amount: float, rate: float | None) -> bool:
        """Take an amount if the rate allows it; without a rate everything is allowed."""
        if rate is None:
            return True
        now = asyncio.get_running_loop().time()
        self.tokens, self.updated_at = min(self.tokens + (now - self.updated_at) * rate, rate), now
        if amount > self.tokens:
            return False
        self.tokens -= amount
        return True


class KeyValueStore:
    """A store in memory.

    `in_outage` simulates an outage; hosts in `refused` get 503 while others are served.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.keys: dict[str, tuple[Any, int, int | None]] = {}  # value, version, lease
        self.leases: dict[int, tuple[float, float]] = {}  # when it expires, its duration
        self.log: list[dict[str, Any]] = []  # all changes, as events of watches
        self.changed = asyncio.Event()
        self.in_outage = False
        self.refused: set[str] = set()
        self.last_lease = 1
        self.writes = 0
        self.requests = 0
        self.too_large: list[str] = []  # keys, or "transaction", refused for their size
        self.value_bytes = 8192
        self.txn_ops = 24
        self.write_rps: float | None = None  # allowed changes per second
        self.rps: float | None = None  # allowed requests per second
        self.write_budget = TokenBucket()
        self.request_budget = TokenBucket()
        self.over_rate = 0  # requests refused with 429
        self.max_page_keys = 1000  # keys in one page of a list

    def end_outage(self) -> None:
        """End the outage, and renew every lease for its full duration."""
        self.in_outage = False
        now = asyncio.get_running_loop().time()
        self.leases = {
            lease: (now + duration_s, duration_s) for lease, (_, duration_s) in self.leases.items()
        }

    def _expire(self) -> None:
        if self.in_outage:
            return
        now = asyncio.get_running_loop().time()
        for lease, (end, _) in list(self.leases.items()):
            if end < now:
                self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """End a lease, and remove the keys attached to it."""
        del self.leases[lease]
        keys = [key for key, (_, _, attached) in self.keys.items() if attached == lease]
        if keys:
            self.revision += 1
            for key in keys:
                del self.keys[key]
                self.log.append({"remove": key, "stamp": self.revision})
            self._notify_watches()

    def _notify_watches(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def __call__(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """Handle one request."""
        self.requests += 1
        refusal = self._refusal(source)
        if refusal is not None:
            return refusal
        self._expire()
        route, _, query = path.partition("?")
        options = {key: values[0] for key, values in parse_qs(query).items()}
        if route == "/watch":
            return await self._watch(source, options)
        if route == "/multi":
            return self.run_transaction(json.loads(body))
        if route.startswith("/holds"):
            return self._handle_lease(method, route, body)
        if route == "/keys":
            return self._list(options)
        return self._get(route.removeprefix("/keys/"))

    def _refusal(self, source: str) -> Reply | None:
        """The answer that refuses a request in an outage or above the rate; None: serve it."""
        if self.in_outage or source in self.refused:
            return json_reply(503, {"error": "trouble"})
        if not self.request_budget.take(1, self.rps):
            self.over_rate += 1
            return json_reply(429, {"error": "too many requests"})
        return None

    def _get(self, key: str) -> Reply:
        if key not in self.keys:
            return json_reply(404, {"tally": self.revision})
        value, version, lease = self.keys[key]
        return json_reply(200, {"key": key, "value": value, "stamp": version, "hold": lease})

    def _list(self, options: dict[str, str]) -> Reply:
        prefix, after, page = (
            options["prefix"],
            options.get("from", ""),
            min(int(options.get("page", "1000")), self.max_page_keys),
        )
        names = sorted(key for key in self.keys if key.startswith(prefix) and key > after)
        pairs = [
            {"key": k, "value": self.keys[k][0], "stamp": self.keys[k][1]} for k in names[:page]
        ]
        return json_reply(200, {"pairs": pairs, "more": len(names) > page, "tally": self.revision})

    def _handle_lease(self, method: str, route: str, body: bytes) -> Reply:
        now = asyncio.get_running_loop().time()
        parts = route.split("/")
        if len(parts) == 2:
            duration_s = json.loads(body)["lifeMs"] / 1000
            self.last_lease += 1
            self.leases[self.last_lease] = (now + duration_s, duration_s)
            return json_reply(200, {"hold": self.last_lease})
        lease = int(parts[2])
        if lease not in self.leases:
            return json_reply(404)
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease] = (now + self.leases[lease][1], self.leases[lease][1])
        return json_reply(200)

    def run_transaction(self, body: dict[str, Any]) -> Reply:
        """Execute a transaction if its guards hold."""
        changes = body.get("then", [])
        refusal = self._transaction_refusal(changes, len(body["guards"]))
        if refusal is not None:
            return refusal
        failed = [
            g["key"]
            for g in body["guards"]
            if self.keys.get(g["key"], (None, 0, None))[1] != g["stamp"]
        ]
        if failed:
            return json_reply(409, {"failed": failed, "tally": self.revision})
        if changes:
            self._apply(changes)
        return json_reply(200, {"tally": self.revision})

    def _transaction_refusal(self, changes: list[dict[str, Any]], guards: int) -> Reply | None:
        """The answer that refuses a transaction whatever its guards; None: check the guards."""
        if len(changes) > self.txn_ops or guards > self.txn_ops * 4:
            self.too_large.append("transaction")
            return json_reply(400, {"error": "too many changes in one transaction"})
        if not self.write_budget.take(len(changes), self.write_rps):
            self.over_rate += 1
            return json_reply(429, {"error": "too many changes"})
        self.writes += len(changes)
        for change in changes:
            value = json.dumps(change.get("value"), separators=(",", ":"))
            if len(value) > self.value_bytes:
                self.too_large.append(change["write"])
                return json_reply(400, {"error": "the value is too large"})
            if change.get("hold") is not None and change["hold"] not in self.leases:
                return json_reply(400, {"error": "no such lease"})
        return None

    def _apply(self, changes: list[dict[str, Any]]) -> None:
        """Apply the changes of a transaction under one revision."""
        self.revision += 1
        for change in changes:
            if "write" in change:
                self.keys[change["write"]] = (change["value"], self.revision, change.get("hold"))
                self.log.append(
                    {"write": change["write"], "value": change["value"], "stamp": self.revision}
                )
            elif self.keys.pop(change["remove"], None) is not None:
                self.log.append({"remove": change["remove"], "stamp": self.revision})
        self._notify_watches()

    async def _watch(self, source: str, options: dict[str, str]) -> Reply:
        loop = asyncio.get_running_loop()
        newer_than, end = (
            int(options["from"]),
            loop.time() + int(options.get("waitMs", "0")) / 1000,
        )
        while True:
            events = []
            if not self.in_outage and source not in self.refused:
                self._expire()
                newer = bisect.bisect_right(self.log, newer_than, key=lambda event: event["stamp"])
                events = [
                    event
                    for event in self.log[newer:]
                    if (event.get("write") or event["remove"]).startswith(options["prefix"])
                ]
            if events or loop.time() >= end:
                return json_reply(200, {"tally": self.revision, "events": events})
            try:
                async with asyncio.timeout(min(0.05, max(end - loop.time(), 0.001))):
                    await self.changed.wait()
            except TimeoutError:
                pass
