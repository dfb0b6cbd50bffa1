"""Distinguishing a broken job from a faulty machine by failures across jobs and machines."""

import msgspec

from dappledrum.jobs.job import Job
from dappledrum.jobs.messages import JobRecord, PageRecord, Spec
from dappledrum.scheduling.timeline import InstanceKind
from dappledrum.simulation.cluster import job
from dappledrum.timing.clock import ZERO
from dappledrum.workers.failure_attribution import (
    MachineHealth,
    assess_machine,
    is_suspected,
    record_failure,
)
from dappledrum.workers.machine_registry import Machine


def make_job(number, done=0):
    spec = {key: value for key, value in job(number).items() if key != "runS"}
    result = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
    for task in range(done):
        result.page(0).finish(task)
    return result


def make_machine(name):
    return Machine(name, InstanceKind("small", "a", True), ZERO)


def by_id(*jobs):
    return {entry.id: entry for entry in jobs}


def test_a_broken_job_drains_no_machine_however_many_of_its_tasks_fail_in_one_heartbeat():
    """Counting failures alone, three failed tasks of one job once drained a healthy machine."""
    broken = make_job(1)
    machines = [make_machine(f"m{n}") for n in range(4)]
    for _ in range(8):
        record_failure(broken, machines[0])
    assert assess_machine(machines[0], by_id(broken)) is MachineHealth.SUSPECT
    record_failure(broken, machines[1])
    assert is_suspected(broken)
    for machine in machines[2:]:
        for _ in range(5):
            record_failure(broken, machine)
    assert all(
        assess_machine(machine, by_id(broken)) is MachineHealth.HEALTHY for machine in machines
    )


def test_a_machine_on_which_several_jobs_fail_is_faulty():
    jobs = [make_job(number) for number in range(3)]
    faulty = make_machine("m")
    for failing in jobs:
        record_failure(failing, faulty)
    assert assess_machine(faulty, by_id(*jobs)) is MachineHealth.FAULTY


def test_a_machine_on_which_one_job_fails_that_succeeds_elsewhere_is_faulty():
    proven = make_job(1, done=1)
    faulty = make_machine("m")
    for _ in range(3):
        record_failure(proven, faulty)
    assert assess_machine(faulty, by_id(proven)) is MachineHealth.FAULTY


def test_several_broken_jobs_together_do_not_make_a_machine_faulty():
    jobs = [make_job(number) for number in range(4)]
    machines = [make_machine("m"), make_machine("n")]
    for broken in jobs:
        for machine in machines:
            record_failure(broken, machine)
    assert all(
        assess_machine(machine, by_id(*jobs)) is MachineHealth.HEALTHY for machine in machines
    )


def test_a_working_job_with_a_few_failing_tasks_is_not_suspected():
    working = make_job(1, done=1)
    for name in ("m", "n"):
        record_failure(working, make_machine(name))
    assert not is_suspected(working)
