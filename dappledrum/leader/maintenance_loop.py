"""Checks twice a second what no message triggers: expired leases, the end of recovery, and records
that have become too large."""

import asyncio
from datetime import timedelta

from dappledrum.jobs.record_writer import RecordWriter
from dappledrum.leader.context import TermContext, TermState
from dappledrum.recovery.progress import RecoveryProgress
from dappledrum.workers.reconciler import Reconciler

CHECK_INTERVAL = timedelta(milliseconds=500)


class MaintenanceLoop:
    """Periodic checks of one term."""

    def __init__(
        self,
        context: TermContext,
        state: TermState,
        reconciler: Reconciler,
        recovery: RecoveryProgress,
        record_writer: RecordWriter,
    ) -> None:
        self.may_command = context.may_command
        self.state = state
        self.reconciler = reconciler
        self.recovery = recovery
        self.record_writer = record_writer

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            # A leader that was paused until its term ended does not know what other controllers
            # have answered since. Without this condition one such leader counted hundreds of tasks
            # as lost, although it could no longer store anything.
            if self.may_command():
                self.reconciler.lose_expired()
            self.recovery.check()
            self.record_writer.shrink(self.state.jobs.values())
            await asyncio.sleep(CHECK_INTERVAL.total_seconds())
