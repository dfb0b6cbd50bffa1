"""One controller: its interfaces, and the parts behind them."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec

from dappledrum import __version__
from dappledrum.fleet.cloud import Cloud, CloudError
from dappledrum.fleet.messages import Catalog, MachineType
from dappledrum.http.client import Caller
from dappledrum.http.server import Request, Response
from dappledrum.jobs.intake import Intake, busy, refusal
from dappledrum.jobs.record import Job
from dappledrum.leadership.elector import Elector
from dappledrum.leadership.messages import HandOver, HandOverReply, PromiseReply, Standing
from dappledrum.leading.leader import IDLE_MOST, Leader
from dappledrum.peers.client import Peers
from dappledrum.peers.messages import (
    HoldingQuestion,
    HoldingReply,
    KnocksReply,
    MalformedError,
    Promise,
    Question,
    Relay,
    RelayReply,
    Reply,
    VersionQuestion,
    VersionReply,
    decode,
    encode,
)
from dappledrum.peers.messages import Knocks as KnocksQuestion
from dappledrum.peers.versions import GANGS, REACH, at_least
from dappledrum.reach.messages import Passed, PassedReply, Words
from dappledrum.reach.service import Probe, Reach
from dappledrum.settings import Settings, Tuning
from dappledrum.state.budget import Rank
from dappledrum.state.ceiling import Ceiling
from dappledrum.state.client import State, StateError, raw
from dappledrum.state.messages import Guard, Put
from dappledrum.timing.clock import ZERO, Clock, longer
from dappledrum.timing.patience import Pulse
from dappledrum.timing.troubles import Trouble
from dappledrum.workers.knocks import Knocks, shunned
from dappledrum.workers.messages import Commands, Redirect, Report

log = logging.getLogger(__name__)

CATALOG = "catalog"
GANGS_KNOWN = "gangs"
LEADER_SHARE = 0.6
FOLLOWER_BURST = 2.0  # seconds
RELAYS = 2
RELAY_TIME = timedelta(milliseconds=900)
KNOCK_TIME = timedelta(seconds=10)
VERSION_PAUSES = (timedelta(milliseconds=250), timedelta(seconds=2))  # the first, the longest
HOLDERS_TIME = timedelta(milliseconds=200)
QUIET_MOST = timedelta(minutes=10)
QUIET_ASKED = timedelta(seconds=5)  # a controller that is not there by then says nothing new
AVOID = timedelta(seconds=20)
PASSED_WAIT = timedelta(milliseconds=300)  # a passed report's answer waits for work no longer
#: What is left of a cancellation's time when a leader that a majority, but not all, have promised
#: has gone on for as long as it may, and its workers' leases have run out.
ALONE_MARGIN = timedelta(seconds=5)
#: The same for one that last knew of all cancellations when the user was told of one.
KNOWN_MARGIN = timedelta(seconds=1)
#: With a time for cancellations no longer than a lease leaders could answer nobody: they read all
#: changes this often at the least.
KNOWN_LEAST = timedelta(seconds=6)
ALONE_AFTER = timedelta(seconds=3)  # longer than words, and a restart of all others, take
SETTLE = timedelta(milliseconds=500)
LIFE_MOST = timedelta(seconds=3)


class Node:
    """A controller; how it is connected is left to the caller, so tests can run several in one
    process."""

    def __init__(
        self,
        settings: Settings,
        tuning: Tuning,
        clock: Clock,
        rng: random.Random,
        state: Caller,
        cloud: Caller,
        peers: dict[str, Caller],
        probe: Probe,
    ) -> None:
        self.settings = settings
        limits = settings.params.state
        self.params = msgspec.structs.replace(settings.params, state=limits.binding())
        self.tuning = tuning
        self.clock = clock
        self.rng = rng
        self.state = State(state, self.params.state, clock, rng)
        self.cloud = Cloud(cloud, self.params.cloud.rps * 0.9, clock)
        self.peers = Peers(peers)
        life = min(LIFE_MOST, self.params.workers.lease / 3)
        left = self.params.workers.lease + KNOWN_MARGIN
        self.elector = Elector(
            settings.member,
            self.state,
            clock,
            rng,
            life,
            self.peers.promise,
            self.peers.standing,
            self.peers.hand_over,
            max(ZERO, self.params.workers.cancel - self.params.workers.lease - ALONE_MARGIN),
            max(KNOWN_LEAST, self.params.workers.cancel - longer(left)),
        )
        self.elector.on_change = self._leadership_changed
        self.ceiling = Ceiling(limits)
        self.intake = Intake(self.state, self.params, clock, self.ceiling)
        self.elector.told = lambda span: self.intake.told.within(span, clock.now())
        self.elector.on_told = self._hear_told
        self.pulse = Pulse(clock)
        self.leader: Leader | None = None
        self.knocks = Knocks()
        self.no_catalog = Trouble(log, clock, "no machine types are known yet")
        self.reach = Reach(
            settings.member,
            clock,
            rng,
            self.peers,
            self.elector,
            self.params.workers,
            self.pulse,
            self.state.link,
            self.cloud.link,
            lambda: self.leader.reporting() if self.leader is not None else {},
            probe,
            self._ask_state,
            self._ask_cloud,
            self._hand_over,
        )
        if tuning.reach:
            self.elector.defer = self.reach.deference
            self.elector.all_ask = lambda: len(self.reach.speaks) == len(self.peers.callers)
        self._term_begun = asyncio.Event()
        self._set_share()

    async def run(self) -> None:
        """Everything that goes on by itself."""
        await asyncio.gather(
            self.pulse.run(),
            self.elector.run(),
            self._lead(),
            self._learn_types(),
            self._hear_workers(),
            self._learn_versions(),
            self._learn_holders(),
            *([self.reach.run()] if self.tuning.reach else []),
        )

    def _set_share(self) -> None:
        others = max(1, len(self.settings.seeds))
        alone = not self.settings.seeds
        share = (
            1.0
            if alone
            else LEADER_SHARE
            if self.elector.term is not None
            else (1 - LEADER_SHARE) / others
        )
        # A follower's share is small, and submissions come in clusters; those of all followers
        # rarely come at once.
        self.state.set_share(share * 0.95, 1.0 if share >= LEADER_SHARE else FOLLOWER_BURST)

    def _leadership_changed(self) -> None:
        self._set_share()
        self._term_begun.set()
        self.reach.tell()

    async def _lead(self) -> None:
        """Run the leader's part for as long as each term lasts."""
        while True:
            await self._term_begun.wait()
            self._term_begun.clear()
            term = self.elector.term
            if term is None or term.over.is_set():
                continue
            self.leader = Leader(
                term,
                lambda: self.elector.leading() is not None,
                self.state,
                self.ceiling,
                self.cloud,
                self.params,
                self.clock,
                self.tuning,
                self.intake.types or [],
                self._job_ended,
                self.pulse.awake_since,
            )
            asking = asyncio.ensure_future(self._ask_quiet(self.leader))
            try:
                await self.leader.run()
            except Exception:
                log.exception("leading failed")
                term.over.set()
            finally:
                asking.cancel()
                self.leader = None

    async def _ask_quiet(self, leader: Leader) -> None:
        """Ask since when nobody can have answered a worker any more; it matters when all were
        down, or the one that led is there again."""
        began = leader.term.began
        own = self.elector.held_at
        while self.clock.now() - began < QUIET_ASKED:
            quiet = await self.peers.quiet(HOLDERS_TIME)
            if quiet is not None:
                leader.quiet_since(max(own, self.clock.now() - quiet))
                return
            await asyncio.sleep(HOLDERS_TIME.total_seconds())

    def _hear_told(self, cancelled: frozenset[str]) -> bool:
        if self.leader is None:
            return False
        self.leader.hear_cancelled(cancelled)
        return True

    def _job_ended(self, job: Job) -> None:
        self.intake.remember(job.id, job.ended_record())

    async def _learn_types(self) -> None:
        """Get the catalog once: from a record of it if there is one, since the cloud may be
        away."""
        while True:
            types = await self._stored_types() or await self._cloud_types()
            if types:
                self.no_catalog.over()
                self.intake.types = types
                if self.leader is not None:
                    self.leader.set_types(types)
                    self.leader.wake("catalog")
                log.info("machine types: %s", ", ".join(t.name for t in types))
                return
            await asyncio.sleep(self.rng.uniform(0.5, 1.5))

    async def _stored_types(self) -> list[MachineType]:
        try:
            entry = await self.state.get(CATALOG, Rank.INTAKE)
            return (
                msgspec.json.decode(entry.value, type=Catalog).types if entry is not None else []
            )
        except (StateError, msgspec.DecodeError) as error:
            self.no_catalog.seen(f"no stored catalog: {error}")
            return []

    async def _cloud_types(self) -> list[MachineType]:
        try:
            types = await self.cloud.catalog()
        except CloudError as error:
            self.no_catalog.seen(f"no catalog: {error}")
            return []
        value = raw(Catalog(types))
        if types and len(value) < self.params.state.value_bytes:
            try:
                await self.state.commit([Guard(CATALOG, 0)], [Put(CATALOG, value)], Rank.INTAKE)
            except StateError as error:
                log.info("catalog not stored: %s", error)
        return types

    async def _hear_workers(self) -> None:
        """A leader that no worker reaches, while they try elsewhere, is in the way."""
        silence = max(self.params.workers.report * 3, timedelta(seconds=3))
        while True:
            await asyncio.sleep(1)
            leader = self.leader
            now = self.clock.now()
            if leader is None or not leader.loaded.is_set() or self.elector.leading() is None:
                continue
            if self.tuning.reach and self.reach.speaks:
                continue  # words tell more, and who had better lead
            heard = self.knocks.last
            began = max(leader.began, self.pulse.awake_since())
            if now - began < silence or (heard is not None and now - heard < silence):
                continue
            names = shunned(
                await self.peers.knocks(KNOCK_TIME, timedelta(seconds=1)), leader.roster
            )
            if names and self.leader is leader:
                self.elector.resign(
                    f"no worker reaches this controller, {len(names)} try others", AVOID
                )

    async def _learn_versions(self) -> None:
        """Once every other controller tells its version, none is left that can't read records in
        parts; those before 0.3.0 do not tell, and whoever was upgraded stays so. Gangs are taken
        once all run a version that knows them; that this was so is stored, as a controller may be
        down for long."""
        told: dict[str, str] = {}
        settled = False
        pause, longest = VERSION_PAUSES
        while True:
            for member in self.peers.callers:
                if at_least(told.get(member, ""), REACH):
                    continue
                version = await self.peers.version(member, RELAY_TIME)
                if version is not None and version != told.get(member):
                    told[member] = version
                    log.info("%s runs version %.40s", member, version)
                    if at_least(version, REACH):
                        self.reach.speaks.add(member)
                        self.reach.tell()  # until it knows words this controller is not ready
            if len(told) == len(self.peers.callers):
                self.ceiling.settle("all controllers read them")
            if all(at_least(told.get(member, ""), GANGS) for member in self.peers.callers):
                self.intake.gangs = True
            settled = settled or await self._gangs_known()
            if settled and all(at_least(told.get(m, ""), REACH) for m in self.peers.callers):
                return
            await asyncio.sleep(pause.total_seconds())
            pause = min(pause * 2, longest)

    async def _gangs_known(self) -> bool:
        """Whether it is stored that all controllers know gangs, now or from before."""
        try:
            entry = await self.state.get(GANGS_KNOWN, Rank.RECORD)
            if entry is None and self.intake.gangs:
                value = raw({"version": __version__})
                await self.state.commit(
                    [Guard(GANGS_KNOWN, 0)], [Put(GANGS_KNOWN, value)], Rank.RECORD
                )
            self.intake.gangs = self.intake.gangs or entry is not None
            # An older peer may yet be upgraded, which settles how records are written.
            return self.intake.gangs and self.ceiling.settled
        except StateError as error:
            log.debug("not known whether all know gangs: %s", error)
            return False

    # links

    async def _ask_state(self) -> None:
        try:
            await self.state.get(CATALOG, Rank.LEASE, timedelta(seconds=1))
        except StateError as error:
            log.debug("state service not reached: %s", error)

    async def _ask_cloud(self) -> None:
        try:
            await self.cloud.catalog()
        except CloudError as error:
            log.debug("cloud not reached: %s", error)

    async def _hand_over(self, member: str, why: str) -> None:
        """Name a successor, with what has happened written down if it can be."""
        if self.leader is not None and not self.state.troubled():
            await self.leader.settle(SETTLE)
        self.elector.hand_over(member, why)

    async def _learn_holders(self) -> None:
        """After a restart, ask whether anybody may still rely on what the process before has
        promised: the wait for it to lapse is most of what a restart of all costs."""
        while self.elector.witness.unknown_until > self.clock.now():
            if self.peers.callers and await self.peers.nobody_holds(HOLDERS_TIME):
                self.elector.nobody_holds()
                return
            await asyncio.sleep(HOLDERS_TIME.total_seconds())

    # users and workers

    async def serve(self, request: Request) -> Response:
        """One request on the public address."""
        path = request.path.partition("?")[0]
        route = self._routes(path)
        if route is None:
            return refusal(HTTPStatus.NOT_FOUND, "no such path")
        method, handler = route
        if request.method != method:
            return refusal(HTTPStatus.METHOD_NOT_ALLOWED, f"use {method}")
        return await handler(request)

    def _routes(self, path: str) -> tuple[str, Callable[[Request], Awaitable[Response]]] | None:
        if path == "/hello":
            return "POST", self._hello
        if path == "/ready":
            return "GET", self._ready
        if path == "/submissions":
            return "POST", self._for_user
        parts = path.split("/")
        if len(parts) == 3 and parts[1] == "submissions" and parts[2]:
            return "GET", self._for_user
        if len(parts) == 4 and parts[1] == "submissions" and parts[2] and parts[3] == "cancel":
            return "POST", self._for_user
        return None

    async def _ready(self, _request: Request) -> Response:
        """Ready once the state service was reached, or a peer talks; an outage later on changes
        nothing, flapping is worse. The body says which way there is.

        Users are passed to a peer that is served, and where none is they are told at once when to
        come back, as by controllers that were there before the outage. Processes that began in one
        once said that they were not ready, and after it users found nobody for 10 s and more: the
        load balancer takes back whom it has left out only slowly.

        One that has neither the state service nor any peer for a while is alone, whoever else is
        served: it refuses at once, so it has the fewest open connections, and the load balancer
        favoured it over those that could serve.
        """
        reached = self.state.reached and not self._alone()
        if reached or self.reach.talks():
            return Response(HTTPStatus.OK, msgspec.json.encode({"state": self._way()}))
        why = self.state.trouble.why or "no answer yet"
        return refusal(
            HTTPStatus.SERVICE_UNAVAILABLE, f"the state service was not reached yet: {why}"
        )

    def _alone(self) -> bool:
        """Neither the state service nor a peer has talked to this controller for a while, though
        peers have before: it is cut off, or all the others are down."""
        failing = self.state.failing_for()
        heard = self.reach.heard_at
        if heard is None or failing is None or failing < ALONE_AFTER:
            return False
        return self.clock.now() - max(heard, self.pulse.awake_since()) > ALONE_AFTER

    def _way(self) -> str:
        if not self.state.troubled():
            return "reached"
        through = self.reach.served_peers()
        return f"through {through[0]}" if through else "not reached"

    async def _for_user(self, request: Request) -> Response:
        """Serve a user here, or through a peer while the state service does not serve this
        controller."""
        if self.state.troubled():
            if self._alone():
                return busy(2)  # at once: there is nobody to ask
            relayed = await self._relay(request)
            if relayed is not None:
                return relayed
            return await self._locally(request) if not self.state.hanging() else busy(2)
        response = await self._locally(request)
        if response.status == HTTPStatus.SERVICE_UNAVAILABLE and self.state.troubled():
            return await self._relay(request) or response
        return response

    async def _locally(self, request: Request) -> Response:
        parts = request.path.partition("?")[0].split("/")
        if len(parts) == 2:
            return await self.intake.submit(request.body)
        number = parts[2].removeprefix("j-")
        if not (
            parts[2] != number and number.isascii() and number.isdigit() and len(number) <= 30
        ):
            return refusal(HTTPStatus.NOT_FOUND, "no such job")
        if len(parts) == 3:
            return await self.intake.poll(parts[2])
        return await self.intake.cancel(parts[2])

    async def _relay(self, request: Request) -> Response | None:
        """Ask the two peers that the state service serves best at the same time, or all when none
        is known to be served, and take the first answer that is one."""
        question = Relay(request.method, request.path, request.body)
        asked = [
            asyncio.ensure_future(self.peers.relay(member, question, RELAY_TIME))
            for member in self.reach.served_peers()[:RELAYS] or self.peers.callers
        ]
        try:
            for done in asyncio.as_completed(asked):
                reply = await done
                if reply is not None and reply.status != HTTPStatus.SERVICE_UNAVAILABLE:
                    return Response(reply.status, reply.body, reply.retry_after)
        finally:
            for task in asked:
                task.cancel()
        return None

    async def _hello(self, request: Request) -> Response:
        """A worker's report."""
        try:
            report = msgspec.json.decode(request.body, type=Report)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.warning("unusable report: %s", error)
            return refusal(HTTPStatus.BAD_REQUEST, str(error))
        self.knocks.note(report.machine, self.clock.now())
        self.reach.zone(report.zone).heard(self.clock.now(), report.address)
        commands = await self._commands(report, IDLE_MOST)
        if commands is not None:
            return Response(HTTPStatus.OK, msgspec.json.encode(commands))
        conductor = self._conductor()
        if conductor is not None and self.tuning.reach:
            answer = await self.reach.pass_on(report, conductor, request.body)
            if answer is not None:
                return Response(HTTPStatus.OK, answer)
        return Response(
            HTTPStatus.MISDIRECTED_REQUEST,
            msgspec.json.encode(Redirect(conductor)),
            close=True,  # the worker goes elsewhere, so its place is free
        )

    async def _commands(self, report: Report, most: timedelta) -> Commands | None:
        """The leader's answer; None: this controller is not entitled to give one."""
        leader = self.leader
        if leader is None or self.elector.holding() is not leader.term:
            return None
        return await leader.report(report, lambda: self.elector.answering() is leader.term, most)

    def _conductor(self) -> str | None:
        """Whom to send a worker to; None: not known, so that it tries the next one by itself.

        A controller that the state service does not serve may know only a former leader. Four
        that did so once sent all workers round in a ring, and none came to the fifth, which led.
        """
        if self._alone():
            return None  # whoever led when it was cut off may have ended long ago
        if self.tuning.reach:
            member = self.reach.conductor()
        else:
            known = None if self.state.troubled() else self.elector.leader
            member = known.member if known is not None else None
        return None if member == self.settings.member else member

    # peers

    async def serve_peer(self, request: Request) -> Response:
        """One request on the address for the other controllers."""
        if request.path != "/peer":
            return Response(HTTPStatus.NOT_FOUND)
        try:
            question = decode(request.body, Question)
        except MalformedError as error:
            log.warning("unusable message from a peer: %s", error)
            return Response(HTTPStatus.BAD_REQUEST)
        return Response(
            HTTPStatus.OK, encode(await self._answer(question)), content_type="application/cbor"
        )

    async def _answer(self, question: Question) -> Reply:
        if isinstance(question, Relay):
            if self.state.troubled():
                return RelayReply(HTTPStatus.SERVICE_UNAVAILABLE, b"{}", 1)
            response = await self._locally(Request(question.method, question.path, question.body))
            return RelayReply(response.status, response.body, response.retry_after)
        if isinstance(question, Words):
            return self.reach.answer(question)
        if isinstance(question, Passed):
            return PassedReply(await asyncio.gather(*map(self._passed, question.reports)))
        if isinstance(question, Standing):
            return self.elector.standing(question)
        if isinstance(question, HandOver):
            return HandOverReply(await self.elector.take_over(question))
        if isinstance(question, HoldingQuestion):
            quiet = min(self.elector.quiet_for(), QUIET_MOST)
            # Also a term that may answer nobody just now for what it does not know: it may again.
            holds = self.elector.term is not None
            return HoldingReply(holds, int(quiet.total_seconds() * 1000))
        if isinstance(question, VersionQuestion):
            return VersionReply(__version__)
        if isinstance(question, KnocksQuestion):
            within = timedelta(milliseconds=min(max(question.within_ms, 0), 60_000))
            return KnocksReply(self.knocks.within(within, self.clock.now()))
        assert isinstance(question, Promise)
        # Ask first, every time: while this controller is served, a leader that is refused alone
        # must not be kept in office, since leadership can simply move.
        try:
            await self.state.get(CATALOG, Rank.LEASE, timedelta(milliseconds=300))
        except StateError as error:
            log.debug("state service not reached either: %s", error)
            return self.elector.promise(question.request)
        return PromiseReply(False, "state service reached")

    async def _passed(self, body: bytes) -> bytes | None:
        """The answer to a report that came through a peer: the same that the worker would get,
        or none. It is not passed on again."""
        try:
            report = msgspec.json.decode(body, type=Report)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            log.warning("unusable report from a peer: %s", error)
            return None
        commands = await self._commands(report, PASSED_WAIT)
        return None if commands is None else msgspec.json.encode(commands)
