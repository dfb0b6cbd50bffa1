"""What the parts of `membership` have in common, and what they ask of the controller."""

import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from dappledrum.election.elector import Elector
from dappledrum.http.link_health import LinkHealth
from dappledrum.peers.client import Peers
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import Clock
from dappledrum.timing.timeouts import PauseDetector


@dataclass(frozen=True)
class MembershipContext:
    """The controller's own parts that each module of `membership` may use."""

    member: str
    """Name of this controller."""
    clock: Clock
    rng: random.Random
    peers: Peers
    elector: Elector
    worker_limits: WorkerLimits
    pause_detector: PauseDetector


@dataclass(frozen=True)
class ProbedService:
    """A service that every controller uses: the store or the cloud."""

    health: LinkHealth
    probe: Callable[[], Awaitable[None]]
    """Sends one cheap request, which `health` measures; raises nothing if it is not answered."""


class WorkerProbe(Protocol):
    """Sends a request to a worker that changes nothing there."""

    async def __call__(self, address: str, timeout: timedelta, /) -> bool:
        """Return whether the worker at this address answers within the timeout."""


@dataclass(frozen=True)
class LeaderActions:
    """What a controller can do and count only while it leads."""

    count_machines: Callable[[], Mapping[str, int]]
    """Number of machines that should send heartbeats, by zone; empty if another one leads."""
    transfer_leadership: Callable[[str, str], Awaitable[None]]
    """Transfers leadership to a member, for a reason that is logged."""
