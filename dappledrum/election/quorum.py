"""Majorities of the controllers, and the summary of their answers to one request."""

from datetime import timedelta
from typing import NamedTuple

from dappledrum.election.confirmed_cancellations import CancellationWindow
from dappledrum.timing.clock import ZERO

#: The span that is covered where there is no other controller: none of them answers users.
UNLIMITED_SPAN = timedelta(days=10_000)


class PeerAnswers(NamedTuple):
    """The answers of all peers to one request."""

    agreed: int
    asked: int
    strong: int = 0  # lease grants that count where only a majority grants one
    unsupported: bool = False  # the version of some peer does not support the request
    #: Cancellations confirmed by all of them; the span is zero if one did not answer.
    confirmed: CancellationWindow = CancellationWindow(frozenset(), ZERO)


def majority(peers: int, asked: int) -> bool:
    """Whether this many of the asked peers are a majority, counting the controller that asks."""
    return (peers + 1) * 2 > asked + 1
