"""Forwards heartbeats of workers that do not reach the leader.

A worker accepts an answer from any controller if its token is not older, so it gets the leader's
own answer. There is one hop only: a forwarded heartbeat is answered or refused by the leader, and
never forwarded again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

BATCH_WINDOW = timedelta(milliseconds=40)  # heartbeats that arrive within it are sent together
MAX_BATCH_BYTES = 48 * 1024  # of one message; the peer accepts 64 KiB
ENCODING_BYTES = 8  # of CBOR around one heartbeat

#: Sends heartbeats to a member; returns its answers in the same order, or None if it gave none.
SendBatch = Callable[[str, list[bytes]], Awaitable[list[bytes | None] | None]]


class PendingHeartbeat(NamedTuple):
    """A heartbeat on its way to the leader, and the answer that its sender waits for."""

    body: bytes
    answer: asyncio.Future[bytes | None]


class HeartbeatForwarder:
    """Sends heartbeats to the leader in batches, and returns each answer to its sender."""

    def __init__(self, send: SendBatch) -> None:
        self.send = send
        self.pending: dict[str, list[PendingHeartbeat]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def forward(self, leader: str, body: bytes) -> bytes | None:
        """The leader's answer to a heartbeat; None: it gave none."""
        if len(body) > MAX_BATCH_BYTES:
            return None
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        heartbeat = PendingHeartbeat(body, answer)
        batch = self.pending.get(leader)
        if batch is None:
            self.pending[leader] = [heartbeat]
            # A task of its own: if the sender of the first one is cancelled the others go on.
            task = asyncio.get_running_loop().create_task(self._send_after_window(leader))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            batch.append(heartbeat)
        return await answer

    async def _send_after_window(self, leader: str) -> None:
        await asyncio.sleep(BATCH_WINDOW.total_seconds())
        batch = self.pending.pop(leader, [])
        await asyncio.gather(*(self._send_message(leader, part) for part in _split(batch)))

    async def _send_message(self, leader: str, part: list[PendingHeartbeat]) -> None:
        answers: list[bytes | None] | None = None
        try:
            answers = await self.send(leader, [heartbeat.body for heartbeat in part])
        finally:
            if answers is None or len(answers) != len(part):
                answers = [None] * len(part)
            for heartbeat, answer in zip(part, answers, strict=True):
                if not heartbeat.answer.done():
                    heartbeat.answer.set_result(answer)


def _split(batch: list[PendingHeartbeat]) -> list[list[PendingHeartbeat]]:
    """Parts of a batch that are small enough for one message each; none if it is empty."""
    parts: list[list[PendingHeartbeat]] = [[]]
    size = 0
    for heartbeat in batch:
        size += len(heartbeat.body) + ENCODING_BYTES
        if size > MAX_BATCH_BYTES and parts[-1]:
            parts.append([])
            size = len(heartbeat.body)
        parts[-1].append(heartbeat)
    return [part for part in parts if part]
