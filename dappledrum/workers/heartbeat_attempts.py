"""Machines that have sent heartbeats to this controller, whether it leads or not.

A leader that no worker reaches, while workers send heartbeats to other controllers, is harmful: it
keeps leading while the leases of all workers expire. It detects this by asking its peers which
machines have sent heartbeats to them.
"""

from collections import deque
from datetime import timedelta

from dappledrum.workers.machine_registry import MachineRegistry

#: How long a heartbeat counts as recent.
ATTEMPT_RETENTION = timedelta(seconds=60)
MAX_ATTEMPTS = 2_000


class HeartbeatAttempts:
    """Recent heartbeats, whether answered or not, oldest first."""

    def __init__(self) -> None:
        self.recent: deque[tuple[timedelta, str]] = deque(maxlen=MAX_ATTEMPTS)

    def record(self, machine: str, now: timedelta) -> None:
        """Record a heartbeat of a machine."""
        self.recent.append((now, machine))
        while self.recent[0][0] < now - ATTEMPT_RETENTION:
            self.recent.popleft()

    @property
    def last(self) -> timedelta | None:
        """When the newest heartbeat arrived; None if there is none."""
        return self.recent[-1][0] if self.recent else None

    def within(self, span: timedelta, now: timedelta) -> dict[str, int]:
        """Number of heartbeats by machine in the last `span`."""
        result: dict[str, int] = {}
        for at, machine in reversed(self.recent):
            if at < now - span:
                break
            result[machine] = result.get(machine, 0) + 1
        return result


def sending_heartbeats_elsewhere(
    elsewhere: dict[str, int], registry: MachineRegistry
) -> list[str]:
    """Machines that send heartbeats to peers although they should reach this leader.

    These are machines that have sent a heartbeat to this leader before, or two to the same peer. A
    single one proves nothing: the first heartbeat of a machine that has just come up is redirected
    to the leader.

    `elsewhere`: by machine, the largest number of recent heartbeats that one peer has received.
    """
    result = []
    for name, count in elsewhere.items():
        machine = registry.get(name)
        if count >= 2 or (machine is not None and machine.up):
            result.append(name)
    return result
