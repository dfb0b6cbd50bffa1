"""Counts the machines whose heartbeats a leader expects."""

from collections import Counter
from datetime import timedelta
from itertools import islice

from dappledrum.workers.machine_registry import MachineRegistry


def expected_heartbeats(
    registry: MachineRegistry, now: timedelta, lease: timedelta
) -> Counter[str]:
    """Return how many machines should send heartbeats, by zone.

    `now`: steady time.
    `lease`: how long a worker keeps its tasks without an answer.
    """
    result: Counter[str] = Counter()
    for machine in registry:
        if machine.returning or machine.failed or machine.expired(now, lease):
            continue
        if machine.up and machine.kind is not None:
            result[machine.kind.zone] += 1
        else:  # known only from records: the zone is that of its placements
            result.update(p.zone for p in islice(machine.placements.values(), 1))
    return result
