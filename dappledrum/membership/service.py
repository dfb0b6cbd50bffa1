"""Exchanges heartbeats with the other controllers, probes idle links, and acts on what is known.

Heartbeats are sent when something has changed, and otherwise about once a second. A peer that has
just sent its own needs no request, so at rest each pair exchanges one message a second. A link
with traffic is not probed.
"""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping
from datetime import timedelta
from functools import partial

from dappledrum.election.elector import Elector
from dappledrum.membership.heartbeat_forwarding import ForwardedWorkers, HeartbeatForwarder
from dappledrum.membership.leader_placement import (
    MIN_GAIN,
    Claim,
    Situation,
    candidacy_delay,
    claims,
    late,
    successor,
    who_leads,
)
from dappledrum.membership.link_health import LinkHealth, ZoneHealth
from dappledrum.membership.messages import PeerHeartbeat, PeerHeartbeats, PeerHeartbeatsReply
from dappledrum.membership.peer_table import PeerTable, ms, span
from dappledrum.peers.client import Peers
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.supervisor import Supervisor
from dappledrum.timing.timeouts import PauseDetector
from dappledrum.workers.messages import WorkerHeartbeat

log = logging.getLogger(__name__)

EVERY = timedelta(seconds=1)
RECENT = timedelta(milliseconds=850)  # a peer whose heartbeat is newer is not asked
ASK_TIME = timedelta(milliseconds=900)
FORWARD_TIME = timedelta(seconds=3.2)  # the worker gives up after 4 s
LOOK = timedelta(milliseconds=250)
COUNT_EVERY = timedelta(seconds=2)
PROBE_TIME = timedelta(seconds=1)
PROBE_EVERY = timedelta(seconds=4)  # while all is well
PROBE_SOON = timedelta(milliseconds=700)  # while the leader hears nothing from a zone
CLOUD_EVERY = timedelta(seconds=5)
SLACK = timedelta(milliseconds=750)
MIN_SILENCE = timedelta(seconds=1.5)
#: A worker gives a controller up after 4 s, and turns to the next a second later.
SEARCH = timedelta(seconds=6)
#: Longer than another controller takes to become leader once the key is gone.
ASIDE = timedelta(seconds=2)
#: A worker that a leader has not answered for so long in its term has been searching.
SETTLED_TERM = timedelta(seconds=3)
#: No clock is further ahead of ours; a heartbeat that claims so is not genuine.
CLOCKS_APART = timedelta(hours=1)
SAMPLES = 2
MAX_ZONES = 16
SUPERVISOR = Supervisor(log, fault_pause_s=1.0)

Probe = Callable[[str, timedelta], Awaitable[bool]]


class Membership:
    """Loops and answers about links; one for each controller."""

    def __init__(
        self,
        member: str,
        clock: Clock,
        rng: random.Random,
        peers: Peers,
        elector: Elector,
        limits: WorkerLimits,
        pause_detector: PauseDetector,
        state: LinkHealth,
        cloud: LinkHealth,
        reporting: Callable[[], Mapping[str, int]],
        probe: Probe,
        ask_state: Callable[[], Awaitable[None]],
        ask_cloud: Callable[[], Awaitable[None]],
        transfer_leadership: Callable[[str, str], Awaitable[None]],
    ) -> None:
        self.member = member
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self.elector = elector
        self.limits = limits
        self.pause_detector = pause_detector
        self.state = state
        self.cloud = cloud
        self.heartbeat_peers: set[str] = set()  # peers whose version supports heartbeats
        self.reporting = reporting  # machines that should report, by zone
        self.probe = probe
        self.ask_state = ask_state
        self.ask_cloud = ask_cloud
        self.transfer_leadership = transfer_leadership
        self.table = PeerTable(member, peers.callers)
        self.zones: dict[str, ZoneHealth] = {}
        self.forwarded_workers = ForwardedWorkers(clock)
        self.forwarder = HeartbeatForwarder(self._send_heartbeats)
        self.began = clock.now()
        self.born = int(clock.utc_now().timestamp() * 1000)
        self.silent: dict[str, timedelta] = {}
        self.counted_at = ZERO  # machines by zone
        self.heard_at: timedelta | None = None  # the last heartbeat of any peer
        self._news: dict[str, asyncio.Event] = {peer: asyncio.Event() for peer in peers.callers}

    async def run(self) -> None:
        """Run all background tasks."""
        await asyncio.gather(
            *(
                SUPERVISOR.repeat(
                    f"heartbeats with {peer}", partial(self._exchange_heartbeats, peer)
                )
                for peer in self.peers.callers
            ),
            SUPERVISOR.repeat("leader placement", self._look),
            SUPERVISOR.repeat("store probe", self._probe_state),
            SUPERVISOR.repeat("worker probes", self._probe_workers),
            SUPERVISOR.repeat("cloud probe", self._probe_cloud),
        )

    def zone(self, name: str) -> ZoneHealth:
        """The state of a zone, created if necessary."""
        if name not in self.zones:
            while len(self.zones) >= MAX_ZONES:
                self.zones.pop(next(iter(self.zones)))
            self.zones[name] = ZoneHealth()
        return self.zones[name]

    # words

    def own(self) -> PeerHeartbeat:
        """This controller's own heartbeat."""
        now = self.clock.now()
        term = self.elector.valid_term()
        leader = self.elector.leader
        state, cloud = self.state.cost(), self.cloud.cost()
        heartbeat = PeerHeartbeat(
            self.member,
            self.born,
            ms(now - self.began),
            0,
            ms(now - self.pause_detector.running_since()),
            epoch=self.elector.epoch,
            leader=leader.member if leader is not None else None,
            holds=term is not None,
            term_ms=0 if term is None else ms(now - term.started_at),
            state_ms=None if state is None else ms(state),
            served_ms=None if self.state.served_at is None else ms(now - self.state.served_at),
            cloud_ms=None if cloud is None else ms(cloud),
            heard_ms={n: ms(now - at) for n, z in self.zones.items() if (at := z.heard_at)},
            probed_ms={n: ms(now - at) for n, z in self.zones.items() if (at := z.reached_at)},
            lost=sorted(
                self._unreachable_zones() if term is not None else self._unanswered_zones()
            ),
        )
        if term is not None:
            heartbeat.samples = {
                name: self.rng.sample(list(zone.addresses), min(SAMPLES, len(zone.addresses)))
                for name, zone in self.zones.items()
            }
        return heartbeat

    def _unanswered_zones(self) -> list[str]:
        return [name for name, zone in self.zones.items() if zone.lost()]

    def _unreachable_zones(self) -> dict[str, timedelta]:
        """Zones without reports whose workers do not answer probes either."""
        return {n: at for n, at in self.silent.items() if self.zone(n).unreachable_since(at)}

    def receive(self, heartbeats: PeerHeartbeats | PeerHeartbeatsReply) -> None:
        """Take over the heartbeats of a peer."""
        now = self.clock.now()
        self.heard_at = now
        self.table.note(heartbeats.own, now, direct=True)
        for heartbeat in heartbeats.heard[: len(self.table.members)]:
            if heartbeat.member == self.member:
                self._supersede_former_process(heartbeat)
            self.table.note(heartbeat, now, direct=False)

    def _supersede_former_process(self, heartbeat: PeerHeartbeat) -> None:
        """Make sure that this process counts as newer than a former process of this controller.

        Clocks are not exact: of two processes that begin a moment apart, the later one may have
        the earlier `born`, and all its heartbeats would count as old ones of the former process. A
        peer passes the former process's newest heartbeat on to it, and it begins after that.
        """
        now = ms(self.clock.now() - self.began)
        newest = int((self.clock.utc_now() + CLOCKS_APART).timestamp() * 1000)
        if (self.born, now) < (heartbeat.born, heartbeat.tick) and heartbeat.born <= newest:
            log.info("words of a process before this one look newer, beginning after them")
            self.born = heartbeat.born + 1
            self.announce()

    def answer(self, heartbeats: PeerHeartbeats) -> PeerHeartbeatsReply:
        """Answer a peer's heartbeats with ours. A peer that sends heartbeats supports them,
        whatever its version was before."""
        if heartbeats.own.member in self.table.members:
            self.heartbeat_peers.add(heartbeats.own.member)
        self.receive(heartbeats)
        return PeerHeartbeatsReply(self.own(), self.table.to_forward(self.clock.now()))

    def announce(self) -> None:
        """Send heartbeats at once, since something has changed that others should know."""
        for event in self._news.values():
            event.set()

    async def _exchange_heartbeats(self, peer: str) -> None:
        while True:
            try:
                async with asyncio.timeout(EVERY.total_seconds() * self.rng.uniform(0.9, 1.1)):
                    await self._news[peer].wait()
            except TimeoutError:
                if self.table.is_connected(peer, self.clock.now(), RECENT):
                    continue
            self._news[peer].clear()
            if peer not in self.heartbeat_peers:
                continue
            heartbeats = PeerHeartbeats(self.own(), self.table.to_forward(self.clock.now()))
            reply = await self.peers.heartbeats(peer, heartbeats, ASK_TIME)
            if reply is not None:
                self.receive(reply)

    # probes, where nothing flows

    async def _probe_state(self) -> None:
        while True:
            await asyncio.sleep(EVERY.total_seconds() * self.rng.uniform(0.9, 1.1))
            if self.state.idle_for(EVERY):
                await self.ask_state()

    async def _probe_workers(self) -> None:
        """Probe workers where no reports arrive.

        Followers probe a worker now and then, and workers of all zones while the leader gets no
        reports from one. The leader probes the zones without reports itself, to find out whether
        it is cut off or they are.
        """
        last = ZERO
        while True:
            await asyncio.sleep(PROBE_SOON.total_seconds() * self.rng.uniform(0.9, 1.1))
            heartbeats = self._recent_heartbeats()
            hurried = bool(self.silent) or any(w.holds and w.lost for w in heartbeats)
            now = self.clock.now()
            if not hurried and now - last < PROBE_EVERY:
                continue
            last = now
            for heartbeat in heartbeats:
                for name, addresses in heartbeat.samples.items() if heartbeat.holds else ():
                    known = self.zone(name).addresses
                    known.extend(a for a in addresses if a not in known)
            asked = self._to_ask(self.elector.valid_term() is not None)
            await asyncio.gather(*(self._ask(name) for name in asked[: None if hurried else 1]))

    def _to_ask(self, leads: bool) -> list[str]:
        """Zones from which nothing has come lately, starting with the oldest probe."""
        now = self.clock.now()
        names = [
            name
            for name, zone in self.zones.items()
            if zone.addresses
            and (name in self.silent or not leads)
            and (zone.last is None or now - zone.last > PROBE_SOON / 2)
        ]
        return sorted(names, key=lambda name: self.zones[name].probed_at or ZERO)[:MAX_ZONES]

    async def _ask(self, name: str) -> None:
        zone = self.zones[name]
        sent = zone.probed_at = self.clock.now()
        answered = await self.probe(self.rng.choice(list(zone.addresses)), PROBE_TIME)
        zone.probed(sent, self.clock.now(), answered)

    async def _probe_cloud(self) -> None:
        """Ask the cloud while the leader gets no answer from it. Calls are limited; the leader
        uses none of them then."""
        while True:
            await asyncio.sleep(CLOUD_EVERY.total_seconds() * self.rng.uniform(0.9, 1.1))
            if any(
                w.holds and span(w.cloud_ms or 0) > CLOUD_EVERY for w in self._recent_heartbeats()
            ):
                await self.ask_cloud()

    # conclusions

    def _recent_heartbeats(self) -> list[PeerHeartbeat]:
        return self.table.fresh(self.clock.now())

    def redirect_target(self) -> str | None:
        """The controller to which workers should be redirected; None: not known."""
        now = self.clock.now()
        leader = self.elector.leader
        cost = self.state.cost()
        own = Claim(
            self.elector.epoch,
            leader.member if leader is not None else None,
            now,
            cost is not None and cost <= MIN_GAIN,
        )
        heartbeats = {heartbeat.member: heartbeat for heartbeat in self._recent_heartbeats()}
        return who_leads(claims((self.table.known[name] for name in heartbeats), own), heartbeats)

    def is_connected(self) -> bool:
        """Whether any peer has sent a heartbeat lately."""
        now = self.clock.now()
        return any(self.table.is_connected(peer, now) for peer in self.heartbeat_peers)

    def served_peers(self) -> list[str]:
        """Peers that reach the store, the quickest first."""
        now = self.clock.now()
        able = [
            w
            for w in self._recent_heartbeats()
            if not late(w) and self.table.is_connected(w.member, now)
        ]
        return [heartbeat.member for heartbeat in sorted(able, key=lambda w: w.state_ms or 0)]

    def candidacy_delay(self) -> timedelta:
        """How long to let better candidates stand for leader first."""
        now = self.clock.now()
        return candidacy_delay(
            self.own(),
            [w for w in self._recent_heartbeats() if self.table.is_connected(w.member, now)],
        )

    async def forward_heartbeat(
        self, worker_heartbeat: WorkerHeartbeat, leader: str, body: bytes
    ) -> bytes | None:
        """The leader's answer to a worker that does not reach it; None: the worker should go there
        itself, or the leader gives no answer."""
        now = self.clock.now()
        heartbeat = self.table.heartbeat(leader, now)
        if heartbeat is None or not self.table.is_connected(leader, now):
            return None
        term = now - self.table.at(leader) + span(heartbeat.term_ms)
        lost, long = worker_heartbeat.zone in heartbeat.lost, term > SETTLED_TERM
        if not self.forwarded_workers.needed(
            worker_heartbeat.machine, worker_heartbeat.token, heartbeat.epoch, lost, long
        ):
            return None
        return await self.forwarder.ask(leader, body)

    async def _send_heartbeats(
        self, leader: str, heartbeats: list[bytes]
    ) -> list[bytes | None] | None:
        return await self.peers.forward_heartbeats(leader, heartbeats, FORWARD_TIME)

    async def _look(self) -> None:
        """As leader: find zones without reports, and transfer leadership if another controller is
        better connected."""
        announced: set[str] = set()
        while True:
            await asyncio.sleep(LOOK.total_seconds())
            term = self.elector.valid_term()
            if term is None:
                self.silent = {}
                announced = set()
                continue
            self.silent = self._silent_zones(term.started_at)
            unreachable_zones = set(self._unreachable_zones())
            if unreachable_zones != announced:
                if unreachable_zones - announced:
                    log.warning("cut off from workers of %s", ", ".join(sorted(unreachable_zones)))
                announced = unreachable_zones
                self.announce()
            if not self.elector.may_transfer():
                continue
            situation = self._situation()
            target = successor(situation, self.table, self.heartbeat_peers)
            if target is not None:
                await self.transfer_leadership(*target)
            elif self._serves_nobody(situation):
                self.elector.resign("neither workers nor peers reach this controller", ASIDE)

    def _serves_nobody(self, ours: Situation) -> bool:
        """Whether this leader reaches no worker and no peer that could lead instead. It then steps
        aside for a moment, and leads again if no other controller does."""
        if ours.heard or not ours.unreachable_zones or self.is_connected():
            return False
        return all(ours.now - at > SEARCH for at in ours.unreachable_zones.values())

    def _silent_zones(self, began: timedelta) -> dict[str, timedelta]:
        """Zones with machines that should report, but from which nothing has come for longer than
        any of them may take. Time in which this controller itself was paused does not count."""
        now = self.clock.now()
        since = max(began, self.pause_detector.running_since())
        if now - since <= MIN_SILENCE:
            return {}
        # To count all machines four times a second costs more than to hear them. While every zone
        # is heard of, it only tells of zones that are new.
        least = min(self.limits.heartbeat_interval * 1.25 + SLACK, MIN_SILENCE)
        heard = all(now - max(z.heard_at or ZERO, since) <= least for z in self.zones.values())
        if heard and now - self.counted_at < COUNT_EVERY:
            return {}
        self.counted_at = now
        result = {}
        for name, machines in self.reporting().items():
            at = max(self.zone(name).heard_at or ZERO, since)
            if now - at > self._longest_silence(machines):
                result[name] = at
        return result

    def _longest_silence(self, machines: int) -> timedelta:
        """The longest time without a report from this many machines. No machine is ever later than
        a quarter of the usual interval, and of many machines with random offsets some report much
        sooner: all of them are later than this with probability e^-12."""
        many = self.limits.heartbeat_interval * 12 / machines
        return min(self.limits.heartbeat_interval * 1.25 + SLACK, max(many, MIN_SILENCE))

    def _situation(self) -> Situation:
        now = self.clock.now()
        search = self.limits.heartbeat_interval * 1.25 + SLACK + SEARCH
        unreachable_zones = self._unreachable_zones()
        not_reporting = {
            n: at
            for n, at in self.silent.items()
            if n not in unreachable_zones and now - at > search
        }
        heard = frozenset(
            name
            for name, zone in self.zones.items()
            if name not in self.silent
            and zone.heard_at is not None
            and now - zone.heard_at <= self.limits.lease_duration
        )
        return Situation(
            now,
            self.state.cost() or ZERO,
            self.state.waiting_since,
            self.cloud.cost() or ZERO,
            self.cloud.waiting_since,
            unreachable_zones,
            not_reporting,
            heard,
        )
