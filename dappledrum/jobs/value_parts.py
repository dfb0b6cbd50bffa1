"""Records that do not fit into one value, in parts.

Parts are written in the transaction that writes what they belong to, and removed in one, so they
need no versions of their own; only a job that is over leaves some behind, as garbage.
"""

from collections.abc import Sequence

import msgspec

from dappledrum.jobs.messages import Row, RowsRecord, Spec, SpecPart

ROW_TASKS = 16  # in one row of a part: a machine full of small tasks must not exceed a value
SPARE = 40  # bytes of a part besides its items
LONG = 2  # a specification of more than this part of a value is stored apart


def split_rows(
    prefix: str, zones: list[str], rows: Sequence[Row], first: int, most: int
) -> tuple[list[Row], list[RowsRecord]]:
    """Rows for the page itself, which has room for `first` bytes, and for parts of at most `most`
    bytes."""
    here: list[Row] = []
    parts: list[RowsRecord] = []
    capacity, target = first, here
    overhead = len(msgspec.json.encode(RowsRecord(prefix, zones, []))) + SPARE
    for suffix, session, zone, numbers in rows:
        for at in range(0, len(numbers), 3 * ROW_TASKS):
            row: Row = (suffix, session, zone, numbers[at : at + 3 * ROW_TASKS])
            size = len(msgspec.json.encode(row)) + 1
            if size > capacity:
                parts.append(RowsRecord(prefix, zones, []))
                capacity, target = most - overhead, parts[-1].rows
            target.append(row)
            capacity -= size
    return here, parts


def split_spec(spec: Spec, most: int) -> tuple[Spec, list[SpecPart]]:
    """A specification without its lists, and the parts that hold those."""
    parts: list[SpecPart] = []
    capacity = 0
    lists = (("types", spec.types or []), ("needs", spec.needs or []))
    for kind, names in lists:
        for name in names:
            size = len(msgspec.json.encode(name)) + 1
            if size > capacity:
                parts.append(SpecPart())
                capacity = most - SPARE
            getattr(parts[-1], kind).append(name)
            capacity -= size
    return msgspec.structs.replace(spec, types=None, needs=None), parts


def join_spec(spec: Spec, parts: Sequence[SpecPart]) -> Spec:
    """The whole again."""
    types = [name for part in parts for name in part.types]
    needs = [name for part in parts for name in part.needs]
    return msgspec.structs.replace(spec, types=types or spec.types, needs=needs or spec.needs)
