"""Decides which workers are redirected to the leader, and whose heartbeats are forwarded to it."""

from collections import OrderedDict
from datetime import timedelta

from dappledrum.timing.clock import Clock

#: How long the heartbeats of a worker are forwarded before it is redirected to the leader again;
#: doubled each time the worker returns.
FORWARDING_PERIOD = timedelta(seconds=20)
MAX_FORWARDING_PERIOD = timedelta(seconds=120)
MAX_WORKERS = 5_000


class RedirectedWorker:
    """State of a worker that sent a heartbeat to this follower, for one epoch of the leader."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.redirected = False  # to the leader, and has sent no heartbeat here since
        self.forwarded_once = False  # its next heartbeat is redirected
        self.forwarded_until: timedelta | None = None
        self.forwarding_period = FORWARDING_PERIOD


class RedirectedWorkers:
    """Workers that were redirected to the leader, and those that returned."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: OrderedDict[str, RedirectedWorker] = OrderedDict()

    def must_forward(
        self, machine: str, token: int, epoch: int, unreachable: bool, searching: bool
    ) -> bool:
        """Whether a heartbeat must be forwarded to the leader of this epoch; if not, the worker is
        redirected there, and that is recorded.

        It must be forwarded if the leader reports that it does not reach the worker's zone
        (`unreachable`), if this leader has answered the worker before (`token`), or if the worker
        was redirected to the leader and has returned. This prevents redirect loops. After a while
        the worker is redirected once more, since links recover.

        A worker that comes here when the leader has led for some time (`searching`) may have no
        time left for another failed attempt, so one of its heartbeats is forwarded first. A worker
        that was never answered (token 0) has no tasks to lose.
        """
        now = self.clock.now()
        worker = self._worker(machine, epoch)
        if worker.forwarded_until is not None:
            if now < worker.forwarded_until:
                return True
            worker.forwarded_until = None
        elif worker.forwarded_once:
            worker.forwarded_once = False
        elif worker.redirected or token >= epoch:
            worker.redirected = False
            worker.forwarded_until = now + worker.forwarding_period
            worker.forwarding_period = min(worker.forwarding_period * 2, MAX_FORWARDING_PERIOD)
            return True
        elif searching and 0 < token < epoch:
            worker.forwarded_once = True
            return True
        worker.redirected = not unreachable
        return unreachable

    def _worker(self, machine: str, epoch: int) -> RedirectedWorker:
        """The state of a worker, new for each epoch; the least recently used ones are dropped."""
        worker = self.workers.get(machine)
        if worker is None or worker.epoch != epoch:
            worker = self.workers[machine] = RedirectedWorker(epoch)
        self.workers.move_to_end(machine)
        while len(self.workers) > MAX_WORKERS:
            self.workers.popitem(last=False)
        return worker
