"""Estimates when machines that were up before a term send their first heartbeat to its leader.

A new leader reads of them all at once, from records and the list of the cloud; their workers send
heartbeats one after the other, as each gives up a controller that does not answer and finds the
leader. When they were counted as boots that had lasted for minutes, they were no capacity, and new
machines were rented in their place while they came back. To the planner such a machine is capacity
that becomes available at an expected moment: at first after one heartbeat interval and a search,
later the further away, the longer it has been missing, as with a boot. So nothing waits for a
fixed time: machines that send heartbeats are used, those that do not are soon replaced, and for
work that can't wait machines are rented at once.
"""

from datetime import timedelta

from dappledrum.timing.clock import ZERO

#: To give up a controller that does not answer, and to be redirected to the leader.
LEADER_SEARCH_TIME = timedelta(seconds=2)
#: A usual heartbeat comes within this many intervals.
MAX_INTERVALS = 1.25
#: How much later a machine is expected, for each second by which it is overdue.
DELAY_PER_OVERDUE_TIME = 1.5


def expected_heartbeat_in(missing_for: timedelta, interval: timedelta) -> timedelta:
    """How much longer a machine will take to send its first heartbeat.

    `missing_for`: time since this leader first read of the machine.
    `interval`: usual time between a worker's heartbeats.
    """
    overdue = missing_for - (interval * MAX_INTERVALS + LEADER_SEARCH_TIME)
    if overdue < ZERO:
        return -overdue
    return LEADER_SEARCH_TIME / 2 + overdue * DELAY_PER_OVERDUE_TIME
