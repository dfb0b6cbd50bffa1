"""When machines that were up before a term are expected to report to its leader.

A new leader hears of them through records and the cloud's list, at once and all together, and from
their workers one after the other, as each gives up a controller that does not answer and finds its
way. Taken for boots that had lasted for minutes they counted as no room, and new ones were rented
in their place while they came back. To the planner such a machine is a lane that opens at a
moment: a report's time and a search away at first, and past that the further, the longer it has
been missing, as with a boot. So nothing waits for a fixed time: what comes is used, what does not
come is rented for soon, and work that can't wait even that long is rented for at once.
"""

from datetime import timedelta

from dappledrum.timing.clock import ZERO

#: To give up a controller that does not answer, and to be told whom to turn to instead.
SEARCH = timedelta(seconds=2)
DOUBT = 1.5  # how much further away it is, for each second past the usual


def back_in(waited: timedelta, report: timedelta) -> timedelta:
    """How much longer a machine will take to report, `waited` after it was first heard of."""
    late = waited - (report * 1.25 + SEARCH)
    return -late if late < ZERO else SEARCH / 2 + late * DOUBT
