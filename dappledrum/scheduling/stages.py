"""Divides the deadline of a workflow among its stages (paper, section 4.1; DESIGN: by estimated
work).

A stage is the set of jobs of one depth that the same later job waits for. The remaining time until
the deadline of the last job is divided along the longest path to it; each stage gets a share in
proportion to its longest task. A job that several last jobs wait for takes the earliest resulting
deadline and the highest resulting urgency. The jobs are visited once in each direction, in order
of depth and without recursion, since chains may be long.
"""

from collections.abc import Collection, Mapping, Sequence
from datetime import timedelta
from typing import NamedTuple

from dappledrum.timing.clock import ZERO


class WorkflowJob(NamedTuple):
    """A live job that waits for other jobs, or that other jobs wait for."""

    needs: Collection[str]  # not done yet, and live
    depth: int  # length of the longest chain before it, completed jobs included
    run: timedelta  # time of its longest task: all tasks of a stage run in parallel
    dues: Sequence[timedelta]  # its own deadlines from now on, the earliest first
    rank: int
    tasks: int  # not done
    ready: int  # tasks that could start


class Stage(NamedTuple):
    """What follows for one job from its stage and from the jobs that wait for it."""

    due: timedelta | None  # from now; None: no deadline can be met any more
    rank: int
    ready: int  # tasks of all jobs of the stage that could start
    tasks: int  # tasks of all jobs of the stage that are not done, ready or not


class _Group(NamedTuple):
    """All jobs of a stage together."""

    size: int
    run: timedelta
    ready: int
    tasks: int


def stages(links: Mapping[str, WorkflowJob], optimism: float) -> tuple[dict[str, Stage], set[str]]:
    """The stage of each job, and the jobs that can never start because they wait for each other in
    a cycle."""
    order, cycle = _in_order(links)
    groups = _groups(links, order)
    # Forward: the longest path from now to the end of each job.
    longest_path: dict[str, timedelta] = {}
    for name in order:
        before = max(
            (longest_path[need] for need in links[name].needs if need in longest_path),
            default=ZERO,
        )
        longest_path[name] = before + groups[name].run
    # Backward: for each job the smallest ratio of available to needed time over all jobs that
    # wait for it.
    stretch: dict[str, float] = {}
    rank: dict[str, int] = {}
    for name in reversed(order):
        link = links[name]
        own = next((due for due in link.dues if due >= longest_path[name] * optimism), None)
        if own is not None and longest_path[name] > ZERO:
            stretch[name] = min(
                stretch.get(name, own / longest_path[name]), own / longest_path[name]
            )
        rank[name] = min(rank.get(name, link.rank), link.rank)
        for need in link.needs:
            if need in longest_path:
                rank[need] = min(rank.get(need, rank[name]), rank[name])
                if name in stretch:
                    stretch[need] = min(stretch.get(need, stretch[name]), stretch[name])
    result = {}
    for name in order:
        due = longest_path[name] * stretch[name] if name in stretch else None
        result[name] = Stage(due, rank[name], groups[name].ready, groups[name].tasks)
    return result, cycle


def _in_order(links: Mapping[str, WorkflowJob]) -> tuple[list[str], set[str]]:
    """Topological order of the jobs, and the jobs that are part of a cycle or wait for one."""
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


def _groups(links: Mapping[str, WorkflowJob], order: Sequence[str]) -> dict[str, _Group]:
    """The stage of each job: all jobs of its depth that the same job waits for. A job that belongs
    to several stages takes the largest. Each stage is summed up once, since a job may wait for
    thousands."""
    result = {
        name: _Group(1, links[name].run, links[name].ready, links[name].tasks) for name in order
    }
    for name in order:
        siblings: dict[int, list[str]] = {}
        for need in links[name].needs:
            if need in result:
                siblings.setdefault(links[need].depth, []).append(need)
        for members in siblings.values():
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
