"""One term of leadership: reads the records, then runs the loops that act on them until the term
is over."""

import asyncio
import logging
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from dappledrum.chains.graph import Graph
from dappledrum.chains.resolver import Resolver
from dappledrum.clock import ZERO, Clock
from dappledrum.dispatch import Dispatcher, Tuning
from dappledrum.fleet.cloud import Cloud
from dappledrum.fleet.keeper import Keeper
from dappledrum.fleet.memory import FleetMemory
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.messages import JobRecord, PageRecord
from dappledrum.jobs.record import Job
from dappledrum.jobs.recorder import Recorder
from dappledrum.leadership.elector import Term
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import Params
from dappledrum.state.budget import Rank
from dappledrum.state.client import CompactedError, State, StateError
from dappledrum.state.messages import Event
from dappledrum.workers.bookkeeping import Bookkeeper
from dappledrum.workers.messages import Commands, Report
from dappledrum.workers.roster import Machine, Roster

log = logging.getLogger(__name__)

JOBS = "job/"
PAGES = "page/"
TIMER = timedelta(seconds=1)  # stalled boots and overruns wake nobody, so the clock does
GATHER = timedelta(milliseconds=100)
LOAD = 4  # a plan is followed by a pause of at least this many times its own duration
WATCH_GAP = timedelta(milliseconds=150)
HOLD = timedelta(
    milliseconds=400
)  # the most that an answer to a worker waits for a record that it could carry
PLAN_TIME = timedelta(milliseconds=250)
# Reports of an idle worker come a report's time apart, however late the answer: held for most of
# that time, it can nearly always be given work at once.
IDLE_SHARE = 0.85
IDLE_MOST = timedelta(
    seconds=2.6
)  # well within the 4 s after which a worker turns to another controller
KEPT_OVER = 10_000


class Leader:
    """State and loops of one term."""

    def __init__(
        self,
        term: Term,
        leading: Callable[[], bool],
        state: State,
        cloud: Cloud,
        params: Params,
        clock: Clock,
        tuning: Tuning,
        types: list[MachineType],
        on_ended: Callable[[Job], None],
        awake_since: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        self.term = term
        self.leading = leading
        self.state = state
        self.params = params
        self.clock = clock
        self.on_ended = on_ended
        self.jobs: dict[str, Job] = {}
        self.over: OrderedDict[str, None] = OrderedDict()
        self.roster = Roster()
        self.estimates = Estimates()
        self.recorder = Recorder(state, term, params.state, clock)
        self.recorder.on_ended = self._ended
        self.graph = Graph(self.jobs, self.recorder.mark, self.wake)
        self.recorder.on_cancelled = self.graph.cancelled
        self.resolver = Resolver(state, self.graph, clock)
        self.bookkeeper = Bookkeeper(
            self.jobs,
            self.roster,
            self.estimates,
            params.workers,
            clock,
            term.epoch,
            self.recorder.mark,
            self.wake,
        )
        self.keeper = Keeper(
            cloud,
            self.roster,
            self.bookkeeper,
            params,
            clock,
            term.epoch,
            tuning.interval,
            leading,
            self.wake,
            awake_since,
        )
        self.memory = FleetMemory(state, term, self.roster, clock, params.state.value_bytes)
        self.set_types(types)
        self.dispatcher = Dispatcher(
            self.jobs,
            self.roster,
            self.estimates,
            self.keeper,
            params,
            clock,
            tuning,
            self.recorder.mark,
            self.recorder.starts_waiting,
        )
        self.loaded = asyncio.Event()
        self.woken = asyncio.Event()
        self.revision = 0
        self.began = clock.now()

    def set_types(self, types: list[MachineType]) -> None:
        """Take a catalog on."""
        self.keeper.types = {t.name: t for t in types}
        self.bookkeeper.cache_gb = {t.name: t.cache_gb for t in types}

    def wake(self, why: str) -> None:
        """Something has happened that the rule should look at."""
        self.woken.set()

    async def run(self) -> None:
        """Lead until the term is over."""
        loops = [
            self._guard(self._load_once),
            self._guard(self._watch),
            self._guard(self.recorder.run),
            self._guard(self._plan),
            self._guard(self._sweep),
            self._guard(self._resolve),
            self._guard(self._remember),
            self._guard(self.keeper.rent_loop),
            self._guard(self.keeper.return_loop),
            self._guard(self.keeper.list_loop),
            self._guard(self.keeper.catalog_loop),
        ]
        tasks = [asyncio.get_running_loop().create_task(loop) for loop in loops]
        try:
            await self.term.over.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _guard(self, loop: Callable[[], Awaitable[None]]) -> None:
        """A loop that fails is logged and begun again; it must not take the others along."""
        while not self.term.over.is_set():
            try:
                await loop()
                return
            except StateError as error:
                log.info("%s: state service not reached: %s", loop.__name__, error)
                await asyncio.sleep(0.1)
            except Exception:
                log.exception("%s failed, going on", loop.__name__)
                await asyncio.sleep(0.5)

    # records

    async def _load_once(self) -> None:
        started = self.clock.now()
        jobs, revision = await self.state.scan(JOBS, Rank.RECORD)
        pages, _ = await self.state.scan(PAGES, Rank.RECORD)
        self.jobs.clear()
        self.graph.clear()
        for entry in jobs:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            self.jobs[record.spec.id] = Job(record, entry.version)
        for entry in pages:
            _, name, index = entry.key.split("/")
            job = self.jobs.get(name)
            if job is None:
                self.recorder.garbage[entry.key] = None
            else:
                job.add_page(
                    int(index), msgspec.json.decode(entry.value, type=PageRecord), entry.version
                )
        for job in self.jobs.values():
            self.bookkeeper.restore(job)
        await self.memory.recall()
        for job in list(self.jobs.values()):
            self.graph.add(job)
            self.recorder.mark(job.page(0))
        self.revision = revision
        self.loaded.set()
        took = (self.clock.now() - started).total_seconds() * 1e3
        placed = sum(job.on_machines() for job in self.jobs.values())
        log.info("read %d live jobs with %d placements in %.0f ms", len(self.jobs), placed, took)
        self.wake("loaded")

    async def _watch(self) -> None:
        """Hear of submissions and cancellations that any controller took."""
        await self.loaded.wait()
        while True:
            try:
                events, revision = await self.state.watch(
                    JOBS, self.revision, timedelta(seconds=5), Rank.RECORD
                )
            except CompactedError:
                entries, revision = await self.state.scan(JOBS, Rank.RECORD)
                events = [Event(e.version, put=e.key, value=e.value) for e in entries]
            for event in events:
                if event.put is not None:
                    self._changed(event.put, event.value, event.version)
            self.revision = revision
            await asyncio.sleep(WATCH_GAP.total_seconds())

    def _changed(self, key: str, value: msgspec.Raw, version: int) -> None:
        name = key.removeprefix(JOBS)
        job = self.jobs.get(name)
        if name in self.over or (job is not None and version <= job.page(0).version):
            return
        record = msgspec.json.decode(value, type=JobRecord)
        if job is None:
            job = self.jobs[name] = Job(record, version)
            log.info("new job %s: %d tasks of %s", name, job.spec.tasks, job.spec.job_class)
            self.graph.add(job)
        else:
            job.page(0).version = version
            if record.cancelled and not job.cancelled:
                job.cancelled = True
                log.info("%s is cancelled", name)
                self.graph.cancelled(job)
        self.recorder.mark(job.page(0))
        self.wake("job changed")

    def _ended(self, job: Job) -> None:
        log.info("%s is %s", job.id, job.ended_record().state)
        self.jobs.pop(job.id, None)
        self.graph.ended(job)
        self.estimates.forget(job.id)
        self.over[job.id] = None
        while len(self.over) > KEPT_OVER:
            self.over.popitem(last=False)
        for placement in list(job.placements()):
            machine = self.roster.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
        self.on_ended(job)

    # loops

    async def _plan(self) -> None:
        await self.loaded.wait()
        while True:
            try:
                async with asyncio.timeout(TIMER.total_seconds()):
                    await self.woken.wait()
            except TimeoutError:
                pass
            self.woken.clear()
            pause = GATHER
            if self.leading() and self.keeper.types:
                started = self.clock.now()
                plan = await self.dispatcher.run()
                took = self.clock.now() - started
                pause = max(GATHER, min(took * LOAD, TIMER))
                log.debug("plan in %.0f ms: %s", took.total_seconds() * 1e3, plan)
            await asyncio.sleep(pause.total_seconds())

    async def _remember(self) -> None:
        await self.loaded.wait()
        await self.memory.run()

    async def _resolve(self) -> None:
        await self.loaded.wait()
        await self.resolver.run()

    async def _sweep(self) -> None:
        await self.loaded.wait()
        while True:
            self.bookkeeper.sweep()
            await asyncio.sleep(0.5)

    # workers

    async def report(self, report: Report, holding: Callable[[], bool]) -> Commands | None:
        """Answer to a worker; None when this controller is not entitled to give one."""
        if not self.loaded.is_set():
            try:
                async with asyncio.timeout(1.5):
                    await self.loaded.wait()
            except TimeoutError:
                return None
        if report.token > self.term.epoch:
            log.warning("%s has seen token %d, stepping down", report.machine, report.token)
            self.term.over.set()
            return None
        if report.machine in self.roster.gone:
            return None
        machine = self.bookkeeper.take(report)
        known = self.roster.get(report.machine)
        if machine is None:
            if known is None or not holding():
                return None
            known.last_answer = self.clock.now()
            return Commands(self.term.epoch, [])
        if self.leading():
            await self._wait_for_work(machine)
        if not holding() or machine.name in self.roster.gone:
            return None
        now = self.clock.now()
        machine.last_answer = max(machine.last_answer, now)
        fresh = (machine.session, machine.sequence) == (report.session, report.sequence)
        commands = self.bookkeeper.commands(machine, report, fresh and self.leading())
        return Commands(self.term.epoch, commands)

    async def _wait_for_work(self, machine: Machine) -> None:
        """Starts go only into answers, and the next report may be seconds away, so an answer waits
        a little: for the plan that the report itself has woken, or, when the machine is idle, for
        any plan that gives it something; then for the record of what it was given."""
        if not self.bookkeeper.pending(machine):
            patience = ZERO
            if self.woken.is_set():
                patience = PLAN_TIME
            if not machine.placements:
                patience = min(self.params.workers.report * IDLE_SHARE, IDLE_MOST)
            machine.given.clear()
            if patience <= ZERO or not await self._happens(machine.given.wait(), patience):
                return
        until = self.clock.now() + HOLD
        while self.leading() and self.bookkeeper.pending(machine):
            left = until - self.clock.now()
            if left <= ZERO or not await self._happens(self._saved(), left):
                return

    async def _saved(self) -> bool:
        async with self.recorder.saved:
            return await self.recorder.saved.wait()

    @staticmethod
    async def _happens(wait: Awaitable[bool], patience: timedelta) -> bool:
        try:
            async with asyncio.timeout(patience.total_seconds()):
                await wait
        except TimeoutError:
            return False
        return True
