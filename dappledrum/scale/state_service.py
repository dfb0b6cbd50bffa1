"""Process that serves a simulated store with rate limits and latency.

    python3 -m dappledrum.scale.state_service SETTINGS.json

`GET /counters` returns `StateCounters`. The process ends when its standard input is closed.
"""

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from dappledrum.http.client import Reply
from dappledrum.scale.lines import EventSender, serve_commands
from dappledrum.scale.messages import Command, Counters, StateCounters
from dappledrum.scale.sockets import HEADER_BYTES, make_server
from dappledrum.settings import split_address
from dappledrum.simulation.key_value_store import KeyValueStore


class StateSettings(msgspec.Struct):
    """Address, limits and latency of the service."""

    address: str
    requests_per_s: float
    changes_per_s: float
    value_kb: float
    transaction_changes: int
    latency_s: float  # median; each request draws between 0.5 and 1.5 times this
    seed: int


class MeteredStore:
    """Simulated store that counts and delays its requests."""

    def __init__(self, settings: StateSettings) -> None:
        self.settings = settings
        self.service = KeyValueStore()
        self.service.rps = settings.requests_per_s
        self.service.write_rps = settings.changes_per_s
        self.service.value_bytes = int(settings.value_kb * 1024)
        self.service.txn_ops = settings.transaction_changes
        self.rng = random.Random(settings.seed)
        self.received = self.sent = 0

    async def __call__(self, source: str, method: str, path: str, body: bytes) -> Reply:
        """Serve one request."""
        if path == "/counters":
            return Reply(200, msgspec.json.encode(self._counters()))
        self.received += HEADER_BYTES + len(path) + len(body)
        await asyncio.sleep(self.settings.latency_s * self.rng.uniform(0.5, 1.5))
        answer = await self.service(source, method, path, body)
        self.sent += HEADER_BYTES + len(answer.body)
        return answer

    def _counters(self) -> StateCounters:
        return StateCounters(
            self.service.requests,
            self.service.writes,
            self.service.over_rate,
            self.received,
            self.sent,
            len(self.service.keys),
        )


async def _ignore(_command: Command) -> None:
    """Ignore a command: the loop that reads them only detects that standard input is closed."""


async def run(settings_json: bytes) -> None:
    """Serve requests until standard input is closed."""
    settings = msgspec.json.decode(settings_json, type=StateSettings)
    server = make_server(MeteredStore(settings))
    await server.start(*split_address(settings.address))
    EventSender().send(Counters())  # tells the coordinator that the process is ready
    await serve_commands(_ignore)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]).read_bytes()))
