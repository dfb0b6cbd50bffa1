"""Tests the time limit of a plan, and that the next plan begins with the bags it did not reach."""

from datetime import timedelta

from dappledrum.dispatch.dispatcher import MAX_PLAN_TIME
from dappledrum.scheduling.scale_out import ScaleOut
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run


class SlowClock:
    """A clock that advances by `step` each time it is read."""

    def __init__(self, clock, step):
        self.clock, self.step, self.added = clock, step, timedelta(0)

    def now(self):
        self.added += self.step
        return self.clock.now() + self.added

    def utc_now(self):
        return self.clock.utc_now()


def test_bags_that_a_plan_does_not_reach_come_first_in_the_next(monkeypatch):
    """On a controller short of processor time a plan for a burst of jobs took seconds, and jobs
    that arrived meanwhile waited for its end."""

    async def main():
        cluster = SimulatedCluster(seed=3)
        cluster.cloud.max_machines = 0  # nothing can start, so all tasks wait
        await cluster.until(lambda: cluster.leader() is not None)
        for number in range(8):
            assert await cluster.submit(job(number, beats=9, dueS=300.0 + number)) == 201
        await cluster.wait(2)
        dispatcher = cluster.controllers[cluster.leader()].leader.dispatcher
        rented_for = []
        rent = ScaleOut.rent

        def record(scale_out, bag, count):
            rented_for.append(bag.id)
            rent(scale_out, bag, count)

        monkeypatch.setattr(ScaleOut, "rent", record)
        dispatcher.autoscaler.needed = {"counted on before"}
        real_clock = dispatcher.clock
        dispatcher.clock = SlowClock(real_clock, MAX_PLAN_TIME / 12)
        await dispatcher.run()
        reached, rented_for[:] = list(rented_for), []
        postponed_bags = set(dispatcher.postponed)
        assert 0 < len(reached) < 8
        assert postponed_bags == {f"j-{n:06d}" for n in range(8)} - set(reached)
        assert "counted on before" in dispatcher.autoscaler.needed
        assert not dispatcher.nothing_late
        dispatcher.clock = real_clock
        await dispatcher.run()
        assert set(rented_for[: len(postponed_bags)]) == postponed_bags
        assert len(rented_for) == 8
        assert not dispatcher.postponed
        assert "counted on before" not in dispatcher.autoscaler.needed

    run(main())
