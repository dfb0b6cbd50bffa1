"""Messages of the cloud's API, and the stored record of booting machines."""

from datetime import timedelta
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.timing.clock import seconds

Amount = Annotated[float, Meta(ge=0, le=1e9)]
Text = Annotated[str, Meta(min_length=1, max_length=300)]


class MachineType(
    msgspec.Struct,
    frozen=True,
    rename={
        "name": "label",
        "cpus": "vcpus",
        "gpus": "accelerators",
        "memory_gb": "memGb",
        "cache_gb": "cacheGb",
        "fetch_gb_per_s": "fetchGbPerS",
        "price": "hourly",
        "spot_price": "marketPrice",
        "boot_s": "readyS",
        "zones": "halls",
    },
):
    """A machine type in the catalog."""

    name: Text
    cpus: Amount
    gpus: Amount
    memory_gb: Amount
    cache_gb: Amount
    fetch_gb_per_s: Amount
    price: Amount
    boot_s: Amount
    zones: list[Text]
    spot_price: Amount | None = None

    @property
    def boot(self) -> timedelta:
        """Nominal boot time."""
        return seconds(self.boot_s)

    def hourly(self, spot: bool) -> float:
        """Price of an hour on a spot or an on-demand machine."""
        return self.spot_price if spot and self.spot_price is not None else self.price


class Catalog(msgspec.Struct, rename={"types": "builds"}):
    """Response body of GET /catalog."""

    types: list[MachineType]


class RentalRequest(
    msgspec.Struct,
    rename={
        "request": "hire",
        "type": "build",
        "zone": "hall",
        "spot": "loaners",
        "count": "number",
    },
):
    """Request body of POST /rentals; `request` identifies the rental."""

    request: str
    type: str
    zone: str
    spot: bool
    count: int


class MachineNames(msgspec.Struct, rename={"machines": "drums"}):
    """Names of machines that were rented, or are to be returned."""

    machines: list[Text]


class ListedMachine(
    msgspec.Struct,
    rename={
        "address": "endpoint",
        "type": "build",
        "zone": "hall",
        "spot": "loaners",
        "state": "stance",
        "age_s": "ageS",
    },
):
    """A machine in the cloud's list."""

    id: Text
    type: Text
    zone: Text
    spot: bool
    state: Text
    age_s: Amount = 0.0
    address: str = ""


class MachineList(msgspec.Struct, rename={"machines": "drums"}):
    """Response body of GET /rentals."""

    machines: list[ListedMachine]
    more: bool = False


class BootingRecord(msgspec.Struct, array_like=True):
    """Machines that were rented together and have not sent a heartbeat yet."""

    names: list[str]
    type: str
    zone: str
    spot: bool
    at_ms: int


class FleetRecord(msgspec.Struct):
    """Value of the key `fleet`: booting machines, which the lagging list may not show yet."""

    booting: list[BootingRecord]
