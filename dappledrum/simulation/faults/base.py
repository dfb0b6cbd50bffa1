"""What all faults share: options with their ranges, and when a fault begins and ends."""

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
    """Something that goes wrong at some time of a day."""

    at_s: Seconds

    @property
    def kind(self) -> str:
        """Its name in a day's file."""
        return str(self.__struct_config__.tag)

    @property
    def lasts_s(self) -> float:
        """For how long it goes on."""
        return 0.0

    def begin(self, cluster: SimulatedCluster, back: float) -> None:
        """Let it begin; processes that it ends are there again after `back` seconds or after
        their own time, whichever is longer."""
        raise NotImplementedError


class LastingFault(Fault):
    """A fault that lasts for a given time."""

    for_s: Seconds

    @property
    def lasts_s(self) -> float:
        return self.for_s


def later(seconds: float, act: Callable[..., object], *arguments: object) -> None:
    """Call something after so many seconds."""
    asyncio.get_running_loop().call_later(seconds, act, *arguments)
