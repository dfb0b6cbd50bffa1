"""Workers are answered whenever some path to a possible leader is left.

Simulated controllers run with randomly cut links, and are compared with a simple oracle.
"""

import asyncio
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import Phase as HypothesisPhase
from hypothesis import strategies as st

from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import cluster_with_long_jobs
from dappledrum.simulation.virtual_time import run

GROUPS = 3
MAX_ANSWER_DELAY_S = 6.0  # once a worker tries a controller with a path to a possible leader
FAILED_ATTEMPT_S = 5.0  # time that a worker loses at each controller that it does not reach


@dataclass(frozen=True)
class FaultPhase:
    """Links that are cut for a while, each direction on its own, and controllers that are down."""

    store_links: frozenset[tuple[int, bool]] = frozenset()  # controller, answers lost
    peer_links: frozenset[tuple[int, int]] = frozenset()  # from, to
    worker_links: frozenset[tuple[int, int, bool]] = frozenset()  # controller, group, answers lost
    frozen: frozenset[int] = frozenset()
    killed: frozenset[int] = frozenset()
    reclaimed_machines: int = 0

    def down(self) -> frozenset[int]:
        """Controllers that are frozen or killed."""
        return self.frozen | self.killed

    def reaches_store(self, controller: int) -> bool:
        """Whether the store answers this controller."""
        return not {(controller, False), (controller, True)} & self.store_links

    def are_connected(self, a: int, b: int) -> bool:
        """Whether two controllers can exchange requests, which needs both directions."""
        return a == b or not {(a, b), (b, a)} & self.peer_links

    def reaches(self, group: int, controller: int) -> bool:
        """Whether heartbeats of a group of workers reach the controller, and answers the group."""
        return not {(controller, group, False), (controller, group, True)} & self.worker_links

    def has_path(self, group: int) -> bool:
        """Oracle: whether a controller could lead and answer this group, directly or through one
        peer."""
        up = [c for c in range(len(FIVE)) if c not in self.down()]
        return any(
            self.reaches_store(leader)
            and self.reaches(group, through)
            and self.are_connected(leader, through)
            for leader in up
            for through in up
        )

    def count_unanswering(self, group: int) -> int:
        """Number of controllers at which a worker of the group waits until its timeout."""
        return sum(
            c in self.frozen or (c not in self.killed and not self.reaches(group, c))
            for c in range(len(FIVE))
        )


controllers = st.integers(0, 4)
answers_lost = st.booleans()


@st.composite
def phases(draw):
    """Draw concurrent faults, with at most one controller frozen and one killed."""
    at_most_one = st.frozensets(controllers, max_size=1)
    return FaultPhase(
        store_links=draw(st.frozensets(st.tuples(controllers, answers_lost), max_size=4)),
        peer_links=draw(
            st.frozensets(
                st.tuples(controllers, controllers).filter(lambda p: p[0] != p[1]), max_size=4
            )
        ),
        worker_links=draw(
            st.frozensets(
                st.tuples(controllers, st.integers(0, GROUPS - 1), answers_lost), max_size=6
            )
        ),
        frozen=draw(at_most_one),
        killed=draw(at_most_one),
        reclaimed_machines=draw(st.integers(0, 1)),
    )


def group_of(worker):
    return int(worker.name.rpartition("-")[2]) % GROUPS


def cut_links(cluster, phase):
    """Cut the links of this phase, and restore all others."""
    network = cluster.network
    blocked = set()
    for controller, loses_answers in phase.store_links:
        link = (FIVE[controller], "state")
        blocked.add(link[::-1] if loses_answers else link)
    blocked |= {(FIVE[a], FIVE[b]) for a, b in phase.peer_links}
    for controller, group, loses_answers in phase.worker_links:
        for name in cluster.cloud.machines:
            if int(name.rpartition("-")[2]) % GROUPS == group:
                link = (name, FIVE[controller])
                blocked.add(link[::-1] if loses_answers else link)
    network.heal()
    network.blocked |= blocked


async def play(drawn, phase_s=40.0):
    """Run a simulated cluster through these phases, and check how long each worker waits."""
    cluster = await cluster_with_long_jobs(seed=7)
    # No new machines, since the drawn links do not cover them.
    cluster.cloud.max_machines = len(cluster.cloud.machines)
    for phase in drawn:
        cut_links(cluster, phase)
        for number in phase.killed:
            cluster.kill(FIVE[number])
        for number in phase.frozen - phase.killed:
            cluster.freeze(FIVE[number])
        for worker in cluster.cloud.workers()[: phase.reclaimed_machines]:
            cluster.cloud.terminate(worker.name)
        started_at = asyncio.get_running_loop().time()
        while (now := asyncio.get_running_loop().time()) < started_at + phase_s:
            await cluster.wait(0.25)
            for worker in cluster.cloud.workers():
                group = group_of(worker)
                if not phase.has_path(group):
                    continue
                max_gap = MAX_ANSWER_DELAY_S + FAILED_ATTEMPT_S * phase.count_unanswering(group)
                if now - started_at > max_gap:
                    gap = now - worker.answered_at
                    assert gap <= max_gap, (
                        f"{worker.name} has had no answer for {gap:.1f} s"
                        f" of {now - started_at:.1f} in {phase}, {cluster.leader()} leads"
                    )
        for number in phase.frozen - phase.killed:
            cluster.thaw(FIVE[number])
        cut_links(cluster, FaultPhase())
        for number in phase.killed:
            cluster.start(FIVE[number])
        await cluster.wait(4)
    assert not cluster.rules.broken


# Hypothesis derives the examples from the source of this function: a changed name draws others.
@pytest.mark.long
@settings(
    max_examples=20,
    derandomize=True,
    deadline=None,
    # No shrinking, since each example takes seconds.
    phases=[HypothesisPhase.explicit, HypothesisPhase.generate],
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(phases(), min_size=1, max_size=2))
def test_served_whenever_a_way_is_left(drawn):
    run(play(drawn))
