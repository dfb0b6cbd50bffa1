"""Attributes the failure of a task to its machine or to its job.

A broken job fails on every machine, and on a faulty machine every job fails. One heartbeat may
report failures of many tasks of one job, so counting failures alone once drained healthy machines
because of a broken job. Two numbers distinguish the cases: on how many machines a job has failed
since it last succeeded, and how many jobs that are not suspected themselves have failed on a
machine since a task last succeeded there.
"""

from collections.abc import Mapping
from enum import Enum

from dappledrum.jobs.job import Job
from dappledrum.workers.machine_registry import Machine

MIN_FAILURES_ON_MACHINE = 3
#: A job is suspected after failures on this many machines; a new one has had no success yet.
MIN_FAILING_MACHINES_OF_NEW_JOB = 2
MIN_FAILING_MACHINES_OF_PROVEN_JOB = 3


class MachineHealth(Enum):
    """What the failures on a machine say about it."""

    HEALTHY = "sound"
    SUSPECT = "doubtful"  # one job alone fails there, and none of its tasks has succeeded
    FAULTY = "faulty"


def is_suspected(job: Job) -> bool:
    """Whether the job seems to fail on every machine."""
    return len(job.failures_by_machine) >= (
        MIN_FAILING_MACHINES_OF_PROVEN_JOB if job.done else MIN_FAILING_MACHINES_OF_NEW_JOB
    )


def record_failure(job: Job, machine: Machine) -> None:
    """Count the failure of one task of a job on a machine."""
    job.failures_by_machine[machine.name] = job.failures_by_machine.get(machine.name, 0) + 1
    machine.failures_by_job[job.id] = machine.failures_by_job.get(job.id, 0) + 1


def assess_machine(machine: Machine, jobs: Mapping[str, Job]) -> MachineHealth:
    """Assess a machine by the failures since a task last succeeded on it.

    `jobs` are the live jobs by name; failures of other or suspected jobs do not count.
    """
    failures = {
        name: count
        for name, count in machine.failures_by_job.items()
        if (job := jobs.get(name)) is not None and not is_suspected(job)
    }
    if sum(failures.values()) < MIN_FAILURES_ON_MACHINE:
        return MachineHealth.HEALTHY
    if len(failures) > 1 or any(jobs[name].done for name in failures):
        return MachineHealth.FAULTY
    return MachineHealth.SUSPECT
