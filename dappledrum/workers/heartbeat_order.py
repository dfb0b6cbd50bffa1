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
    """Whether a heartbeat can only be a late copy, or one that was delayed.

    It is one if a newer heartbeat has arrived, which is so for all with an older token than one
    already shown. It is also one if its session must have ended: a session that has never shown
    this term's token got no answer since it began, or since the last time at which a predecessor
    may have answered, and lasts at most a lease from then.

    A leader whose term has just begun can't apply either rule, so it accepts copies as heartbeats
    for at most a lease. They may delay the expiry of the machine's lease, but don't make the
    machine count as `up`.
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
