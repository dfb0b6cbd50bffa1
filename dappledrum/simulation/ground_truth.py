"""Compares the conclusions of leaders with the actual state of the machines.

A leader's loop would only log a failed assertion and continue, so wrong conclusions are collected,
and the test checks them at its end.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any
from unittest.mock import patch

from dappledrum.jobs.cost_category import CostCategory
from dappledrum.jobs.placement import Placement
from dappledrum.simulation.fleet import CloudService
from dappledrum.workers.attempt_ends import AttemptEnds
from dappledrum.workers.machine_registry import Machine
from dappledrum.workers.messages import WorkerHeartbeat
from dappledrum.workers.reconciler import Reconciler


class GroundTruth:
    """Knows which machines have terminated, and collects wrong conclusions of leaders."""

    def __init__(self) -> None:
        self.clouds: list[CloudService] = []
        self.terminated_at: dict[str, float] = {}
        self.began_at: dict[Reconciler, float] = {}  # start of each term, by its reconciler
        self.proofs = 0  # checked conclusions that an attempt has terminated
        self.wrong: list[str] = []  # descriptions of wrong conclusions

    def check_terminated(self, machine: str, task: str, attempt: int, why: str) -> None:
        """Check a leader's conclusion that an attempt on a machine has terminated."""
        self.proofs += 1
        if self._is_on_machine(machine, task, attempt):
            self.wrong.append(f"{task} is on {machine}, not terminated: {why}")

    def _is_on_machine(self, machine: str, task: str, attempt: int) -> bool:
        for cloud in self.clouds:
            rented = cloud.machines.get(machine)
            worker = rented.worker if rented is not None else None
            there = worker.attempts.get((task, attempt)) if worker is not None else None
            if there is not None and there.state != "ended":
                return True
        return False

    def check_alive(self, reconciler: Reconciler, machine: Machine) -> None:
        """Check, after a heartbeat, that a machine terminated before this term is not up."""
        terminated = self.terminated_at.get(machine.name)
        if machine.up and terminated is not None and terminated < self.began_at[reconciler]:
            self.wrong.append(f"{machine.name} has terminated and counts as up")

    def check_never_started(self, machine: Machine, lost_before: set[Placement]) -> None:
        """Check attempts that a leader has just given up as never started, because heartbeats of
        an unreachable machine do not report them."""
        if not machine.reachability.unreachable:
            return
        for placement in machine.placements.values():
            if placement.observed or not placement.lost or placement in lost_before:
                continue
            task = placement.name
            if self._is_on_machine(machine.name, task, placement.attempt):
                self.wrong.append(f"{task} is on {machine.name}, and will be stopped")


@contextmanager
def compared_with_ground_truth() -> Iterator[GroundTruth]:
    """Compare all leaders with all clouds until the end of the `with` block."""
    truth = GroundTruth()
    original_init, original_process = Reconciler.__init__, Reconciler.process_heartbeat
    original_lose = AttemptEnds.lose
    original_cloud_init, original_terminate = CloudService.__init__, CloudService.terminate

    def init_and_record(reconciler: Reconciler, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
        original_init(reconciler, *args, **kwargs)
        truth.began_at[reconciler] = asyncio.get_running_loop().time()

    def process_and_check(reconciler: Reconciler, heartbeat: WorkerHeartbeat) -> Machine | None:
        known = reconciler.registry.get(heartbeat.machine)
        placements = known.placements.values() if known is not None else ()
        lost_before = {placement for placement in placements if placement.lost}
        machine = original_process(reconciler, heartbeat)
        if machine is not None:
            truth.check_alive(reconciler, machine)
            truth.check_never_started(machine, lost_before)
        return machine

    def check_and_lose(
        ends: AttemptEnds,
        machine: Machine,
        placement: Placement,
        reason: str,
        category: CostCategory,
    ) -> None:
        task = placement.name
        truth.check_terminated(machine.name, task, placement.attempt, reason)
        original_lose(ends, machine, placement, reason, category)

    def cloud_init_and_record(cloud: CloudService, *args: Any, **kwargs: Any) -> None:  # noqa: ANN401
        original_cloud_init(cloud, *args, **kwargs)
        truth.clouds.append(cloud)

    def record_and_terminate(cloud: CloudService, name: str) -> None:
        truth.terminated_at.setdefault(name, asyncio.get_running_loop().time())
        original_terminate(cloud, name)

    with (
        patch.object(Reconciler, "__init__", init_and_record),
        patch.object(Reconciler, "process_heartbeat", process_and_check),
        patch.object(AttemptEnds, "lose", check_and_lose),
        patch.object(CloudService, "__init__", cloud_init_and_record),
        patch.object(CloudService, "terminate", record_and_terminate),
    ):
        yield truth
