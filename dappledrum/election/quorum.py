"""Majorities of the controllers, and the summary of their answers to one request."""

from datetime import timedelta
from typing import NamedTuple

from dappledrum.election.confirmed_cancellations import CancellationWindow
from dappledrum.timing.clock import ZERO

#: The span that is covered if there is no other controller that could confirm cancellations.
UNLIMITED_SPAN = timedelta(days=10_000)


class PeerAnswers(NamedTuple):
    """Summary of the answers of all peers to one request."""

    agreed: int
    asked: int
    strong: int = 0  # strong lease grants, which count even if only a majority grants
    unsupported: bool = False  # whether the version of a peer does not support the request
    #: Cancellations that the peers have confirmed; the span is zero if a peer did not answer.
    confirmed: CancellationWindow = CancellationWindow(frozenset(), ZERO)


def majority(peers: int, asked: int) -> bool:
    """Whether so many of the asked peers, together with the asking controller, are a majority."""
    return (peers + 1) * 2 > asked + 1
