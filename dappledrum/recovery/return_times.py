"""Estimates when machines that were up before a term send their first heartbeat to its leader.

A new leader learns about them all at once, from records and the list of the cloud; their workers
send their heartbeats one after the other, as each gives up a controller that does not answer and
finds the leader. When they were taken for boots that had lasted for minutes, they did not count as
capacity, and new machines were rented in their place while they came back. To the planner such a
machine is capacity that becomes available at an expected moment: at first after one heartbeat
interval and a search, later the further away, the longer it has been missing, as with a boot. So
nothing waits for a fixed time: machines whose heartbeats arrive are used, the others are soon
replaced, and for work that can't wait machines are rented at once.
"""

from datetime import timedelta

from dappledrum.timing.clock import ZERO

#: To give up a controller that does not answer, and to be told whom to turn to instead.
SEARCH = timedelta(seconds=2)
DOUBT = 1.5  # how much further away it is, for each second past the usual


def expected_heartbeat_in(waited: timedelta, heartbeat_interval: timedelta) -> timedelta:
    """How much longer the first heartbeat of a machine will take that was first heard of `waited`
    ago."""
    late = waited - (heartbeat_interval * 1.25 + SEARCH)
    return -late if late < ZERO else SEARCH / 2 + late * DOUBT
