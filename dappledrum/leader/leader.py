"""One term of leadership: reads the records, then runs the loops that act on them until the term
is over."""

import asyncio
import logging
from collections import Counter, OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from itertools import islice

import msgspec

from dappledrum.accounting.ledger import STEP, Ledger
from dappledrum.accounting.served_counts import ServedCounts, described, ending
from dappledrum.dependencies.graph import DependencyGraph
from dappledrum.dependencies.resolver import DependencyResolver
from dappledrum.dispatch.context import DispatchContext
from dappledrum.dispatch.dispatcher import Dispatcher
from dappledrum.election.terms import Term
from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.fleet.cloud_client import CloudClient
from dappledrum.fleet.fleet_facts import FLEET, FleetFacts
from dappledrum.fleet.messages import FleetRecord, MachineType
from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key, spec_key
from dappledrum.jobs.messages import JobRecord, SpecPart
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.heartbeat_responder import MAX_IDLE_WAIT, HeartbeatResponder
from dappledrum.leader.job_loader import JOBS, JobLoader
from dappledrum.learning.learned_estimates import LearnedEstimates
from dappledrum.learning.messages import LearnedRecord
from dappledrum.recovery.progress import RecoveryProgress
from dappledrum.scheduling.estimates import Estimates
from dappledrum.settings import Params, Tuning
from dappledrum.store.advisory_record import AdvisoryRecord
from dappledrum.store.client import StoreClient
from dappledrum.store.errors import CompactedError, StoreError
from dappledrum.store.messages import Event
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_limit import ValueLimit
from dappledrum.timing.clock import ZERO, Clock
from dappledrum.timing.supervisor import Supervisor
from dappledrum.workers.machine_registry import MachineRegistry
from dappledrum.workers.messages import Commands, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler

log = logging.getLogger(__name__)

LEARNED = "learned"
TIMER = timedelta(seconds=1)  # slow boots and overruns trigger no plan, so a timer does
GATHER = timedelta(milliseconds=100)
LOAD = 4  # a plan is followed by a pause of at least this many times its own duration
WATCH_GAP = timedelta(milliseconds=150)
#: A watch shows nothing about the time in which it waits, so it is short: how long a leader may
#: answer workers is counted from the moment at which the watch was sent.
WATCH_WAIT = timedelta(seconds=2)
KEPT_OVER = 10_000
SUPERVISOR = Supervisor(
    log, fault_pause_s=0.5, transient_errors=(StoreError,), transient_pause_s=lambda: 0.1
)


class Leader:
    """State and loops of one term."""

    def __init__(
        self,
        term: Term,
        leading: Callable[[], bool],
        store: StoreClient,
        value_limit: ValueLimit,
        cloud: CloudClient,
        params: Params,
        clock: Clock,
        tuning: Tuning,
        types: list[MachineType],
        on_ended: Callable[[Job], None],
        running_since: Callable[[], timedelta] = lambda: ZERO,
    ) -> None:
        self.term = term
        self.leading = leading
        self.store = store
        self.params = params
        self.clock = clock
        self.on_ended = on_ended
        self.jobs: dict[str, Job] = {}
        self.over: OrderedDict[str, None] = OrderedDict()
        self.registry = MachineRegistry()
        self.ledger = Ledger(self.registry, clock)
        self.served = ServedCounts()
        self.estimates = Estimates()
        self.record_writer = RecordWriter(store, term, params.state, value_limit, clock)
        self.record_writer.on_ended = self._ended
        self.records = JobLoader(store, self.jobs, self.record_writer.garbage)
        self.graph = DependencyGraph(self.jobs, self.record_writer.mark_dirty, self.wake)
        self.record_writer.on_cancelled = self.graph.cancelled
        self.resolver = DependencyResolver(store, self.graph, clock)
        self.reconciler = Reconciler(
            self.jobs,
            self.registry,
            self.estimates,
            params.workers,
            clock,
            term.epoch,
            self.record_writer.mark_dirty,
            self.wake,
            self.ledger,
            lambda: term.others_stopped_at,
            running_since,
        )
        self.autoscaler = Autoscaler(
            cloud,
            self.registry,
            self.reconciler,
            params,
            clock,
            term.epoch,
            tuning.interval,
            leading,
            self.wake,
            running_since,
        )
        self.recovery = RecoveryProgress(
            self.registry, clock, params.workers.lease_duration, lambda: self.autoscaler.listed
        )
        self.reconciler.on_lost = self.recovery.lost
        most = params.state.value_bytes
        self.memory = FleetFacts(
            AdvisoryRecord(store, term.guard(), FLEET, FleetRecord, most, RequestPriority.RECORD),
            self.registry,
            clock,
        )
        self.learned = LearnedEstimates(
            AdvisoryRecord(
                store, term.guard(), LEARNED, LearnedRecord, most, RequestPriority.POLL
            ),
            self.estimates,
            self.autoscaler.boots,
            clock,
        )
        self.set_types(types)
        self.dispatcher = Dispatcher(
            DispatchContext(
                self.jobs,
                self.registry,
                self.estimates,
                self.autoscaler,
                params,
                clock,
                tuning,
            ),
            self.record_writer,
            # Pages of the version before may be larger than new ones, and are stored in parts.
            min(value_limit.current_bytes, value_limit.reduced_bytes * (params.state.txn_ops - 2)),
        )
        self.incomplete: dict[str, None] = {}  # new jobs whose specification is in parts
        self.loaded = asyncio.Event()
        self.woken = asyncio.Event()
        self.revision = 0
        self.began = clock.now()
        self.answers = HeartbeatResponder(
            term,
            leading,
            params.workers,
            clock,
            self.registry,
            self.reconciler,
            self.record_writer,
            self.dispatcher.machines,
            self.loaded,
            self.woken,
        )

    def set_types(self, types: list[MachineType]) -> None:
        """Take over a catalog."""
        self.autoscaler.types = {t.name: t for t in types}
        self.reconciler.cache_gb = {t.name: t.cache_gb for t in types}

    def no_answers_since(self, moment: timedelta) -> None:
        """Note that no other controller has answered a worker since then."""
        term = self.term
        if moment < term.started_at:
            span = (term.started_at - moment).total_seconds()
            log.info("nobody has answered a worker for %.1f s before this term", span)
            term.others_stopped_at = (
                moment if term.others_stopped_at is None else min(term.others_stopped_at, moment)
            )
            self.reconciler.no_answers_since(moment)

    def wake(self, why: str) -> None:
        """Trigger a planning round; `why` is for debugging."""
        self.woken.set()

    async def run(self) -> None:
        """Lead until the term is over."""
        loops = [
            self._keep_running(self._load_once),
            self._keep_running(self._watch),
            self._keep_running(self.record_writer.run),
            self._keep_running(self._plan),
            self._keep_running(self._sweep),
            self._keep_running(self._resolve),
            self._keep_running(self._store_fleet),
            self._keep_running(self._store_learned),
            self._keep_running(self._account),
            self._keep_running(self.autoscaler.rent_loop),
            self._keep_running(self.autoscaler.return_loop),
            self._keep_running(self.autoscaler.list_loop),
            self._keep_running(self.autoscaler.catalog_loop),
        ]
        tasks = [asyncio.get_running_loop().create_task(loop) for loop in loops]
        try:
            await self.term.ended.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    async def _keep_running(self, loop: Callable[[], Awaitable[None]]) -> None:
        """Run a loop, and start it again when it fails; the others are not affected."""
        await SUPERVISOR.run_to_completion(loop.__name__, loop, self.term.ended)

    # records

    async def _load_once(self) -> None:
        started = self.clock.now()
        revision = await self.records.read()
        self.graph.clear()
        for job in self.jobs.values():
            self.reconciler.restore(job)
        await self.memory.recall()
        await self.learned.recall({t.name: t.boot for t in self.autoscaler.types.values()})
        for job in list(self.jobs.values()):
            self.graph.add(job)
            self.record_writer.mark_dirty(job.page(0))
        self.revision = revision
        self.term.record_cancellations_known(started)  # later cancellations are seen by the watch
        self.loaded.set()
        took = (self.clock.now() - started).total_seconds() * 1e3
        placed = sum(job.placement_count() for job in self.jobs.values())
        log.info("read %d live jobs with %d placements in %.0f ms", len(self.jobs), placed, took)
        self.recovery.begin()
        self.wake("loaded")

    async def _watch(self) -> None:
        """Follow the submissions and cancellations that all controllers store."""
        await self.loaded.wait()
        while True:
            sent = self.clock.now()
            try:
                events, revision = await self.store.watch(
                    JOBS, self.revision, WATCH_WAIT, RequestPriority.RECORD
                )
            except CompactedError:
                sent = self.clock.now()
                entries, revision = await self.store.scan(JOBS, RequestPriority.RECORD)
                events = [Event(e.version, put=e.key, value=e.value) for e in entries]
            for event in events:
                if event.put is not None:
                    self._changed(event.put, event.value, event.version)
            self.revision = revision
            self.term.record_cancellations_known(sent)
            for name in list(self.incomplete):
                await self._complete(name)
            await asyncio.sleep(WATCH_GAP.total_seconds())

    def _changed(self, key: str, value: msgspec.Raw, version: int) -> None:
        name = key.removeprefix(JOBS)
        job = self.jobs.get(name)
        if name in self.over or (job is not None and version <= job.page(0).version):
            return
        record = (
            self.records.decode(name, value, JobRecord)
            if name not in self.records.unreadable
            else None
        )
        if record is None:
            return
        if job is None and record.spec_parts:
            self.incomplete[name] = None
            return
        if job is None:
            made = self.records.make_job(record, version, [])
            if made is None:
                return
            job = self._new(made)
        else:
            job.page(0).version = version
            if record.cancelled:
                self._cancel(job, "is cancelled")
        self.record_writer.mark_dirty(job.page(0))
        self.wake("job changed")

    def _cancel(self, job: Job, why: str) -> None:
        if not job.cancelled:
            job.cancelled = job.cancel_stored = True
            log.info("%s %s", job.id, why)
            self.graph.cancelled(job)

    def apply_confirmed_cancellations(self, names: frozenset[str]) -> None:
        """Cancel jobs whose cancellation other controllers have confirmed to users, so that it is
        stored and final. Their tasks are stopped from now on, also while this leader only keeps
        its term by promises. A record that this leader writes without knowing the cancellation
        fails by its version, and is read again."""
        for name in names:
            job = self.jobs.get(name)
            if job is not None and not job.cancelled:
                self._cancel(job, "is cancelled, as other controllers say")
                self.record_writer.mark_dirty(job.page(0))
                self.wake("job cancelled")

    def _new(self, job: Job) -> Job:
        self.jobs[job.id] = job
        spec = job.spec
        log.info("new job %s: %s", job.id, described(spec.tasks, spec.job_class, spec.team))
        self.graph.add(job)
        return job

    async def _complete(self, name: str) -> None:
        """Read a new job whose specification is stored in parts."""
        entry = await self.store.get(head_key(name), RequestPriority.RECORD)
        if entry is not None and name not in self.jobs:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            parts = []
            for number in range(record.spec_parts):
                part = await self.store.get(spec_key(name, number), RequestPriority.RECORD)
                if part is None:
                    log.error("%s lacks a part of its specification", name)
                    return
                parts.append(msgspec.json.decode(part.value, type=SpecPart))
            made = self.records.make_job(record, entry.version, parts)
            if made is not None:
                self.record_writer.mark_dirty(self._new(made).page(0))
                self.wake("job changed")
        self.incomplete.pop(name, None)

    def _ended(self, job: Job) -> None:
        log.info("%s", ending(job, self.params.objectives))
        self.jobs.pop(job.id, None)
        self.graph.ended(job)
        self.estimates.forget(job.id)
        self.over[job.id] = None
        while len(self.over) > KEPT_OVER:
            self.over.popitem(last=False)
        for placement in list(job.placements()):
            machine = self.registry.get(placement.machine)
            if machine is not None:
                machine.placements.pop((job.id, placement.task), None)
        self.served.ended(job)
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
            if self.leading() and self.autoscaler.types:
                started = self.clock.now()
                plan = await self.dispatcher.run()
                took = self.clock.now() - started
                pause = max(GATHER, min(took * LOAD, TIMER))
                log.debug("plan in %.0f ms: %s", took.total_seconds() * 1e3, plan)
            await asyncio.sleep(pause.total_seconds())

    async def _store_fleet(self) -> None:
        await self.loaded.wait()
        await self.memory.run()

    async def _store_learned(self) -> None:
        await self.loaded.wait()
        await self.learned.run()

    async def _account(self) -> None:
        """Book what is spent; the rest is logged when the term ends."""
        await self.loaded.wait()
        try:
            while True:
                await asyncio.sleep(STEP.total_seconds())
                self.ledger.step(
                    self.autoscaler.types,
                    self.dispatcher.work.demands(),
                    self.dispatcher.machines.available(),
                )
                self._log_totals()
        finally:
            self._log_totals(at_once=True)

    def _log_totals(self, at_once: bool = False) -> None:
        if self.ledger.log_totals(at_once):
            log.info("served in this term: %s", self.served.shown(self.jobs.values()))

    async def _resolve(self) -> None:
        await self.loaded.wait()
        await self.resolver.run()

    async def _sweep(self) -> None:
        await self.loaded.wait()
        while True:
            # A leader that was paused until its term was over does not know what others have
            # answered since: one took hundreds of tasks for lost, though it could store nothing.
            if self.leading():
                self.reconciler.sweep()
            self.recovery.look()
            self.record_writer.shrink(self.jobs.values())
            await asyncio.sleep(0.5)

    # workers

    def reporting(self) -> Counter[str]:
        """How many machines should report, by zone."""
        now, lease = self.clock.now(), self.params.workers.lease_duration
        result: Counter[str] = Counter()
        for machine in self.registry:
            if machine.returning or machine.failed or machine.expired(now, lease):
                continue
            if machine.up and machine.kind is not None:
                result[machine.kind.zone] += 1
            else:
                result.update(p.zone for p in islice(machine.placements.values(), 1))
        return result

    async def settle(self, time_limit: timedelta) -> None:
        """Write pending records before another controller leads."""
        until = self.clock.now() + time_limit
        while self.record_writer.dirty and self.clock.now() < until:
            await asyncio.sleep(0.02)

    async def answer_heartbeat(
        self,
        heartbeat: WorkerHeartbeat,
        holding: Callable[[], bool],
        most: timedelta = MAX_IDLE_WAIT,
    ) -> Commands | None:
        """The answer to a worker, which is held back for up to `most` while there is no work for
        it; None when this controller is not entitled to answer."""
        return await self.answers.answer(heartbeat, holding, most)
