"""Watches the key `leader`."""

import asyncio
from datetime import timedelta
from typing import NamedTuple

import msgspec

from dappledrum.election.messages import LeaderRecord
from dappledrum.election.terms import LEADER_KEY
from dappledrum.store.client import StoreClient
from dappledrum.store.messages import Event
from dappledrum.store.rate_limiter import RequestPriority


class LeaderKey(NamedTuple):
    """The key `leader` at one version."""

    version: int
    value: msgspec.Raw

    def record(self) -> LeaderRecord:
        """The value, decoded."""
        return msgspec.json.decode(self.value, type=LeaderRecord)


class LeaderWatch:
    """Reads the key `leader` and waits for its changes."""

    def __init__(self, store: StoreClient, timeout: timedelta) -> None:
        """`timeout` bounds one watch request."""
        self.store = store
        self.timeout = timeout

    async def read(self) -> tuple[LeaderKey | None, int]:
        """Return the key, None if there is no leader, and the revision to start a watch from."""
        entries, revision = await self.store.scan(LEADER_KEY, RequestPriority.LEASE)
        entry = next((e for e in entries if e.key == LEADER_KEY), None)
        if entry is None:
            return None, revision
        return LeaderKey(entry.version, entry.value), revision

    async def changes(
        self, revision: int, interrupt: asyncio.Event
    ) -> tuple[list[LeaderKey | None], int] | None:
        """Wait for the next changes of the key after `revision`.

        Returns the changes, with None for a removal, and the revision to go on from; None if
        `interrupt` is set first.

        Raises:
            CompactedError: the store no longer keeps that revision.
        """
        watch = asyncio.ensure_future(
            self.store.watch(LEADER_KEY, revision, self.timeout, RequestPriority.LEASE)
        )
        interrupted = asyncio.ensure_future(interrupt.wait())
        try:
            await asyncio.wait((watch, interrupted), return_when=asyncio.FIRST_COMPLETED)
            if interrupted.done():
                return None
            events, revision = await watch
        finally:
            interrupted.cancel()
            watch.cancel()
        return [_key_after(event) for event in events if _concerns_leader(event)], revision


def _concerns_leader(event: Event) -> bool:
    return LEADER_KEY in (event.put, event.delete)


def _key_after(event: Event) -> LeaderKey | None:
    return LeaderKey(event.version, event.value) if event.put == LEADER_KEY else None
