"""Faults of controllers: crashes, frozen processes, network partitions and leader transfers."""

from typing import Literal

from dappledrum.simulation.cluster import SimulatedCluster
from dappledrum.simulation.faults.base import Count, Fault, LastingFault, Seconds, call_later


def _choose_controllers(cluster: SimulatedCluster, count: int, busiest: bool) -> list[str]:
    """Draw running controllers; with `busiest` the leader comes first."""
    alive = [member for member in cluster.members if cluster.alive(member)]
    leader = cluster.leader()
    cluster.rng.shuffle(alive)
    if busiest:
        alive.sort(key=lambda member: member != leader)
    return alive[:count]


def _start(cluster: SimulatedCluster, member: str) -> None:
    if not cluster.alive(member):
        cluster.start(member)


def _kill(cluster: SimulatedCluster, member: str) -> None:
    if cluster.alive(member):
        cluster.kill(member)


class NodeCrash(Fault, tag="node_crash"):
    """Controllers crash, and restart after a short delay."""

    for_s: Seconds = 0.0
    count: Count = 1
    busiest: bool = False

    @property
    def lasts_s(self) -> float:
        return self.for_s

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        for member in _choose_controllers(cluster, self.count, self.busiest):
            cluster.kill(member)
            call_later(max(restart_delay_s, self.for_s), _start, cluster, member)


class NodeDown(NodeCrash, tag="node_down"):
    """Controllers crash, and stay down for a given time."""

    for_s: Seconds  # type: ignore[misc]


class NodeRoll(Fault, tag="node_roll"):
    """All controllers are restarted one after the other, as in a rolling upgrade."""

    every_s: Seconds

    @property
    def lasts_s(self) -> float:
        return 5 * self.every_s  # drawn combinations have five controllers

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        for turn, member in enumerate(cluster.members):
            at = turn * self.every_s
            call_later(at, _kill, cluster, member)
            call_later(at + restart_delay_s, _start, cluster, member)


class NodeFreeze(LastingFault, tag="node_freeze"):
    """Controllers are frozen, and resume where they stopped."""

    count: Count = 1
    busiest: bool = False

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        for member in _choose_controllers(cluster, self.count, self.busiest):
            cluster.freeze(member)
            call_later(self.for_s, cluster.thaw, member)


class NodeCut(LastingFault, tag="node_cut"):
    """Controllers are cut off from the store, the workers, the other controllers, or all of these
    and the cloud."""

    count: Count = 1
    busiest: bool = False
    from_state: bool = False
    from_workers: bool = False
    from_peers: bool = False
    mode: Literal["hold", "refuse"] = "hold"

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        from_state_alone = self.from_state and not (self.from_workers or self.from_peers)
        if from_state_alone and self.mode == "refuse":
            self._refuse(cluster)
        else:
            self._cut(cluster)

    def _refuse(self, cluster: SimulatedCluster) -> None:
        """The store answers the chosen controllers with 503, and serves all others."""
        chosen = set(_choose_controllers(cluster, self.count, self.busiest))
        cluster.store.refused |= chosen
        call_later(self.for_s, cluster.store.refused.difference_update, chosen)

    def _cut(self, cluster: SimulatedCluster) -> None:
        """Hold requests back, or refuse connections, depending on the mode."""
        pairs: set[frozenset[str]] = set()
        for member in _choose_controllers(cluster, self.count, self.busiest):
            for target in self._targets(cluster, member):
                pairs |= {frozenset((member, target)), frozenset(("back-" + member, target))}
        (cluster.network.cuts if self.mode == "hold" else cluster.network.refusing).update(pairs)
        call_later(self.for_s, cluster.network.heal_links, pairs)

    def _targets(self, cluster: SimulatedCluster, member: str) -> list[str]:
        """Hosts that a controller is cut off from."""
        everything = not (self.from_state or self.from_workers or self.from_peers)
        targets = ["state"] if self.from_state or everything else []
        targets += list(cluster.cloud.machines) if self.from_workers or everything else []
        if self.from_peers or everything:
            others = [other for other in cluster.members if other != member]
            targets += [*others, *("back-" + other for other in others)]
        targets += ["cloud"] if everything else []
        return targets


class LeaderTransfer(Fault, tag="leader_transfer"):
    """The leader transfers leadership to a drawn controller. The bench does not have this kind."""

    def begin(self, cluster: SimulatedCluster, restart_delay_s: float) -> None:
        leader = cluster.leader()
        others = [m for m in cluster.members if cluster.alive(m) and m != leader]
        if leader is not None and others:
            cluster.controllers[leader].elector.transfer_leadership(
                cluster.rng.choice(others), "a drawn fault"
            )
