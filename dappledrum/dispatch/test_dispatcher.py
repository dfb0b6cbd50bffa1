"""One plan takes only so long, and what it did not come to is not forgotten."""

from datetime import timedelta

from dappledrum.dispatch.dispatcher import MAX_PLAN_TIME
from dappledrum.scheduling.scale_out import ScaleOut
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run


class SlowClock:
    """Time that passes with each look at it."""

    def __init__(self, clock, step):
        self.clock, self.step, self.more = clock, step, timedelta(0)

    def now(self):
        self.more += self.step
        return self.clock.now() + self.more

    def utc_now(self):
        return self.clock.utc_now()


def test_what_a_plan_did_not_come_to_comes_first_in_the_next(monkeypatch):
    """On a controller that is short of processor a plan for a burst went on for seconds, and what
    came meanwhile waited for it."""

    async def main():
        cluster = SimulatedCluster(seed=3)
        cluster.cloud.most = 0  # nothing starts, so all is left over
        await cluster.until(lambda: cluster.leader() is not None)
        for number in range(8):
            assert await cluster.submit(job(number, beats=9, dueS=300.0 + number)) == 201
        await cluster.wait(2)
        dispatcher = cluster.controllers[cluster.leader()].leader.dispatcher
        came = []
        rent = ScaleOut.rent

        def note(renting, bag, count):
            came.append(bag.id)
            rent(renting, bag, count)

        monkeypatch.setattr(ScaleOut, "rent", note)
        dispatcher.autoscaler.needed = {"counted on before"}
        whole = dispatcher.clock
        dispatcher.clock = SlowClock(whole, MAX_PLAN_TIME / 12)
        await dispatcher.run()
        first, came[:] = list(came), []
        late = set(dispatcher.postponed)
        assert 0 < len(first) < 8
        assert late == {f"j-{n:06d}" for n in range(8)} - set(first)
        assert "counted on before" in dispatcher.autoscaler.needed
        assert not dispatcher.nothing_late
        dispatcher.clock = whole
        await dispatcher.run()
        assert set(came[: len(late)]) == late
        assert len(came) == 8
        assert not dispatcher.postponed
        assert "counted on before" not in dispatcher.autoscaler.needed

    run(main())
