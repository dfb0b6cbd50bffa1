"""The rules of the protocol as a checker that is told everything that happens, step by step."""

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
    FINAL,
    Answer,
    Clause,
    Event,
    History,
    Question,
    UserRequest,
)
from dappledrum.model.queueing import Amount, FreeMachine, Waiting, WaitingJob


class JobEvent(Enum):
    """What listeners are told of a job, once each."""

    ACCEPTED = auto()  # its user was told so
    COMPLETED = auto()  # its last task has ended
    DONE = auto()  # a user was told so
    CANCELLED = auto()  # a user was told so


@dataclass
class JobFacts:
    """What the world knows of a job."""

    spec: dict[str, Any]
    accepted: bool = False
    accepted_at: float | None = None
    reported: str | None = None  # final state that a user has been told
    cancelled_at: float | None = None
    submitted_at: float | None = None
    begun_at: float | None = None  # its first task has started
    done: set[int] = field(default_factory=set)


def _descending(field: str, facts: JobFacts) -> float:
    return -float(facts.spec[field])


@dataclass
class Invariants:
    """Collects broken rules."""

    cancel_s: float
    limits: dict[str, tuple[float, float]]  # team: most CPUs, most GPUs; 0: no limit
    jobs: dict[str, JobFacts] = field(default_factory=dict)
    running: dict[tuple[str, int], dict[str, tuple[str, str, bool]]] = field(default_factory=dict)
    #: The same by job, and by team how many tasks of each size (CPUs, GPUs) are on machines.
    tasks_of: dict[str, set[int]] = field(default_factory=dict)
    in_use: dict[str, Counter[tuple[float, float]]] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    in_part: dict[str, float] = field(default_factory=dict)  # gangs in part on machines, since
    #: Called with the job and what has become of it.
    listeners: list[Callable[[str, JobEvent], None]] = field(default_factory=list)
    part_s: float = 60.0  # how long one may be: a gang's wait, and a lease until a loss is proven
    cancelled_starts: int = 0  # tasks that started after their job's cancellation was confirmed
    waiting: Waiting = field(default_factory=Waiting)
    history: History = field(init=False)

    def __post_init__(self) -> None:
        self.history = History(self, self._answer_broken)

    def _break(self, rule: str, at: float, what: str) -> None:
        self.broken.append(f"{rule} at {at:.2f}: {what}")

    def _answer_broken(self, clause: Clause, at: float, what: str) -> None:
        self._break(clause, at, what)

    # what the history asks

    def tasks(self, job: str) -> int:
        """How many tasks a job has; nothing runs of one that was not announced."""
        return self.jobs[job].spec["beats"] if job in self.jobs else 1

    def tasks_ended(self, job: str) -> int:
        """How many tasks of a job have completed."""
        return len(self.jobs[job].done) if job in self.jobs else 0

    def needs(self, job: str) -> Iterable[str]:
        """The jobs for which a job waits."""
        return (self.jobs[job].spec.get("waitsOn") or ()) if job in self.jobs else ()

    # what users ask and are told

    @property
    def faults_over_at(self) -> float | None:
        """All troubles are over since then; None: they are not."""
        return self.history.faults_over_at

    @faults_over_at.setter
    def faults_over_at(self, at: float | None) -> None:
        self.history.faults_over_at = at

    @property
    def longest_s(self) -> float:
        """How long no question about some job was answered, once all troubles were over."""
        return self.history.longest_s

    def record(self, event: Event) -> None:
        """A question begins, or an answer ends."""
        if isinstance(event, Question):
            self.history.record(event)
            return
        question = self.history.question(event.question)
        self.history.record(event)
        if event.status in ACCEPTED and question.job in self.jobs:
            self._take(question, event)

    def _tell(self, job: str, event: JobEvent) -> None:
        for listener in list(self.listeners):
            listener(job, event)

    def submitted(self, spec: dict[str, Any], at: float = 0.0) -> None:
        """A user begins to submit a job."""
        facts = self.jobs.setdefault(spec["id"], JobFacts(spec))
        facts.submitted_at = at if facts.submitted_at is None else facts.submitted_at
        if not facts.accepted:
            facts.spec = spec  # what was refused before counts for nothing
        self.history.announced(spec["id"])

    def submit_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A user was answered at once."""
        self._at_once(UserRequest.SUBMISSION, at, job, status, state)

    def invalid_answered(self, at: float, job: str, status: int | None, expected: int) -> None:
        """A submission that must be refused was answered; None: not yet."""
        if status not in (None, expected):
            self._break("invalid", at, f"{job} answered with {status} instead of {expected}")

    def poll_answer(self, at: float, job: str, status: int, state: str | None) -> None:
        """A user was told at once a state, or that there is no such job."""
        self._at_once(UserRequest.QUESTION, at, job, status, state)

    def not_answered(self, at: float, job: str) -> None:
        """A user has asked, and was told nothing."""
        self._at_once(UserRequest.QUESTION, at, job, None, None)

    def _at_once(
        self, request: UserRequest, at: float, job: str, status: int | None, state: str | None
    ) -> None:
        number = self.history.next_number()
        self.record(Question(number, at, request, job))
        self.record(Answer(number, at, status, state))

    def cancel_asked(self, job: str) -> None:
        """A user asks to cancel."""
        self.history.cancel_asked(job)

    def _take(self, question: Question, answer: Answer) -> None:
        """What an answer tells of a job counts from its arrival."""
        facts, at = self.jobs[question.job], answer.at
        if question.request is UserRequest.SUBMISSION:
            facts.accepted = True
            if facts.accepted_at is None:
                facts.accepted_at = at
                self._tell(question.job, JobEvent.ACCEPTED)
        if answer.state in FINAL:
            first = facts.reported is None
            facts.reported = answer.state
            if answer.state == CANCELLED and facts.cancelled_at is None:
                facts.cancelled_at = at
            if first:
                cancelled = answer.state == CANCELLED
                self._tell(question.job, JobEvent.CANCELLED if cancelled else JobEvent.DONE)
            return
        since = self._cancelled_since(question.job)
        if since is not None:
            # Whoever names a cancelled job is accepted all the same, as pending.
            since = max(since, facts.accepted_at or 0.0)
        if since is not None and at > since + self.cancel_s:
            what = f"{question.job} called {answer.state}, a job before it is cancelled"
            self._break("orphaned", at, what)

    def largest(self) -> dict[str, list[JobFacts]]:
        """Of each class, the largest tenth by tasks and by CPUs of a task, at least one each."""
        classes: dict[str, list[JobFacts]] = {}
        for facts in self.jobs.values():
            if facts.accepted and facts.reported != CANCELLED and not self.called_off(facts):
                classes.setdefault(facts.spec["pattern"], []).append(facts)
        result = {}
        for name, of in classes.items():
            chosen: dict[str, JobFacts] = {}
            for wire in ("beats", "vcpus"):
                ordered = sorted(of, key=partial(_descending, wire))
                chosen.update((f.spec["id"], f) for f in ordered[: max(1, len(of) // 10)])
            result[name] = list(chosen.values())
        return result

    def check_largest(self, at: float, within_s: float = 240.0) -> None:
        """The largest jobs, too, begin in time; to be asked when that time is over for all."""
        for name, of in self.largest().items():
            for facts in of:
                came = facts.submitted_at or 0.0
                began = facts.begun_at if facts.begun_at is not None else at
                if began - came > within_s:
                    what = f"{facts.spec['id']} of {name} began after {began - came:.0f} s"
                    self._break("starved", at, what)

    def called_off(self, facts: JobFacts) -> bool:
        """Whether its user has asked to cancel a job."""
        job = self.history.jobs.get(facts.spec["id"])
        return job is not None and job.cancel_asked

    def _before(self, job: str) -> Iterator[JobFacts]:
        """All jobs that a job needs, directly or not."""
        known = {job}
        stack = [job]
        while stack:
            for need in self.jobs[stack.pop()].spec.get("waitsOn") or ():
                if need not in known and need in self.jobs:
                    known.add(need)
                    stack.append(need)
                    yield self.jobs[need]

    def _cancelled_since(self, job: str) -> float | None:
        """When a user was first told that the job, or one before it, is cancelled."""
        facts = [self.jobs[job], *self._before(job)]
        return min((f.cancelled_at for f in facts if f.cancelled_at is not None), default=None)

    def started(
        self, at: float, machine: str, kind: tuple[str, str, bool], job: str, task: int
    ) -> None:
        """A task has its image and starts on a machine."""
        self.starts += 1
        facts = self.jobs[job]
        facts.begun_at = at if facts.begun_at is None else facts.begun_at
        places = self.running.setdefault((job, task), {})
        if any(other != machine for other in places):
            self._break("ran_twice", at, f"{job}/{task} on {machine} and {', '.join(places)}")
        tasks = self.tasks_of.setdefault(job, set())
        others = [k for t in tasks if t != task for k in self.running[job, t].values()]
        tasks.add(task)
        if machine not in places:
            self._use(facts.spec, +1)
        places[machine] = kind
        self._place(at, facts.spec, kind, others)
        self._quota(at, facts.spec["crew"])
        self.waiting.started(job)
        self.cancelled_starts += facts.cancelled_at is not None
        since = self._cancelled_since(job)
        if since is not None and at > since + self.cancel_s:
            self._break("ran_cancelled", at, f"{job}/{task} started")
        for need in facts.spec.get("waitsOn") or ():
            before = self.jobs[need]
            if len(before.done) < before.spec["beats"] or before.reported == CANCELLED:
                self._break("too_early", at, f"{job}/{task} before {need} is done")

    def ended(self, machine: str, job: str, task: int, completed: bool) -> None:
        """A task is off a machine."""
        places = self.running.get((job, task), {})
        if places.pop(machine, None) is not None:
            self._use(self.jobs[job].spec, -1)
        if not places and self.running.pop((job, task), None) is not None:
            self.tasks_of[job].discard(task)
        facts = self.jobs[job]
        if completed and task not in facts.done:
            facts.done.add(task)
            if len(facts.done) == facts.spec["beats"]:
                self._tell(job, JobEvent.COMPLETED)

    def _place(
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
        here = 1 + sum(other[1] == zone for other in others)
        wrong = wrong or (spec["spread"] and here > -(-spec["beats"] // 2))
        if wrong:
            self._break("wrong_place", at, f"{spec['id']} on {kind}")

    def _use(self, spec: dict[str, Any], change: int) -> None:
        """A task of a job is on one machine more, or on one less."""
        self.in_use.setdefault(spec["crew"], Counter())[spec["vcpus"], spec["accelerators"]] += (
            change
        )

    def _quota(self, at: float, team: str) -> None:
        most_cpus, most_gpus = self.limits.get(team, (0.0, 0.0))
        sizes = self.in_use.get(team, Counter())
        cpus = sum(size[0] * count for size, count in sizes.items())
        gpus = sum(size[1] * count for size, count in sizes.items())
        if (most_cpus and cpus > most_cpus + 1e-6) or (most_gpus and gpus > most_gpus + 1e-6):
            self._break("quota", at, f"{team} uses {cpus:g} CPUs and {gpus:g} GPUs")

    def _gangs(self, at: float) -> None:
        """A gang on machines in part holds room and does nothing."""
        on: dict[str, int] = {}
        for job, task in self.running:
            if self.jobs[job].spec["form"] == "ensemble":
                on[job] = on.get(job, 0) + (task not in self.jobs[job].done)
        for job, count in on.items():
            facts = self.jobs[job]
            if 0 < count < facts.spec["beats"] - len(facts.done):
                since = self.in_part.setdefault(job, at)
                if at - since > self.part_s:
                    self._break("held_apart", at, f"{job} with {count} tasks since {since:.1f}")
            else:
                self.in_part.pop(job, None)
        for job in [job for job in self.in_part if job not in on]:
            del self.in_part[job]

    def _waiting_jobs(self) -> Iterator[WaitingJob]:
        """Accepted jobs that can have more tasks on machines now, but for the room."""
        placed: dict[str, list[tuple[int, str]]] = {}
        used: dict[str, Amount] = {}
        for (job, task), where in self.running.items():
            spec = self.jobs[job].spec
            placed.setdefault(job, []).extend((task, kind[1]) for kind in where.values())
            left = used.get(spec["crew"], Amount(0.0, 0.0, 0.0))
            for _ in where:
                left = left.less(Amount(spec["vcpus"], spec["accelerators"], 0.0))
            used[spec["crew"]] = left
        for job, facts in self.jobs.items():
            over = facts.reported is not None or self.called_off(facts)
            if not facts.accepted or over or not all(map(self._is_done, self.needs(job))):
                continue
            here = placed.get(job, [])
            missing = facts.spec["beats"] - len(facts.done | {task for task, _ in here})
            if missing > 0:
                team = facts.spec["crew"]
                left = self._team_left(team, used.get(team, Amount(0.0, 0.0, 0.0)))
                zones = tuple(zone for _, zone in here)
                yield WaitingJob(facts.spec, missing, zones, left)

    def _is_done(self, job: str) -> bool:
        return job in self.jobs and self.tasks_ended(job) >= self.tasks(job)

    def _team_left(self, team: str, less_used: Amount) -> Amount:
        most_cpus, most_gpus = self.limits.get(team, (0.0, 0.0))
        most = Amount(most_cpus or math.inf, most_gpus or math.inf, math.inf)
        return Amount(most.cpus + less_used.cpus, most.gpus + less_used.gpus, most.memory_gb)

    def check_waiting(self, at: float, free_machines: Callable[[], list[FreeMachine]]) -> None:
        """Once the troubles are over, nobody waits for long beside a machine that has room."""
        if self.faults_over_at is None or at < self.faults_over_at:
            self.waiting.since.clear()
        elif self.waiting.due(at):
            for what in self.waiting.look(at, self._waiting_jobs(), free_machines()):
                self._break("left_waiting", at, what)

    def tick(self, at: float) -> None:
        """Time has passed."""
        self._gangs(at)
        for job, tasks in self.tasks_of.items():
            since = self._cancelled_since(job) if tasks else None
            if since is not None and at > since + self.cancel_s:
                for task in sorted(tasks):
                    self._break("ran_cancelled", at, f"{job}/{task} still there")
