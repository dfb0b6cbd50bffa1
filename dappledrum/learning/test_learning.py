"""Learned values survive a change of leader; a damaged record only loses the learned values."""

import msgspec
import pytest

from dappledrum.fleet.boot_times import BootTimes
from dappledrum.learning.learned_estimates import LearnedEstimates
from dappledrum.learning.messages import LearnedRecord
from dappledrum.scheduling.estimates import Estimates
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.simulation.cluster import SimulatedCluster, job
from dappledrum.simulation.virtual_time import run
from dappledrum.store.value_size import encoded_size
from dappledrum.timing.clock import seconds


class InMemoryRecord:
    """Advisory record whose value is kept in memory."""

    max_bytes = 2048
    value = b""

    async def write_if_changed(self, record):
        self.value = msgspec.json.encode(record)
        assert len(self.value) <= self.max_bytes

    async def read(self):
        return msgspec.json.decode(self.value, type=LearnedRecord)


def test_a_new_leader_reads_its_predecessors_estimates():
    async def main():
        cluster = SimulatedCluster(seed=1, members=("drummer-0",))
        clock, advisory_record = cluster.controllers["drummer-0"].clock, InMemoryRecord()
        estimates, boots = Estimates(), BootTimes()
        kind = InstanceKind("small", "a", True)
        boots.nominal = {"small": seconds(10)}
        await cluster.wait(100)
        for number in range(200):
            name = f"class-{number % 40}"
            estimates.record_task_time(f"j-{number}", name, seconds(10), seconds(10 + number % 40))
            boots.record_completed(kind, clock.now() - seconds(25), clock.now())
        before = LearnedEstimates(advisory_record, estimates, boots, clock)
        await advisory_record.write_if_changed(before.record())
        later_estimates, later_boots = Estimates(), BootTimes()
        later_boots.nominal = boots.nominal
        await LearnedEstimates(advisory_record, later_estimates, later_boots, clock).load_previous(
            boots.nominal
        )
        known = [name for name in estimates.classes if name in later_estimates.classes]
        assert len(known) >= 10
        for name in known:
            assert abs(later_estimates.ratio(name) / estimates.ratio(name) - 1) < 0.02
        assert later_boots.expected(kind) / boots.expected(kind) == pytest.approx(1, abs=0.15)

    run(main())


def test_a_new_leader_uses_the_record_and_survives_a_damaged_one():
    async def main():
        cluster = SimulatedCluster(seed=71)
        await cluster.until(lambda: cluster.leader() is not None)
        for number in range(3):
            await cluster.submit(job(number, beats=8, expectedS=20.0, runS=5.0))
        await cluster.finish([f"j-{n:06d}" for n in range(3)])
        await cluster.wait(12)
        assert cluster.store.keys["learned"][0]["classes"]
        await cluster.restart(cluster.leader())
        await cluster.until(lambda: cluster.leader() is not None)
        await cluster.wait(2)
        leader = cluster.controllers[cluster.leader()].leader
        assert leader.estimates.ratio("plain") < 0.7
        assert leader.autoscaler.boots.completed
        for boot in leader.autoscaler.boots.completed:
            took = boot.up_at - boot.requested_at
            assert abs(took / boot.ratio / leader.autoscaler.types[boot.kind.type].boot - 1) < 0.01
        for damaged in ({"classes": 7}, {"classes": [["x", -1, 0, 0]]}, [], "x", None):
            cluster.store.keys["learned"] = (damaged, *cluster.store.keys["learned"][1:])
            await cluster.restart(cluster.leader())
            await cluster.until(lambda: cluster.leader() is not None)
        await cluster.submit(job(9))
        await cluster.finish(["j-000009"])

    run(main())


async def test_classes_with_long_names_keep_no_other_from_being_recorded():
    """Guards against a record that is too large for the store, and never written, as users chose
    long names for classes."""
    cluster = SimulatedCluster(seed=1, members=("drummer-0",))
    clock, estimates = cluster.controllers["drummer-0"].clock, Estimates()
    for number in range(30):
        name = f"{number:02d}" + "ö" * 198 * (number % 3 == 0)
        for _ in range(1 + number):
            estimates.record_task_time("j-1", name, seconds(10), seconds(12))
    record = LearnedEstimates(InMemoryRecord(), estimates, BootTimes(), clock).record()
    assert encoded_size(record) <= InMemoryRecord.max_bytes
    assert "29" in [row.job_class for row in record.classes]
