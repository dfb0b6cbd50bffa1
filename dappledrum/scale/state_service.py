"""The stand-in of the store in a process of its own, with rates and latency.

    python3 -m dappledrum.scale.state_service SETTINGS.json

Counters are read at `GET /counters`. The process ends when its standard input is closed.
"""

import asyncio
import random
import sys
from pathlib import Path

import msgspec

from dappledrum.http.client import Reply
from dappledrum.scale.lines import Events, serve_commands
from dappledrum.scale.messages import Command, Counters, StateCounters
from dappledrum.scale.sockets import HEAD_BYTES, served
from dappledrum.settings import split_address
from dappledrum.simulation.key_value_store import KeyValueStore


class StateSettings(msgspec.Struct):
    """Address, rates and latency of the service."""

    address: str
    requests_per_s: float
    changes_per_s: float
    value_kb: float
    transaction_changes: int
    latency_s: float  # the median; drawn between half and one and a half of it
    seed: int


class MeteredState:
    """Counts what passes, and delays it."""

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
        """One request."""
        if path == "/counters":
            return Reply(200, msgspec.json.encode(self._counters()))
        self.received += HEAD_BYTES + len(path) + len(body)
        await asyncio.sleep(self.settings.latency_s * self.rng.uniform(0.5, 1.5))
        answer = await self.service(source, method, path, body)
        self.sent += HEAD_BYTES + len(answer.body)
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
    """This process takes no commands; it only waits for the end of its standard input."""


async def run(settings_json: bytes) -> None:
    """Serve until the coordinator is gone."""
    settings = msgspec.json.decode(settings_json, type=StateSettings)
    server = served(MeteredState(settings))
    await server.start(*split_address(settings.address))
    Events().send(Counters())  # ready
    await serve_commands(_ignore)


if __name__ == "__main__":
    asyncio.run(run(Path(sys.argv[1]).read_bytes()))
