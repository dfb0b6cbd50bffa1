"""Reads the stored records when a term begins, and restores the leader's state from them."""

import logging

from dappledrum.fleet.autoscaler import Autoscaler
from dappledrum.leader.advisory_records import AdvisoryRecords
from dappledrum.leader.context import TermContext, TermState
from dappledrum.leader.job_records import JobRecords
from dappledrum.recovery.progress import RecoveryProgress
from dappledrum.workers.reconciler import Reconciler

log = logging.getLogger(__name__)


class TermLoader:
    """Loads the records, once in each term."""

    def __init__(
        self,
        context: TermContext,
        state: TermState,
        records: JobRecords,
        reconciler: Reconciler,
        autoscaler: Autoscaler,
        advisory_records: AdvisoryRecords,
        recovery: RecoveryProgress,
    ) -> None:
        self.term = context.term
        self.clock = context.clock
        self.state = state
        self.records = records
        self.reconciler = reconciler
        self.autoscaler = autoscaler
        self.advisory_records = advisory_records
        self.recovery = recovery

    async def load(self) -> None:
        """Read all records, and set `TermState.loaded`.

        Can be called again after an error.

        Raises:
            StoreError: the store has not answered.
        """
        started_at = self.clock.now()
        jobs, graph = self.state.jobs, self.records.graph
        revision = await self.records.loader.read()
        graph.clear()
        for job in jobs.values():
            self.reconciler.restore(job)
        await self.advisory_records.load_previous(
            {name: model.boot for name, model in self.autoscaler.types.items()}
        )
        for job in list(jobs.values()):
            graph.add(job)
            self.records.writer.mark_dirty(job.page(0))
        self.state.watch_revision = revision
        # The watch shows cancellations that are confirmed later.
        self.term.record_cancellations_known(started_at)
        self.state.loaded.set()
        duration = (self.clock.now() - started_at).total_seconds() * 1e3
        placed = sum(job.placement_count() for job in jobs.values())
        log.info("read %d live jobs with %d placements in %.0f ms", len(jobs), placed, duration)
        self.recovery.begin()
        self.state.plan_trigger.request("records loaded")
