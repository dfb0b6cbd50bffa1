"""Which jobs count as left waiting, and which submissions must be refused."""

import pytest

from dappledrum.model.admissible import refusal_reason
from dappledrum.model.history import RefusalReason
from dappledrum.model.invariants import Invariants
from dappledrum.model.queueing import MAX_WAIT_S, Amount, FreeMachine
from dappledrum.simulation.cluster import TYPES, job

FAULTS_OVER_AT = 100.0
OVERDUE_AT = FAULTS_OVER_AT + MAX_WAIT_S + 2.0


def free_machine(zone="a", cpus=4.0, spot=True, name="m-1"):
    return FreeMachine(name, ("small", zone, spot), Amount(cpus, 0.0, 16.0))


def rules(*specs, limits=None):
    checker = Invariants(30.0, limits or {"blue": (0.0, 0.0), "red": (4.0, 0.0)})
    for spec in specs:
        checker.submitted(spec)
        checker.submit_answer(0.0, spec["id"], 201, "pending")
    checker.faults_over_at = FAULTS_OVER_AT
    return checker


def left_waiting(checker, *free_machines, start=FAULTS_OVER_AT, end=OVERDUE_AT):
    """Check once a second; returns the reports of jobs that were left waiting."""
    at = start
    while at <= end:
        checker.check_waiting(at, lambda: list(free_machines))
        at += 1.0
    return checker.broken


def use_up_red_limit(checker):
    for task in range(2):
        checker.started(1.0, "m-9", ("small", "a", True), "j-000002", task)


def complete_job_1(checker):
    checker.started(1.0, "m-9", ("small", "a", True), "j-000001", 0)
    checker.ended("m-9", "j-000001", 0, True)


LEFT_WAITING = [
    (job(1), free_machine(), None),
    (job(1, form="ensemble", beats=2), free_machine(), None),
    (job(1, loaners=False), free_machine(spot=False), None),
    (job(1, crew="red"), free_machine(), None),
    (job(1, spread=True), free_machine(), None),
]
NOT_LEFT_WAITING = [
    (job(1), free_machine(cpus=1.0), None),  # no capacity
    (job(1, builds=["large"]), free_machine(), None),
    (job(1, hall="b"), free_machine(), None),
    (job(1, loaners=False), free_machine(), None),
    (job(1, form="ensemble", beats=3), free_machine(), None),  # only two of three tasks fit
    (job(1, crew="red"), free_machine(), use_up_red_limit),  # the team is at its limit
    (job(1, beats=1), free_machine(), complete_job_1),
    (job(1, waitsOn=["j-000002"], vcpus=1.0), free_machine(cpus=1.5), None),
]


@pytest.mark.parametrize(("spec", "free", "prepare"), LEFT_WAITING)
def test_a_job_that_waits_although_a_machine_has_capacity_is_left_waiting(spec, free, prepare):
    assert all("left_waiting" in text for text in left_waiting(rules(spec), free))
    assert left_waiting(rules(spec), free)
    assert not left_waiting(rules(spec), free, end=FAULTS_OVER_AT + MAX_WAIT_S)


@pytest.mark.parametrize(("spec", "free", "prepare"), NOT_LEFT_WAITING)
def test_a_job_that_cannot_start_is_not_left_waiting(spec, free, prepare):
    checker = rules(job(2, crew="red", beats=2, vcpus=2.0), spec)
    if prepare is not None:
        prepare(checker)
    assert not [text for text in left_waiting(checker, free) if "j-000001" in text]


def test_a_job_of_which_tasks_start_is_not_left_waiting():
    checker = rules(job(1))
    assert not left_waiting(checker, free_machine(), end=FAULTS_OVER_AT + MAX_WAIT_S - 5)
    checker.started(FAULTS_OVER_AT + MAX_WAIT_S - 4, "m-1", ("small", "a", True), "j-000001", 0)
    assert not left_waiting(checker, free_machine(), start=FAULTS_OVER_AT + MAX_WAIT_S - 4)


def test_a_job_is_not_left_waiting_during_faults_or_after_its_cancellation():
    checker = rules(job(1))
    checker.faults_over_at = None
    assert not left_waiting(checker, free_machine())
    checker = rules(job(1))
    checker.cancel_asked("j-000001")
    assert not left_waiting(checker, free_machine())


LIMITS = {"blue": (0.0, 0.0), "red": (8.0, 0.0)}


@pytest.mark.parametrize(
    ("changes", "expected"),
    [
        ({}, None),
        ({"builds": None, "hall": None, "dueS": None, "beats": 100_000}, None),
        ({"vcpus": 2, "expectedS": 0}, None),
        ({"crew": "red", "vcpus": 4.0, "beats": 9}, None),
        ({"beats": 0}, RefusalReason.INCOMPLETE),
        ({"beats": 2.0}, RefusalReason.INCOMPLETE),
        ({"oneZone": None}, RefusalReason.INCOMPLETE),
        ({"id": "j-1x"}, RefusalReason.INCOMPLETE),
        ({"waitsOn": "j-1"}, RefusalReason.INCOMPLETE),
        ({"memGb": -1.0}, RefusalReason.INCOMPLETE),
        ({"urgency": "soon"}, RefusalReason.INCOMPLETE),
        ({"crew": "green"}, RefusalReason.UNFIT),
        ({"vcpus": 64.0}, RefusalReason.UNFIT),
        ({"builds": []}, RefusalReason.UNFIT),
        ({"builds": ["large"], "hall": "b"}, RefusalReason.UNFIT),
        ({"crew": "red", "vcpus": 4.0, "beats": 3, "form": "service"}, RefusalReason.UNFIT),
    ],
)
def test_which_submissions_must_be_refused(changes, expected):
    assert refusal_reason(job(1, **changes), TYPES, LIMITS) is expected


@pytest.mark.parametrize("name", sorted(set(job(1)) - {"runS", "builds", "hall", "dueS"}))
def test_a_submission_that_lacks_a_field_is_incomplete(name):
    spec = job(1)
    del spec[name]
    assert refusal_reason(spec, TYPES, LIMITS) is RefusalReason.INCOMPLETE
    assert refusal_reason(None, TYPES, LIMITS) is RefusalReason.INCOMPLETE
