"""Machines, as reported by their heartbeats, the job records and the cloud."""

import asyncio
from collections import OrderedDict
from collections.abc import Iterator
from datetime import timedelta

from dappledrum.jobs.placement import Placement
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.timing.clock import longest_local_span
from dappledrum.workers.messages import WorkerHeartbeat, job_and_number
from dappledrum.workers.reachability import LEASE_EXPIRY_MARGIN, Reachability

MAX_TERMINATED_NAMES = 2_000


class Machine:
    """One rented machine."""

    def __init__(self, name: str, kind: InstanceKind | None, now: timedelta) -> None:
        self.name = name
        # None until a heartbeat or the cloud reports it: a predecessor's placement names only the
        # zone.
        self.kind = kind
        self.rented_at = now
        self.seen_at = now  # when this leader first learned of it
        #: When this leader rented it; reset when its boot time has been evaluated.
        self.asked_at: timedelta | None = None
        self.up_at: timedelta | None = None
        self.session = 0
        self.sequence = -1
        #: The token of this term that the newest known process of the worker shows; 0: none yet.
        self.incarnation = 0
        self.tokens_given = 0  # how many tokens of this term answers to it have carried
        #: When the first heartbeat without a token of this term arrived.
        self.unproven_since: timedelta | None = None
        self.last_heartbeat: timedelta | None = None
        self.ignored_in_a_row = 0  # heartbeats without effect since the last one with an effect
        # Latest time at which this leader or a predecessor may have answered the worker.
        self.last_answer = now
        self.reclaim_at: timedelta | None = None
        self.images: OrderedDict[str, float] = OrderedDict()
        self.placements: dict[tuple[str, int], Placement] = {}
        self.returning = False
        self.draining = False
        self.failed = False
        self.retiring = False  # replaced by a cheaper machine; gets no new work
        self.failures_by_job: dict[str, int] = {}  # since the last success
        self.blocked_until = timedelta(0)
        self.listed_at: timedelta | None = None
        self.listed_up = False  # the cloud has listed it as running
        self.placement_added = asyncio.Event()  # set when a task is placed there
        self.reachability = Reachability()
        #: Known only from heartbeats that may be late copies: not used as capacity, and not
        #: recorded. A record, the cloud's list, a rental or this term's token confirms a machine.
        self.unconfirmed = False

    @property
    def newest(self) -> tuple[int, int, int]:
        """Token, session and sequence number of the newest heartbeat; the token is 0 if it is not
        of this term."""
        return self.incarnation, self.session, self.sequence

    @property
    def up(self) -> bool:
        """Whether its worker has sent this leader a heartbeat that can't be a late copy from a
        terminated machine: it carried this term's token, or the machine was rented in this term,
        so that this leader was the first to receive its heartbeats."""
        return self.up_at is not None

    @property
    def awaiting_heartbeat(self) -> bool:
        """Whether it was up before this term, and has not sent a heartbeat in it yet."""
        return self.listed_up and not self.up and self.asked_at is None

    @property
    def usable(self) -> bool:
        """Whether new work may be placed there."""
        return not (self.returning or self.draining or self.failed or self.retiring)

    def expired(self, now: timedelta, lease: timedelta) -> bool:
        """Whether the worker has certainly ended its session, since no answer can have reached it
        for longer than a lease."""
        # A machine that has just come up may not have been answered yet; its last heartbeat counts
        # then.
        last_contact = (
            self.last_answer
            if self.last_heartbeat is None
            else max(self.last_answer, self.last_heartbeat)
        )
        return now > last_contact + longest_local_span(lease) + LEASE_EXPIRY_MARGIN

    def record_renewal(self, heartbeat: WorkerHeartbeat, now: timedelta) -> None:
        """Record that the sender of a heartbeat may be answered now, which renews its lease.

        This counts for the placements that it shows: a sender that has no attempt of them gets
        none by the answer either, unless that carries its start.
        """
        for status in heartbeat.tasks:
            job_id, number = job_and_number(status.task)
            placement = None if number is None else self.placements.get((job_id, number))
            if placement is None or placement.attempt != status.attempt:
                continue
            if placement.renewed_at is None or placement.renewed_at < now:
                placement.renewed_at = now

    def placement_expired(self, placement: Placement, now: timedelta, lease: timedelta) -> bool:
        """Whether the attempt has certainly ended, since no answer can have reached a worker
        process that has it for longer than a lease."""
        if placement.renewed_at is None:
            return self.expired(now, lease)
        return now > placement.renewed_at + longest_local_span(lease) + LEASE_EXPIRY_MARGIN

    def silent(
        self, now: timedelta, heartbeat_interval: timedelta, running_since: timedelta
    ) -> bool:
        """Whether heartbeats are missing, so that no new work should be placed there. Time during
        which this controller was paused does not count."""
        if self.last_heartbeat is None:
            return True
        return now - max(self.last_heartbeat, running_since) > heartbeat_interval * 2 + timedelta(
            seconds=2
        )

    def begin_incarnation(self, token: int) -> None:
        """Record that a process of the worker has shown this token of this term for the first
        time. What a former process has shown says nothing about it."""
        if self.incarnation:
            self.images.clear()
            self.reclaim_at = None
            self.reachability = Reachability()
            self.session, self.sequence = 0, -1
        for placement in self.placements.values():
            placement.offered_sequence = -1
        self.incarnation = token

    def remember_image(self, image: str, size_gb: float, cache_gb: float) -> None:
        """Record that the machine has fetched an image; the least recently used ones that its
        cache can't hold are forgotten."""
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
        """Return the machine, or None if it is not known."""
        return self.machines.get(name)

    def ensure(self, name: str, kind: InstanceKind | None, now: timedelta) -> Machine:
        """Return the machine, adding it if necessary; sets its kind if that was not known."""
        machine = self.machines.get(name)
        if machine is None:
            machine = self.machines[name] = Machine(name, kind, now)
        elif machine.kind is None:
            machine.kind = kind
        return machine

    def mostly_unreachable(self) -> bool:
        """Whether most machines that are up seem to get no answers, so that the fault is on this
        controller's side."""
        up = [machine for machine in self.machines.values() if machine.up]
        return sum(machine.reachability.unreachable for machine in up) * 2 > len(up)

    def remove_terminated(self, name: str) -> None:
        """Remove a machine that has terminated, and keep its name, so that its late heartbeats
        don't add it again."""
        self.machines.pop(name, None)
        self.terminated[name] = None
        while len(self.terminated) > MAX_TERMINATED_NAMES:
            self.terminated.popitem(last=False)
