"""Drawn job records in the forms in which each version has stored them."""

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from hypothesis import strategies as st

from dappledrum.jobs.job import Job
from dappledrum.jobs.keys import head_key, rows_key, spec_key
from dappledrum.jobs.messages import (
    Form,
    JobRecord,
    MachineRow,
    PageRecord,
    Priority,
    RowsRecord,
    Spec,
    SpecPart,
)
from dappledrum.jobs.page_encoding import load_rows
from dappledrum.store.value_size import value_size

JOB = "j-000057"
OLD_PAGE_SIZE = 256  # of versions up to 0.2.0
OLD_PAGE_FIELDS = 6  # of the record of a page, up to 0.2.0
MAX_SECONDS = 10**8  # about three years
MAX_SESSION = 2**63

labels = st.text("abcXYZ-_ /:.0189", min_size=1, max_size=60)
#: Names that users choose; a character may take twelve bytes in JSON.
names = labels | st.builds(
    lambda character, length: character * length,
    st.sampled_from(["a", "ö", "😀", "\x01", "\x7f", '"']),
    st.integers(150, 200),
)
amounts = st.floats(0.0, 1e9, allow_nan=False)
job_ids = st.integers(0, 10**29).map(lambda number: f"j-{number}")


@st.composite
def specs(draw: st.DrawFn) -> Spec:
    """Draw a specification, with names of any length that it may have."""
    return Spec(
        id=JOB,
        job_class=draw(names),
        team=draw(st.text("blue", min_size=1, max_size=20)),
        form=draw(st.sampled_from(Form)),
        priority=draw(st.sampled_from(Priority)),
        tasks=draw(st.integers(1, 400) | st.integers(100, 400)),
        cpus=draw(amounts),
        gpus=draw(amounts),
        memory_gb=draw(amounts),
        image=draw(names),
        image_gb=draw(amounts),
        one_zone=draw(st.booleans()),
        spread=draw(st.booleans()),
        spot=draw(st.booleans()),
        estimate_s=draw(amounts),
        checkpoint_s=draw(amounts),
        save_s=draw(amounts),
        types=draw(st.none() | st.lists(labels, max_size=20)),
        zone=draw(st.none() | st.just("keskusta")),
        deadline_s=draw(st.none() | amounts),
        needs=draw(st.none() | st.lists(job_ids, min_size=1, max_size=40, unique=True)),
    )


@st.composite
def pages(draw: st.DrawFn, count: int) -> PageRecord:
    """Draw the progress of `count` tasks: which are done, and which are on which machine."""
    done = draw(st.integers(0, (1 << count) - 1))
    placed = draw(st.sampled_from([count, count, count // 2, 0]))
    tasks_per_machine = draw(st.sampled_from([1, 1, 1, 2, 40]))
    width = draw(st.integers(3, 12))  # digits of a machine's name that differ
    attempt = draw(st.integers(count + 1, 10**6))
    placed_s = draw(st.integers(0, MAX_SECONDS))
    session = draw(st.sampled_from([1, 7, 1000, MAX_SESSION]))
    zones = draw(st.lists(labels, min_size=1, max_size=3, unique=True))
    rows = []
    for first in range(0, placed, tasks_per_machine):
        tasks = range(first, min(first + tasks_per_machine, placed))
        figures = [figure for task in tasks for figure in (task, attempt - 1 - task, placed_s)]
        rows.append(MachineRow(f"{first:0{width}d}", session, first % len(zones), figures))
    return PageRecord(attempt, f"{done:x}", [], "host-", zones, rows)


@st.composite
def heads(draw: st.DrawFn, max_bytes: int) -> JobRecord:
    """Draw the head of a job, as a version that can't split it has stored it in at most
    `max_bytes`."""
    spec = draw(specs())
    size = draw(st.sampled_from([OLD_PAGE_SIZE, OLD_PAGE_SIZE, 45, 8]))
    page = draw(pages(min(size, spec.tasks)))
    if draw(st.booleans()):
        page = _of_version_0_1_0(page)
    released_ms = draw(st.none() | st.just(1_764_000_009_000)) if spec.needs else None
    record = JobRecord(spec, 1_764_000_000_000, size, page, released_ms=released_ms)
    record.done = int(page.done, 16).bit_count()
    record.running = draw(st.integers(0, spec.tasks))
    return _shortened(record, max_bytes)


def _of_version_0_1_0(page: PageRecord) -> PageRecord:
    rows = [
        (
            page.prefix + row.machine_suffix,
            row.session,
            page.zones[row.zone_index],
            [(offset, attempt, placed_s) for offset, attempt, placed_s in row.tasks()],
        )
        for row in page.rows
    ]
    return PageRecord(page.attempt, page.done, rows)


def _shortened(record: JobRecord, max_bytes: int) -> JobRecord:
    """The head with as many of its rows as `max_bytes` have room for, and one of its lists if
    that is necessary."""
    if value_size(as_stored_by_0_2_0(record)) > max_bytes and not record.page.rows:
        spec = msgspec.structs.replace(record.spec, needs=None, types=None)
        record = msgspec.structs.replace(record, spec=spec, released_ms=None)
    page = record.page
    while value_size(as_stored_by_0_2_0(record)) > max_bytes and (page.rows or page.legacy_rows):
        page = msgspec.structs.replace(
            page, rows=page.rows[:-1], legacy_rows=page.legacy_rows[:-1]
        )
        record = msgspec.structs.replace(record, page=page)
    return record


def as_stored_by_0_2_0(record: JobRecord) -> bytes:
    """The value that version 0.2.0 writes: with default values, and without later fields."""
    return msgspec.json.encode(old_fields(record))


def old_fields(record: JobRecord) -> dict[str, Any]:
    """The fields of a head in version 0.2.0."""
    value: dict[str, Any] = msgspec.to_builtins(record)
    for field in ("builds", "hall", "dueS"):
        value["spec"].setdefault(field, None)
    value["page"] = value["page"][:OLD_PAGE_FIELDS]
    for field, default in (("cancelled", False), ("done", 0), ("running", 0)):
        value.setdefault(field, default)
    return value


class JobContents(NamedTuple):
    """All that the values of a job say, however it is distributed over them."""

    spec: Spec
    done: int
    next_attempt: int
    placements: frozenset[tuple[int, int, str, int, str, str]]
    released: bool


def contents(values: Mapping[str, bytes]) -> JobContents:
    """Read a job's first page from its values, as a new leader does; values that the head does not
    count are ignored."""
    record = msgspec.json.decode(values[head_key(JOB)], type=JobRecord)
    spec_parts = [
        msgspec.json.decode(values[spec_key(JOB, number)], type=SpecPart)
        for number in range(record.spec_parts)
    ]
    job = Job(record, 1, spec_parts)
    page = job.page(0)
    for number in range(record.page.parts):
        part = msgspec.json.decode(values[rows_key(JOB, 0, number)], type=RowsRecord)
        load_rows(page, part)
    return contents_of(job)


def contents_of(job: Job) -> JobContents:
    """What the values of a job say if they are those of a job in a leader's memory."""
    page = job.page(0)
    placements = frozenset(
        (p.task, p.attempt, p.machine, p.session, p.zone, p.placed_at.isoformat())
        for p in page.placements.values()
    )
    return JobContents(job.spec, page.done, page.attempt, placements, not job.unmet_dependencies)
