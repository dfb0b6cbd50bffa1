"""Forwards heartbeats of workers that do not reach the leader.

A worker accepts an answer from any controller if its token is not older, so it gets the leader's
own answer. There is one hop only: a forwarded heartbeat is answered or refused by the leader, and
never forwarded again.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta

from dappledrum.timing.clock import Clock

GATHER = timedelta(milliseconds=40)  # heartbeats that come together go together
MAX_BYTES = 48 * 1024  # of a message; the peer takes 64 KiB
#: For how long a worker is served this way before it is sent to the leader again; doubled each
#: time that it comes back.
SERVED = timedelta(seconds=20)
MAX_SERVED_TIME = timedelta(seconds=120)
MAX_WORKERS = 5_000

Send = Callable[[str, list[bytes]], Awaitable[list[bytes | None] | None]]


class ForwardedWorker:
    """A worker that came here while another controller leads, for one epoch of that leader."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.sent = False  # to the leader, which has not answered it since
        self.helped = False  # one heartbeat was passed on, the next one shall go there
        self.served_until: timedelta | None = None
        self.period = SERVED


class ForwardedWorkers:
    """The workers that were redirected to the leader, and those that came back."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: OrderedDict[str, ForwardedWorker] = OrderedDict()

    def needed(self, machine: str, token: int, epoch: int, lost: bool, late: bool) -> bool:
        """Whether a heartbeat must be forwarded to the leader of this epoch; if not, the worker is
        redirected there, and that is noted.

        It must be forwarded if the zone is known not to reach the leader (`lost`), if the worker
        was answered by this leader before and comes here now, and if it was redirected there and
        comes here again: so no worker is redirected in a circle. After a while it is redirected
        once more, since links recover. A worker that comes here only when the leader has led for
        long (`late`) has been searching, and may have no time left for another failed attempt: one
        heartbeat of it is forwarded first. A worker that was never answered has no tasks to lose.
        """
        now = self.clock.now()
        worker = self.workers.get(machine)
        if worker is None or worker.epoch != epoch:
            worker = self.workers[machine] = ForwardedWorker(epoch)
        self.workers.move_to_end(machine)
        while len(self.workers) > MAX_WORKERS:
            self.workers.popitem(last=False)
        if worker.served_until is not None:
            if now < worker.served_until:
                return True
            worker.served_until = None
        elif worker.helped:
            worker.helped = False
        elif worker.sent or token == epoch:
            worker.sent = False
            worker.served_until = now + worker.period
            worker.period = min(worker.period * 2, MAX_SERVED_TIME)
            return True
        elif late and 0 < token < epoch:
            worker.helped = True
            return True
        worker.sent = not lost
        return lost


class HeartbeatForwarder:
    """Sends heartbeats to the leader in batches, and returns each answer to its heartbeat."""

    def __init__(self, send: Send) -> None:
        self.send = send
        self.waiting: dict[str, list[tuple[bytes, asyncio.Future[bytes | None]]]] = {}
        self.going: set[asyncio.Task[None]] = set()

    async def ask(self, leader: str, heartbeat: bytes) -> bytes | None:
        """The leader's answer to a heartbeat; None: it gave none."""
        if len(heartbeat) > MAX_BYTES:
            return None
        answer: asyncio.Future[bytes | None] = asyncio.get_running_loop().create_future()
        batch = self.waiting.get(leader)
        if batch is None:
            self.waiting[leader] = [(heartbeat, answer)]
            # A task of its own: the one that came first must not take the others along.
            going = asyncio.get_running_loop().create_task(self._gather(leader))
            self.going.add(going)
            going.add_done_callback(self.going.discard)
        else:
            batch.append((heartbeat, answer))
        return await answer

    async def _gather(self, leader: str) -> None:
        await asyncio.sleep(GATHER.total_seconds())
        await self._go(leader, self.waiting.pop(leader, []))

    async def _go(
        self, leader: str, batch: list[tuple[bytes, asyncio.Future[bytes | None]]]
    ) -> None:
        """Send a batch, in parts that a peer takes."""
        parts: list[list[tuple[bytes, asyncio.Future[bytes | None]]]] = [[]]
        size = 0
        for item in batch:
            size += len(item[0]) + 8
            if size > MAX_BYTES and parts[-1]:
                parts.append([])
                size = len(item[0])
            parts[-1].append(item)
        await asyncio.gather(*(self._part(leader, part) for part in parts if part))

    async def _part(
        self, leader: str, part: list[tuple[bytes, asyncio.Future[bytes | None]]]
    ) -> None:
        answers: list[bytes | None] | None = None
        try:
            answers = await self.send(leader, [heartbeat for heartbeat, _ in part])
        finally:
            if answers is None or len(answers) != len(part):
                answers = [None] * len(part)
            for (_, waiter), answer in zip(part, answers, strict=True):
                if not waiter.done():
                    waiter.set_result(answer)
