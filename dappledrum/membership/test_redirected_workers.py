"""Workers are redirected to the leader without redirect loops."""

import asyncio

from dappledrum.membership.redirected_workers import FORWARDING_PERIOD, RedirectedWorkers
from dappledrum.simulation.virtual_time import SkewedClock, run


def test_a_worker_that_returns_is_forwarded_instead_of_redirected_in_a_loop():
    async def main():
        workers = RedirectedWorkers(SkewedClock())

        def must_forward(token, epoch=5, machine="m", unreachable=False, searching=False):
            return workers.must_forward(machine, token, epoch, unreachable, searching)

        assert not must_forward(4)  # redirected to the leader
        await asyncio.sleep(40)
        assert must_forward(4)  # returned without an answer, however long that took
        assert must_forward(5)
        await asyncio.sleep(FORWARDING_PERIOD.total_seconds() + 1)
        assert not must_forward(5)  # the link may have healed
        assert must_forward(5)  # it has not
        await asyncio.sleep(FORWARDING_PERIOD.total_seconds() + 1)
        assert must_forward(5)  # redirected less often
        assert not must_forward(5, epoch=6)  # another leader
        # Never answered, so it has no tasks to lose.
        assert not must_forward(0, 6, machine="new", searching=True)
        assert must_forward(0, 6, machine="unreachable", unreachable=True)
        # Forwarded once, and then redirected.
        assert must_forward(5, 6, machine="searching", searching=True)
        assert not must_forward(6, 6, machine="searching", searching=True)
        assert must_forward(6, 6, machine="searching", searching=True)

    run(main())
