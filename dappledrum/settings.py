"""Schema of the platform's settings file, and the settings that each operator chooses."""

from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta

from dappledrum.timing.clock import seconds

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Amount = Annotated[float, Meta(ge=0, le=1e9)]
Positive = Annotated[float, Meta(gt=0, le=1e9)]


class SettingsError(Exception):
    """The settings are invalid; the text names the file, and the field if one is invalid."""


class Peer(msgspec.Struct, frozen=True, rename={"zone": "location", "address": "endpoint"}):
    """Another controller and the address at which it listens for peers."""

    member: Name
    zone: Name
    address: Address


class External(msgspec.Struct, frozen=True):
    """Addresses of the services that controllers depend on."""

    cloud: Address
    state: Address


class Team(msgspec.Struct, frozen=True):
    """A team's guarantee and limit of CPUs and GPUs; a limit of 0 means no limit."""

    name: Name
    cpus: Amount = 0.0
    cpus_max: Amount = 0.0
    gpus: Amount = 0.0
    gpus_max: Amount = 0.0


class Objective(msgspec.Struct, frozen=True, rename={"job_class": "class"}):
    """Service-level objective of a class of jobs: time to start, time to finish, or keeping
    deadlines."""

    kind: str
    share: Annotated[float, Meta(ge=0, le=1)] = 1.0
    job_class: str | None = None
    within_s: Amount | None = None
    times: Amount | None = None


class WorkerLimits(msgspec.Struct, frozen=True):
    """Heartbeat interval, lease and cancellation time of workers."""

    report_s: Positive
    lease_s: Positive
    cancel_s: Positive

    @property
    def heartbeat_interval(self) -> timedelta:
        """Usual time between heartbeats of a worker."""
        return seconds(self.report_s)

    @property
    def lease_duration(self) -> timedelta:
        """How long a worker keeps its tasks without a response to its heartbeats."""
        return seconds(self.lease_s)

    @property
    def cancellation_limit(self) -> timedelta:
        """Time within which all tasks of a cancelled job must be terminated."""
        return seconds(self.cancel_s)


OperationCount = Annotated[int, Meta(ge=4, le=10_000)]


class NextLimits(msgspec.Struct, frozen=True):
    """Limits that the store will apply from some moment on, without notice; an omitted limit
    does not change."""

    rps: Positive | None = None
    write_rps: Positive | None = None
    value_kb: Positive | None = None
    txn_ops: OperationCount | None = None


class StoreLimits(msgspec.Struct, frozen=True):
    """Limits of the store: request and write rates, value size, operations per transaction."""

    rps: Positive
    write_rps: Positive
    value_kb: Positive
    txn_ops: OperationCount
    next: NextLimits | None = None

    @property
    def value_bytes(self) -> int:
        """Size of the largest value that may be written."""
        return int(self.value_kb * 1024)

    def strictest(self) -> "StoreLimits":
        """The smaller of the current and the next limits. They apply from the start of this
        controller, since the change comes without notice; for value sizes see `ValueLimit`."""
        if self.next is None:
            return self
        return StoreLimits(
            min(self.rps, self.next.rps or self.rps),
            min(self.write_rps, self.next.write_rps or self.write_rps),
            min(self.value_kb, self.next.value_kb or self.value_kb),
            min(self.txn_ops, self.next.txn_ops or self.txn_ops),
        )


class CloudLimits(msgspec.Struct, frozen=True):
    """Rate limit of calls to the cloud, and the lag of its machine list."""

    rps: Positive
    list_lag_s: Amount

    @property
    def list_lag(self) -> timedelta:
        """Usual age of a machine list when it is received."""
        return seconds(self.list_lag_s)


class MachineLimits(msgspec.Struct, frozen=True):
    """Resources of the machine that this controller may use."""

    cpu: Positive = 1.0
    memory_mb: Positive = 256.0
    max_sockets: Annotated[int, Meta(ge=32)] = 1024


class Params(msgspec.Struct, frozen=True):
    """Parameters of the whole deployment."""

    teams: list[Team]
    workers: WorkerLimits
    state: StoreLimits
    cloud: CloudLimits
    zones: list[Name] = []
    objectives: list[Objective] = []
    machine_limits: MachineLimits = MachineLimits()
    clock_off_ms: Amount = 1000.0


class Settings(msgspec.Struct, frozen=True, rename={"zone": "location"}):
    """Settings of one controller."""

    member: Name
    zone: Name
    serve_on: Address
    back: Address
    external: External
    params: Params
    seeds: list[Peer] = []


def load(path: Path) -> Settings:
    """Read and validate the settings file; raises SettingsError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Settings)
    except OSError as error:
        raise SettingsError(f"settings file {path}: {error.strerror}") from error
    except msgspec.DecodeError as error:
        raise SettingsError(f"settings file {path}: {error}") from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"settings file {path}: not UTF-8") from error


def split_address(address: str) -> tuple[str, int]:
    """Host and port of an address that has been validated."""
    host, _, port = address.rpartition(":")
    return host, int(port)


@dataclass(frozen=True)
class Tuning:
    """Settings that the operator chooses: parameters that the paper leaves open, and features.

    `interval` is the length of a billed interval, `ready_share` the share of a stage that must be
    ready before machines are rented for it.
    """

    interval: timedelta = timedelta(seconds=60)
    ready_share: float = 0.3
    peer_heartbeats_enabled: bool = True  # `--reach`: exchange and use the health of links
