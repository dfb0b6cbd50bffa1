"""Recognizes heartbeats that arrive late or more than once."""

from datetime import timedelta

from dappledrum.timing.clock import longest_local_span
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reachability import LEASE_EXPIRY_MARGIN
from dappledrum.workers.reconciliation_context import ReconciliationContext


def is_late_copy(
    machine: Machine, heartbeat: WorkerHeartbeat, context: ReconciliationContext, now: timedelta
) -> bool:
    """Whether a heartbeat can only be a late copy, or one that was held back.

    It is if a newer one has come, which is so for all with an older token than one that was
    shown. And it is if its session should have ended: in one that has never shown our token
    nobody was answered since it began, or since the last moment at which a predecessor may have
    answered, so it lasts a lease from then. A leader whose term has just begun is aware of
    neither: to it a copy looks like a heartbeat, for a lease at the most. So the lease's clock may
    run for longer than it must; a sign of life (`up`) it is not.
    """
    if (heartbeat.session, heartbeat.sequence) <= (machine.session, machine.sequence):
        return True
    if heartbeat.token >= context.token:
        return False
    others_stopped_at = context.others_stopped_at()
    if heartbeat.session > machine.session or others_stopped_at is None:
        return False
    lease = context.limits.lease_duration
    return machine.reachability.outlasts_lease(now, lease) and now > (
        others_stopped_at + longest_local_span(lease) + LEASE_EXPIRY_MARGIN
    )
