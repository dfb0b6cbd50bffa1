"""Distributes the placements of a page over its parts, changing few of the stored ones.

A page whose own value and parts exceed one transaction is rewritten step by step. Each step must
leave values that are valid by themselves, since a new leader may read them: every placement that
may be on a machine is in exactly one part that the page counts, or is not started yet. So a task
moves from one part to another only in a step that writes both, and what a step leaves out of the
parts that it writes is still in those that it doesn't.
"""

from collections.abc import Mapping, Sequence
from itertools import groupby
from typing import NamedTuple

from dappledrum.jobs.messages import TaskRow
from dappledrum.jobs.page_encoding import rows_record
from dappledrum.jobs.value_parts import MAX_TASKS_PER_ROW
from dappledrum.store.value_size import encoded_size

#: The placements in one part, by the offset of their task in the page.
Part = dict[int, TaskRow]


class Distribution(NamedTuple):
    """A step towards the wanted placements: the content of each part after it."""

    parts: list[Part]
    changed: list[int]  # numbers of counted parts that differ from what is stored
    added: list[int]  # numbers of parts that the page doesn't count yet
    complete: bool  # whether the parts then hold just the wanted placements


def distribute(
    stored: Sequence[Part], wanted: Mapping[int, TaskRow], max_changed: int, max_part_bytes: int
) -> Distribution:
    """Plan a step that changes at most `max_changed` of the stored parts.

    Parts are filled up to `max_part_bytes`. Further parts are added for placements that no part
    has room for.
    """
    parts = [_kept(part, wanted) for part in stored]
    placed = set().union(*parts)
    _add([row for offset, row in wanted.items() if offset not in placed], parts, max_part_bytes)
    changed = [number for number, part in enumerate(stored) if parts[number] != part]
    # Parts that lose placements go first: a task that moves is added only after its removal.
    changed.sort(key=lambda number: stored[number].items() <= parts[number].items())
    postponed = changed[max_changed:]
    for number in postponed:
        parts[number] = dict(stored[number])
    still_stored = set().union(*(stored[number] for number in postponed))
    written = [number for number in range(len(parts)) if number not in postponed]
    for number in written:
        parts[number] = {
            offset: row for offset, row in parts[number].items() if offset not in still_stored
        }
    while parts and not parts[-1]:
        parts.pop()
    return Distribution(
        parts,
        [number for number in changed[:max_changed] if number < len(parts)],
        list(range(len(stored), len(parts))),
        not postponed,
    )


def _kept(part: Part, wanted: Mapping[int, TaskRow]) -> Part:
    """The placements of a part that stay as they are."""
    return {offset: row for offset, row in part.items() if wanted.get(offset) == row}


def _add(rows: Sequence[TaskRow], parts: list[Part], max_part_bytes: int) -> None:
    """Add placements to the first parts that have room, and to new ones at the end."""

    def machine_of(row: TaskRow) -> tuple[str, int, str]:
        return row.machine, row.session, row.zone

    for _, of_machine in groupby(sorted(rows, key=machine_of), machine_of):
        tasks = list(of_machine)
        for start in range(0, len(tasks), MAX_TASKS_PER_ROW):
            _add_to_one(tasks[start : start + MAX_TASKS_PER_ROW], parts, max_part_bytes)


def _add_to_one(rows: Sequence[TaskRow], parts: list[Part], max_part_bytes: int) -> None:
    for part in parts:
        if encoded_size(rows_record([*part.values(), *rows])) <= max_part_bytes:
            part.update((row.figures.offset, row) for row in rows)
            return
    parts.append({row.figures.offset: row for row in rows})
