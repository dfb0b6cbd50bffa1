"""Base classes of faults, and the types of their options with their ranges."""

import asyncio
from collections.abc import Callable
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.simulation.cluster import SimulatedCluster

Seconds = Annotated[float, Meta(ge=0, le=86_400)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=1, le=100_000)]


class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True, tag_field="kind"):
    """A fault that starts at a given time of a day."""

    at_s: Seconds

    @property
    def kind(self) -> str:
        """Its name in day files."""
        return str(self.__struct_config__.tag)

    @property
    def lasts_s(self) -> float:
        """Duration in seconds."""
        return 0.0

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        """Inject the fault now.

        Controllers that it kills restart after `restart_delay_s`, or after the fault's own
        duration if that is longer.
        """
        raise NotImplementedError


class LastingFault(Fault):
    """A fault that lasts for a given time."""

    for_s: Seconds

    @property
    def lasts_s(self) -> float:
        return self.for_s


def call_later(seconds: float, callback: Callable[..., object], *arguments: object) -> None:
    """Call a function after some seconds of virtual time."""
    asyncio.get_running_loop().call_later(seconds, callback, *arguments)
