"""What was learned outlives a takeover, and damage to it costs nothing but the learning."""

import msgspec
import pytest

from dappledrum.fleet.boot_times import Boots
from dappledrum.learning.learned_estimates import LearnedMemory
from dappledrum.learning.messages import LearnedRecord
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.timeline import Kind
from dappledrum.simulation.cluster import World, job
from dappledrum.simulation.virtual_time import run
from dappledrum.timing.clock import seconds


class Kept:
    """Holds what would be stored."""

    value_bytes = 2048
    value = b""

    async def keep(self, record):
        self.value = msgspec.json.encode(record)
        assert len(self.value) <= self.value_bytes

    async def recall(self):
        return msgspec.json.decode(self.value, type=LearnedRecord)


def test_a_successor_expects_what_its_predecessor_did():
    async def main():
        world = World(seed=1, members=("drummer-0",))
        clock, hint = world.nodes["drummer-0"].clock, Kept()
        estimates, boots = Estimates(), Boots()
        kind = Kind("small", "a", True)
        boots.nominal = {"small": seconds(10)}
        await world.wait(100)
        for number in range(200):
            name = f"class-{number % 40}"
            estimates.learn(f"j-{number}", name, seconds(10), seconds(10 + number % 40))
            boots.finished(kind, clock.now() - seconds(25), clock.now())
        before = LearnedMemory(hint, estimates, boots, clock)
        await hint.keep(before.record())
        later, other = Estimates(), Boots()
        other.nominal = boots.nominal
        await LearnedMemory(hint, later, other, clock).recall(boots.nominal)
        known = [name for name in estimates.classes if name in later.classes]
        assert len(known) >= 10
        for name in known:
            assert abs(later.ratio(name) / estimates.ratio(name) - 1) < 0.02
        assert other.expected(kind) / boots.expected(kind) == pytest.approx(1, abs=0.15)

    run(main())


def test_estimates_are_there_after_a_takeover_and_damage_is_survived():
    async def main():
        world = World(seed=71)
        await world.until(lambda: world.leader() is not None)
        for number in range(3):
            await world.submit(job(number, beats=8, expectedS=20.0, runS=5.0))
        await world.finish([f"j-{n:06d}" for n in range(3)])
        await world.wait(12)
        assert world.state.keys["learned"][0]["classes"]
        await world.restart(world.leader())
        await world.until(lambda: world.leader() is not None)
        await world.wait(2)
        leader = world.nodes[world.leader()].leader
        assert leader.estimates.ratio("plain") < 0.7
        assert leader.fleet_manager.boots.seen
        for boot in leader.fleet_manager.boots.seen:
            took = boot.up_at - boot.asked_at
            assert (
                abs(took / boot.ratio / leader.fleet_manager.types[boot.kind.type].boot - 1) < 0.01
            )
        for damaged in ({"classes": 7}, {"classes": [["x", -1, 0, 0]]}, [], "x", None):
            world.state.keys["learned"] = (damaged, *world.state.keys["learned"][1:])
            await world.restart(world.leader())
            await world.until(lambda: world.leader() is not None)
        await world.submit(job(9))
        await world.finish(["j-000009"])

    run(main())
