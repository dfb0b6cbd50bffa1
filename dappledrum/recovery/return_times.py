"""Estimates when machines that were up before a term send their first heartbeat to its leader.

A new leader learns of these machines all at once, from records and the cloud's list. Their workers
send heartbeats one after the other, as each gives up a controller that does not answer and finds
the leader. To the planner such a machine is capacity that becomes available at an expected moment:
at first after one heartbeat interval and a search for the leader, then, as with a boot, the later
the longer the machine has been missing. So there is no fixed waiting time: machines that send
heartbeats are used, those that don't are soon replaced, and machines are rented at once for work
that can't wait. When the missing machines were treated as boots that had lasted for minutes, they
counted as no capacity, and others were rented in their place while they came back.
"""

from datetime import timedelta

from dappledrum.timing.clock import ZERO

#: The time in which a worker gives up a controller that does not answer, and is redirected to the
#: leader.
LEADER_SEARCH_TIME = timedelta(seconds=2)
#: A heartbeat normally arrives within this many heartbeat intervals.
MAX_HEARTBEAT_INTERVALS = 1.25
#: Seconds by which a machine is expected later for each second that it is overdue.
DELAY_PER_OVERDUE_TIME = 1.5


def expected_heartbeat_in(missing_for: timedelta, interval: timedelta) -> timedelta:
    """Return the expected time until a missing machine sends its first heartbeat.

    `missing_for`: time since this leader learned of the machine.
    `interval`: usual time between a worker's heartbeats.
    """
    overdue = missing_for - (interval * MAX_HEARTBEAT_INTERVALS + LEADER_SEARCH_TIME)
    if overdue < ZERO:
        return -overdue
    return LEADER_SEARCH_TIME / 2 + overdue * DELAY_PER_OVERDUE_TIME
