"""How well this controller's own links work, measured by their traffic."""

from collections import deque
from datetime import timedelta

from dappledrum.timing.clock import ZERO, Clock

KEPT_ADDRESSES = 8
LOST_AFTER = 2  # probes in a row without an answer
SMOOTH = 0.2


class LinkHealth:
    """Estimates how long a request over one link would take now.

    A link is neither up nor down: a slow link counts by its delay, and one without answers by how
    long the oldest request has been waiting.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.usual = ZERO
        self.served_at: timedelta | None = None
        self.waiting_since: timedelta | None = None  # sent, or refused, and none served since

    def sent(self) -> timedelta:
        """Note a request that is sent; returns the moment, for `served`."""
        now = self.clock.now()
        if self.waiting_since is None:
            self.waiting_since = now
        return now

    def served(self, sent: timedelta) -> None:
        """Note the answer to a request that was sent at this moment. Requests sent before it no
        longer count as waiting."""
        now = self.clock.now()
        if self.served_at is None:
            self.usual = now - sent
        else:
            self.usual += (now - sent - self.usual) * SMOOTH
        self.served_at = now
        self.waiting_since = None

    def cost(self) -> timedelta | None:
        """How long a request would take; None if none was ever sent."""
        if self.waiting_since is None:
            return self.usual if self.served_at is not None else None
        return max(self.usual, self.clock.now() - self.waiting_since)

    def idle_for(self, span: timedelta) -> bool:
        """Whether there was no answer for so long that the link must be probed."""
        return self.served_at is None or self.clock.now() - self.served_at > span


class ZoneHealth:
    """The workers of one zone, as far as this controller has contact with them."""

    def __init__(self) -> None:
        self.heard_at: timedelta | None = None  # a heartbeat, answered or not
        self.reached_at: timedelta | None = None  # an answer to a probe
        self.probed_at: timedelta | None = None
        self.failed_at: timedelta | None = None  # when a probe was sent that was not answered
        self.unanswered = 0  # probes, since anything came
        self.addresses: deque[str] = deque(maxlen=KEPT_ADDRESSES)

    @property
    def last(self) -> timedelta | None:
        """When anything came from there last."""
        known = [at for at in (self.heard_at, self.reached_at) if at is not None]
        return max(known, default=None)

    def heard(self, now: timedelta, address: str) -> None:
        """Note a heartbeat of a worker of the zone."""
        self.heard_at = now
        self.unanswered = 0
        if address not in self.addresses:
            self.addresses.append(address)

    def probed(self, sent: timedelta, now: timedelta, answered: bool) -> None:
        """Note the outcome of a probe."""
        if answered:
            self.reached_at = now
            self.unanswered = 0
        else:
            self.failed_at = sent
            self.unanswered += 1

    def unreachable_since(self, silent: timedelta) -> bool:
        """Whether a probe sent since then failed, and none was answered after it."""
        failed, reached = self.failed_at, self.reached_at
        return failed is not None and failed >= silent and (reached is None or reached < failed)

    def lost(self) -> bool:
        """Whether probes show that the zone is not reached; a single failure may be a worker that
        ended."""
        return self.unanswered >= LOST_AFTER
