"""Builders of peer heartbeats for the tests of this package."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
import pytest

from dappledrum.membership.peer_table import PeerTable
from dappledrum.peers.heartbeat_messages import PeerHeartbeat

#: Heartbeat of a controller that the store serves and that was not paused.
HEALTHY = PeerHeartbeat(
    member="b",
    incarnation=1,
    uptime_ms=0,
    age_ms=0,
    unpaused_ms=60_000,
    store_delay_ms=5,
    store_response_age_ms=100,
)


@pytest.fixture
def make_heartbeat() -> Callable[..., PeerHeartbeat]:
    """Returns a function that makes a heartbeat that differs from HEALTHY in the given fields."""

    def make(
        member: str = "b",
        uptime_ms: int = 0,
        **changes: Any,  # noqa: ANN401 - of any field
    ) -> PeerHeartbeat:
        return msgspec.structs.replace(HEALTHY, member=member, uptime_ms=uptime_ms, **changes)

    return make


@pytest.fixture
def make_table() -> Callable[..., PeerTable]:
    """Returns a function that makes the table of controller `a` with heartbeats just received."""

    def make(*heartbeats: PeerHeartbeat, now: float) -> PeerTable:
        table = PeerTable("a", [heartbeat.member for heartbeat in heartbeats])
        for heartbeat in heartbeats:
            table.record(heartbeat, timedelta(seconds=now), direct=True)
        return table

    return make
