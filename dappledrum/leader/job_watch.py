"""Watches the store for submissions and cancellations, which all controllers write."""

import asyncio
import logging
from datetime import timedelta

import msgspec

from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import JOB_PREFIX, head_key, spec_key
from dappledrum.jobs.messages import JobRecord, SpecPart
from dappledrum.leader.context import TermContext, TermState
from dappledrum.leader.job_records import JobRecords
from dappledrum.leader.live_jobs import LiveJobs
from dappledrum.store.errors import CompactedError
from dappledrum.store.messages import Event
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)

#: Pause between two watches, so that changes within it are read together.
WATCH_PAUSE = timedelta(milliseconds=150)
#: Short, because a watch shows nothing about the time in which it waits: cancellations count as
#: known until the moment the watch was sent, which limits how long workers are answered.
WATCH_TIMEOUT = timedelta(seconds=2)


class JobWatch:
    """Applies changes of the jobs' head records during one term."""

    def __init__(
        self, context: TermContext, state: TermState, records: JobRecords, live_jobs: LiveJobs
    ) -> None:
        self.term = context.term
        self.store = context.store
        self.clock = context.clock
        self.state = state
        self.records = records
        self.live_jobs = live_jobs
        #: New jobs whose specification is stored in parts that have not been read yet.
        self._with_unread_parts: dict[str, None] = {}

    async def run(self) -> None:
        """Watch until cancelled, from the revision at which the records were read.

        Can be called again after an error.

        Raises:
            StoreError: the store has not answered.
        """
        while True:
            sent_at = self.clock.now()
            try:
                events, revision = await self.store.watch(
                    JOB_PREFIX, self.state.watch_revision, WATCH_TIMEOUT, RequestPriority.RECORD
                )
            except CompactedError:
                sent_at = self.clock.now()
                entries, revision = await self.store.scan(JOB_PREFIX, RequestPriority.RECORD)
                events = [Event(e.version, put=e.key, value=e.value) for e in entries]
            for event in events:
                if event.put is not None:
                    self._apply(event.put, event.value, event.version)
            self.state.watch_revision = revision
            self.term.record_cancellations_known(sent_at)
            for job_id in list(self._with_unread_parts):
                await self._read_with_parts(job_id)
            await asyncio.sleep(WATCH_PAUSE.total_seconds())

    def _apply(self, key: str, value: msgspec.Raw, version: int) -> None:
        """Apply a head record, unless this leader has written it or read it before."""
        job_id = key.removeprefix(JOB_PREFIX)
        job = self.state.jobs.get(job_id)
        if self.live_jobs.is_finished(job_id):
            return
        if job is not None and version <= job.page(0).version:
            return
        if job_id in self.records.loader.quarantined:
            return
        record = self.records.loader.decode(job_id, value, JobRecord)
        if record is None:
            return
        if job is None:
            self._add(job_id, record, version)
            return
        job.page(0).version = version
        job.adopt_head(record)
        if record.cancelled:
            self.live_jobs.cancel(job, "as its record shows")
        self._job_changed(job)

    def _add(self, job_id: str, record: JobRecord, version: int) -> None:
        if record.spec_parts:
            self._with_unread_parts[job_id] = None
            return
        job = self.records.loader.make_job(record, version, [])
        if job is not None:
            self.live_jobs.add(job)
            self._job_changed(job)

    def _job_changed(self, job: Job) -> None:
        self.records.writer.mark_dirty(job.page(0))
        self.state.plan_trigger.request("job changed")

    async def _read_with_parts(self, job_id: str) -> None:
        """Read a new job whose specification is stored in parts, and add it."""
        entry = await self.store.get(head_key(job_id), RequestPriority.RECORD)
        if entry is not None and job_id not in self.state.jobs:
            record = msgspec.json.decode(entry.value, type=JobRecord)
            parts = []
            for number in range(record.spec_parts):
                part = await self.store.get(spec_key(job_id, number), RequestPriority.RECORD)
                if part is None:
                    log.error("job %s: part %d of its specification is missing", job_id, number)
                    return
                parts.append(msgspec.json.decode(part.value, type=SpecPart))
            job = self.records.loader.make_job(record, entry.version, parts)
            if job is not None:
                self.live_jobs.add(job)
                self._job_changed(job)
        self._with_unread_parts.pop(job_id, None)
