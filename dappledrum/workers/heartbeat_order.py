"""What a leader may conclude from a heartbeat, by the worker process that has sent it.

A worker process begins with session 1, sequence number 1 and token 0, whatever the former process
on its machine has reached, and copies of the former one's heartbeats may arrive at any time. So
(session, sequence) order the heartbeats of one process only. Tokens tell processes apart:

- An answer to a heartbeat that shows no token of this term carries a token that no other answer to
  the machine has carried (`answer_tokens`). Only the sender of that heartbeat can receive it, so
  each token of this term is shown by one process.
- A process that shows a token of this term is answered with this same token.
- Of two tokens that heartbeats have shown, the higher one was given later, to a process that was
  running then. So it belongs to a newer process, and the former one has ended with all its tasks.

Therefore (token, session, sequence) order all heartbeats that show a token of this term, and only
these prove anything but the success of a task, which is final.
"""

from datetime import timedelta
from enum import Enum, auto

from dappledrum.timing.clock import longest_local_span
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reachability import LEASE_EXPIRY_MARGIN
from dappledrum.workers.reconciliation_context import ReconciliationContext


class HeartbeatStanding(Enum):
    """What a leader may conclude from a heartbeat."""

    #: The newest of the newest known process: shows what is on the machine.
    CURRENT = auto()
    #: The first from a machine that was rented in this term, which no other leader can have
    #: answered: the machine is up. Proves nothing about earlier starts.
    FIRST = auto()
    #: No process of the machine has shown a token of this term yet. From the present process, or a
    #: late copy: proves nothing but the success of a task.
    UNPROVEN = auto()
    #: A late copy, or from a process that has not received an answer yet: proves nothing.
    OUTDATED = auto()


def standing_of(
    machine: Machine, heartbeat: WorkerHeartbeat, context: ReconciliationContext, now: timedelta
) -> HeartbeatStanding:
    """Return what may be concluded from a heartbeat that has just arrived."""
    if context.gives(heartbeat.token):
        order = (heartbeat.token, heartbeat.session, heartbeat.sequence)
        return HeartbeatStanding.CURRENT if order > machine.newest else HeartbeatStanding.OUTDATED
    if machine.asked_at is not None and machine.last_heartbeat is None:
        return HeartbeatStanding.FIRST
    if (0, heartbeat.session, heartbeat.sequence) <= machine.newest:
        return HeartbeatStanding.OUTDATED
    if not may_have_former_tasks(machine, context, now):
        return HeartbeatStanding.OUTDATED
    return HeartbeatStanding.UNPROVEN


def may_have_former_tasks(
    machine: Machine, context: ReconciliationContext, now: timedelta
) -> bool:
    """Whether the sender of a heartbeat that shows no token of this term may have tasks, which an
    answer keeps alive.

    Once a process has shown a token of this term, such a heartbeat is from an earlier one, which
    gets no answer, or from a later one, which has never been answered and so has no tasks. Before
    that, its tasks are a predecessor's. They end a lease after its last possible answer, unless an
    answer of this term arrives, and then the next heartbeat shows its token.
    """
    if machine.incarnation:
        return False
    others_stopped_at = context.others_stopped_at()
    if others_stopped_at is None or machine.unproven_since is None:
        return True
    lease = longest_local_span(context.limits.lease_duration) + LEASE_EXPIRY_MARGIN
    return now <= max(others_stopped_at, machine.unproven_since) + lease
