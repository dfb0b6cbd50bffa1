"""A checker of all that users were told, by any controller.

It is given two kinds of event in the order in which they happened: a question that begins and an
answer that ends. Of a job, what an answer says may not be older than any answer that had ended
before its question began, whichever controllers gave them; questions that overlap in time are free
of each other. Which tasks have really ended is asked of `Facts`.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class UserRequest(StrEnum):
    """What a user asks for."""

    SUBMISSION = "submission"
    QUESTION = "question"
    CANCELLATION = "cancellation"


class Clause(StrEnum):
    """What can be wrong with an answer; the text begins with the protocol's name of the rule."""

    UNKNOWN = "forgotten: unknown after an answer that knew it"
    REFUSED = "forgotten: refused after it was accepted"
    ACCEPTED_AGAIN = "forgotten: accepted as a new job after it was accepted"
    UNANSWERED = "forgotten: no question was answered"
    REVERTED = "went_back: a final state and another one"
    NOT_ASKED = "went_back: cancelled, its user did not ask"
    NOT_CONFIRMED = "went_back: a cancellation was answered with a state that is not final"
    DONE_FELL = "went_back: fewer tasks done than an earlier answer said"
    NOT_DONE = "not_done: called done before all its tasks ended"
    NOT_SUBMITTED = "invented: a state of a job that nobody submitted"
    PROGRESS = "invented: progress that its tasks have not made"
    NO_STATE = "invented: a state that the protocol does not have"
    INCOMPLETE = "accepted_incomplete: the submission lacks a field or has an invalid one"
    UNFIT = "accepted_unfit: the job can never run"


class Fault(StrEnum):
    """Why a submission must be refused."""

    INCOMPLETE = "incomplete"  # 400
    UNFIT = "unfit"  # 422


PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
STATES = (PENDING, RUNNING, DONE, CANCELLED)
FINAL = (DONE, CANCELLED)
ACCEPTED = (200, 201)
REFUSED = (400, 422)
NOT_FOUND = 404
DEFINITE = (*ACCEPTED, *REFUSED, NOT_FOUND)  # after any other status users ask again
UNANSWERED_S = 75.0  # after the last trouble


@dataclass(frozen=True)
class Question:
    """A user's request is sent."""

    number: int
    at: float
    request: UserRequest
    job: str
    controller: str | None = None
    fault: Fault | None = None  # of a submission


@dataclass(frozen=True)
class Answer:
    """The answer has arrived, or its user has given up waiting (no status)."""

    question: int
    at: float
    status: int | None
    state: str | None = None
    done: int | None = None
    running: int | None = None


Event = Question | Answer


class Facts(Protocol):
    """What is known of jobs besides the answers."""

    def tasks(self, job: str) -> int:
        """How many tasks it has."""

    def tasks_ended(self, job: str) -> int:
        """How many of them have completed."""

    def needs(self, job: str) -> Iterable[str]:
        """The jobs for which it waits."""


@dataclass(frozen=True)
class _Known:
    """What the answers of a job that have ended say together."""

    by: Answer | None = None  # the first that knew the job
    final: Answer | None = None
    most_done: int = 0


@dataclass
class _Job:
    """What is to be remembered of a job."""

    known: _Known = field(default_factory=_Known)
    announced: bool = False
    submitted: bool = False  # without a fault, whatever became of it
    cancel_asked: bool = False
    unanswered_since: float | None = None


@dataclass
class History:
    """Checks each event as it comes, and reports what is wrong."""

    facts: Facts
    report: Callable[[Clause, float, str], None]
    faults_over_at: float | None = None  # all troubles are over since then; None: they are not
    longest_s: float = 0.0  # that no question about a job was answered, after that
    jobs: dict[str, _Job] = field(default_factory=dict)
    _open: dict[int, tuple[Question, _Known]] = field(default_factory=dict)
    _next: int = 0

    def next_number(self) -> int:
        """A number for the next question."""
        self._next += 1
        return self._next

    def record(self, event: Event) -> None:
        """Take the next event, and check it."""
        if isinstance(event, Question):
            self._begin(event)
        else:
            self._end(event)

    def announced(self, job: str) -> None:
        """A user is about to submit this job, with a fault or without."""
        self._job(job).announced = True

    def cancel_asked(self, job: str) -> None:
        """A user is about to cancel this job."""
        self._job(job).cancel_asked = True

    def question(self, number: int) -> Question:
        """A question that has no answer yet."""
        return self._open[number][0]

    def _job(self, job: str) -> _Job:
        return self.jobs.setdefault(job, _Job())

    def _begin(self, question: Question) -> None:
        job = self._job(question.job)
        if question.request is UserRequest.SUBMISSION and question.fault is None:
            job.announced = job.submitted = True
        if question.request is UserRequest.CANCELLATION:
            job.cancel_asked = True
        self._open[question.number] = (question, job.known)

    def _end(self, answer: Answer) -> None:
        question, before = self._open.pop(answer.question)
        if answer.status not in DEFINITE:
            self._no_answer(question)
            return
        self._job(question.job).unanswered_since = None
        if answer.status == NOT_FOUND:
            if before.by is not None:
                self._broken(Clause.UNKNOWN, question, answer, before.by)
        elif answer.status in REFUSED:
            self._check_refusal(question, answer, before)
        else:
            self._check_acceptance(question, answer, before)
            self._check_state(question, answer, before)
            self._remember(question, answer)

    def _no_answer(self, question: Question) -> None:
        """Once all troubles are over, an accepted job about which no question is answered for some
        time counts as forgotten, however others fare."""
        job = self._job(question.job)
        if job.known.by is None:
            return
        if job.unanswered_since is None:
            job.unanswered_since = question.at
        if self.faults_over_at is None:
            return
        span = question.at - max(job.unanswered_since, self.faults_over_at)
        self.longest_s = max(self.longest_s, span)
        if span > UNANSWERED_S:
            self.report(Clause.UNANSWERED, question.at, f"{question.job} for {span:.0f} s")

    def _check_refusal(self, question: Question, answer: Answer, before: _Known) -> None:
        # What lacks a field is no repetition of the submission that was accepted.
        if before.by is not None and question.fault is not Fault.INCOMPLETE:
            self._broken(Clause.REFUSED, question, answer, before.by)

    def _check_acceptance(self, question: Question, answer: Answer, before: _Known) -> None:
        if question.request is not UserRequest.SUBMISSION:
            return
        if answer.status == 201 and before.by is not None:
            self._broken(Clause.ACCEPTED_AGAIN, question, answer, before.by)
        # A repetition is answered with the state of the job as it was accepted.
        repeated = answer.status == 200 and self._job(question.job).submitted
        waits_for_nobody = any(
            not self._job(need).submitted for need in self.facts.needs(question.job)
        )
        if waits_for_nobody and answer.status == 201:
            self._broken(Clause.UNFIT, question, answer, what="it waits for a job of nobody")
        if question.fault is not None and not repeated:
            clause = Clause.UNFIT if question.fault is Fault.UNFIT else Clause.INCOMPLETE
            self._broken(clause, question, answer)

    def _check_state(self, question: Question, answer: Answer, before: _Known) -> None:
        job, state = self._job(question.job), answer.state
        if state not in STATES:
            self._broken(Clause.NO_STATE, question, answer)
            return
        if not job.announced:
            self._broken(Clause.NOT_SUBMITTED, question, answer)
        # Two final states contradict each other, even if their questions overlap.
        final = before.final or (job.known.final if state in FINAL else None)
        if final is not None and state != final.state:
            self._broken(Clause.REVERTED, question, answer, final)
        if question.request is UserRequest.CANCELLATION and state not in FINAL:
            self._broken(Clause.NOT_CONFIRMED, question, answer)
        if state == CANCELLED and not self._cancel_asked(question.job):
            self._broken(Clause.NOT_ASKED, question, answer)
        self._check_progress(question, answer, before)

    def _check_progress(self, question: Question, answer: Answer, before: _Known) -> None:
        tasks, ended = self.facts.tasks(question.job), self.facts.tasks_ended(question.job)
        done, running = answer.done or 0, answer.running or 0
        if answer.state == DONE and ended < tasks:
            self._broken(Clause.NOT_DONE, question, answer, what=f"{ended} of {tasks} tasks ended")
        if done > ended or done + running > tasks:
            self._broken(Clause.PROGRESS, question, answer, what=f"{ended} of {tasks} tasks ended")
        if answer.done is not None and done < before.most_done:
            what = f"{before.most_done} were done"
            self._broken(Clause.DONE_FELL, question, answer, what=what)

    def _cancel_asked(self, job: str) -> bool:
        """Whether its user may be told that it is cancelled."""
        if self._job(job).cancel_asked:
            return True
        for need in self._before(job):
            other = self._job(need)
            final = other.known.final
            if other.cancel_asked and (final is None or final.state != DONE):
                return True
        return False

    def _before(self, job: str) -> Iterator[str]:
        """All jobs that a job needs, directly or not."""
        seen, stack = {job}, [job]
        while stack:
            for need in self.facts.needs(stack.pop()):
                if need not in seen:
                    seen.add(need)
                    stack.append(need)
                    yield need

    def _remember(self, question: Question, answer: Answer) -> None:
        job = self._job(question.job)
        known = job.known
        final = answer if answer.state in FINAL else None
        most_done = max(known.most_done, answer.done or 0)
        job.known = _Known(known.by or answer, known.final or final, most_done)

    def _broken(
        self,
        clause: Clause,
        question: Question,
        answer: Answer,
        earlier: Answer | None = None,
        what: str = "",
    ) -> None:
        controller = question.controller or "some controller"
        text = f"{question.job}, {question.request} at {question.at:.3f} to {controller}, answered"
        text += f" {answer.status} {answer.state} ({answer.done} done, {answer.running} running)"
        if earlier is not None:
            text += f", though {earlier.status} {earlier.state} came at {earlier.at:.3f}"
        self.report(clause, answer.at, f"{text} {what}".rstrip())
