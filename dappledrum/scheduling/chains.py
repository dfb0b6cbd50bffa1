"""Divides a workflow's deadline among its stages (paper, section 4.1; DESIGN: by estimated work).

The last job's remaining time is divided along the longest way to it, each stage, the jobs at one
depth that the same job needs, with a share by its longest task. A job that several last jobs need
takes the earliest of what follows from them, and the urgency of the most urgent. One pass over
the jobs and what they need, in order of depth: nothing recursive, as chains may be long.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from dappledrum.timing.clock import ZERO


class Link(NamedTuple):
    """A live job that waits for others, or that others wait for."""

    needs: Collection[str]  # not done yet, and live
    depth: int  # longest way back, over what is done, too
    run: timedelta  # what its stage takes when its tasks run side by side
    dues: Sequence[timedelta]  # its own deadlines from now on, the earliest first
    rank: int
    tasks: int  # not done
    ready: int  # tasks that could start


class Stage(NamedTuple):
    """What a job takes from its stage, and from those that need it."""

    due: timedelta | None  # from now; None: nobody's deadline can be kept by it
    rank: int
    ready: int  # tasks of all jobs of the stage that could start
    tasks: int  # and those not done, ready or not


class _Group(NamedTuple):
    """All jobs of a stage together."""

    size: int
    run: timedelta
    ready: int
    tasks: int


def stages(links: Mapping[str, Link], optimism: float) -> tuple[dict[str, Stage], set[str]]:
    """Stage of each job, and those that wait in a ring, which never begin."""
    order, ring = _in_order(links)
    groups = _groups(links, order)
    # Forward: the longest way from now to each job's end.
    way: dict[str, timedelta] = {}
    for name in order:
        before = max((way[need] for need in links[name].needs if need in way), default=ZERO)
        way[name] = before + groups[name].run
    # Backward: the part of its way that each second of the scarcest deadline allows.
    stretch: dict[str, float] = {}
    rank: dict[str, int] = {}
    for name in reversed(order):
        link = links[name]
        own = next((due for due in link.dues if due >= way[name] * optimism), None)
        if own is not None and way[name] > ZERO:
            stretch[name] = min(stretch.get(name, own / way[name]), own / way[name])
        rank[name] = min(rank.get(name, link.rank), link.rank)
        for need in link.needs:
            if need in way:
                rank[need] = min(rank.get(need, rank[name]), rank[name])
                if name in stretch:
                    stretch[need] = min(stretch.get(need, stretch[name]), stretch[name])
    result = {}
    for name in order:
        due = way[name] * stretch[name] if name in stretch else None
        result[name] = Stage(due, rank[name], groups[name].ready, groups[name].tasks)
    return result, ring


def _in_order(links: Mapping[str, Link]) -> tuple[list[str], set[str]]:
    """Jobs after all that they need."""
    left = {name: sum(need in links for need in link.needs) for name, link in links.items()}
    followers: dict[str, list[str]] = {}
    for name, link in links.items():
        for need in link.needs:
            followers.setdefault(need, []).append(name)
    order = [name for name, count in left.items() if count == 0]
    for name in order:  # grows while it is gone through
        for follower in followers.get(name, ()):
            left[follower] -= 1
            if left[follower] == 0:
                order.append(follower)
    return order, links.keys() - set(order)


def _groups(links: Mapping[str, Link], order: Sequence[str]) -> dict[str, _Group]:
    """The stage of each job: those at its depth that one job needs together with it; a job in
    several takes the largest. Each stage is summed up once, as jobs may need thousands."""
    result = {
        name: _Group(1, links[name].run, links[name].ready, links[name].tasks) for name in order
    }
    for name in order:
        beside: dict[int, list[str]] = {}
        for need in links[name].needs:
            if need in result:
                beside.setdefault(links[need].depth, []).append(need)
        for members in beside.values():
            group = _Group(
                len(members),
                max(links[member].run for member in members),
                sum(links[member].ready for member in members),
                sum(links[member].tasks for member in members),
            )
            for member in members:
                if group.size > result[member].size:
                    result[member] = group
    return result
