"""Finds zones from whose workers the leader gets no heartbeats."""

from collections.abc import Callable, Mapping
from datetime import timedelta

from dappledrum.membership.zone_health import ZoneTable
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.timeouts import PauseDetector

MACHINE_COUNT_INTERVAL = timedelta(seconds=2)  # while heartbeats arrive from all zones
MIN_SILENCE = timedelta(seconds=1.5)
#: A worker's heartbeat is late by at most a quarter of the interval plus this delay.
MAX_HEARTBEAT_DELAY = timedelta(milliseconds=750)


def max_heartbeat_interval(limits: WorkerLimits) -> timedelta:
    """The longest time between two heartbeats of a healthy, connected worker."""
    return limits.heartbeat_interval * 1.25 + MAX_HEARTBEAT_DELAY


class SilentZones:
    """Zones with machines that should send heartbeats, but from which none has arrived for longer
    than the machines may take."""

    def __init__(
        self,
        clock: Clock,
        limits: WorkerLimits,
        pause_detector: PauseDetector,
        zones: ZoneTable,
        count_machines: Callable[[], Mapping[str, int]],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.pause_detector = pause_detector
        self.zones = zones
        self.count_machines = count_machines
        #: Since when no heartbeat has arrived, by zone.
        self.silent_since: dict[str, timedelta] = {}
        self._counted_at = ZERO

    def clear(self) -> None:
        """Clear the silent zones, when this controller does not lead."""
        self.silent_since = {}

    def update(self, term_started_at: timedelta) -> None:
        """Find the zones that are silent now."""
        self.silent_since = self._find(term_started_at)

    def unreachable(self) -> dict[str, timedelta]:
        """Silent zones whose workers do not answer probes either, and since when."""
        return {
            name: since
            for name, since in self.silent_since.items()
            if self.zones.get_or_create(name).unreachable_since(since)
        }

    def _find(self, term_started_at: timedelta) -> dict[str, timedelta]:
        now = self.clock.now()
        # Time during which this controller itself was paused does not count.
        since = max(term_started_at, self.pause_detector.running_since())
        if now - since <= MIN_SILENCE:
            return {}
        # Counting all machines four times a second costs more than processing their heartbeats.
        # While heartbeats arrive from every known zone, counting can only find new zones.
        if self._all_connected(now, since) and now - self._counted_at < MACHINE_COUNT_INTERVAL:
            return {}
        self._counted_at = now
        silent = {}
        for name, machines in self.count_machines().items():
            at = max(self.zones.get_or_create(name).heartbeat_at or ZERO, since)
            if now - at > self._max_silence(machines):
                silent[name] = at
        return silent

    def _all_connected(self, now: timedelta, since: timedelta) -> bool:
        max_age = min(max_heartbeat_interval(self.limits), MIN_SILENCE)
        return all(
            now - max(zone.heartbeat_at or ZERO, since) <= max_age for zone in self.zones.values()
        )

    def _max_silence(self, machines: int) -> timedelta:
        """The longest normal time without a heartbeat from this many machines.

        No machine takes longer than `max_heartbeat_interval`. With random offsets the time is much
        shorter for many machines: it exceeds 12 / `machines` intervals with probability e^-12.
        """
        random_offsets = self.limits.heartbeat_interval * 12 / machines
        return min(max_heartbeat_interval(self.limits), max(random_offsets, MIN_SILENCE))
