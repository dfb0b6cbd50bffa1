"""Served whenever a way is left: whole controllers under drawn links, against a plain oracle."""

import asyncio
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import Phase as Stage
from hypothesis import strategies as st

from dappledrum.simulation.fault_combinations import FIVE
from dappledrum.simulation.scenario import cluster_with_long_jobs
from dappledrum.simulation.virtual_time import run

GROUPS = 3
SERVED_IN = 6.0  # seconds, once a worker comes to a controller from which there is a way
SEARCH = 5.0  # what a worker loses to each controller that it does not reach


@dataclass(frozen=True)
class Phase:
    """Links that do not work for a while, each way on its own, and controllers that do not run."""

    state: frozenset[tuple[int, bool]] = frozenset()  # controller; whether answers are lost
    peers: frozenset[tuple[int, int]] = frozenset()  # from, to
    workers: frozenset[tuple[int, int, bool]] = frozenset()  # controller, group, answers lost
    frozen: frozenset[int] = frozenset()
    dead: frozenset[int] = frozenset()
    dying: int = 0  # machines

    def down(self) -> frozenset[int]:
        """Controllers that do nothing."""
        return self.frozen | self.dead

    def served(self, controller: int) -> bool:
        """Whether the store serves it."""
        return not {(controller, False), (controller, True)} & self.state

    def talk(self, a: int, b: int) -> bool:
        """Whether two controllers can ask each other: a request needs both ways."""
        return a == b or not {(a, b), (b, a)} & self.peers

    def reaches(self, group: int, controller: int) -> bool:
        """Whether heartbeats of a group come there and answers come back."""
        return not {(controller, group, False), (controller, group, True)} & self.workers

    def way(self, group: int) -> bool:
        """The oracle: somebody could lead and answer this group, itself or through one peer."""
        up = [c for c in range(len(FIVE)) if c not in self.down()]
        return any(
            self.served(leader) and self.reaches(group, through) and self.talk(leader, through)
            for leader in up
            for through in up
        )

    def hanging(self, group: int) -> int:
        """Controllers at which a worker of the group waits in vain."""
        return sum(
            c in self.frozen or (c not in self.dead and not self.reaches(group, c))
            for c in range(len(FIVE))
        )


controllers = st.integers(0, 4)
ways = st.booleans()


@st.composite
def phases(draw):
    """Some trouble; never so much that hardly anybody is left."""
    few = st.frozensets(controllers, max_size=1)
    return Phase(
        state=draw(st.frozensets(st.tuples(controllers, ways), max_size=4)),
        peers=draw(
            st.frozensets(
                st.tuples(controllers, controllers).filter(lambda p: p[0] != p[1]), max_size=4
            )
        ),
        workers=draw(
            st.frozensets(st.tuples(controllers, st.integers(0, GROUPS - 1), ways), max_size=6)
        ),
        frozen=draw(few),
        dead=draw(few),
        dying=draw(st.integers(0, 1)),
    )


def group(worker):
    return int(worker.name.rpartition("-")[2]) % GROUPS


def apply(cluster, phase):
    network = cluster.network
    blocked = set()
    for controller, answers in phase.state:
        pair = (FIVE[controller], "state")
        blocked.add(pair[::-1] if answers else pair)
    blocked |= {(FIVE[a], FIVE[b]) for a, b in phase.peers}
    for controller, which, answers in phase.workers:
        for name in cluster.cloud.machines:
            if int(name.rpartition("-")[2]) % GROUPS == which:
                pair = (name, FIVE[controller])
                blocked.add(pair[::-1] if answers else pair)
    network.heal()
    network.blocked |= blocked


async def play(drawn, length=40.0):
    cluster = await cluster_with_long_jobs(seed=7)
    cluster.cloud.most = len(cluster.cloud.machines)  # none comes that the drawn links do not name
    for phase in drawn:
        apply(cluster, phase)
        for number in phase.dead:
            cluster.kill(FIVE[number])
        for number in phase.frozen - phase.dead:
            cluster.freeze(FIVE[number])
        for worker in cluster.cloud.workers()[: phase.dying]:
            cluster.cloud.take(worker.name)
        began = asyncio.get_running_loop().time()
        while (now := asyncio.get_running_loop().time()) < began + length:
            await cluster.wait(0.25)
            for worker in cluster.cloud.workers():
                which = group(worker)
                if not phase.way(which):
                    continue
                least = SERVED_IN + SEARCH * phase.hanging(which)
                if now - began > least:
                    gap = now - worker.answered
                    assert gap <= least, (
                        f"{worker.name} has had no answer for {gap:.1f} s of {now - began:.1f}"
                        f" in {phase}, {cluster.leader()} leads"
                    )
        for number in phase.frozen - phase.dead:
            cluster.thaw(FIVE[number])
        apply(cluster, Phase())
        for number in phase.dead:
            cluster.start(FIVE[number])
        await cluster.wait(4)
    assert not cluster.rules.broken


@pytest.mark.long
@settings(
    max_examples=20,
    derandomize=True,
    deadline=None,
    phases=[Stage.explicit, Stage.generate],  # each example takes seconds: none is made smaller
    suppress_health_check=list(HealthCheck),
)
@given(st.lists(phases(), min_size=1, max_size=2))
def test_served_whenever_a_way_is_left(drawn):
    run(play(drawn))
