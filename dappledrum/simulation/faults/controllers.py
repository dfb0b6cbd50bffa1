"""Troubles of controllers: they end, stand still, are cut off, or change leader."""

from typing import Literal

from dappledrum.simulation.cluster import World
from dappledrum.simulation.faults.base import Count, FaultLog, LastingTrouble, Seconds, later


def _chosen(world: World, count: int, busiest: bool) -> list[str]:
    """Running controllers, drawn, or with the leader first."""
    alive = [member for member in world.members if world.alive(member)]
    leader = world.leader()
    world.rng.shuffle(alive)
    if busiest:
        alive.sort(key=lambda member: member != leader)
    return alive[:count]


def _start(world: World, member: str) -> None:
    if not world.alive(member):
        world.start(member)


def _kill(world: World, member: str) -> None:
    if world.alive(member):
        world.kill(member)


class NodeCrash(FaultLog, tag="node_crash"):
    """Controllers end, and are there again a little later."""

    for_s: Seconds = 0.0
    count: Count = 1
    busiest: bool = False

    @property
    def lasts_s(self) -> float:
        return self.for_s

    def begin(self, world: World, back: float) -> None:
        for member in _chosen(world, self.count, self.busiest):
            world.kill(member)
            later(max(back, self.for_s), _start, world, member)


class NodeDown(NodeCrash, tag="node_down"):
    """Controllers end, and stay away for a given time."""

    for_s: Seconds  # type: ignore[misc]


class NodeRoll(FaultLog, tag="node_roll"):
    """All controllers are restarted, one after the other."""

    every_s: Seconds

    @property
    def lasts_s(self) -> float:
        return 5 * self.every_s  # as many controllers as drawn scenarios have

    def begin(self, world: World, back: float) -> None:
        for turn, member in enumerate(world.members):
            at = turn * self.every_s
            later(at, _kill, world, member)
            later(at + back, _start, world, member)


class NodeFreeze(LastingTrouble, tag="node_freeze"):
    """Controllers stand still, and go on where they stopped."""

    count: Count = 1
    busiest: bool = False

    def begin(self, world: World, back: float) -> None:
        for member in _chosen(world, self.count, self.busiest):
            world.freeze(member)
            later(self.for_s, world.thaw, member)


class NodeCut(LastingTrouble, tag="node_cut"):
    """Controllers lose the state service, the workers, the other controllers, or everything."""

    count: Count = 1
    busiest: bool = False
    from_state: bool = False
    from_workers: bool = False
    from_peers: bool = False
    mode: Literal["hold", "refuse"] = "hold"

    def begin(self, world: World, back: float) -> None:
        from_state_alone = self.from_state and not (self.from_workers or self.from_peers)
        if from_state_alone and self.mode == "refuse":
            self._refuse(world)
        else:
            self._cut(world)

    def _refuse(self, world: World) -> None:
        """The state service answers them with 503, and serves all others."""
        chosen = set(_chosen(world, self.count, self.busiest))
        world.state.refused |= chosen
        later(self.for_s, world.state.refused.difference_update, chosen)

    def _cut(self, world: World) -> None:
        """Requests are held back, or connections refused."""
        pairs: set[frozenset[str]] = set()
        for member in _chosen(world, self.count, self.busiest):
            for target in self._targets(world, member):
                pairs |= {frozenset((member, target)), frozenset(("back-" + member, target))}
        (world.network.cuts if self.mode == "hold" else world.network.refusing).update(pairs)
        later(self.for_s, world.network.mend, pairs)

    def _targets(self, world: World, member: str) -> list[str]:
        """Hosts that a controller loses."""
        everything = not (self.from_state or self.from_workers or self.from_peers)
        targets = ["state"] if self.from_state or everything else []
        targets += list(world.cloud.machines) if self.from_workers or everything else []
        if self.from_peers or everything:
            others = [other for other in world.members if other != member]
            targets += [*others, *("back-" + other for other in others)]
        targets += ["cloud"] if everything else []
        return targets


class LeaderTransfer(FaultLog, tag="leader_transfer"):
    """The leader hands over to another controller. Known over the stand-ins only."""

    def begin(self, world: World, back: float) -> None:
        leader = world.leader()
        others = [m for m in world.members if world.alive(m) and m != leader]
        if leader is not None and others:
            world.nodes[leader].elector.transfer_leadership(
                world.rng.choice(others), "a drawn trouble"
            )
