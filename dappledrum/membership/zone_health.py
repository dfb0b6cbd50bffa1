"""Contact of this controller with the workers of each zone."""

from collections import deque
from datetime import timedelta

MAX_ZONES = 16
MAX_ADDRESSES = 8  # worker addresses kept for probes, per zone
MIN_FAILED_PROBES = 2  # in a row, before a zone counts as unreachable


class ZoneHealth:
    """Contact with the workers of one zone: their heartbeats, and their answers to probes."""

    def __init__(self) -> None:
        self.heartbeat_at: timedelta | None = None  # when the last one arrived, answered or not
        self.probe_answered_at: timedelta | None = None
        self.probed_at: timedelta | None = None
        self.failed_probe_sent_at: timedelta | None = None  # when the last unanswered one was sent
        self.failed_probes = 0  # in a row, without a heartbeat in between
        self.addresses: deque[str] = deque(maxlen=MAX_ADDRESSES)

    @property
    def last_contact_at(self) -> timedelta | None:
        """When a worker of the zone last sent a heartbeat or answered a probe."""
        known = [at for at in (self.heartbeat_at, self.probe_answered_at) if at is not None]
        return max(known, default=None)

    def record_heartbeat(self, now: timedelta, address: str) -> None:
        """Record a heartbeat of the worker at this address."""
        self.heartbeat_at = now
        self.failed_probes = 0
        if address not in self.addresses:
            self.addresses.append(address)

    def record_probe(self, sent: timedelta, now: timedelta, answered: bool) -> None:
        """Record the outcome of a probe that was sent at `sent` and has ended at `now`."""
        if answered:
            self.probe_answered_at = now
            self.failed_probes = 0
        else:
            self.failed_probe_sent_at = sent
            self.failed_probes += 1

    def unreachable_since(self, silent_since: timedelta) -> bool:
        """Whether a probe sent since `silent_since` has failed, and none was answered after it."""
        failed, answered = self.failed_probe_sent_at, self.probe_answered_at
        return (
            failed is not None
            and failed >= silent_since
            and (answered is None or answered < failed)
        )

    def is_unreachable(self) -> bool:
        """Whether probes show that the zone is unreachable; a single failure may be a worker that
        has exited."""
        return self.failed_probes >= MIN_FAILED_PROBES


class ZoneTable(dict[str, ZoneHealth]):
    """Health of the zones by name, oldest entry first; at most MAX_ZONES."""

    def get_or_create(self, name: str) -> ZoneHealth:
        """Return the health of a zone; at the limit a new zone replaces the oldest one."""
        if name not in self:
            while len(self) >= MAX_ZONES:
                self.pop(next(iter(self)))
            self[name] = ZoneHealth()
        return self[name]

    def unreachable(self) -> list[str]:
        """Names of the zones that probes can't reach."""
        return [name for name, zone in self.items() if zone.is_unreachable()]
