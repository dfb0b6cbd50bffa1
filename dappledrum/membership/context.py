"""What the modules of `membership` share, and the interfaces that the controller implements."""

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
    """Components of the controller that all modules of `membership` use."""

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
    """Sends one cheap request, which `health` measures; does not raise if there is no answer."""


class WorkerProbe(Protocol):
    """Sends a request without side effects to a worker."""

    async def __call__(self, address: str, timeout: timedelta, /) -> bool:
        """Return whether the worker at this address answers within the timeout."""


@dataclass(frozen=True)
class LeaderActions:
    """Functions of the controller that apply only while it leads."""

    count_machines: Callable[[], Mapping[str, int]]
    """Returns the number of machines that should send heartbeats, by zone; empty on a follower."""
    transfer_leadership: Callable[[str, str], Awaitable[None]]
    """Transfers leadership to the given member; the second argument is the reason for the log."""
