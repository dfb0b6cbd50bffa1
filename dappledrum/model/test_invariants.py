"""The checker finds each broken rule in a history made for it, and none in a correct history."""

import pytest

from dappledrum.model.history import Answer, Question, UserRequest
from dappledrum.model.invariants import Invariants, JobEvent
from dappledrum.simulation.cluster import job

HERE, THERE, ON_DEMAND = ("small", "a", True), ("small", "b", True), ("small", "a", False)


def rules(*specs):
    result = Invariants(30.0, {"red": (4.0, 0.0)})
    for spec in specs:
        result.submitted(spec)
        result.submit_answer(0, spec["id"], 201, "pending")
    return result


def correct(r):
    r.started(1, "m1", HERE, "j-000001", 0)
    r.ended("m1", "j-000001", 0, True)
    r.poll_answer(3, "j-000001", 200, "done")
    r.submit_answer(4, "j-000001", 200, "done")


def started_on_two_machines(r):
    r.started(1, "m1", HERE, "j-000001", 0)
    r.started(2, "m2", HERE, "j-000001", 0)


def started_above_quota(r):
    for task in range(3):
        r.started(1, "m1", HERE, "j-000002", task)


def type_not_allowed(r):
    r.started(1, "m1", HERE, "j-000003", 0)


def spot_not_allowed(r):
    r.started(1, "m1", HERE, "j-000004", 0)


def tasks_in_two_zones(r):
    r.started(1, "m1", HERE, "j-000005", 0)
    r.started(1, "m2", THERE, "j-000005", 1)


def tasks_not_spread(r):
    for task in range(3):
        r.started(1, "m1", HERE, "j-000006", task)


def ran_after_cancellation(r):
    r.started(1, "m1", HERE, "j-000001", 0)
    r.cancel_asked("j-000001")
    r.poll_answer(2, "j-000001", 200, "cancelled")
    r.tick(31)
    assert not r.broken
    r.tick(33)


def started_after_cancellation(r):
    r.cancel_asked("j-000001")
    r.poll_answer(2, "j-000001", 200, "cancelled")
    r.started(40, "m1", HERE, "j-000001", 0)


def became_unknown(r):
    r.poll_answer(2, "j-000001", 404, None)


def refused_after_acceptance(r):
    r.submit_answer(2, "j-000001", 422, None)


def unsubmitted_job_has_a_state(r):
    r.poll_answer(2, "j-000077", 200, "pending")


def called_done_too_early(r):
    r.poll_answer(2, "j-000001", 200, "done")


def final_state_changed(r):
    correct(r)
    r.poll_answer(9, "j-000001", 200, "running")


def cancelled_without_request(r):
    r.poll_answer(2, "j-000001", 200, "cancelled")


def started_before_its_dependency(r):
    r.started(1, "m1", HERE, "j-000007", 0)


def started_after_a_cancelled_dependency(r):
    r.started(1, "m1", HERE, "j-000001", 0)
    r.ended("m1", "j-000001", 0, True)
    r.cancel_asked("j-000001")
    r.poll_answer(2, "j-000001", 200, "cancelled")
    r.started(3, "m1", HERE, "j-000007", 0)


def pending_after_a_cancelled_dependency(r):
    r.cancel_asked("j-000001")
    r.poll_answer(2, "j-000001", 200, "cancelled")
    r.poll_answer(31, "j-000008", 200, "pending")
    r.poll_answer(32, "j-000008", 200, "cancelled")
    assert not r.broken
    r.poll_answer(33, "j-000007", 200, "pending")


def cancelled_although_its_dependency_is_done(r):
    r.started(1, "m1", HERE, "j-000001", 0)
    r.ended("m1", "j-000001", 0, True)
    r.cancel_asked("j-000001")
    r.poll_answer(2, "j-000001", 200, "done")
    r.poll_answer(3, "j-000008", 200, "cancelled")


SPECS = [
    job(1, beats=1),
    job(2, crew="red"),
    job(3, builds=["large"]),
    job(4, loaners=False),
    job(5, oneZone=True),
    job(6, spread=True),
    job(7, waitsOn=["j-000001"]),
    job(8, waitsOn=["j-000007"]),
]
CASES = [
    (started_on_two_machines, "ran_twice"),
    (started_above_quota, "quota"),
    (type_not_allowed, "wrong_place"),
    (spot_not_allowed, "wrong_place"),
    (tasks_in_two_zones, "wrong_place"),
    (tasks_not_spread, "wrong_place"),
    (ran_after_cancellation, "ran_cancelled"),
    (started_after_cancellation, "ran_cancelled"),
    (became_unknown, "forgotten"),
    (refused_after_acceptance, "forgotten"),
    (unsubmitted_job_has_a_state, "invented"),
    (called_done_too_early, "not_done"),
    (final_state_changed, "went_back"),
    (cancelled_without_request, "went_back"),
    (started_before_its_dependency, "too_early"),
    (started_after_a_cancelled_dependency, "too_early"),
    (pending_after_a_cancelled_dependency, "orphaned"),
    (cancelled_although_its_dependency_is_done, "went_back"),
]


@pytest.mark.parametrize(("history", "rule"), CASES, ids=lambda x: getattr(x, "__name__", x))
def test_a_broken_rule_is_found(history, rule):
    checker = rules(*SPECS)
    history(checker)
    assert checker.broken
    assert all(text.startswith(rule) for text in checker.broken)


def test_starts_after_a_confirmed_cancellation_are_counted():
    checker = rules(*SPECS)
    checker.started(1, "m1", HERE, "j-000006", 0)
    checker.cancel_asked("j-000006")
    assert checker.cancelled_starts == 0
    checker.poll_answer(2, "j-000006", 200, "cancelled")
    checker.started(3, "m1", HERE, "j-000006", 1)
    assert checker.cancelled_starts == 1
    assert not checker.broken, "its start command was already in flight"


def test_a_correct_history_breaks_no_rule():
    checker = rules(*SPECS)
    correct(checker)
    assert not checker.broken


def accept_first_job(rules):
    rules.submitted(job(1), 0.0)
    rules.submit_answer(1.0, "j-000001", 201, "pending")
    return rules


def test_a_job_about_which_no_question_is_answered_is_forgotten():
    rules = accept_first_job(Invariants(30.0, {}))
    rules.not_answered(10.0, "j-000001")
    rules.not_answered(200.0, "j-000001")
    assert not rules.broken, "time during faults does not count"
    rules.faults_over_at = 210.0
    rules.not_answered(284.0, "j-000001")
    assert not rules.broken
    rules.poll_answer(284.5, "j-000001", 200, "pending")
    rules.not_answered(285.0, "j-000001")
    rules.not_answered(359.0, "j-000001")
    assert not rules.broken, "an answer restarts the time"
    rules.not_answered(360.5, "j-000001")
    assert len(rules.broken) == 1
    assert "forgotten" in rules.broken[0]


def test_the_largest_jobs_that_do_not_start_in_time_are_starved():
    rules = Invariants(30.0, {})
    for number in range(12):
        rules.submitted(job(number, beats=number + 1, vcpus=4.0 if number == 3 else 1.0), 10.0)
        rules.submit_answer(10.0, f"j-{number:06d}", 201, "pending")
    rules.check_largest(240.0)
    assert not rules.broken
    for number in range(3, 11):
        rules.started(20.0, "m", ("small", "a", True), f"j-{number:06d}", 0)
    rules.check_largest(260.0)
    assert len(rules.broken) == 1, "the other jobs are not among the largest"
    assert "j-000011" in rules.broken[0]
    rules.started(249.0, "m", ("small", "a", True), "j-000011", 0)
    rules.broken.clear()
    rules.check_largest(260.0)
    assert not rules.broken


@pytest.mark.parametrize(("status", "broken"), [(422, 0), (None, 0), (400, 1), (200, 1), (201, 1)])
def test_an_invalid_submission_must_be_refused_with_the_expected_status(status, broken):
    rules = Invariants(30.0, {})
    rules.submitted(job(1))
    rules.invalid_answered(1.0, "j-000001", status, 422)
    assert len(rules.broken) == broken


def play_answers(rules, *answers):
    """Record, in the order of time, requests about a job and their answers. Each has the moment of
    the request, the moment of its answer, the kind, the status and the state."""
    events = []
    for number, (asked, at, kind, status, state) in enumerate(answers):
        events.append((asked, 1, Question(number, asked, kind, "j-000001")))
        events.append((at, 0, Answer(number, at, status, state)))
    for _, _, event in sorted(events, key=lambda event: event[:2]):
        rules.record(event)


SUBMISSION, QUESTION = UserRequest.SUBMISSION, UserRequest.QUESTION


def broken_after(state, *answers):
    """Broken rules for a job that completes, and whose user asks to cancel it. A user gets `state`
    at 2 s, and then `answers`: arrival, status, state and the moment of the request."""
    rules = Invariants(30.0, {})
    rules.submitted(job(1, beats=1))
    rules.submit_answer(0.0, "j-000001", 201, "pending")
    rules.started(0.5, "m", HERE, "j-000001", 0)
    rules.ended("m", "j-000001", 0, True)
    rules.cancel_asked("j-000001")
    later = [(asked, at, QUESTION, status, now) for at, status, now, asked in answers]
    play_answers(rules, (1.4, 2.0, QUESTION, 200, state), *later)
    return rules.broken


@pytest.mark.parametrize("state", ["done", "cancelled"])
def test_answers_to_overlapping_questions_may_arrive_in_any_order(state):
    assert not broken_after(state, (2.1, 200, "running", 1.99), (2.2, 200, state, 2.1))
    for asked in (2.0, 2.01):  # sent when the first answer had arrived
        assert "went_back" in broken_after(state, (2.1, 200, "running", asked))[0]
    other = "cancelled" if state == "done" else "done"
    assert "went_back" in broken_after(state, (2.1, 200, other, 1.5))[0], (
        "the two final states contradict each other"
    )


def test_a_job_is_unknown_only_to_questions_from_before_its_acceptance():
    accepted = (4.9, 5.0, SUBMISSION, 201, "pending")
    for asked, broken in ((4.99, False), (5.0, True)):
        rules = Invariants(30.0, {})
        rules.submitted(job(1))
        play_answers(rules, accepted, (asked, 5.1, QUESTION, 404, None))
        assert bool(rules.broken) is broken
        assert not broken or "forgotten" in rules.broken[0]


def test_repeated_submissions_are_compared_by_when_they_were_sent():
    before = (0.9, 1.0, SUBMISSION, 201, "pending"), (1.9, 2.0, QUESTION, 200, "cancelled")
    for asked, broken in ((1.95, False), (2.0, True)):
        rules = Invariants(30.0, {})
        rules.submitted(job(1))
        rules.cancel_asked("j-000001")
        play_answers(rules, *before, (asked, 2.1, SUBMISSION, 200, "pending"))
        assert bool(rules.broken) is broken
        assert not broken or "went_back" in rules.broken[0]


def test_listeners_are_notified_of_each_event_once():
    rules = Invariants(30.0, {})
    notified = []
    rules.listeners.append(lambda *event: notified.append(event))
    for number in (1, 2):
        name = f"j-{number:06d}"
        rules.submitted(job(number, beats=2))
        for status in (201, 200):  # the second one is a repeated submission
            rules.submit_answer(0.0, name, status, "pending")
        for task in (0, 1, 1):
            rules.started(1.0, "m", HERE, name, task)
            rules.ended("m", name, task, True)
        rules.cancel_asked(name)
        for _ in range(2):
            rules.poll_answer(2.0, name, 200, "done" if number == 1 else "cancelled")
    assert not rules.broken
    seen = {name: [event for job_id, event in notified if job_id == name] for name, _ in notified}
    begun = [JobEvent.ACCEPTED, JobEvent.COMPLETED]
    assert seen["j-000001"] == [*begun, JobEvent.DONE]
    assert seen["j-000002"] == [*begun, JobEvent.CANCELLED]
