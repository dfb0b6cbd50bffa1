"""A broken job and a faulty machine are told apart by failures across jobs and machines."""

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


def made(number, done=0):
    spec = {key: value for key, value in job(number).items() if key != "runS"}
    result = Job(JobRecord(msgspec.convert(spec, Spec), 0, 256, PageRecord()), 1)
    for task in range(done):
        result.page(0).finish(task)
    return result


def machine(name):
    return Machine(name, InstanceKind("small", "a", True), ZERO)


def table(*jobs):
    return {one.id: one for one in jobs}


def test_a_broken_job_drains_no_machine_however_many_of_its_tasks_fail_in_one_heartbeat():
    """Three failures of one job on one machine once drained it."""
    broken = made(1)
    machines = [machine(f"m{n}") for n in range(4)]
    for _ in range(8):
        record_failure(broken, machines[0])
    assert assess_machine(machines[0], table(broken)) is MachineHealth.SUSPECT
    record_failure(broken, machines[1])
    assert is_suspected(broken)
    for one in machines[2:]:
        for _ in range(5):
            record_failure(broken, one)
    assert all(assess_machine(one, table(broken)) is MachineHealth.HEALTHY for one in machines)


def test_a_machine_on_which_several_jobs_fail_is_faulty():
    jobs = [made(number) for number in range(3)]
    bad = machine("m")
    for one in jobs:
        record_failure(one, bad)
    assert assess_machine(bad, table(*jobs)) is MachineHealth.FAULTY


def test_a_machine_is_faulty_for_one_job_that_succeeds_elsewhere():
    proven = made(1, done=1)
    bad = machine("m")
    for _ in range(3):
        record_failure(proven, bad)
    assert assess_machine(bad, table(proven)) is MachineHealth.FAULTY


def test_broken_jobs_do_not_make_a_machine_faulty_together():
    jobs = [made(number) for number in range(4)]
    machines = [machine("m"), machine("n")]
    for one in jobs:
        for where in machines:
            record_failure(one, where)
    assert all(assess_machine(where, table(*jobs)) is MachineHealth.HEALTHY for where in machines)


def test_a_sound_job_with_a_few_failing_tasks_is_not_suspected():
    sound = made(1, done=1)
    for name in ("m", "n"):
        record_failure(sound, machine(name))
    assert not is_suspected(sound)
