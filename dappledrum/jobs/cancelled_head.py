"""Marks a stored head as cancelled, without the leader.

Any controller may do so, and whoever wrote the head need not have left room for it. What would
make the head larger than the store's values is moved into additional values, behind those that
exist already, in the transaction that stores the cancellation.
"""

from collections.abc import Sequence
from os.path import commonprefix

import msgspec

from dappledrum.jobs.keys import head_key, rows_key, spec_key
from dappledrum.jobs.messages import JobRecord, MachineRow, PageRecord, SpecPart, TaskFigures
from dappledrum.jobs.value_parts import is_long, split_spec, spread_rows
from dappledrum.store.messages import Put, encode_value
from dappledrum.store.value_size import encoded_size


def cancelled_head(record: JobRecord, max_bytes: int, max_part_bytes: int) -> list[Put]:
    """Changes that store a live job's head as cancelled; the first one is for the head itself.

    The head is stored in one value if that has at most `max_bytes`, otherwise in several values
    of at most `max_part_bytes`.
    """
    job = record.spec.id
    cancelled = msgspec.structs.replace(record, cancelled=True)
    if encoded_size(cancelled) <= max_bytes:
        return [Put(head_key(job), encode_value(cancelled))]
    cancelled, spec_parts = _with_short_spec(cancelled, max_part_bytes)
    stored = cancelled
    page, row_parts = spread_rows(
        _in_current_form(cancelled.page),
        lambda page: msgspec.json.encode(msgspec.structs.replace(stored, page=page)),
        max_part_bytes,
        max_part_bytes,
    )
    cancelled = msgspec.structs.replace(cancelled, page=page)
    first_rows, first_spec = record.page.parts, record.spec_parts
    return [
        Put(head_key(job), encode_value(cancelled)),
        *(
            Put(spec_key(job, number), encode_value(part))
            for number, part in enumerate(spec_parts, first_spec)
        ),
        *(
            Put(rows_key(job, 0, number), encode_value(part))
            for number, part in enumerate(row_parts, first_rows)
        ),
    ]


def _with_short_spec(
    record: JobRecord, max_part_bytes: int
) -> tuple[JobRecord, Sequence[SpecPart]]:
    """The head without the lists of a long specification, and the parts that hold them."""
    if not is_long(record.spec, max_part_bytes):
        return record, ()
    spec, parts = split_spec(record.spec, max_part_bytes)
    count = record.spec_parts + len(parts)
    return msgspec.structs.replace(record, spec=spec, spec_parts=count), parts


def _in_current_form(page: PageRecord) -> PageRecord:
    """The page with the rows of versions up to 0.1.0 in the form of later ones."""
    if not page.legacy_rows:
        return page
    zones = list(dict.fromkeys([*page.zones, *(zone for _, _, zone, _ in page.legacy_rows)]))
    rows = [row._replace(machine_suffix=page.prefix + row.machine_suffix) for row in page.rows]
    for machine, session, zone, tasks in page.legacy_rows:
        figures = [figure for task in tasks for figure in TaskFigures(*task)]
        rows.append(MachineRow(machine, session, zones.index(zone), figures))
    prefix = commonprefix([row.machine_suffix for row in rows])  # noqa: RUF071 - names, not paths
    rows = [row._replace(machine_suffix=row.machine_suffix[len(prefix) :]) for row in rows]
    return msgspec.structs.replace(page, legacy_rows=[], prefix=prefix, zones=zones, rows=rows)
