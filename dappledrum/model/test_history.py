"""The history checker accepts every history of a correct service, and finds each broken clause.

Histories are drawn: users' requests to several controllers overlap, and each takes effect on the
state of the job at one moment between its sending and its answer. A mutation then adds or changes
an answer.
"""

import random
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dappledrum.model.history import (
    CANCELLED,
    DONE,
    FINAL_STATES,
    PENDING,
    RUNNING,
    UNANSWERED_S,
    Answer,
    Clause,
    History,
    Question,
    RefusalReason,
    UserRequest,
)

JOB, DEPENDENT_JOB, NOT_SUBMITTED_JOB = "j-1", "j-2", "j-3"
TASKS = 3
NODES = ("drummer-0", "drummer-1", "drummer-2")
END = 100.0  # seconds; by then all requests and all tasks have ended


@dataclass(frozen=True)
class TaskEnd:
    """A task of a job completes."""

    at: float
    job: str


@dataclass
class SimulatedCluster:
    """Ground truth, from the events of a history."""

    ended: dict = field(default_factory=dict)

    def tasks(self, job):
        return TASKS

    def tasks_ended(self, job):
        return self.ended.get(job, 0)

    def needs(self, job):
        return (JOB,) if job == DEPENDENT_JOB else ()


@dataclass
class Register:
    """A job as a correct service stores it."""

    accepted: bool = False
    cancelled: bool = False
    done: int = 0

    def state(self):
        if self.done == TASKS:
            return DONE
        if self.cancelled:
            return CANCELLED
        return RUNNING if self.done else PENDING

    def apply(self, request):
        """Execute a request; returns status, state and done count of the answer."""
        if request is UserRequest.SUBMISSION:
            status = 200 if self.accepted else 201
            self.accepted = True
            return status, self.state(), None
        if not self.accepted:
            return 404, None, None
        if request is UserRequest.CANCELLATION and self.done < TASKS:
            self.cancelled = True
        counted = self.done if request is UserRequest.QUESTION else None
        return 200, self.state(), counted


MOMENTS = st.floats(0, 30, allow_nan=False)
REQUESTS = st.tuples(
    st.sampled_from(list(UserRequest)),
    st.sampled_from(NODES),
    MOMENTS,
    st.floats(0, 5),  # seconds until it takes effect
    st.floats(0, 5),  # seconds from then until its answer arrives
    st.booleans(),  # whether the answer arrives
)


def merged(steps):
    return [event for _, event in sorted(steps, key=lambda step: step[0])]


def play(requests, task_ends, cancels=True):
    """The history of a correct service that gets these requests."""
    register, answers = Register(), {}
    effects = [(at, None) for at in task_ends]
    for number, (request, _, at, effect, _, _) in enumerate(requests):
        if cancels or request is not UserRequest.CANCELLATION:
            effects.append((at + effect, number))
    events = []
    for at, number in sorted(effects, key=lambda effect: effect[0]):
        if number is not None:
            answers[number] = register.apply(requests[number][0])
        elif register.accepted and not register.cancelled and register.done < TASKS:
            register.done += 1
            events.append((at, TaskEnd(at, JOB)))
    for number, (status, state, done) in answers.items():
        request, controller, at, effect, delay, arrives = requests[number]
        events.append((at, Question(number, at, request, JOB, controller)))
        end = at + effect + delay
        reported = (
            Answer(number, end, status, state, done) if arrives else Answer(number, end, None)
        )
        events.append((end, reported))
    return merged(events)


@st.composite
def histories(draw, cancels=True):
    """Histories of a submission that is answered, with other requests around it."""
    first = (UserRequest.SUBMISSION, NODES[0], 0.0, 0.1, draw(st.floats(0, 3)), True)
    more = draw(st.lists(REQUESTS, max_size=25))
    return play([first, *more], draw(st.lists(MOMENTS, max_size=5)), cancels)


def check(events, cluster=None):
    """The clauses that the checker finds broken."""
    broken, cluster = [], cluster or SimulatedCluster()
    history = History(cluster, lambda clause, at, what: broken.append(clause))
    for event in events:
        if isinstance(event, TaskEnd):
            cluster.ended[event.job] = cluster.ended.get(event.job, 0) + 1
        else:
            history.record(event)
    return broken


def asked(
    request, status, state=None, done=None, running=None, at=END, job=JOB, refusal_reason=None
):
    """A further request that is answered before the next one is sent."""
    number = 1_000 + round(at * 10)
    question = Question(number, at, request, job, NODES[1], refusal_reason)
    return [question, Answer(number, at + 0.5, status, state, done, running)]


def final_of(events):
    """The final state in the first answer that has one, or None."""
    return next(
        (e.state for e in events if isinstance(e, Answer) and e.state in FINAL_STATES), None
    )


@settings(max_examples=150, deadline=None, derandomize=True)
@given(histories())
def test_every_history_of_a_correct_service_is_accepted(events):
    assert check(events) == []


def accepted_then_unknown(events, rng):
    request = rng.choice((UserRequest.QUESTION, UserRequest.CANCELLATION))
    return events + asked(request, 404)


def accepted_then_refused(events, rng):
    return events + asked(
        UserRequest.SUBMISSION,
        rng.choice((400, 422)),
        refusal_reason=rng.choice((None, RefusalReason.UNFIT)),
    )


def accepted_twice(events, rng):
    state = final_of(events) or PENDING
    return events + asked(UserRequest.SUBMISSION, 201, state)


def reverted_after_final(events, rng):
    last = asked(UserRequest.CANCELLATION, 200, final_of(events) or CANCELLED)
    other = rng.choice((PENDING, RUNNING))
    return events + last + asked(UserRequest.QUESTION, 200, other, at=END + rng.uniform(1, 50))


def two_final_states_at_once(events, rng):
    """The requests overlap; at most one of the answers can be right."""
    first = asked(UserRequest.CANCELLATION, 200, CANCELLED)
    second = asked(UserRequest.QUESTION, 200, DONE, at=END + 0.2)
    ends = [TaskEnd(END - 1, JOB)] * TASKS
    return [*events, *ends, first[0], second[0], *rng.sample([first[1], second[1]], 2)]


def cancelled_without_request(events, rng):
    request = rng.choice((UserRequest.QUESTION, UserRequest.SUBMISSION))
    return events + asked(request, 200, CANCELLED)


def cancelled_with_dependency_that_was_done(events, rng):
    done = [TaskEnd(0.0, JOB)] * TASKS
    first = asked(UserRequest.CANCELLATION, 200, DONE, job=JOB, at=40.0)
    dependent = asked(UserRequest.SUBMISSION, 201, PENDING, job=DEPENDENT_JOB, at=50.0)
    submitted = asked(UserRequest.SUBMISSION, 201, PENDING, at=0.0)
    reported = asked(UserRequest.QUESTION, 200, CANCELLED, job=DEPENDENT_JOB)
    return [*submitted, *done, *first, *dependent, *reported]


def cancellation_not_final(events, rng):
    return events + asked(UserRequest.CANCELLATION, 200, rng.choice((PENDING, RUNNING)))


def done_too_early(events, rng):
    """The job is called done before its tasks have ended."""
    before = [event for event in events if not isinstance(event, TaskEnd)]
    return before + asked(UserRequest.QUESTION, 200, DONE, rng.choice((None, TASKS)))


def job_not_submitted(events, rng):
    request = rng.choice((UserRequest.QUESTION, UserRequest.CANCELLATION))
    return events + asked(request, 200, rng.choice((PENDING, CANCELLED)), job=NOT_SUBMITTED_JOB)


def done_count_too_high(events, rng):
    ended = sum(isinstance(event, TaskEnd) for event in events)
    return events + asked(UserRequest.QUESTION, 200, RUNNING, ended + rng.randrange(1, 4))


def running_count_too_high(events, rng):
    return events + asked(UserRequest.QUESTION, 200, RUNNING, 0, TASKS + rng.randrange(1, 4))


def done_count_decreased(events, rng):
    ends = [TaskEnd(END - 1, JOB)] * TASKS
    first = asked(UserRequest.QUESTION, 200, RUNNING, 2)
    second = asked(UserRequest.QUESTION, 200, RUNNING, rng.choice((0, 1)), at=END + 5)
    return events + ends + first + second


def invalid_state(events, rng):
    return events + asked(UserRequest.QUESTION, 200, rng.choice((None, "lost", "")))


def accepted_incomplete(events, rng):
    submitted = asked(
        UserRequest.SUBMISSION,
        201,
        PENDING,
        job=NOT_SUBMITTED_JOB,
        refusal_reason=RefusalReason.INCOMPLETE,
    )
    return events + submitted


def accepted_unfit(events, rng):
    status = rng.choice((200, 201))
    return events + asked(
        UserRequest.SUBMISSION,
        status,
        PENDING,
        job=NOT_SUBMITTED_JOB,
        refusal_reason=RefusalReason.UNFIT,
    )


def waits_for_unsubmitted_job(events, rng):
    return asked(UserRequest.SUBMISSION, 201, PENDING, job=DEPENDENT_JOB)


MUTATIONS = [
    (accepted_then_unknown, Clause.ACCEPTED_THEN_UNKNOWN),
    (accepted_then_refused, Clause.ACCEPTED_THEN_REFUSED),
    (accepted_twice, Clause.ACCEPTED_TWICE),
    (reverted_after_final, Clause.FINAL_STATE_CHANGED),
    (two_final_states_at_once, Clause.FINAL_STATE_CHANGED),
    (cancelled_without_request, Clause.CANCELLED_WITHOUT_REQUEST),
    (cancelled_with_dependency_that_was_done, Clause.CANCELLED_WITHOUT_REQUEST),
    (cancellation_not_final, Clause.CANCELLATION_NOT_FINAL),
    (done_too_early, Clause.DONE_TOO_EARLY),
    (job_not_submitted, Clause.JOB_NOT_SUBMITTED),
    (done_count_too_high, Clause.PROGRESS_NOT_MADE),
    (running_count_too_high, Clause.PROGRESS_NOT_MADE),
    (done_count_decreased, Clause.DONE_COUNT_DECREASED),
    (invalid_state, Clause.INVALID_STATE),
    (accepted_incomplete, Clause.ACCEPTED_INCOMPLETE),
    (accepted_unfit, Clause.ACCEPTED_UNFIT),
    (waits_for_unsubmitted_job, Clause.ACCEPTED_UNFIT),
]
WITHOUT_CANCELLATION = (cancelled_without_request, cancelled_with_dependency_that_was_done)


@pytest.mark.parametrize(("mutate", "clause"), MUTATIONS, ids=lambda x: getattr(x, "__name__", ""))
@settings(max_examples=10, deadline=None, derandomize=True)
@given(data=st.data(), seed=st.integers(0, 1_000))
def test_a_broken_clause_is_found(mutate, clause, data, seed):
    events = data.draw(histories(cancels=mutate not in WITHOUT_CANCELLATION))
    assert clause in check(mutate(events, random.Random(seed)))


def test_each_clause_has_a_mutation_that_breaks_it():
    assert {clause for _, clause in MUTATIONS} | {Clause.UNANSWERED} == set(Clause)


OLD = [
    (404, None, None, Clause.ACCEPTED_THEN_UNKNOWN),
    (200, PENDING, 0, Clause.FINAL_STATE_CHANGED),
]


@pytest.mark.parametrize(("status", "state", "done", "clause"), OLD)
@settings(max_examples=30, deadline=None, derandomize=True)
@given(begins=st.floats(0.001, 9.9), ends=st.floats(10.1, 20), after=st.floats(0.001, 10))
def test_only_questions_after_an_answer_may_not_be_older(
    status, state, done, clause, begins, ends, after
):
    """The same old answer is right if its question began before the newer answer had ended,
    however late it comes, and wrong if it began after it, at whichever node."""
    newer = asked(UserRequest.SUBMISSION, 201, PENDING, at=0.0)[:1]
    newer += asked(UserRequest.CANCELLATION, 200, CANCELLED, at=0.5)[:1]
    newer_ends = [
        Answer(newer[0].number, 10.0, 201, PENDING),
        Answer(newer[1].number, 10.0, 200, CANCELLED),
    ]
    old = Question(1, begins, UserRequest.QUESTION, JOB, NODES[2])
    answer = Answer(1, ends, status, state, done)
    assert check([*newer, old, *newer_ends, answer]) == []
    later = replace(old, at=10.0 + after)
    assert check([*newer, *newer_ends, later, replace(answer, at=21.0)]) == [clause]


@settings(max_examples=30, deadline=None, derandomize=True)
@given(
    since=st.floats(1, 50),
    quiet=st.floats(51, 60),
    every=st.floats(0.5, 5),
    answered=st.booleans(),
)
def test_a_job_about_which_no_question_is_answered_is_forgotten(since, quiet, every, answered):
    """Counted from the last trouble, and from the last answer of any kind."""
    broken = []
    history = History(SimulatedCluster(), lambda clause, at, what: broken.append((clause, at)))

    def ask(request, at, status, state=None):
        number = history.next_number()
        history.record(Question(number, at, request, JOB, NODES[0]))
        history.record(Answer(number, at + 0.1, status, state))

    ask(UserRequest.SUBMISSION, 0.0, 201, PENDING)
    at = since
    while at < quiet:
        ask(UserRequest.QUESTION, at, None)
        at += every
    assert not broken
    history.faults_over_at = quiet
    while at <= quiet + UNANSWERED_S:
        ask(UserRequest.CANCELLATION, at, 503)
        at += every
    assert not broken, "not before the time is over"
    if answered:
        ask(UserRequest.QUESTION, at, 200, PENDING)
    ask(UserRequest.QUESTION, at + 0.2, None)
    assert [clause for clause, _ in broken] == ([] if answered else [Clause.UNANSWERED])
