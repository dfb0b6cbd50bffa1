"""Updates from each heartbeat whether answers reach its machine."""

import logging
from datetime import timedelta

from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reconciliation_context import ReconciliationContext

log = logging.getLogger(__name__)


def update_reachability(
    machine: Machine, heartbeat: WorkerHeartbeat, context: ReconciliationContext, now: timedelta
) -> None:
    """Compare a heartbeat that shows a token of this term with the effects that the answers before
    it must have had.

    To be called before the machine's session is set to that of the heartbeat.
    """
    reachability, lease = machine.reachability, context.limits.lease_duration
    got_answer = False
    if not reachability.token_shown:
        got_answer = reachability.token_shown = True
    if heartbeat.session > machine.session:
        if reachability.new_session(now, lease, context.running_since()):
            log.warning("%s ended its session although its heartbeats were answered", machine.name)
    elif reachability.outlasts_lease(now, lease):
        got_answer = reachability.unreachable
    if got_answer:
        record_received_answer(machine)


def record_unadopted_token(machine: Machine) -> None:
    """Record a heartbeat that shows no token of this term: an answer before it was lost."""
    if machine.reachability.answered_at is not None:
        record_missed_answer(machine, "does not adopt this term's token")


def record_missed_answer(machine: Machine, reason: str) -> None:
    """Record that a heartbeat lacks the effect of an earlier answer; `reason` is logged."""
    if machine.reachability.record_missed_answer():
        log.warning("%s is unreachable: it sends heartbeats, but %s", machine.name, reason)


def record_received_answer(machine: Machine) -> None:
    """Record that a heartbeat shows an effect of an answer."""
    if machine.reachability.confirm_reachable():
        log.info("%s is reachable again: it receives answers", machine.name)
