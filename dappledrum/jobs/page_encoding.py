"""Stored form of pages: one value, or several if one would be too long.

Each task of a page may be on a different machine, so the form is compact: placements are grouped
by machine, and the common prefix of the machine names is stored once.
"""

from collections.abc import Iterable, Iterator
from datetime import datetime, timedelta
from os.path import commonprefix

import msgspec

from dappledrum.jobs.keys import rows_key
from dappledrum.jobs.messages import (
    MachineRow,
    PageRecord,
    RowsRecord,
    Spec,
    TaskFigures,
    TaskRow,
)
from dappledrum.jobs.page import Page
from dappledrum.jobs.placement import Placement
from dappledrum.jobs.value_parts import (
    CANCELLATION_BYTES,
    HEAD_OVERHEAD_BYTES,
    MAX_TASKS_PER_PAGE,
    spread_rows,
)
from dappledrum.store.messages import Delete, Put
from dappledrum.store.value_size import encoded_size, value_size

MIN_TASKS_PER_PAGE = 8
TYPICAL_ROW_BYTES = 30  # row of a machine with one task
ROW_OVERHEAD_BYTES = 12  # row without the name, the session and the tasks
ZONE_OVERHEAD_BYTES = 3  # quotes and a comma


def page_size(spec: Spec, value_bytes: int) -> int:
    """Number of tasks per page of a new job, for values of at most `value_bytes`.

    The page still fits into the head, beside the specification, when each task is on a different
    machine, so that no task has to wait for capacity in a record.
    """
    capacity = value_bytes - encoded_size(spec) - HEAD_OVERHEAD_BYTES
    fitting = capacity * 4 // (TYPICAL_ROW_BYTES * 4 + 1)
    return min(MAX_TASKS_PER_PAGE, max(MIN_TASKS_PER_PAGE, fitting))


def max_row_bytes(page: Page, now: datetime) -> int:
    """Upper bound for the stored size of a placement made now, without its machine."""
    since = _seconds_since_acceptance(page, now)
    return len(f"{page.count},{page.attempt + page.count},{since},")


def max_value_bytes(page: Page, machine: str, now: datetime) -> int:
    """Upper bound for the stored size of the page with one more placement, on this machine.

    Each further placement on the same machine adds at most `max_row_bytes`.
    """
    machines = {(p.machine, p.session) for p in page.placements.values()}
    names = [name for name, _ in machines] + [machine]
    prefix = len(_common_prefix(names))
    heads = sum(len(name) - prefix + ROW_OVERHEAD_BYTES for name in names)
    sessions = sum(len(str(session)) for _, session in machines)
    zone_names = {p.zone for p in page.placements.values()}
    zones = sum(len(zone) + ZONE_OVERHEAD_BYTES for zone in zone_names)
    spec = page.job.stored_spec.head_bytes if page.index == 0 else 0
    rows = max_row_bytes(page, now) * (len(page.placements) + 1)
    return spec + HEAD_OVERHEAD_BYTES + page.count // 4 + heads + sessions + zones + rows


def reserved_bytes(page: Page) -> int:
    """Room that a page's own value must have left for what other controllers may add to it."""
    return CANCELLATION_BYTES if page.index == 0 and not page.job.cancelled else 0


def task_rows(page: Page) -> dict[int, TaskRow]:
    """The stored form of the page's placements, by the offset of their task."""
    rows = [
        TaskRow(
            placement.machine,
            placement.session,
            placement.zone,
            TaskFigures(
                placement.task - page.first,
                placement.attempt,
                _seconds_since_acceptance(page, placement.placed_at),
            ),
        )
        for placement in page.placements.values()
    ]
    return {row.figures.offset: row for row in rows}


def rows_record(task_rows: Iterable[TaskRow]) -> RowsRecord:
    """The rows as one record, grouped by machine."""
    zones: dict[str, int] = {}
    grouped: dict[tuple[str, int, int], list[int]] = {}
    for machine, session, zone_name, task_figures in task_rows:
        zone = zones.setdefault(zone_name, len(zones))
        figures = grouped.setdefault((machine, session, zone), [])
        figures += task_figures
    prefix = _common_prefix([machine for machine, _, _ in grouped])
    rows = [
        MachineRow(machine[len(prefix) :], session, zone, figures)
        for (machine, session, zone), figures in grouped.items()
    ]
    return RowsRecord(prefix, list(zones), rows)


def page_record(page: Page) -> PageRecord:
    """The stored form of a page as a single record."""
    prefix, zones, rows = msgspec.structs.astuple(rows_record(task_rows(page).values()))
    return PageRecord(page.attempt, f"{page.done:x}", [], prefix, zones, rows)


def page_changes(page: Page, max_bytes: int, max_part_bytes: int) -> list[Put | Delete]:
    """Changes that store a page; the first one is for the page's own key.

    The page is stored in one value if that has at most `max_bytes`, otherwise in several values
    of at most `max_part_bytes`. In a head that is split, room is left for a cancellation.
    """
    record = page_record(page)
    value = encode_page(page, record)
    parts: list[RowsRecord] = []
    max_split_bytes = max_part_bytes - reserved_bytes(page)
    # A head of at most `max_bytes` stays whole while not every controller can read parts.
    if value_size(value) > (max_split_bytes if max_bytes == max_part_bytes else max_bytes):
        if page.index == 0:
            page.job.stored_spec.split(max_part_bytes)
        record, parts = spread_rows(
            record, lambda form: encode_page(page, form), max_split_bytes, max_part_bytes
        )
        value = encode_page(page, record)
    changes: list[Put | Delete] = [Put(page.key, msgspec.Raw(value))]
    if page.index == 0:
        changes += page.job.stored_spec.changes()
    return changes + _part_changes(page, parts)


def _part_changes(page: Page, parts: list[RowsRecord]) -> list[Put | Delete]:
    """Changes that store the additional values, and delete those that are no longer needed."""
    changes: list[Put | Delete] = []
    for number, part in enumerate(parts):
        value = msgspec.json.encode(part)
        changes.append(Put(rows_key(page.job.id, page.index, number), msgspec.Raw(value)))
    unneeded = range(len(parts), page.parts)
    changes.extend(Delete(rows_key(page.job.id, page.index, number)) for number in unneeded)
    return changes


def load_page(page: Page, record: PageRecord, version: int) -> None:
    """Restore a page from the record of an earlier leader; `version` is that of its key."""
    page.attempt = record.attempt
    page.done = int(record.done, 16) & ((1 << page.count) - 1)
    page.version = version
    page.parts = record.parts
    for machine, session, zone, tasks in record.legacy_rows:
        for figures in tasks:
            _restore(page, machine, session, zone, TaskFigures(*figures))
    load_rows(page, record)


def load_rows(page: Page, record: PageRecord | RowsRecord) -> None:
    """Restore the placements in the rows of a page's own value or of an additional one."""
    for machine, session, zone, figures in task_rows_of(record):
        _restore(page, machine, session, zone, figures)


def task_rows_of(record: PageRecord | RowsRecord) -> Iterator[TaskRow]:
    """The placements in the rows of a record."""
    for row in record.rows:
        machine, zone = record.prefix + row.machine_suffix, record.zones[row.zone_index]
        for figures in row.tasks():
            yield TaskRow(machine, row.session, zone, figures)


def _restore(page: Page, machine: str, session: int, zone: str, figures: TaskFigures) -> None:
    placed_at = page.job.accepted_at + timedelta(seconds=figures.placed_s)
    task = page.first + figures.offset
    page.restore(Placement(page, task, figures.attempt, machine, session, zone, placed_at))


def encode_page(page: Page, record: PageRecord) -> bytes:
    """The page's own value; that of the first page is the job's head."""
    return msgspec.json.encode(page.job.head_record(record) if page.index == 0 else record)


def _seconds_since_acceptance(page: Page, moment: datetime) -> int:
    return int((moment - page.job.accepted_at).total_seconds())


def _common_prefix(names: list[str]) -> str:
    return commonprefix(names)  # noqa: RUF071 - these are names, not paths
