"""Writes of more values than one transaction may change.

A reader ignores parts that the head does not count yet. They may therefore be written before, in
transactions of their own, and the head that counts them follows. It is guarded by the versions of
these parts: another controller may have written other parts under their keys meanwhile.
"""

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple

from dappledrum.store.client import MAX_TRANSACTION_BYTES
from dappledrum.store.messages import Delete, Guard, Put
from dappledrum.store.value_size import value_size

CHANGE_OVERHEAD_BYTES = 400  # upper bound for a change without its value


class StagedWrite(NamedTuple):
    """Transactions that store a head with new parts: parts that are written `early`, in groups,
    and the `final` puts, the first of which is that of the head."""

    early: list[list[Put]]
    final: list[Put]


def change_bytes(change: Put | Delete) -> int:
    """Upper bound for the bytes that a change takes in a transaction."""
    value_bytes = value_size(bytes(change.value)) if isinstance(change, Put) else 0
    return value_bytes + CHANGE_OVERHEAD_BYTES


def stage(puts: Sequence[Put], max_changes: int) -> StagedWrite:
    """Distribute a head and parts that it does not count yet over transactions of at most
    `max_changes`; the last parts are written first."""
    final = list(puts)
    early: list[Put] = []
    while len(final) > max_changes or sum(map(change_bytes, final)) > MAX_TRANSACTION_BYTES:
        if len(final) == 1:
            break
        early.append(final.pop())
    return StagedWrite(_groups(early, max_changes), final)


def _groups(puts: Sequence[Put], max_changes: int) -> list[list[Put]]:
    """Divide changes into groups that fit into one transaction each."""
    groups: list[list[Put]] = []
    size = 0
    for put in puts:
        size += change_bytes(put)
        if not groups or len(groups[-1]) >= max_changes or size > MAX_TRANSACTION_BYTES:
            groups.append([])
            size = change_bytes(put)
        groups[-1].append(put)
    return groups


async def write_early(
    groups: Sequence[Sequence[Put]], commit: Callable[[Sequence[Put]], Awaitable[int]]
) -> list[Guard]:
    """Write the early parts; returns the guards of the final transaction.

    `commit` stores one group, guarded by the version of the head, and returns the revision; its
    errors are passed on.
    """
    guards: list[Guard] = []
    for group in groups:
        revision = await commit(group)
        guards += [Guard(put.key, revision) for put in group]
    return guards
