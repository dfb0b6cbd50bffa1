"""Records that do not fit into one value, in parts.

Parts are written in the transaction that writes what they belong to, and removed in one, so they
need no versions of their own; only a finished job leaves some behind, as garbage.
"""

from collections.abc import Iterator, Sequence

import msgspec

from dappledrum.jobs.messages import FIGURES_PER_TASK, MachineRow, RowsRecord, Spec, SpecPart

MAX_TASKS_PER_ROW = 16  # a machine full of small tasks must not exceed a value
PART_OVERHEAD_BYTES = 40  # of a part besides its items
SEPARATOR_BYTES = 1  # between two items
LONG_SPEC_DIVISOR = 2  # a specification of more than this part of a value is stored apart


def split_rows(
    prefix: str, zones: list[str], rows: Sequence[MachineRow], capacity: int, max_part_bytes: int
) -> tuple[list[MachineRow], list[RowsRecord]]:
    """Rows for the page itself, which has `capacity` bytes left, and for parts of at most
    `max_part_bytes`."""
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
    """The rows, those with many tasks in pieces."""
    step = MAX_TASKS_PER_ROW * FIGURES_PER_TASK
    for row in rows:
        for start in range(0, len(row.figures), step):
            yield row._replace(figures=row.figures[start : start + step])


def split_spec(spec: Spec, max_part_bytes: int) -> tuple[Spec, list[SpecPart]]:
    """A specification without its lists, and the parts with those."""
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
    """The whole specification again, from its stored form and its parts."""
    types = [name for part in parts for name in part.types]
    needs = [name for part in parts for name in part.needs]
    return msgspec.structs.replace(spec, types=types or spec.types, needs=needs or spec.needs)
