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

from dappledrum.leadership.elector import Elector
from dappledrum.peers.client import Peers
from dappledrum.reach.choose import (
    WORTH,
    Claim,
    Situation,
    claims,
    deference,
    late,
    successor,
    who_leads,
)
from dappledrum.reach.links import Link, Zone
from dappledrum.reach.messages import Word, Words, WordsReply
from dappledrum.reach.passing import Detours, Passing
from dappledrum.reach.table import Table, ms, span
from dappledrum.settings import WorkerLimits
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.patience import Pulse
from dappledrum.workers.messages import Report

log = logging.getLogger(__name__)

EVERY = timedelta(seconds=1)
QUIET = timedelta(milliseconds=850)  # a peer whose heartbeat is newer is not asked
ASK_TIME = timedelta(milliseconds=900)
PASS_TIME = timedelta(seconds=3.2)  # the worker gives up after 4 s
LOOK = timedelta(milliseconds=250)
COUNT_EVERY = timedelta(seconds=2)
PROBE_TIME = timedelta(seconds=1)
PROBE_EVERY = timedelta(seconds=4)  # while all is well
PROBE_SOON = timedelta(milliseconds=700)  # while the leader hears nothing from a zone
CLOUD_EVERY = timedelta(seconds=5)
SLACK = timedelta(milliseconds=750)
SILENCE_LEAST = timedelta(seconds=1.5)
#: A worker gives a controller up after 4 s, and turns to the next a second later.
SEARCH = timedelta(seconds=6)
#: Longer than another controller takes to become leader once the key is gone.
ASIDE = timedelta(seconds=2)
#: A worker that a leader has not answered for so long in its term has been searching.
FOUND = timedelta(seconds=3)
#: No clock is further ahead of ours; a heartbeat that claims so is not genuine.
CLOCKS_APART = timedelta(hours=1)
SAMPLES = 2
MOST_ZONES = 16

Probe = Callable[[str, timedelta], Awaitable[bool]]


class Reach:
    """Loops and answers about links; one for each controller."""

    def __init__(
        self,
        member: str,
        clock: Clock,
        rng: random.Random,
        peers: Peers,
        elector: Elector,
        limits: WorkerLimits,
        pulse: Pulse,
        state: Link,
        cloud: Link,
        reporting: Callable[[], Mapping[str, int]],
        probe: Probe,
        ask_state: Callable[[], Awaitable[None]],
        ask_cloud: Callable[[], Awaitable[None]],
        hand_over: Callable[[str, str], Awaitable[None]],
    ) -> None:
        self.member = member
        self.clock = clock
        self.rng = rng
        self.peers = peers
        self.elector = elector
        self.limits = limits
        self.pulse = pulse
        self.state = state
        self.cloud = cloud
        self.speaks: set[str] = set()  # peers whose version supports heartbeats
        self.reporting = reporting  # machines that should report, by zone
        self.probe = probe
        self.ask_state = ask_state
        self.ask_cloud = ask_cloud
        self.hand_over = hand_over
        self.table = Table(member, peers.callers)
        self.zones: dict[str, Zone] = {}
        self.detours = Detours(clock)
        self.passing = Passing(self._pass)
        self.began = clock.now()
        self.born = int(clock.today().timestamp() * 1000)
        self.silent: dict[str, timedelta] = {}
        self.counted_at = ZERO  # machines by zone
        self.heard_at: timedelta | None = None  # the last heartbeat of any peer
        self._news: dict[str, asyncio.Event] = {peer: asyncio.Event() for peer in peers.callers}

    async def run(self) -> None:
        """Run all background tasks."""
        await asyncio.gather(
            *(self._guard(lambda peer=peer: self._talk(peer)) for peer in self.peers.callers),
            self._guard(self._look),
            self._guard(self._probe_state),
            self._guard(self._probe_workers),
            self._guard(self._probe_cloud),
        )

    async def _guard(self, loop: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await loop()
            except Exception:
                log.exception("a loop about links failed, going on")
                await asyncio.sleep(1)

    def zone(self, name: str) -> Zone:
        """The state of a zone, created if necessary."""
        if name not in self.zones:
            while len(self.zones) >= MOST_ZONES:
                self.zones.pop(next(iter(self.zones)))
            self.zones[name] = Zone()
        return self.zones[name]

    # words

    def own(self) -> Word:
        """This controller's own heartbeat."""
        now = self.clock.now()
        term = self.elector.holding()
        leader = self.elector.leader
        state, cloud = self.state.cost(), self.cloud.cost()
        word = Word(
            self.member,
            self.born,
            ms(now - self.began),
            0,
            ms(now - self.pulse.awake_since()),
            epoch=self.elector.epoch,
            leader=leader.member if leader is not None else None,
            holds=term is not None,
            term_ms=0 if term is None else ms(now - term.began),
            state_ms=None if state is None else ms(state),
            served_ms=None if self.state.served_at is None else ms(now - self.state.served_at),
            cloud_ms=None if cloud is None else ms(cloud),
            heard_ms={n: ms(now - at) for n, z in self.zones.items() if (at := z.heard_at)},
            probed_ms={n: ms(now - at) for n, z in self.zones.items() if (at := z.reached_at)},
            lost=sorted(self._apart() if term is not None else self._unreached()),
        )
        if term is not None:
            word.samples = {
                name: self.rng.sample(list(zone.addresses), min(SAMPLES, len(zone.addresses)))
                for name, zone in self.zones.items()
            }
        return word

    def _unreached(self) -> list[str]:
        return [name for name, zone in self.zones.items() if zone.lost()]

    def _apart(self) -> dict[str, timedelta]:
        """Zones without reports whose workers do not answer probes either."""
        return {n: at for n, at in self.silent.items() if self.zone(n).apart_since(at)}

    def hear(self, words: Words | WordsReply) -> None:
        """Take over the heartbeats of a peer."""
        now = self.clock.now()
        self.heard_at = now
        self.table.note(words.own, now, direct=True)
        for word in words.heard[: len(self.table.members)]:
            if word.member == self.member:
                self._outlive(word)
            self.table.note(word, now, direct=False)

    def _outlive(self, word: Word) -> None:
        """Make sure that this process counts as newer than a former process of this controller.

        Clocks are not exact: of two processes that begin a moment apart, the later one may have
        the earlier `born`, and all its heartbeats would count as old ones of the former process. A
        peer passes the former process's newest heartbeat on to it, and it begins after that.
        """
        now = ms(self.clock.now() - self.began)
        newest = int((self.clock.today() + CLOCKS_APART).timestamp() * 1000)
        if (self.born, now) < (word.born, word.tick) and word.born <= newest:
            log.info("words of a process before this one look newer, beginning after them")
            self.born = word.born + 1
            self.tell()

    def answer(self, words: Words) -> WordsReply:
        """Answer a peer's heartbeats with ours. A peer that sends heartbeats supports them,
        whatever its version was before."""
        if words.own.member in self.table.members:
            self.speaks.add(words.own.member)
        self.hear(words)
        return WordsReply(self.own(), self.table.to_hand_on(self.clock.now()))

    def tell(self) -> None:
        """Send heartbeats at once, since something has changed that others should know."""
        for event in self._news.values():
            event.set()

    async def _talk(self, peer: str) -> None:
        while True:
            try:
                async with asyncio.timeout(EVERY.total_seconds() * self.rng.uniform(0.9, 1.1)):
                    await self._news[peer].wait()
            except TimeoutError:
                if self.table.talks(peer, self.clock.now(), QUIET):
                    continue
            self._news[peer].clear()
            if peer not in self.speaks:
                continue
            words = Words(self.own(), self.table.to_hand_on(self.clock.now()))
            reply = await self.peers.words(peer, words, ASK_TIME)
            if reply is not None:
                self.hear(reply)

    # probes, where nothing flows

    async def _probe_state(self) -> None:
        while True:
            await asyncio.sleep(EVERY.total_seconds() * self.rng.uniform(0.9, 1.1))
            if self.state.quiet_for(EVERY):
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
            words = self._words()
            hurried = bool(self.silent) or any(w.holds and w.lost for w in words)
            now = self.clock.now()
            if not hurried and now - last < PROBE_EVERY:
                continue
            last = now
            for word in words:
                for name, addresses in word.samples.items() if word.holds else ():
                    known = self.zone(name).addresses
                    known.extend(a for a in addresses if a not in known)
            asked = self._to_ask(self.elector.holding() is not None)
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
        return sorted(names, key=lambda name: self.zones[name].probed_at or ZERO)[:MOST_ZONES]

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
            if any(w.holds and span(w.cloud_ms or 0) > CLOUD_EVERY for w in self._words()):
                await self.ask_cloud()

    # conclusions

    def _words(self) -> list[Word]:
        return self.table.fresh(self.clock.now())

    def conductor(self) -> str | None:
        """The controller to which workers should be redirected; None: not known."""
        now = self.clock.now()
        leader = self.elector.leader
        cost = self.state.cost()
        own = Claim(
            self.elector.epoch,
            leader.member if leader is not None else None,
            now,
            cost is not None and cost <= WORTH,
        )
        words = {word.member: word for word in self._words()}
        return who_leads(claims((self.table.known[name] for name in words), own), words)

    def talks(self) -> bool:
        """Whether any peer has sent a heartbeat lately."""
        now = self.clock.now()
        return any(self.table.talks(peer, now) for peer in self.speaks)

    def served_peers(self) -> list[str]:
        """Peers that reach the state service, the quickest first."""
        now = self.clock.now()
        able = [w for w in self._words() if not late(w) and self.table.talks(w.member, now)]
        return [word.member for word in sorted(able, key=lambda w: w.state_ms or 0)]

    def deference(self) -> timedelta:
        """How long to let better candidates stand for leader first."""
        now = self.clock.now()
        return deference(self.own(), [w for w in self._words() if self.table.talks(w.member, now)])

    async def pass_on(self, report: Report, leader: str, body: bytes) -> bytes | None:
        """The leader's answer to a worker that does not reach it; None: the worker should go there
        itself, or the leader gives no answer."""
        now = self.clock.now()
        word = self.table.word(leader, now)
        if word is None or not self.table.talks(leader, now):
            return None
        term = now - self.table.at(leader) + span(word.term_ms)
        lost, long = report.zone in word.lost, term > FOUND
        if not self.detours.needed(report.machine, report.token, word.epoch, lost, long):
            return None
        return await self.passing.ask(leader, body)

    async def _pass(self, leader: str, reports: list[bytes]) -> list[bytes | None] | None:
        return await self.peers.passed(leader, reports, PASS_TIME)

    async def _look(self) -> None:
        """As leader: find zones without reports, and transfer leadership if another controller is
        better connected."""
        told: set[str] = set()
        while True:
            await asyncio.sleep(LOOK.total_seconds())
            term = self.elector.holding()
            if term is None:
                self.silent = {}
                told = set()
                continue
            self.silent = self._fallen_silent(term.began)
            apart = set(self._apart())
            if apart != told:
                if apart - told:
                    log.warning("cut off from workers of %s", ", ".join(sorted(apart)))
                told = apart
                self.tell()
            if not self.elector.may_move():
                continue
            situation = self._situation()
            target = successor(situation, self.table, self.speaks)
            if target is not None:
                await self.hand_over(*target)
            elif self._useless(situation):
                self.elector.resign("neither workers nor peers reach this controller", ASIDE)

    def _useless(self, ours: Situation) -> bool:
        """Whether this leader reaches no worker and no peer that could lead instead. It then steps
        aside for a moment, and leads again if no other controller does."""
        if ours.heard or not ours.apart or self.talks():
            return False
        return all(ours.now - at > SEARCH for at in ours.apart.values())

    def _fallen_silent(self, began: timedelta) -> dict[str, timedelta]:
        """Zones with machines that should report, but from which nothing has come for longer than
        any of them may take. Time in which this controller itself was paused does not count."""
        now = self.clock.now()
        since = max(began, self.pulse.awake_since())
        if now - since <= SILENCE_LEAST:
            return {}
        # To count all machines four times a second costs more than to hear them. While every zone
        # is heard of, it only tells of zones that are new.
        least = min(self.limits.report * 1.25 + SLACK, SILENCE_LEAST)
        heard = all(now - max(z.heard_at or ZERO, since) <= least for z in self.zones.values())
        if heard and now - self.counted_at < COUNT_EVERY:
            return {}
        self.counted_at = now
        result = {}
        for name, machines in self.reporting().items():
            at = max(self.zone(name).heard_at or ZERO, since)
            if now - at > self._gap(machines):
                result[name] = at
        return result

    def _gap(self, machines: int) -> timedelta:
        """The longest time without a report from this many machines. No machine is ever later than
        a quarter of the usual interval, and of many machines with random offsets some report much
        sooner: all of them are later than this with probability e^-12."""
        many = self.limits.report * 12 / machines
        return min(self.limits.report * 1.25 + SLACK, max(many, SILENCE_LEAST))

    def _situation(self) -> Situation:
        now = self.clock.now()
        search = self.limits.report * 1.25 + SLACK + SEARCH
        apart = self._apart()
        mute = {n: at for n, at in self.silent.items() if n not in apart and now - at > search}
        heard = frozenset(
            name
            for name, zone in self.zones.items()
            if name not in self.silent
            and zone.heard_at is not None
            and now - zone.heard_at <= self.limits.lease
        )
        return Situation(
            now,
            self.state.cost() or ZERO,
            self.state.waiting_since,
            self.cloud.cost() or ZERO,
            self.cloud.waiting_since,
            apart,
            mute,
            heard,
        )
