"""Reads the stored jobs at the start of a term."""

import asyncio
import logging
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import JOB_PREFIX, PAGE_PREFIX, ROWS_PREFIX, SPEC_PREFIX, spec_key
from dappledrum.jobs.messages import JobRecord, PageRecord, RowsRecord, SpecPart
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import load_rows
from dappledrum.store.client import StoreClient
from dappledrum.store.messages import Entry
from dappledrum.store.rate_limiter import RequestPriority
from dappledrum.store.value_size import value_size

log = logging.getLogger(__name__)

RecordType = TypeVar("RecordType")
#: Raised for a record that can be decoded but has invalid values, such as an index of a zone or
#: task that does not exist.
INVALID_VALUE_ERRORS = (ValueError, LookupError, TypeError)


class JobLoader:
    """Reads all records of live jobs."""

    def __init__(self, store: StoreClient, jobs: dict[str, Job], garbage: dict[str, None]) -> None:
        """Create a loader that fills `jobs`, by id, and adds keys of records without a job to
        `garbage`."""
        self.store = store
        self.jobs = jobs
        self.garbage = garbage
        self.quarantined: set[str] = set()  # ids of jobs with an invalid record

    async def read(self) -> int:
        """Replace all jobs by those that are stored; returns the revision to watch from."""
        jobs, revision = await self.store.scan(JOB_PREFIX, RequestPriority.RECORD)
        pages, rows, specs = [
            entries
            for entries, _ in await asyncio.gather(
                *(
                    self.store.scan(prefix, RequestPriority.RECORD)
                    for prefix in (PAGE_PREFIX, ROWS_PREFIX, SPEC_PREFIX)
                )
            )
        ]
        self.quarantined.clear()
        parts = self._spec_parts(specs)
        self.jobs.clear()
        self._add_jobs(jobs, parts)
        for job_id, left in parts.items():
            self.garbage.update((spec_key(job_id, number), None) for number in left)
        self._add_pages(pages)
        self._add_rows(rows)
        return revision

    def _spec_parts(self, entries: Iterable[Entry]) -> dict[str, dict[int, SpecPart]]:
        parts: dict[str, dict[int, SpecPart]] = {}
        for entry in entries:
            _, job_id, number = entry.key.split("/")
            part = self.decode(job_id, entry.value, SpecPart)
            if part is not None:
                parts.setdefault(job_id, {})[int(number)] = part
        return {job_id: dict(sorted(numbered.items())) for job_id, numbered in parts.items()}

    def _add_jobs(self, entries: Iterable[Entry], parts: dict[str, dict[int, SpecPart]]) -> None:
        """Add the jobs, and remove the parts of their specifications from `parts`."""
        for entry in entries:
            job_id = entry.key.removeprefix(JOB_PREFIX)
            record = self.decode(job_id, entry.value, JobRecord)
            spec_parts = parts.pop(job_id, {})
            if record is None or job_id in self.quarantined:
                continue
            # Parts that the head does not count may be incomplete, see `staged_write`.
            counted = [part for number, part in spec_parts.items() if number < record.spec_parts]
            job = self.make_job(record, entry.version, counted)
            if job is not None:
                job.stored_spec.existing_parts = max(spec_parts, default=-1) + 1
                job.page(0).stored_bytes = value_size(bytes(entry.value))
                self.jobs[job_id] = job

    def _add_pages(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            _, job_id, index = entry.key.split("/")
            job = self.jobs.get(job_id)
            page = self.decode(job_id, entry.value, PageRecord)
            if job_id in self.quarantined:
                continue
            if job is None:
                self.garbage[entry.key] = None
            elif page is not None:
                try:
                    job.add_page(int(index), page, entry.version)
                except INVALID_VALUE_ERRORS as error:
                    self._quarantine(job_id, error)
                    continue
                job.page(int(index)).stored_bytes = value_size(bytes(entry.value))

    def _add_rows(self, entries: Iterable[Entry]) -> None:
        leftover_parts: dict[Page, int] = {}
        for entry in entries:
            _, job_id, index, number = entry.key.split("/")
            job = self.jobs.get(job_id)
            record_rows = self.decode(job_id, entry.value, RowsRecord)
            if job_id in self.quarantined:
                continue
            if job is None:
                self.garbage[entry.key] = None
            elif int(number) >= job.page(int(index)).parts:
                leftover_parts[job.page(int(index))] = int(number) + 1
            elif record_rows is not None:
                try:
                    load_rows(job.page(int(index)), record_rows)
                except INVALID_VALUE_ERRORS as error:
                    self._quarantine(job_id, error)
        # Rows beyond the current parts of a page are left over from a larger version of it.
        # Counted as parts, they are removed when the page is written the next time.
        for page, count in leftover_parts.items():  # also those of quarantined jobs
            page.parts = max(page.parts, count)

    def decode(
        self, job_id: str, value: msgspec.Raw, record_type: type[RecordType]
    ) -> RecordType | None:
        """Decode a record of a job; None if that fails, and the job is quarantined.

        A quarantined job keeps all its records, and nothing of it is started, since it is not
        known where it runs. Its running tasks are stopped, since the leader does not count them.
        If the error were raised instead, one such record would keep every leader from starting.
        """
        try:
            return msgspec.json.decode(value, type=record_type)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._quarantine(job_id, error)
            return None

    def make_job(self, record: JobRecord, version: int, parts: list[SpecPart]) -> Job | None:
        """Create a job from its record; None if the record is invalid, and the job is quarantined.

        That includes a missing part of the specification: without it the job might be placed where
        it must not run.
        """
        try:
            if len(parts) < record.spec_parts:
                raise ValueError(
                    f"only {len(parts)} of {record.spec_parts} parts of the specification exist"
                )
            return Job(record, version, parts)
        except INVALID_VALUE_ERRORS as error:
            self._quarantine(record.spec.id, error)
            return None

    def _quarantine(self, job_id: str, error: Exception) -> None:
        if job_id not in self.quarantined:
            log.error("job %s is quarantined, one of its records is invalid: %s", job_id, error)
        self.quarantined.add(job_id)
        self.jobs.pop(job_id, None)
