"""Reads the stored jobs at the beginning of a term."""

import asyncio
import logging
from collections.abc import Iterable
from typing import TypeVar

import msgspec

from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import spec_key
from dappledrum.jobs.messages import JobRecord, PageRecord, RowsRecord, SpecPart
from dappledrum.jobs.page import Page
from dappledrum.jobs.page_encoding import load_rows
from dappledrum.store.client import StoreClient
from dappledrum.store.messages import Entry
from dappledrum.store.rate_limiter import RequestPriority

log = logging.getLogger(__name__)

T = TypeVar("T")
JOBS = "job/"
PAGES = "page/"
ROWS = "rows/"
SPECS = "spec/"
#: Errors of a record that can be decoded, but has impossible values, as numbers of zones or tasks.
BROKEN = (ValueError, LookupError, TypeError)


class JobLoader:
    """Reads all records of live jobs into `jobs`.

    `garbage` gets the keys of records whose job does not exist any more.
    """

    def __init__(self, store: StoreClient, jobs: dict[str, Job], garbage: dict[str, None]) -> None:
        self.store = store
        self.jobs = jobs
        self.garbage = garbage
        self.unreadable: set[str] = set()  # jobs with a record that can't be read

    async def read(self) -> int:
        """Replace all jobs by those that are stored; returns the revision from which to watch."""
        jobs, revision = await self.store.scan(JOBS, RequestPriority.RECORD)
        pages, rows, specs = [
            entries
            for entries, _ in await asyncio.gather(
                *(
                    self.store.scan(prefix, RequestPriority.RECORD)
                    for prefix in (PAGES, ROWS, SPECS)
                )
            )
        ]
        self.unreadable.clear()
        parts = self._spec_parts(specs)
        self.jobs.clear()
        self._add_jobs(jobs, parts)
        for name, left in parts.items():
            self.garbage.update((spec_key(name, number), None) for number in left)
        self._add_pages(pages)
        self._add_rows(rows)
        return revision

    def _spec_parts(self, entries: Iterable[Entry]) -> dict[str, dict[int, SpecPart]]:
        parts: dict[str, dict[int, SpecPart]] = {}
        for entry in entries:
            _, name, number = entry.key.split("/")
            part = self.decode(name, entry.value, SpecPart)
            if part is not None:
                parts.setdefault(name, {})[int(number)] = part
        return parts

    def _add_jobs(self, entries: Iterable[Entry], parts: dict[str, dict[int, SpecPart]]) -> None:
        """Add the jobs; their parts of specifications are taken out of `parts`."""
        for entry in entries:
            name = entry.key.removeprefix(JOBS)
            record = self.decode(name, entry.value, JobRecord)
            own = parts.pop(name, {})
            if record is None or name in self.unreadable:
                continue
            job = self.make_job(record, entry.version, [own[number] for number in sorted(own)])
            if job is not None:
                job.page(0).stored_bytes = len(bytes(entry.value))
                self.jobs[name] = job

    def _add_pages(self, entries: Iterable[Entry]) -> None:
        for entry in entries:
            _, name, index = entry.key.split("/")
            found = self.jobs.get(name)
            page = self.decode(name, entry.value, PageRecord)
            if name in self.unreadable:
                continue
            if found is None:
                self.garbage[entry.key] = None
            elif page is not None:
                try:
                    found.add_page(int(index), page, entry.version)
                except BROKEN as error:
                    self._set_aside(name, error)
                    continue
                found.page(int(index)).stored_bytes = len(bytes(entry.value))

    def _add_rows(self, entries: Iterable[Entry]) -> None:
        outgrown: dict[Page, int] = {}
        for entry in entries:
            _, name, index, number = entry.key.split("/")
            found = self.jobs.get(name)
            record_rows = self.decode(name, entry.value, RowsRecord)
            if name in self.unreadable:
                continue
            if found is None:
                self.garbage[entry.key] = None
            elif int(number) >= found.page(int(index)).parts:
                outgrown[found.page(int(index))] = int(number) + 1
            elif record_rows is not None:
                try:
                    load_rows(found.page(int(index)), record_rows)
                except BROKEN as error:
                    self._set_aside(name, error)
        for page_of, count in outgrown.items():  # those of jobs set aside meanwhile, too
            page_of.parts = max(page_of.parts, count)  # removed with the page's next record

    def decode(self, name: str, value: msgspec.Raw, kind: type[T]) -> T | None:
        """A record of a job; None: it can't be read.

        Its job is left alone then, with all its records: nothing of it is removed or started, as
        it is not known where it runs; what runs is stopped, since it is not counted. Without this
        one such record would keep every leader from beginning its term.
        """
        try:
            return msgspec.json.decode(value, type=kind)
        except (msgspec.DecodeError, UnicodeDecodeError) as error:
            self._set_aside(name, error)
            return None

    def make_job(self, record: JobRecord, version: int, parts: list[SpecPart]) -> Job | None:
        """A job from its record; None: the record can be decoded, but is impossible. A job without
        a part of its specification might be placed where it must not be."""
        try:
            if len(parts) < record.spec_parts:
                raise ValueError(f"{len(parts)} of {record.spec_parts} parts of its specification")
            return Job(record, version, parts)
        except BROKEN as error:
            self._set_aside(record.spec.id, error)
            return None

    def _set_aside(self, name: str, error: Exception) -> None:
        if name not in self.unreadable:
            log.error("a record of %s can't be read, its job is left alone: %s", name, error)
        self.unreadable.add(name)
        self.jobs.pop(name, None)
