"""Splits records that do not fit into one value into parts.

Parts are written and deleted in the same transaction as the record that they belong to, so their
versions need no guards. There are three exceptions: new parts of a cancelled head that exceed one
transaction (see `staged_write`), surplus parts, whose removal may wait for later writes, and parts
of a finished job, which are left to garbage collection.
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
from dappledrum.store.value_size import encoded_size, value_size

MAX_TASKS_PER_ROW = 16  # the row of a machine with many small tasks must not exceed a value
PART_OVERHEAD_BYTES = 40  # part without its items
SEPARATOR_BYTES = 1  # between two items
LONG_SPEC_DIVISOR = 2  # a specification above 1/2 of a value's size is stored in parts
MAX_TASKS_PER_PAGE = 256
TASKS_PER_BITMAP_DIGIT = 4
HEAD_OVERHEAD_BYTES = 220  # head without its specification, bitmap and rows
#: What a controller of any version may add to a head when it marks the job as cancelled: the mark
#: itself, and default values that versions up to 0.2.0 write out.
CANCELLATION_BYTES = 80
MAX_BYTES_PER_CHARACTER = 12  # in JSON: two escapes of six bytes
MOVED_NAME = "-"  # stands in the head for a name that is stored in parts
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
    capacity = max_bytes - value_size(encode(without_rows))
    rows, parts = split_rows(page.prefix, page.zones, page.rows, capacity, max_part_bytes)
    page = msgspec.structs.replace(page, rows=rows, parts=page.parts + len(parts))
    if not rows and value_size(encode(page)) > max_bytes:
        without_names = msgspec.structs.replace(page, prefix="", zones=[])  # only rows use them
        page = without_names if value_size(encode(without_names)) <= max_bytes else page
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
    part_capacity -= encoded_size(RowsRecord(prefix, zones, []))
    for row in _short_rows(rows):
        size = encoded_size(row) + SEPARATOR_BYTES
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


def max_spec_bytes(max_value_bytes: int) -> int:
    """Size of the largest specification that a head of at most `max_value_bytes` has room for,
    beside the progress of its page without rows, and a cancellation."""
    progress = HEAD_OVERHEAD_BYTES + MAX_TASKS_PER_PAGE // TASKS_PER_BITMAP_DIGIT
    return max_value_bytes - progress - CANCELLATION_BYTES


def is_long(spec: Spec, max_part_bytes: int) -> bool:
    """Whether a specification is stored in parts if values have at most this size."""
    limit = min(max_part_bytes // LONG_SPEC_DIVISOR, max_spec_bytes(max_part_bytes))
    return encoded_size(spec) > limit


def fits(spec: Spec, max_part_bytes: int) -> bool:
    """Whether a specification can be stored in a head and parts of at most this size."""
    in_head, parts = split_spec(spec, max_part_bytes)
    largest = max((encoded_size(part) for part in parts), default=0)
    head_bytes = encoded_size(in_head)
    return head_bytes <= max_spec_bytes(max_part_bytes) and largest <= max_part_bytes


def split_spec(spec: Spec, max_part_bytes: int) -> tuple[Spec, list[SpecPart]]:
    """A specification without its lists, and without long names if it is still too large for a
    head, and the parts that hold them."""
    parts: list[SpecPart] = []
    capacity = 0
    lists = (("types", spec.types or []), ("needs", spec.needs or []))
    for field, names in lists:
        for name in names:
            size = encoded_size(name) + SEPARATOR_BYTES
            if size > capacity:
                parts.append(SpecPart())
                capacity = max_part_bytes - PART_OVERHEAD_BYTES
            getattr(parts[-1], field).append(name)
            capacity -= size
    no_types = None if spec.types else spec.types  # an empty list allows no machine type
    in_head = msgspec.structs.replace(spec, types=no_types, needs=None)
    return _without_names(in_head, parts, max_part_bytes)


def _without_names(
    spec: Spec, parts: list[SpecPart], max_part_bytes: int
) -> tuple[Spec, list[SpecPart]]:
    """Move the names that users choose freely behind the parts, if the specification only fits
    into a head without them."""
    short = msgspec.structs.replace(spec, image=MOVED_NAME, job_class=MOVED_NAME)
    limit = max_spec_bytes(max_part_bytes)
    if encoded_size(spec) <= limit or encoded_size(short) > limit:
        return spec, parts
    pieces = [
        *(SpecPart(image=piece) for piece in _pieces(spec.image, max_part_bytes)),
        *(SpecPart(job_class=piece) for piece in _pieces(spec.job_class, max_part_bytes)),
    ]
    return short, parts + pieces


def _pieces(name: str, max_part_bytes: int) -> list[str]:
    """A name in pieces of which each fits into a part."""
    length = max(1, (max_part_bytes - PART_OVERHEAD_BYTES) // MAX_BYTES_PER_CHARACTER)
    return [name[start : start + length] for start in range(0, len(name), length)]


def join_spec(spec: Spec, parts: Sequence[SpecPart]) -> Spec:
    """The complete specification, from its stored form and its parts."""
    return msgspec.structs.replace(
        spec,
        types=[name for part in parts for name in part.types] or spec.types,
        needs=[name for part in parts for name in part.needs] or spec.needs,
        image="".join(part.image for part in parts) or spec.image,
        job_class="".join(part.job_class for part in parts) or spec.job_class,
    )
