"""Splits records that do not fit into one value into parts.

Parts are written and deleted in the same transaction as the record that they belong to, so their
versions need no guards. Only the parts of a finished job are left to garbage collection.
"""

from collections.abc import Callable, Iterator, Sequence

import msgspec

from dappledrum.jobs.messages import (
    FIGURES_PER_TASK,
    MachineRow,
    PageRecord,
    RowsRecord,
    Spec,
    SpecPart,
)

MAX_TASKS_PER_ROW = 16  # the row of a machine with many small tasks must not exceed a value
PART_OVERHEAD_BYTES = 40  # part without its items
SEPARATOR_BYTES = 1  # between two items
LONG_SPEC_DIVISOR = 2  # a specification above 1/2 of a value's size is stored in parts
PARTS_PLACEHOLDER = 99  # number of parts that is assumed while computing the length of a value


def spread_rows(
    page: PageRecord,
    encode: Callable[[PageRecord], bytes],
    max_bytes: int,
    max_part_bytes: int,
) -> tuple[PageRecord, list[RowsRecord]]:
    """Leave as many rows in a page as its own value of at most `max_bytes` has room for; returns
    the page and the parts with the other rows, which follow the parts that it has already.

    `encode` returns the page's own value for a form of the page.
    """
    without_rows = msgspec.structs.replace(page, rows=[], parts=PARTS_PLACEHOLDER)
    capacity = max_bytes - len(encode(without_rows))
    rows, parts = split_rows(page.prefix, page.zones, page.rows, capacity, max_part_bytes)
    page = msgspec.structs.replace(page, rows=rows, parts=page.parts + len(parts))
    if not rows and len(encode(page)) > max_bytes:
        without_names = msgspec.structs.replace(page, prefix="", zones=[])  # only rows use them
        page = without_names if len(encode(without_names)) <= max_bytes else page
    return page, parts


def split_rows(
    prefix: str, zones: list[str], rows: Sequence[MachineRow], capacity: int, max_part_bytes: int
) -> tuple[list[MachineRow], list[RowsRecord]]:
    """Distribute rows over the page's own value, which has `capacity` bytes left, and parts of at
    most `max_part_bytes`."""
    page_rows: list[MachineRow] = []
    parts: list[RowsRecord] = []
    target = page_rows
    part_capacity = max_part_bytes - PART_OVERHEAD_BYTES
    part_capacity -= len(msgspec.json.encode(RowsRecord(prefix, zones, [])))
    for row in _short_rows(rows):
        size = len(msgspec.json.encode(row)) + SEPARATOR_BYTES
        if size > capacity:
            parts.append(RowsRecord(prefix, zones, []))
            capacity, target = part_capacity, parts[-1].rows
        target.append(row)
        capacity -= size
    return page_rows, parts


def _short_rows(rows: Sequence[MachineRow]) -> Iterator[MachineRow]:
    """The rows, with those of more than `MAX_TASKS_PER_ROW` tasks split."""
    step = MAX_TASKS_PER_ROW * FIGURES_PER_TASK
    for row in rows:
        for start in range(0, len(row.figures), step):
            yield row._replace(figures=row.figures[start : start + step])


def is_long(spec: Spec, max_part_bytes: int) -> bool:
    """Whether the lists of a specification are stored in parts if values have this size."""
    return len(msgspec.json.encode(spec)) > max_part_bytes // LONG_SPEC_DIVISOR


def split_spec(spec: Spec, max_part_bytes: int) -> tuple[Spec, list[SpecPart]]:
    """A specification without its lists, and the parts that hold the lists."""
    parts: list[SpecPart] = []
    capacity = 0
    lists = (("types", spec.types or []), ("needs", spec.needs or []))
    for field, names in lists:
        for name in names:
            size = len(msgspec.json.encode(name)) + SEPARATOR_BYTES
            if size > capacity:
                parts.append(SpecPart())
                capacity = max_part_bytes - PART_OVERHEAD_BYTES
            getattr(parts[-1], field).append(name)
            capacity -= size
    return msgspec.structs.replace(spec, types=None, needs=None), parts


def join_spec(spec: Spec, parts: Sequence[SpecPart]) -> Spec:
    """The complete specification, from its stored form and its parts."""
    types = [name for part in parts for name in part.types]
    needs = [name for part in parts for name in part.needs]
    return msgspec.structs.replace(spec, types=types or spec.types, needs=needs or spec.needs)
