"""Checks all answers that users received from any controller against the protocol.

The checker gets two kinds of event, in the order in which they happened: the sending of a request
(`Question`) and the arrival of its answer (`Answer`). An answer about a job may not show an older
state than any answer that had arrived before its request was sent, whichever controllers answered;
requests that overlap in time do not constrain each other. `Facts` says which tasks have ended.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class UserRequest(StrEnum):
    """Kind of a user's request."""

    SUBMISSION = "submission"
    QUESTION = "question"
    CANCELLATION = "cancellation"


class Clause(StrEnum):
    """A rule that an answer can break; the text begins with the rule's name in the protocol."""

    ACCEPTED_THEN_UNKNOWN = "forgotten: unknown after an answer that knew it"
    ACCEPTED_THEN_REFUSED = "forgotten: refused after it was accepted"
    ACCEPTED_TWICE = "forgotten: accepted as a new job after it was accepted"
    UNANSWERED = "forgotten: no question was answered"
    FINAL_STATE_CHANGED = "went_back: a final state and another one"
    CANCELLED_WITHOUT_REQUEST = "went_back: cancelled, its user did not ask"
    CANCELLATION_NOT_FINAL = (
        "went_back: a cancellation was answered with a state that is not final"
    )
    DONE_COUNT_DECREASED = "went_back: fewer tasks done than an earlier answer said"
    DONE_TOO_EARLY = "not_done: called done before all its tasks ended"
    JOB_NOT_SUBMITTED = "invented: a state of a job that nobody submitted"
    PROGRESS_NOT_MADE = "invented: progress that its tasks have not made"
    INVALID_STATE = "invented: a state that the protocol does not have"
    ACCEPTED_INCOMPLETE = "accepted_incomplete: the submission lacks a field or has an invalid one"
    ACCEPTED_UNFIT = "accepted_unfit: the job can never run"


class RefusalReason(StrEnum):
    """Why a submission must be refused."""

    INCOMPLETE = "incomplete"  # 400
    UNFIT = "unfit"  # 422


PENDING, RUNNING, DONE, CANCELLED = "pending", "running", "done", "cancelled"
STATES = (PENDING, RUNNING, DONE, CANCELLED)
FINAL_STATES = (DONE, CANCELLED)
ACCEPTED = (200, 201)  # HTTP statuses
REFUSED = (400, 422)
NOT_FOUND = 404
DEFINITE = (*ACCEPTED, *REFUSED, NOT_FOUND)  # after any other status users repeat the request
UNANSWERED_S = 75.0  # limit on the time without an answer about a job, once all faults are over


@dataclass(frozen=True)
class Question:
    """A user sends a request."""

    number: int
    at: float
    request: UserRequest
    job: str
    controller: str | None = None
    refusal_reason: RefusalReason | None = None  # why this submission must be refused


@dataclass(frozen=True)
class Answer:
    """The answer to a request arrives, or the user stops waiting for it (no status)."""

    question: int
    at: float
    status: int | None
    state: str | None = None
    done: int | None = None
    running: int | None = None


Event = Question | Answer


class Facts(Protocol):
    """Ground truth about jobs, independent of the answers."""

    def tasks(self, job: str) -> int:
        """Number of tasks of the job."""

    def tasks_ended(self, job: str) -> int:
        """Number of its tasks that have completed."""

    def needs(self, job: str) -> Iterable[str]:
        """The jobs that the job waits for."""


@dataclass(frozen=True)
class _Known:
    """What the answers about a job that have arrived so far establish."""

    first: Answer | None = None  # the first answer that knew the job
    final: Answer | None = None  # the first answer with a final state
    max_done: int = 0


@dataclass
class _Job:
    """State of the checker for one job."""

    known: _Known = field(default_factory=_Known)
    announced: bool = False
    submitted: bool = False  # with a valid submission, whatever its answer was
    cancel_asked: bool = False
    unanswered_since: float | None = None


@dataclass
class History:
    """Checks each event as it is recorded, and reports broken rules."""

    facts: Facts
    report: Callable[[Clause, float, str], None]
    faults_over_at: float | None = None  # None: faults are still active
    #: Longest time without an answer about a job, once all faults were over.
    longest_unanswered_s: float = 0.0
    jobs: dict[str, _Job] = field(default_factory=dict)
    _open: dict[int, tuple[Question, _Known]] = field(default_factory=dict)
    _next: int = 0

    def next_number(self) -> int:
        """A number for the next request."""
        self._next += 1
        return self._next

    def record(self, event: Event) -> None:
        """Check the next event."""
        if isinstance(event, Question):
            self._record_request(event)
        else:
            self._record_answer(event)

    def announced(self, job: str) -> None:
        """A user is about to submit this job; the submission may be invalid."""
        self._job(job).announced = True

    def cancel_asked(self, job: str) -> None:
        """A user is about to cancel this job."""
        self._job(job).cancel_asked = True

    def question(self, number: int) -> Question:
        """A request that has no answer yet."""
        return self._open[number][0]

    def _job(self, job: str) -> _Job:
        return self.jobs.setdefault(job, _Job())

    def _record_request(self, question: Question) -> None:
        job = self._job(question.job)
        if question.request is UserRequest.SUBMISSION and question.refusal_reason is None:
            job.announced = job.submitted = True
        if question.request is UserRequest.CANCELLATION:
            job.cancel_asked = True
        self._open[question.number] = (question, job.known)

    def _record_answer(self, answer: Answer) -> None:
        question, before = self._open.pop(answer.question)
        if answer.status not in DEFINITE:
            self._check_unanswered(question)
            return
        self._job(question.job).unanswered_since = None
        if answer.status == NOT_FOUND:
            if before.first is not None:
                self._report_broken(Clause.ACCEPTED_THEN_UNKNOWN, question, answer, before.first)
        elif answer.status in REFUSED:
            self._check_refusal(question, answer, before)
        else:
            self._check_acceptance(question, answer, before)
            self._check_state(question, answer, before)
            self._update_known(question, answer)

    def _check_unanswered(self, question: Question) -> None:
        """Once all faults are over, an accepted job counts as forgotten if no request about it is
        answered for `UNANSWERED_S`, even if requests about other jobs are answered."""
        job = self._job(question.job)
        if job.known.first is None:
            return
        if job.unanswered_since is None:
            job.unanswered_since = question.at
        if self.faults_over_at is None:
            return
        span = question.at - max(job.unanswered_since, self.faults_over_at)
        self.longest_unanswered_s = max(self.longest_unanswered_s, span)
        if span > UNANSWERED_S:
            self.report(Clause.UNANSWERED, question.at, f"{question.job} for {span:.0f} s")

    def _check_refusal(self, question: Question, answer: Answer, before: _Known) -> None:
        # An incomplete submission does not repeat the one that was accepted.
        if before.first is not None and question.refusal_reason is not RefusalReason.INCOMPLETE:
            self._report_broken(Clause.ACCEPTED_THEN_REFUSED, question, answer, before.first)

    def _check_acceptance(self, question: Question, answer: Answer, before: _Known) -> None:
        if question.request is not UserRequest.SUBMISSION:
            return
        if answer.status == 201 and before.first is not None:
            self._report_broken(Clause.ACCEPTED_TWICE, question, answer, before.first)
        # A repeated submission, whatever it contains, gets the state of the accepted job.
        repeated = answer.status == 200 and self._job(question.job).submitted
        waits_for_unsubmitted = any(
            not self._job(need).submitted for need in self.facts.needs(question.job)
        )
        if waits_for_unsubmitted and answer.status == 201:
            self._report_broken(
                Clause.ACCEPTED_UNFIT, question, answer, what="it waits for a job of nobody"
            )
        if question.refusal_reason is not None and not repeated:
            clause = (
                Clause.ACCEPTED_UNFIT
                if question.refusal_reason is RefusalReason.UNFIT
                else Clause.ACCEPTED_INCOMPLETE
            )
            self._report_broken(clause, question, answer)

    def _check_state(self, question: Question, answer: Answer, before: _Known) -> None:
        job, state = self._job(question.job), answer.state
        if state not in STATES:
            self._report_broken(Clause.INVALID_STATE, question, answer)
            return
        if not job.announced:
            self._report_broken(Clause.JOB_NOT_SUBMITTED, question, answer)
        # Two final states contradict each other, even if their requests overlap.
        final = before.final or (job.known.final if state in FINAL_STATES else None)
        if final is not None and state != final.state:
            self._report_broken(Clause.FINAL_STATE_CHANGED, question, answer, final)
        if question.request is UserRequest.CANCELLATION and state not in FINAL_STATES:
            self._report_broken(Clause.CANCELLATION_NOT_FINAL, question, answer)
        if state == CANCELLED and not self._may_be_cancelled(question.job):
            self._report_broken(Clause.CANCELLED_WITHOUT_REQUEST, question, answer)
        self._check_progress(question, answer, before)

    def _check_progress(self, question: Question, answer: Answer, before: _Known) -> None:
        tasks, ended = self.facts.tasks(question.job), self.facts.tasks_ended(question.job)
        done, running = answer.done or 0, answer.running or 0
        if answer.state == DONE and ended < tasks:
            self._report_broken(
                Clause.DONE_TOO_EARLY, question, answer, what=f"{ended} of {tasks} tasks ended"
            )
        if done > ended or done + running > tasks:
            self._report_broken(
                Clause.PROGRESS_NOT_MADE, question, answer, what=f"{ended} of {tasks} tasks ended"
            )
        if answer.done is not None and done < before.max_done:
            what = f"{before.max_done} were done"
            self._report_broken(Clause.DONE_COUNT_DECREASED, question, answer, what=what)

    def _may_be_cancelled(self, job: str) -> bool:
        """Whether an answer may call the job cancelled: its user has asked to cancel it, or a job
        that it depends on and that is not known to be done."""
        if self._job(job).cancel_asked:
            return True
        for need in self._dependencies(job):
            other = self._job(need)
            final = other.known.final
            if other.cancel_asked and (final is None or final.state != DONE):
                return True
        return False

    def _dependencies(self, job: str) -> Iterator[str]:
        """All jobs that a job depends on, directly or indirectly."""
        seen, stack = {job}, [job]
        while stack:
            for need in self.facts.needs(stack.pop()):
                if need not in seen:
                    seen.add(need)
                    stack.append(need)
                    yield need

    def _update_known(self, question: Question, answer: Answer) -> None:
        job = self._job(question.job)
        known = job.known
        final = answer if answer.state in FINAL_STATES else None
        max_done = max(known.max_done, answer.done or 0)
        job.known = _Known(known.first or answer, known.final or final, max_done)

    def _report_broken(
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
