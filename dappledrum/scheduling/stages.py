"""Divides the deadline of a workflow among its stages (paper, section 4.1; DESIGN: by estimated
work).

A stage is the set of jobs at one depth that the same later job waits for. The remaining time until
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

    needs: Collection[str]  # unfinished jobs that it waits for
    depth: int  # length of the longest chain before it, including completed jobs
    run: timedelta  # time of its longest task: all tasks of a stage run in parallel
    dues: Sequence[timedelta]  # its own deadlines, relative to now, the earliest first
    rank: int
    tasks: int  # tasks that are not done
    ready: int  # tasks that could start


class Stage(NamedTuple):
    """Deadline, rank and task counts of one job's stage, given the jobs that wait for it."""

    due: timedelta | None  # relative to now; None: there is none, or none can be met any more
    rank: int  # the most urgent of the job and of the jobs that wait for it
    ready: int  # tasks of all jobs of the stage that could start
    tasks: int  # tasks of all jobs of the stage that are not done, ready or not


class _StageTotals(NamedTuple):
    """Sums over all jobs of a stage."""

    size: int  # number of jobs
    run: timedelta  # time of the longest task
    ready: int
    tasks: int


def stages(jobs: Mapping[str, WorkflowJob], optimism: float) -> tuple[dict[str, Stage], set[str]]:
    """The stage of each job, and the jobs that can never start: those that wait for each other in
    a cycle, and those that wait for them.

    A deadline counts as missed if tasks that take `optimism` times their estimate miss it.
    """
    order, cycle = _topological_order(jobs)
    totals = _stage_totals(jobs, order)
    # Forward pass: the longest path from now to the end of each job.
    longest_path: dict[str, timedelta] = {}
    for name in order:
        path_before = max(
            (
                longest_path[dependency]
                for dependency in jobs[name].needs
                if dependency in longest_path
            ),
            default=ZERO,
        )
        longest_path[name] = path_before + totals[name].run
    # Backward pass: for each job the smallest ratio of available to needed time over itself and
    # all jobs that wait for it.
    time_ratio: dict[str, float] = {}
    rank: dict[str, int] = {}
    for name in reversed(order):
        job = jobs[name]
        own_due = next((due for due in job.dues if due >= longest_path[name] * optimism), None)
        if own_due is not None and longest_path[name] > ZERO:
            time_ratio[name] = min(
                time_ratio.get(name, own_due / longest_path[name]), own_due / longest_path[name]
            )
        rank[name] = min(rank.get(name, job.rank), job.rank)
        for dependency in job.needs:
            if dependency in longest_path:
                rank[dependency] = min(rank.get(dependency, rank[name]), rank[name])
                if name in time_ratio:
                    time_ratio[dependency] = min(
                        time_ratio.get(dependency, time_ratio[name]), time_ratio[name]
                    )
    result = {}
    for name in order:
        due = longest_path[name] * time_ratio[name] if name in time_ratio else None
        result[name] = Stage(due, rank[name], totals[name].ready, totals[name].tasks)
    return result, cycle


def _topological_order(jobs: Mapping[str, WorkflowJob]) -> tuple[list[str], set[str]]:
    """Topological order of the jobs, and the jobs that are part of a cycle or wait for one."""
    unmet_count = {
        name: sum(dependency in jobs for dependency in job.needs) for name, job in jobs.items()
    }
    dependents: dict[str, list[str]] = {}
    for name, job in jobs.items():
        for dependency in job.needs:
            dependents.setdefault(dependency, []).append(name)
    order = [name for name, count in unmet_count.items() if count == 0]
    for name in order:  # the list grows during the loop
        for dependent in dependents.get(name, ()):
            unmet_count[dependent] -= 1
            if unmet_count[dependent] == 0:
                order.append(dependent)
    return order, jobs.keys() - set(order)


def _stage_totals(
    jobs: Mapping[str, WorkflowJob], order: Sequence[str]
) -> dict[str, _StageTotals]:
    """Sums over the stage of each job: all jobs at its depth that the same job waits for. A job
    that belongs to several stages takes the largest. Each stage is summed up once, since a job may
    wait for thousands of others."""
    result = {
        name: _StageTotals(1, jobs[name].run, jobs[name].ready, jobs[name].tasks) for name in order
    }
    for name in order:
        by_depth: dict[int, list[str]] = {}
        for dependency in jobs[name].needs:
            if dependency in result:
                by_depth.setdefault(jobs[dependency].depth, []).append(dependency)
        for members in by_depth.values():
            totals = _StageTotals(
                len(members),
                max(jobs[member].run for member in members),
                sum(jobs[member].ready for member in members),
                sum(jobs[member].tasks for member in members),
            )
            for member in members:
                if totals.size > result[member].size:
                    result[member] = totals
    return result
