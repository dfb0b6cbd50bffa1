"""Team quotas: remaining capacity below the limits, and the jobs within the guarantees."""

from collections.abc import Iterable, Sequence

from dappledrum.jobs.job import Job
from dappledrum.scheduling.timeline import Size
from dappledrum.settings import Team

UNLIMITED = 1e18  # CPUs, GPUs or GB
ROUNDING = 1e-9  # CPUs or GPUs by which sums of fractions may exceed a guarantee


def team_capacity(jobs: Iterable[Job], teams: Sequence[Team]) -> dict[str, Size | None]:
    """What the limit of each team leaves after all its placed tasks; None: no limit."""
    used: dict[str, list[float]] = {}
    for job in jobs:
        count = job.placement_count()
        total = used.setdefault(job.spec.team, [0.0, 0.0])
        total[0] += job.spec.cpus * count
        total[1] += job.spec.gpus * count
    capacity: dict[str, Size | None] = {}
    for team in teams:
        cpus, gpus = used.get(team.name, [0.0, 0.0])
        if team.cpus_max <= 0 and team.gpus_max <= 0:
            capacity[team.name] = None
            continue
        capacity[team.name] = Size(
            team.cpus_max - cpus if team.cpus_max > 0 else UNLIMITED,
            team.gpus_max - gpus if team.gpus_max > 0 else UNLIMITED,
            UNLIMITED,
        )
    return capacity


def guaranteed_jobs(jobs: Sequence[Job], teams: Sequence[Team]) -> set[str]:
    """Jobs that fit into the guarantee of their team together with its earlier unfinished jobs.

    `jobs` are in the order of their acceptance.
    """
    result: set[str] = set()
    for team in teams:
        if team.cpus <= 0 and team.gpus <= 0:
            continue
        cpus = gpus = 0.0
        for job in jobs:
            if (
                job.spec.team != team.name
                or job.cancelled
                or job.finished
                or job.unmet_dependencies
            ):
                continue
            unfinished = job.spec.tasks - job.done
            cpus += job.spec.cpus * unfinished
            gpus += job.spec.gpus * unfinished
            if cpus <= team.cpus + ROUNDING and gpus <= team.gpus + ROUNDING:
                result.add(job.id)
    return result
