"""Checks the rules of the protocol against every event in a cluster, as the events happen."""

import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial
from typing import Any

from dappledrum.model.history import (
    ACCEPTED,
    CANCELLED,
    FINAL_STATES,
    Answer,
    Clause,
    Event,
    History,
    Question,
    UserRequest,
)
from dappledrum.model.queueing import Amount, FreeMachine, WaitingJob, WaitTracker


class JobEvent(Enum):
    """Events of a job; listeners are notified of each once per job."""

    ACCEPTED = auto()  # its user got the acceptance
    COMPLETED = auto()  # its last task has ended
    DONE = auto()  # a user got an answer that says so
    CANCELLED = auto()  # a user got an answer that says so


@dataclass
class JobFacts:
    """Ground truth about a job."""

    spec: dict[str, Any]
    accepted: bool = False
    accepted_at: float | None = None
    reported: str | None = None  # final state in an answer to a user
    cancelled_at: float | None = None
    submitted_at: float | None = None
    begun_at: float | None = None  # start of its first task
    done: set[int] = field(default_factory=set)  # completed tasks


def _descending(field: str, facts: JobFacts) -> float:
    return -float(facts.spec[field])


@dataclass
class Invariants:
    """Checks events, and collects descriptions of broken rules in `broken`."""

    cancel_s: float  # from the confirmation of a cancellation until all tasks must have ended
    limits: dict[str, tuple[float, float]]  # team: maximum CPUs and GPUs; 0: no limit
    jobs: dict[str, JobFacts] = field(default_factory=dict)
    #: By job and task: the machines that run it, each with its type, zone and spot.
    running: dict[tuple[str, int], dict[str, tuple[str, str, bool]]] = field(default_factory=dict)
    #: Running tasks by job.
    tasks_of: dict[str, set[int]] = field(default_factory=dict)
    #: By team: how many tasks of each size (CPUs, GPUs) are on machines.
    in_use: dict[str, Counter[tuple[float, float]]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    #: Gangs of which only some tasks are on machines, and since when.
    partially_placed_since: dict[str, float] = field(default_factory=dict)
    #: Called with the job and the event.
    listeners: list[Callable[[str, JobEvent], None]] = field(default_factory=list)
    #: How long a gang may be placed in part: its wait, plus a lease until a loss is proven.
    max_partially_placed_s: float = 60.0
    cancelled_starts: int = 0  # tasks that started after the confirmed cancellation of their job
    waiting: WaitTracker = field(default_factory=WaitTracker)
    history: History = field(init=False)

    def __post_init__(self) -> None:
        self.history = History(self, self._add_broken_answer)

    def _add_broken(self, rule: str, at: float, what: str) -> None:
        self.broken.append(f"{rule} at {at:.2f}: {what}")

    def _add_broken_answer(self, clause: Clause, at: float, what: str) -> None:
        self._add_broken(clause, at, what)

    # facts for the history

    def tasks(self, job: str) -> int:
        """How many tasks a job has; 1 for a job that was not announced, of which none runs."""
        return self.jobs[job].spec["beats"] if job in self.jobs else 1

    def tasks_ended(self, job: str) -> int:
        """How many tasks of a job have completed."""
        return len(self.jobs[job].done) if job in self.jobs else 0

    def needs(self, job: str) -> Iterable[str]:
        """The jobs for which a job waits."""
        return (self.jobs[job].spec.get("waitsOn") or ()) if job in self.jobs else ()

    # requests of users and answers to them

    @property
    def faults_over_at(self) -> float | None:
        """Since when all faults are over; None while faults are active."""
        return self.history.faults_over_at

    @faults_over_at.setter
    def faults_over_at(self, at: float | None) -> None:
        self.history.faults_over_at = at

    @property
    def longest_unanswered_s(self) -> float:
        """Longest time without an answer about a job, once all faults were over."""
        return self.history.longest_unanswered_s

    def record(self, event: Event) -> None:
        """A request is sent, or an answer arrives."""
        if isinstance(event, Question):
            self.history.record(event)
            return
        question = self.history.question(event.question)
        self.history.record(event)
        if event.status in ACCEPTED and question.job in self.jobs:
            self._apply_answer(question, event)

    def _notify(self, job: str, event: JobEvent) -> None:
        for listener in list(self.listeners):
            listener(job, event)

    def submitted(self, spec: dict[str, Any], at: float = 0.0) -> None:
        """A user starts to submit a job."""
        facts = self.jobs.setdefault(spec["id"], JobFacts(spec))
        facts.submitted_at = at if facts.submitted_at is None else facts.submitted_at
        if not facts.accepted:
            facts.spec = spec  # replaces a submission that was refused
        self.history.announced(spec["id"])

    def submit_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A submission is answered; counts as sent at the same moment."""
        self._record_exchange(UserRequest.SUBMISSION, at, job, status, state)

    def invalid_answered(self, at: float, job: str, status: int | None, expected: int) -> None:
        """A submission that must be refused was answered; a `status` of None means not yet."""
        if status not in (None, expected):
            self._add_broken("invalid", at, f"{job} answered with {status} instead of {expected}")

    def poll_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A status query is answered; counts as sent at the same moment."""
        self._record_exchange(UserRequest.QUESTION, at, job, status, state)

    def not_answered(self, at: float, job: str) -> None:
        """A status query got no answer."""
        self._record_exchange(UserRequest.QUESTION, at, job, None, None)

    def _record_exchange(
        self, request: UserRequest, at: float, job: str, status: int | None, state: str | None
    ) -> None:
        number = self.history.next_number()
        self.record(Question(number, at, request, job))
        self.record(Answer(number, at, status, state))

    def cancel_asked(self, job: str) -> None:
        """A user asks to cancel."""
        self.history.cancel_asked(job)

    def _apply_answer(self, question: Question, answer: Answer) -> None:
        """Update the facts of a job by an answer, as of its arrival."""
        facts, at = self.jobs[question.job], answer.at
        if question.request is UserRequest.SUBMISSION:
            facts.accepted = True
            if facts.accepted_at is None:
                facts.accepted_at = at
                self._notify(question.job, JobEvent.ACCEPTED)
        if answer.state in FINAL_STATES:
            first = facts.reported is None
            facts.reported = answer.state
            if answer.state == CANCELLED and facts.cancelled_at is None:
                facts.cancelled_at = at
            if first:
                cancelled = answer.state == CANCELLED
                self._notify(question.job, JobEvent.CANCELLED if cancelled else JobEvent.DONE)
            return
        since = self._cancelled_since(question.job)
        if since is not None:
            # A job that depends on a cancelled job is accepted nevertheless, as pending.
            since = max(since, facts.accepted_at or 0.0)
        if since is not None and at > since + self.cancel_s:
            what = f"{question.job} called {answer.state}, a job before it is cancelled"
            self._add_broken("orphaned", at, what)

    def largest(self) -> dict[str, list[JobFacts]]:
        """By class: the largest tenth of the jobs by tasks and by CPUs per task, at least one."""
        classes: dict[str, list[JobFacts]] = {}
        for facts in self.jobs.values():
            if facts.accepted and facts.reported != CANCELLED and not self.called_off(facts):
                classes.setdefault(facts.spec["pattern"], []).append(facts)
        result = {}
        for name, members in classes.items():
            chosen: dict[str, JobFacts] = {}
            for field_name in ("beats", "vcpus"):
                ordered = sorted(members, key=partial(_descending, field_name))
                chosen.update((f.spec["id"], f) for f in ordered[: max(1, len(members) // 10)])
            result[name] = list(chosen.values())
        return result

    def check_largest(self, at: float, within_s: float = 240.0) -> None:
        """Check that the largest jobs started within `within_s` of their submission; to be called
        when that time is over for all jobs."""
        for name, members in self.largest().items():
            for facts in members:
                submitted = facts.submitted_at or 0.0
                started = facts.begun_at if facts.begun_at is not None else at
                if started - submitted > within_s:
                    what = f"{facts.spec['id']} of {name} began after {started - submitted:.0f} s"
                    self._add_broken("starved", at, what)

    def called_off(self, facts: JobFacts) -> bool:
        """Whether the user of a job has asked to cancel it."""
        job = self.history.jobs.get(facts.spec["id"])
        return job is not None and job.cancel_asked

    def _dependencies(self, job: str) -> Iterator[JobFacts]:
        """All known jobs that a job depends on, directly or indirectly."""
        known = {job}
        stack = [job]
        while stack:
            for need in self.jobs[stack.pop()].spec.get("waitsOn") or ():
                if need not in known and need in self.jobs:
                    known.add(need)
                    stack.append(need)
                    yield self.jobs[need]

    def _cancelled_since(self, job: str) -> float | None:
        """When an answer first said that the job, or a job that it depends on, is cancelled."""
        facts = [self.jobs[job], *self._dependencies(job)]
        return min((f.cancelled_at for f in facts if f.cancelled_at is not None), default=None)

    def started(
        self, at: float, machine: str, kind: tuple[str, str, bool], job: str, task: int
    ) -> None:
        """A task starts on a machine that has its image."""
        self.starts += 1
        facts = self.jobs[job]
        facts.begun_at = at if facts.begun_at is None else facts.begun_at
        places = self.running.setdefault((job, task), {})
        if any(other != machine for other in places):
            self._add_broken("ran_twice", at, f"{job}/{task} on {machine} and {', '.join(places)}")
        tasks = self.tasks_of.setdefault(job, set())
        others = [k for t in tasks if t != task for k in self.running[job, t].values()]
        tasks.add(task)
        if machine not in places:
            self._count_use(facts.spec, +1)
        places[machine] = kind
        self._check_placement(at, facts.spec, kind, others)
        self._check_quota(at, facts.spec["crew"])
        self.waiting.started(job)
        self.cancelled_starts += facts.cancelled_at is not None
        since = self._cancelled_since(job)
        if since is not None and at > since + self.cancel_s:
            self._add_broken("ran_cancelled", at, f"{job}/{task} started")
        for need in facts.spec.get("waitsOn") or ():
            before = self.jobs[need]
            if len(before.done) < before.spec["beats"] or before.reported == CANCELLED:
                self._add_broken("too_early", at, f"{job}/{task} before {need} is done")

    def start_repeated(self, at: float, machine: str, task: str, attempt: int) -> None:
        """A machine gets the start of an attempt that it has carried out and forgotten; it would
        run again."""
        self._add_broken("start_repeated", at, f"{task} attempt {attempt} on {machine}")

    def ended(self, machine: str, job: str, task: int, completed: bool) -> None:
        """A task has ended on a machine."""
        places = self.running.get((job, task), {})
        if places.pop(machine, None) is not None:
            self._count_use(self.jobs[job].spec, -1)
        if not places and self.running.pop((job, task), None) is not None:
            self.tasks_of[job].discard(task)
        facts = self.jobs[job]
        if completed and task not in facts.done:
            facts.done.add(task)
            if len(facts.done) == facts.spec["beats"]:
                self._notify(job, JobEvent.COMPLETED)

    def _check_placement(
        self,
        at: float,
        spec: dict[str, Any],
        kind: tuple[str, str, bool],
        others: list[tuple[str, str, bool]],
    ) -> None:
        name, zone, spot = kind
        wrong = (spec.get("builds") is not None and name not in spec["builds"]) or (
            spot and not spec["loaners"]
        )
        wrong = wrong or (spec.get("hall") is not None and zone != spec["hall"])
        wrong = wrong or (spec["oneZone"] and any(other[1] != zone for other in others))
        tasks_in_zone = 1 + sum(other[1] == zone for other in others)
        wrong = wrong or (spec["spread"] and tasks_in_zone > -(-spec["beats"] // 2))
        if wrong:
            self._add_broken("wrong_place", at, f"{spec['id']} on {kind}")

    def _count_use(self, spec: dict[str, Any], change: int) -> None:
        """Change by `change` how many machines run a task of a job."""
        self.in_use.setdefault(spec["crew"], Counter())[spec["vcpus"], spec["accelerators"]] += (
            change
        )

    def _check_quota(self, at: float, team: str) -> None:
        max_cpus, max_gpus = self.limits.get(team, (0.0, 0.0))
        sizes = self.in_use.get(team, Counter())
        cpus = sum(size[0] * count for size, count in sizes.items())
        gpus = sum(size[1] * count for size, count in sizes.items())
        if (max_cpus and cpus > max_cpus + 1e-6) or (max_gpus and gpus > max_gpus + 1e-6):
            self._add_broken("quota", at, f"{team} uses {cpus:g} CPUs and {gpus:g} GPUs")

    def _check_gangs(self, at: float) -> None:
        """Check that no gang stays placed in part: it takes capacity and makes no progress."""
        placed: dict[str, int] = {}
        for job, task in self.running:
            if self.jobs[job].spec["form"] == "ensemble":
                placed[job] = placed.get(job, 0) + (task not in self.jobs[job].done)
        for job, count in placed.items():
            facts = self.jobs[job]
            if 0 < count < facts.spec["beats"] - len(facts.done):
                since = self.partially_placed_since.setdefault(job, at)
                if at - since > self.max_partially_placed_s:
                    self._add_broken(
                        "held_apart", at, f"{job} with {count} tasks since {since:.1f}"
                    )
            else:
                self.partially_placed_since.pop(job, None)
        for job in [job for job in self.partially_placed_since if job not in placed]:
            del self.partially_placed_since[job]

    def _waiting_jobs(self) -> Iterator[WaitingJob]:
        """Accepted jobs that could start more tasks now, given the capacity."""
        placed: dict[str, list[tuple[int, str]]] = {}
        negative_use: dict[str, Amount] = {}  # by team
        for (job, task), where in self.running.items():
            spec = self.jobs[job].spec
            placed.setdefault(job, []).extend((task, kind[1]) for kind in where.values())
            team_use = negative_use.get(spec["crew"], Amount(0.0, 0.0, 0.0))
            for _ in where:
                team_use = team_use.less(Amount(spec["vcpus"], spec["accelerators"], 0.0))
            negative_use[spec["crew"]] = team_use
        for job, facts in self.jobs.items():
            ended = facts.reported is not None or self.called_off(facts)
            if not facts.accepted or ended or not all(map(self._is_done, self.needs(job))):
                continue
            job_placements = placed.get(job, [])
            missing = facts.spec["beats"] - len(facts.done | {task for task, _ in job_placements})
            if missing > 0:
                team = facts.spec["crew"]
                team_left = self._team_left(team, negative_use.get(team, Amount(0.0, 0.0, 0.0)))
                zones = tuple(zone for _, zone in job_placements)
                yield WaitingJob(facts.spec, missing, zones, team_left)

    def _is_done(self, job: str) -> bool:
        return job in self.jobs and self.tasks_ended(job) >= self.tasks(job)

    def _team_left(self, team: str, negative_use: Amount) -> Amount:
        max_cpus, max_gpus = self.limits.get(team, (0.0, 0.0))
        limit = Amount(max_cpus or math.inf, max_gpus or math.inf, math.inf)
        return Amount(
            limit.cpus + negative_use.cpus, limit.gpus + negative_use.gpus, limit.memory_gb
        )

    def check_waiting(self, at: float, free_machines: Callable[[], list[FreeMachine]]) -> None:
        """Once all faults are over, check that no job waits for long while a machine has capacity
        for it."""
        if self.faults_over_at is None or at < self.faults_over_at:
            self.waiting.since.clear()
        elif self.waiting.due(at):
            for what in self.waiting.check(at, self._waiting_jobs(), free_machines()):
                self._add_broken("left_waiting", at, what)

    def tick(self, at: float) -> None:
        """Check the rules that depend on time."""
        self._check_gangs(at)
        for job, tasks in self.tasks_of.items():
            since = self._cancelled_since(job) if tasks else None
            if since is not None and at > since + self.cancel_s:
                for task in sorted(tasks):
                    self._add_broken("ran_cancelled", at, f"{job}/{task} still there")
