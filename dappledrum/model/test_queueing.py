"""Which jobs count as left waiting, and which submissions as faulty."""

import pytest

from dappledrum.model.admissible import fault
from dappledrum.model.history import Fault
from dappledrum.model.invariants import Invariants
from dappledrum.model.queueing import WAITING_S, Amount, FreeMachine
from dappledrum.simulation.cluster import TYPES, job

QUIET = 100.0
LATE = QUIET + WAITING_S + 2.0


def free_machine(zone="a", cpus=4.0, spot=True, name="m-1"):
    return FreeMachine(name, ("small", zone, spot), Amount(cpus, 0.0, 16.0))


def rules(*specs, limits=None):
    checker = Invariants(30.0, limits or {"blue": (0.0, 0.0), "red": (4.0, 0.0)})
    for spec in specs:
        checker.submitted(spec)
        checker.submit_answer(0.0, spec["id"], 201, "pending")
    checker.faults_over_at = QUIET
    return checker


def look(checker, *free_machines, start=QUIET, end=LATE):
    """Look once a second, and say who was left waiting."""
    at = start
    while at <= end:
        checker.check_waiting(at, lambda: list(free_machines))
        at += 1.0
    return checker.broken


def running_red(checker):
    for task in range(2):
        checker.started(1.0, "m-9", ("small", "a", True), "j-000002", task)


def done_and_waited_for(checker):
    checker.started(1.0, "m-9", ("small", "a", True), "j-000001", 0)
    checker.ended("m-9", "j-000001", 0, True)


LEFT = [
    (job(1), free_machine(), None),
    (job(1, form="ensemble", beats=2), free_machine(), None),
    (job(1, loaners=False), free_machine(spot=False), None),
    (job(1, crew="red"), free_machine(), None),
    (job(1, spread=True), free_machine(), None),
]
FINE = [
    (job(1), free_machine(cpus=1.0), None),  # it is full
    (job(1, builds=["large"]), free_machine(), None),
    (job(1, hall="b"), free_machine(), None),
    (job(1, loaners=False), free_machine(), None),
    (job(1, form="ensemble", beats=3), free_machine(), None),  # two of three would fit
    (job(1, crew="red"), free_machine(), running_red),  # the team is at its limit
    (job(1, beats=1), free_machine(), done_and_waited_for),
    (job(1, waitsOn=["j-000002"], vcpus=1.0), free_machine(cpus=1.5), None),
]


@pytest.mark.parametrize(("spec", "free", "before"), LEFT)
def test_left_waiting_beside_room(spec, free, before):
    assert all("left_waiting" in text for text in look(rules(spec), free))
    assert look(rules(spec), free)
    assert not look(rules(spec), free, end=QUIET + WAITING_S)


@pytest.mark.parametrize(("spec", "free", "before"), FINE)
def test_waiting_with_a_reason(spec, free, before):
    checker = rules(job(2, crew="red", beats=2, vcpus=2.0), spec)
    if before is not None:
        before(checker)
    assert not [text for text in look(checker, free) if "j-000001" in text]


def test_a_job_of_which_tasks_start_is_not_left_waiting():
    checker = rules(job(1))
    assert not look(checker, free_machine(), end=QUIET + WAITING_S - 5)
    checker.started(QUIET + WAITING_S - 4, "m-1", ("small", "a", True), "j-000001", 0)
    assert not look(checker, free_machine(), start=QUIET + WAITING_S - 4)


def test_neither_is_one_while_troubles_last_or_that_is_called_off():
    checker = rules(job(1))
    checker.faults_over_at = None
    assert not look(checker, free_machine())
    checker = rules(job(1))
    checker.cancel_asked("j-000001")
    assert not look(checker, free_machine())


LIMITS = {"blue": (0.0, 0.0), "red": (8.0, 0.0)}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"builds": None, "hall": None, "dueS": None, "beats": 100_000}, None),
        ({"vcpus": 2, "expectedS": 0}, None),
        ({"crew": "red", "vcpus": 4.0, "beats": 9}, None),
        ({"beats": 0}, Fault.INCOMPLETE),
        ({"beats": 2.0}, Fault.INCOMPLETE),
        ({"oneZone": None}, Fault.INCOMPLETE),
        ({"id": "j-1x"}, Fault.INCOMPLETE),
        ({"waitsOn": "j-1"}, Fault.INCOMPLETE),
        ({"memGb": -1.0}, Fault.INCOMPLETE),
        ({"urgency": "soon"}, Fault.INCOMPLETE),
        ({"crew": "green"}, Fault.UNFIT),
        ({"vcpus": 64.0}, Fault.UNFIT),
        ({"builds": []}, Fault.UNFIT),
        ({"builds": ["large"], "hall": "b"}, Fault.UNFIT),
        ({"crew": "red", "vcpus": 4.0, "beats": 3, "form": "service"}, Fault.UNFIT),
    ],
)
def test_faults_of_submissions(changes, expected):
    assert fault(job(1, **changes), TYPES, LIMITS) is expected


@pytest.mark.parametrize("name", sorted(set(job(1)) - {"runS", "builds", "hall", "dueS"}))
def test_a_submission_that_lacks_a_field(name):
    spec = job(1)
    del spec[name]
    assert fault(spec, TYPES, LIMITS) is Fault.INCOMPLETE
    assert fault(None, TYPES, LIMITS) is Fault.INCOMPLETE
