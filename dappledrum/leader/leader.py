"""Builds the parts of a leader for one term, and runs their loops until the term ends.

`Leader.__init__` shows all parts and what each uses, from the state in memory up to the loops.
"""

import asyncio
import logging
from collections import Counter
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

from dappledrum.dependencies.graph import DependencyGraph
from dappledrum.dependencies.resolver import DependencyResolver
from dappledrum.dispatch.context import DispatchContext
from dappledrum.dispatch.dispatcher import Dispatcher
from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.fleet.messages import MachineType
from dappledrum.jobs.job import Job
from dappledrum.jobs.page import Page
from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.accounting_loop import AccountingLoop
from dappledrum.leader.advisory_records import AdvisoryRecords
from dappledrum.leader.context import TermContext, TermState
from dappledrum.leader.expected_heartbeats import expected_heartbeats
from dappledrum.leader.heartbeat_responder import MAX_IDLE_WAIT, HeartbeatResponder
from dappledrum.leader.job_loader import JobLoader
from dappledrum.leader.job_records import JobRecords
from dappledrum.leader.job_watch import JobWatch
from dappledrum.leader.live_jobs import LiveJobs
from dappledrum.leader.maintenance_loop import MaintenanceLoop
from dappledrum.leader.planning_loop import PlanningLoop
from dappledrum.leader.term_loader import TermLoader
from dappledrum.recovery.progress import RecoveryProgress
from dappledrum.store.errors import StoreError
from dappledrum.timing.supervisor import Supervisor
from dappledrum.workers.messages import Commands, WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler
from dappledrum.workers.reconciliation_context import ReconciliationContext

log = logging.getLogger(__name__)

Loop = Callable[[], Awaitable[None]]

SUPERVISOR = Supervisor(
    log, fault_pause_s=0.5, transient_errors=(StoreError,), transient_pause_s=lambda: 0.1
)
FLUSH_CHECK_INTERVAL = timedelta(milliseconds=20)


class Leader:
    """The parts of one term."""

    def __init__(
        self,
        context: TermContext,
        machine_types: list[MachineType],
        on_job_finished: Callable[[Job], None],
    ) -> None:
        """Build the parts.

        `machine_types` is empty while no catalog is known; `on_job_finished` is called with each
        job whose end is stored.
        """
        self.context = context
        self.term = context.term
        self.clock = context.clock
        self.began = context.clock.now()

        self.state = TermState(context.clock)
        self.jobs = self.state.jobs
        self.registry = self.state.registry
        self.estimates = self.state.estimates
        self.loaded = self.state.loaded

        self.record_writer = self._make_record_writer()
        self.graph = DependencyGraph(self.jobs, self.record_writer.mark_dirty, self.request_plan)
        self.resolver = DependencyResolver(context.store, self.graph, context.clock)
        loader = JobLoader(context.store, self.jobs, self.record_writer.garbage)
        self.records = JobRecords(loader, self.record_writer, self.graph)
        self.live_jobs = LiveJobs(context, self.state, self.records, on_job_finished)
        self.job_watch = JobWatch(context, self.state, self.records, self.live_jobs)
        self.record_writer.on_cancelled = self.graph.cancelled
        self.record_writer.on_ended = self.live_jobs.finish

        self.reconciler = self._make_reconciler()
        self.autoscaler = self._make_autoscaler()
        self.set_machine_types(machine_types)
        self.dispatcher = self._make_dispatcher()
        self.planning = PlanningLoop(context, self.dispatcher, self.state.plan_trigger)
        self.accounting = AccountingLoop(self.state, self.dispatcher)
        self.responder = HeartbeatResponder(
            context, self.state, self.reconciler, self.record_writer, self.dispatcher.machines
        )

        self.recovery = RecoveryProgress(
            self.registry,
            context.clock,
            context.params.workers.lease_duration,
            lambda: self.autoscaler.listed,
        )
        self.maintenance = MaintenanceLoop(
            context, self.state, self.reconciler, self.recovery, self.record_writer
        )
        self.advisory_records = AdvisoryRecords(context, self.state, self.autoscaler.boots)
        self.loader = TermLoader(
            context,
            self.state,
            self.records,
            self.reconciler,
            self.autoscaler,
            self.advisory_records,
            self.recovery,
        )

    def _make_record_writer(self) -> RecordWriter:
        context = self.context
        return RecordWriter(
            context.store, context.term, context.params.state, context.value_limit, context.clock
        )

    def _make_reconciler(self) -> Reconciler:
        context = self.context
        reconciliation_context = ReconciliationContext(
            self.jobs,
            self.registry,
            context.params.workers,
            context.clock,
            context.term.epoch,
            lambda: context.term.others_stopped_at,
            context.running_since,
            context.term.last_token,
        )
        return Reconciler(reconciliation_context, self.estimates, self.state.ledger, self)

    def _make_autoscaler(self) -> Autoscaler:
        context = self.context
        return Autoscaler(
            context.cloud,
            self.registry,
            self.reconciler,
            context.params,
            context.clock,
            context.term.epoch,
            context.tuning.interval,
            context.may_command,
            self.request_plan,
            context.running_since,
        )

    def _make_dispatcher(self) -> Dispatcher:
        context = self.context
        # Pages written by an earlier version may be larger than new ones, and are stored in parts;
        # `txn_ops` limits the number of parts.
        max_bytes_in_parts = context.value_limit.reduced_bytes * (context.params.state.txn_ops - 2)
        dispatch_context = DispatchContext(
            self.jobs,
            self.registry,
            self.estimates,
            self.autoscaler,
            context.params,
            context.clock,
            context.tuning,
        )
        return Dispatcher(
            dispatch_context,
            self.record_writer,
            min(context.value_limit.current_bytes, max_bytes_in_parts),
        )

    async def run(self) -> None:
        """Lead until the term has ended."""
        loops: dict[str, Loop] = {
            "loading": self.loader.load,
            "job watch": self._after_loading(self.job_watch.run),
            "record writer": self.record_writer.run,
            "planning": self._after_loading(self.planning.run),
            "maintenance": self._after_loading(self.maintenance.run),
            "dependency resolver": self._after_loading(self.resolver.run),
            "fleet record": self._after_loading(self.advisory_records.fleet.run),
            "estimates record": self._after_loading(self.advisory_records.estimates.run),
            "accounting": self._after_loading(self.accounting.run),
            "renting": self.autoscaler.rent_loop,
            "returning": self.autoscaler.return_loop,
            "machine list": self.autoscaler.list_loop,
            "catalog": self.autoscaler.catalog_loop,
        }
        tasks = [
            asyncio.create_task(SUPERVISOR.run_to_completion(name, loop, self.term.ended))
            for name, loop in loops.items()
        ]
        try:
            await self.term.ended.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _after_loading(self, loop: Loop) -> Loop:
        return partial(self._run_after_loading, loop)

    async def _run_after_loading(self, loop: Loop) -> None:
        await self.loaded.wait()
        await loop()

    def set_machine_types(self, machine_types: list[MachineType]) -> None:
        """Replace the catalog of machine types."""
        self.autoscaler.types = {model.name: model for model in machine_types}
        self.reconciler.set_cache_sizes({model.name: model.cache_gb for model in machine_types})

    def request_plan(self, reason: str) -> None:
        """Request a planning round; `reason` is for debugging."""
        self.state.plan_trigger.request(reason)

    def page_changed(self, page: Page) -> None:
        """Mark a changed page, so that it is stored."""
        self.record_writer.mark_dirty(page)

    def planning_needed(self, reason: str) -> None:
        """Request a planning round; `reason` is for debugging."""
        self.request_plan(reason)

    def placement_lost(self, reason: str) -> None:
        """Count a lost placement, by the reason for which it was given up."""
        self.recovery.count_lost(reason)

    def no_answers_since(self, moment: timedelta) -> None:
        """Record that no other controller has answered a worker since `moment` (steady time)."""
        term = self.term
        if moment >= term.started_at:
            return
        span = (term.started_at - moment).total_seconds()
        log.info("no controller answered a worker in the last %.1f s before this term", span)
        others_stopped_at = term.others_stopped_at
        term.others_stopped_at = (
            moment if others_stopped_at is None else min(others_stopped_at, moment)
        )
        self.reconciler.no_answers_since(moment)

    def apply_confirmed_cancellations(self, job_ids: frozenset[str]) -> None:
        """Cancel jobs whose cancellation other controllers have confirmed to users."""
        self.live_jobs.apply_confirmed_cancellations(job_ids)

    def expected_heartbeats(self) -> Counter[str]:
        """Return how many machines should send heartbeats, by zone."""
        lease = self.context.params.workers.lease_duration
        return expected_heartbeats(self.registry, self.clock.now(), lease)

    async def flush_records(self, timeout: timedelta) -> None:
        """Wait up to `timeout` until all changes are stored, before another controller leads."""
        deadline = self.clock.now() + timeout
        while self.record_writer.has_unstored_changes() and self.clock.now() < deadline:
            await asyncio.sleep(FLUSH_CHECK_INTERVAL.total_seconds())

    async def answer_heartbeat(
        self,
        heartbeat: WorkerHeartbeat,
        may_answer: Callable[[], bool],
        max_wait: timedelta = MAX_IDLE_WAIT,
    ) -> Commands | None:
        """Return the answer to a heartbeat; see `HeartbeatResponder.respond`."""
        return await self.responder.respond(heartbeat, may_answer, max_wait)
