"""Machines, as their heartbeats, the records and the cloud show them."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from datetime import timedelta

from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import longest_local_span
from dappledrum.workers.reachability import LEASE_EXPIRY_MARGIN, Reachability

MAX_TERMINATED_NAMES = 2_000


class Machine:
    """One rented machine."""

    def __init__(self, name: str, kind: InstanceKind | None, now: timedelta) -> None:
        self.name = name
        self.kind = (
            kind  # None until somebody says: a placement by a predecessor names only the zone
        )
        self.rented_at = now
        self.seen_at = now  # first time that this leader heard of it
        self.asked_at: timedelta | None = None  # by this leader, until its boot is evaluated
        self.up_at: timedelta | None = None
        self.session = 0
        self.sequence = -1
        self.token = 0
        self.last_heartbeat: timedelta | None = None
        # The last moment at which the worker may have been answered, by this leader or by one
        # before it.
        self.last_answer = now
        self.recall_at: timedelta | None = None
        self.images: OrderedDict[str, float] = OrderedDict()
        self.placements: dict[tuple[str, int], Placement] = {}
        self.returning = False
        self.draining = False
        self.failed = False
        self.retiring = False  # a cheaper machine has taken its place; no new work
        self.errors: dict[str, int] = {}  # failures by job, since the last success
        self.blocked_until = timedelta(0)
        self.listed_at: timedelta | None = None
        self.listed_up = False  # the cloud's list has shown it as running
        self.given = asyncio.Event()  # something was placed there
        self.reachability = Reachability()
        #: Only a heartbeat that may be a late copy speaks of it: no capacity to plan on, and
        #: nothing to remember. Records, the cloud's list, a rental or this term's token say more.
        self.unconfirmed = False

    @property
    def up(self) -> bool:
        """Whether its worker has sent a heartbeat to this leader, and the heartbeat can't be a
        late copy from a machine that has terminated: it carried this term's token, or the machine
        was rented in this term, so that all its heartbeats came to this leader first."""
        return self.up_at is not None

    @property
    def awaiting_heartbeat(self) -> bool:
        """It was up before this term, and has not sent a heartbeat in it yet."""
        return self.listed_up and not self.up and self.asked_at is None

    @property
    def usable(self) -> bool:
        """Whether new work may be placed there."""
        return not (self.returning or self.draining or self.failed or self.retiring)

    def expired(self, now: timedelta, lease: timedelta) -> bool:
        """Whether the worker has certainly ended its session: no answer can have reached it for
        longer than a lease."""
        # A machine that has just come up may not have been answered at all: what counts then is
        # that it was heard.
        heard = (
            self.last_answer
            if self.last_heartbeat is None
            else max(self.last_answer, self.last_heartbeat)
        )
        return now > heard + longest_local_span(lease) + LEASE_EXPIRY_MARGIN

    def silent(
        self, now: timedelta, heartbeat_interval: timedelta, running_since: timedelta
    ) -> bool:
        """Whether heartbeats are missing, so that no new work should be placed there. Time in
        which this controller was paused does not count."""
        if self.last_heartbeat is None:
            return True
        return now - max(self.last_heartbeat, running_since) > heartbeat_interval * 2 + timedelta(
            seconds=2
        )

    def remember_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Record that the machine has fetched an image; it may have dropped the least recently
        used ones."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)


class MachineRegistry:
    """All machines, and the names of those that have terminated."""

    def __init__(self) -> None:
        self.machines: dict[str, Machine] = {}
        self.terminated: OrderedDict[str, None] = OrderedDict()

    def __iter__(self) -> Iterator[Machine]:
        return iter(list(self.machines.values()))

    def get(self, name: str) -> Machine | None:
        """A machine that is known."""
        return self.machines.get(name)

    def ensure(self, name: str, kind: InstanceKind | None, now: timedelta) -> Machine:
        """A machine, created if necessary; its kind is set once it is known."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, kind, now)
        elif machine.kind is None:
            machine.kind = kind
        return machine

    def mostly_unreachable(self) -> bool:
        """Whether most machines that are up seem to get no answers: then the fault is on this
        side, and no machine is to blame."""
        up = [machine for machine in self.machines.values() if machine.up]
        return sum(machine.reachability.unreachable for machine in up) * 2 > len(up)

    def remove_terminated(self, name: str) -> None:
        """Remove a machine that has terminated; late heartbeats of it must not bring it back."""
        self.machines.pop(name, None)
        self.terminated[name] = None
        while len(self.terminated) > MAX_TERMINATED_NAMES:
            self.terminated.popitem(last=False)
