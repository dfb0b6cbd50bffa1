"""The fencing tokens in the answers to workers, by which their processes are told apart."""

from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reconciliation_context import ReconciliationContext


def answer_token(
    machine: Machine, heartbeat: WorkerHeartbeat, context: ReconciliationContext
) -> int | None:
    """Return the token for the answer to a heartbeat; None if no token is left in this term.

    A process that shows a token of this term gets the same one again. Any other sender gets one
    that no answer to this machine has carried, since it may be a new process; see
    `heartbeat_order`.
    """
    if context.gives(heartbeat.token):
        return heartbeat.token
    token = context.token + machine.tokens_given
    if not context.gives(token):
        return None
    machine.tokens_given += 1
    return token
