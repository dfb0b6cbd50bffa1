"""Forwards heartbeats of workers that do not reach the leader.

A worker accepts an answer through any controller unless its token is older than the last one, so
the leader's answer is returned unchanged. There is one hop only: the leader answers or refuses a
forwarded heartbeat, and nobody forwards it again.
"""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import NamedTuple

BATCH_WINDOW = timedelta(milliseconds=40)  # heartbeats that arrive within it are sent together
MAX_BATCH_BYTES = 48 * 1024  # per message; the peer accepts 64 KiB
ENCODING_BYTES = 8  # CBOR overhead per heartbeat

#: Sends heartbeats to a member; returns its answers in the same order, or None without a reply.
SendBatch = Callable[[str, list[bytes]], Awaitable[list[bytes | None] | None]]


class PendingHeartbeat(NamedTuple):
    """A heartbeat to be sent to the leader, and the future for its answer."""

    body: bytes
    answer: asyncio.Future[bytes | None]


class HeartbeatForwarder:
    """Sends heartbeats to the leader in batches, and returns each answer to its caller."""

    def __init__(self, send: SendBatch) -> None:
        self.send = send
        self.pending: dict[str, list[PendingHeartbeat]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def forward(self, leader: str, body: bytes) -> bytes | None:
        """Forward a heartbeat and return the leader's answer; None if there is none."""
        if len(body) > MAX_BATCH_BYTES:
            return None
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        heartbeat = PendingHeartbeat(body, answer)
        batch = self.pending.get(leader)
        if batch is None:
            self.pending[leader] = [heartbeat]
            # A separate task, so that the batch is sent even if the first caller is cancelled.
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
    """Split a batch into parts that each fit into one message; no parts if it is empty."""
    parts: list[list[PendingHeartbeat]] = [[]]
    size = 0
    for heartbeat in batch:
        size += len(heartbeat.body) + ENCODING_BYTES
        if size > MAX_BATCH_BYTES and parts[-1]:
            parts.append([])
            size = len(heartbeat.body)
        parts[-1].append(heartbeat)
    return [part for part in parts if part]
