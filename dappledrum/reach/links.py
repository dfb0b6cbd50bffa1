"""How well this controller's own links work, from the traffic that flows over them."""

from collections import deque
from datetime import timedelta

from dappledrum.timing.clock import ZERO, Clock

KEPT_ADDRESSES = 8
LOST_AFTER = 2  # probes in a row without an answer
SMOOTH = 0.2


class Link:
    """What a request over one link would take now.

    Neither up nor down: a slow link counts by what it delays, and one without answers by how long
    the oldest request has been waiting for one.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.usual = ZERO
        self.served_at: timedelta | None = None
        self.waiting_since: timedelta | None = None  # sent, or refused, and none served since

    def sent(self) -> timedelta:
        """A request leaves; returns when, for `served`."""
        now = self.clock.now()
        if self.waiting_since is None:
            self.waiting_since = now
        return now

    def served(self, sent: timedelta) -> None:
        """An answer to a request that was sent then; what was sent before it is not mourned."""
        now = self.clock.now()
        if self.served_at is None:
            self.usual = now - sent
        else:
            self.usual += (now - sent - self.usual) * SMOOTH
        self.served_at = now
        self.waiting_since = None

    def cost(self) -> timedelta | None:
        """What a request would take; None when nothing was ever tried."""
        if self.waiting_since is None:
            return self.usual if self.served_at is not None else None
        return max(self.usual, self.clock.now() - self.waiting_since)

    def quiet_for(self, span: timedelta) -> bool:
        """Whether nothing has flowed for so long that it takes a probe to know."""
        return self.served_at is None or self.clock.now() - self.served_at > span


class Zone:
    """The workers of one zone, as this controller hears and reaches them."""

    def __init__(self) -> None:
        self.heard_at: timedelta | None = None  # a report or a knock
        self.reached_at: timedelta | None = None  # an answer to a probe
        self.probed_at: timedelta | None = None
        self.failed_at: timedelta | None = None  # when a probe was sent that was not answered
        self.unanswered = 0  # probes, since anything came
        self.addresses: deque[str] = deque(maxlen=KEPT_ADDRESSES)

    @property
    def last(self) -> timedelta | None:
        """When anything came from there."""
        known = [at for at in (self.heard_at, self.reached_at) if at is not None]
        return max(known, default=None)

    def heard(self, now: timedelta, address: str) -> None:
        """A worker of the zone has come by itself."""
        self.heard_at = now
        self.unanswered = 0
        if address not in self.addresses:
            self.addresses.append(address)

    def probed(self, sent: timedelta, now: timedelta, answered: bool) -> None:
        """A worker of the zone was asked."""
        if answered:
            self.reached_at = now
            self.unanswered = 0
        else:
            self.failed_at = sent
            self.unanswered += 1

    def apart_since(self, silent: timedelta) -> bool:
        """Whether a worker was asked since then, and the newest answer that it gave is older."""
        failed, reached = self.failed_at, self.reached_at
        return failed is not None and failed >= silent and (reached is None or reached < failed)

    def lost(self) -> bool:
        """Whether probes say that the zone is not reached; one worker may just have ended."""
        return self.unanswered >= LOST_AFTER
