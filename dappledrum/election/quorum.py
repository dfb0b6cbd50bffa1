"""Questions of leaders and candidates to all other controllers, and the summary of the answers."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

from dappledrum.election.messages import LeaseGrantRequest, PreVote, TransferLeadership
from dappledrum.jobs.confirmed_cancellations import CancellationWindow
from dappledrum.timing.clock import ZERO

#: The span of a deployment of a single controller: no other one answers users.
ALWAYS = timedelta(days=10_000)


class PeerAnswers(NamedTuple):
    """The answers of all peers to one question."""

    yes: int
    asked: int
    strong: int = 0  # promises that count where only a majority promises
    old: bool = False  # the version of some peer does not support the question
    confirmed: CancellationWindow = CancellationWindow(
        frozenset(), ZERO
    )  # by all of them; the span is zero if one did not say


def majority(peers: int, asked: int) -> bool:
    """Whether this many of the asked peers are a majority, counting the controller that asks."""
    return (peers + 1) * 2 > asked + 1


Asker = Callable[[LeaseGrantRequest, timedelta], Awaitable[PeerAnswers]]
PreVoteCall = Callable[[PreVote, timedelta], Awaitable[PeerAnswers]]
TransferCall = Callable[[str, TransferLeadership, timedelta], Awaitable[bool]]
