"""Checks that the leader counts every answer that has renewed the lease of a worker with tasks.

If it does not, it takes the silence that it assumes for a proof that the tasks have ended, while
the worker keeps them.
"""

from collections.abc import Iterable
from datetime import timedelta

from dappledrum.leader.leader import Leader
from dappledrum.simulation.fleet import Attempt, Worker

#: Bound on the drift of two clocks over the longest lease.
CLOCK_TOLERANCE = timedelta(seconds=0.1)


def uncounted_renewals(leader: Leader, workers: Iterable[Worker]) -> list[str]:
    """Return the names of the workers whose lease was renewed later than the leader counts."""
    if not leader.loaded.is_set() or leader.term.others_stopped_at is None:
        return []  # the leader does not count silence as a proof
    return [
        worker.name
        for worker in workers
        if not all(_is_counted(leader, worker, attempt) for attempt in worker.attempts.values())
    ]


def _is_counted(leader: Leader, worker: Worker, attempt: Attempt) -> bool:
    machine = leader.registry.get(worker.name)
    if machine is None or attempt.state == "ended":
        return True
    placement = machine.placements.get((attempt.job, attempt.task_number))
    if placement is None or placement.attempt != attempt.attempt_number:
        return True
    if placement.renewed_at is None:
        return False
    renewed_ago = timedelta(seconds=worker.now() - worker.lease_renewed_at)
    return leader.clock.now() - placement.renewed_at <= renewed_ago + CLOCK_TOLERANCE
