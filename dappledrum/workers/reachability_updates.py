"""Updates whether a machine gets our answers, from each of its heartbeats."""

import logging
from datetime import timedelta

from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reconciliation_context import ReconciliationContext

log = logging.getLogger(__name__)


def update_reachability(
    machine: Machine, heartbeat: WorkerHeartbeat, context: ReconciliationContext, now: timedelta
) -> None:
    """Compare a heartbeat with what the answers before it must have caused.

    To be called before the machine's session and token are set to those of the heartbeat.
    """
    reachability, lease = machine.reachability, context.limits.lease_duration
    got_answer = False
    if heartbeat.token == context.token and not reachability.token_shown:
        got_answer = reachability.token_shown = True
    if heartbeat.session > machine.session:
        if reachability.new_session(now, lease, context.running_since()):
            log.warning("%s lost its session though it was answered", machine.name)
    elif heartbeat.token == context.token and reachability.outlasts_lease(now, lease):
        got_answer = reachability.unreachable
    elif heartbeat.token < context.token and reachability.answered_at is not None:
        record_missed_answer(machine, "does not take this term's token on")
    if got_answer:
        record_received_answer(machine)


def record_missed_answer(machine: Machine, reason: str) -> None:
    """Record that a heartbeat lacks what an earlier answer must have caused."""
    if machine.reachability.record_missed_answer():
        log.warning("%s %s: its heartbeats arrive, but no answer reaches it", machine.name, reason)


def record_received_answer(machine: Machine) -> None:
    """Record that a heartbeat shows what only an answer can have caused."""
    if machine.reachability.confirm_reachable():
        log.info("%s gets answers again", machine.name)
