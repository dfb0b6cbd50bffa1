"""Whose fault a failed task is: the machine's, or the job's.

A job that was submitted with a mistake fails on every machine; a faulty machine fails every job.
One heartbeat may bring the failures of many tasks of one job, so counting failures alone once
drained sound machines for a broken job. What tells the two apart is on how many machines a job has
failed since it last succeeded, and how many jobs that are not suspected themselves have failed on
a machine since anything last succeeded there.
"""

from collections.abc import Mapping
from enum import Enum

from dappledrum.jobs.job import Job
from dappledrum.workers.machine_registry import Machine

MACHINE_ERRORS = 3
FRESH_JOB_MACHINES = 2  # a job of which nothing has succeeded yet is suspected after so many
PROVEN_JOB_MACHINES = 3


class Verdict(Enum):
    """What failures on a machine say about it."""

    SOUND = "sound"
    DOUBTFUL = "doubtful"  # one job alone fails there, and has not been tried elsewhere
    FAULTY = "faulty"


def is_suspected(job: Job) -> bool:
    """Whether the job seems to fail wherever it is tried."""
    return len(job.failures_by_machine) >= (
        PROVEN_JOB_MACHINES if job.done else FRESH_JOB_MACHINES
    )


def record_failure(job: Job, machine: Machine) -> None:
    """Count a failure of a task of the job on the machine."""
    job.failures_by_machine[machine.name] = job.failures_by_machine.get(machine.name, 0) + 1
    machine.errors[job.id] = machine.errors.get(job.id, 0) + 1


def judge(machine: Machine, jobs: Mapping[str, Job]) -> Verdict:
    """What the failures since anything last succeeded on a machine say about it.

    `jobs` are the live jobs, by name.
    """
    blamed = {
        name: count
        for name, count in machine.errors.items()
        if (job := jobs.get(name)) is not None and not is_suspected(job)
    }
    if sum(blamed.values()) < MACHINE_ERRORS:
        return Verdict.SOUND
    if len(blamed) > 1 or any(jobs[name].done for name in blamed):
        return Verdict.FAULTY
    return Verdict.DOUBTFUL
